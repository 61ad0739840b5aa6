//! Receives datagrams in batches.
//!
//! The buffers belong to the thread rather than to each socket: a balancer has one socket for each
//! service, and most of them are idle.

use std::cell::RefCell;
use std::io::{self, IoSliceMut};
use std::net::{SocketAddr, SocketAddrV4};

use quinn_udp::{RecvMeta, UdpSocketState};
use tokio::io::Interest;
use tokio::net::UdpSocket;

/// Number of buffers filled by one receive call at most. Each holds one datagram, or several of
/// equal size that the kernel coalesced.
const BUFFER_COUNT: usize = 16;
/// Size of each buffer, in bytes; fits the largest coalesced series of datagrams.
const BUFFER_BYTES: usize = 65_536;

thread_local! {
    static BUFFERS: RefCell<Vec<Vec<u8>>> =
        RefCell::new(vec![vec![0; BUFFER_BYTES]; BUFFER_COUNT]);
}

/// A UDP socket that receives datagrams in batches.
#[derive(Debug)]
pub(super) struct BatchSocket {
    socket: UdpSocket,
    state: UdpSocketState,
}

impl BatchSocket {
    pub(super) fn new(socket: UdpSocket) -> io::Result<Self> {
        let state = UdpSocketState::new((&socket).into())?;
        Ok(Self { socket, state })
    }

    /// Waits for datagrams and calls `handle` with each of them.
    pub(super) async fn receive(
        &self,
        mut handle: impl FnMut(SocketAddrV4, &[u8]),
    ) -> io::Result<()> {
        self.socket.readable().await?;
        let batch = || self.receive_batch(&mut handle);
        match self.socket.try_io(Interest::READABLE, batch) {
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => Ok(()),
            result => result,
        }
    }

    /// Sends one datagram, or fails if the socket's send buffer is full.
    pub(super) fn send(&self, datagram: &[u8], to: SocketAddrV4) -> io::Result<usize> {
        self.socket.try_send_to(datagram, SocketAddr::V4(to))
    }

    fn receive_batch(&self, handle: &mut impl FnMut(SocketAddrV4, &[u8])) -> io::Result<()> {
        BUFFERS.with_borrow_mut(|buffers| {
            let mut metas = [RecvMeta::default(); BUFFER_COUNT];
            let count = {
                let mut slices = buffers.iter_mut().map(|b| IoSliceMut::new(b));
                let mut slices: [IoSliceMut<'_>; BUFFER_COUNT] =
                    std::array::from_fn(|_| slices.next().unwrap_or(IoSliceMut::new(&mut [])));
                self.state
                    .recv((&self.socket).into(), &mut slices, &mut metas)?
            };
            for (meta, buffer) in metas.iter().zip(buffers).take(count) {
                let SocketAddr::V4(from) = meta.addr else {
                    continue;
                };
                if meta.len == 0 {
                    handle(from, &[]);
                }
                for datagram in buffer[..meta.len].chunks(meta.stride.max(1)) {
                    handle(from, datagram);
                }
            }
            Ok(())
        })
    }
}
