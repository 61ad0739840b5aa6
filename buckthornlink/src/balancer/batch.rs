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

/// Maximum number of buffers filled by one receive call. Each holds one datagram, or several of
/// equal size that the kernel coalesced.
const MAX_BATCH: usize = 16;
/// Size of each buffer, in bytes; fits the largest coalesced series of datagrams.
const BUFFER_BYTES: usize = 65_536;

thread_local! {
    static BUFFERS: RefCell<Vec<Vec<u8>>> =
        RefCell::new(vec![vec![0; BUFFER_BYTES]; MAX_BATCH]);
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

    /// Waits for datagrams and calls `receive` with each of them.
    pub(super) async fn receive(
        &self,
        mut receive: impl FnMut(SocketAddrV4, &[u8]),
    ) -> io::Result<()> {
        self.socket.readable().await?;
        let batch = || self.receive_batch(&mut receive);
        match self.socket.try_io(Interest::READABLE, batch) {
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => Ok(()),
            result => result,
        }
    }

    /// Sends one datagram, or fails if the socket's send buffer is full.
    pub(super) fn send(&self, datagram: &[u8], to: SocketAddrV4) -> io::Result<usize> {
        self.socket.try_send_to(datagram, SocketAddr::V4(to))
    }

    fn receive_batch(&self, receive: &mut impl FnMut(SocketAddrV4, &[u8])) -> io::Result<()> {
        BUFFERS.with_borrow_mut(|buffers| {
            let mut metas = [RecvMeta::default(); MAX_BATCH];
            let count = {
                let mut slices = buffers.iter_mut().map(|b| IoSliceMut::new(b));
                let mut slices: [IoSliceMut<'_>; MAX_BATCH] =
                    std::array::from_fn(|_| slices.next().unwrap_or(IoSliceMut::new(&mut [])));
                self.state
                    .recv((&self.socket).into(), &mut slices, &mut metas)?
            };
            for (meta, buffer) in metas.iter().zip(buffers).take(count) {
                let SocketAddr::V4(from) = meta.addr else {
                    continue;
                };
                if meta.len == 0 {
                    receive(from, &[]);
                }
                for datagram in buffer[..meta.len].chunks(meta.stride.max(1)) {
                    receive(from, datagram);
                }
            }
            Ok(())
        })
    }
}
