//! Presents the link socket to quinn as if datagrams came directly from callers.

use std::collections::HashMap;
use std::fmt;
use std::io::{self, IoSliceMut};
use std::net::{SocketAddr, SocketAddrV4};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use bytes::BytesMut;
use futures_util::Stream;
use quinn::udp::{RecvMeta, Transmit};
use quinn::{AsyncUdpSocket, UdpPoller};
use tokio::net::UdpSocket;

use buckthornlink_core::ServicePort;
use buckthornlink_core::member::{Load, Phase};
use buckthornlink_wire::{Header, KeyRing, ReturnHeader};

/// Maximum number of callers with a return path. The table is cleared when it is full, and refills
/// with the next datagram of each caller.
const MAX_CALLERS: usize = 65_536;

/// A datagram to be passed to quinn.
pub(crate) struct IncomingDatagram {
    pub(crate) caller: SocketAddrV4,
    pub(crate) datagram: Vec<u8>,
}

/// Balancer through which each caller is reached, and the phase and load that are reported with
/// each returned datagram.
#[derive(Debug, Default)]
pub(crate) struct ReturnPaths {
    report: Mutex<(Phase, Load)>,
    via: Mutex<HashMap<SocketAddrV4, SocketAddrV4>>,
    received: AtomicU64,
}

impl ReturnPaths {
    /// Records that a datagram of `caller` came through the balancer `via`, and counts it.
    pub(crate) fn record_path(&self, caller: SocketAddrV4, via: SocketAddrV4) {
        self.received.fetch_add(1, Ordering::Relaxed);
        let mut table = self.via.lock().unwrap_or_else(PoisonError::into_inner);
        if table.len() >= MAX_CALLERS && !table.contains_key(&caller) {
            table.clear();
        }
        table.insert(caller, via);
    }

    /// Sets the phase and load to report.
    pub(crate) fn set_report(&self, phase: Phase, load: Load) {
        *self.report.lock().unwrap_or_else(PoisonError::into_inner) = (phase, load);
    }

    /// Returns the number of datagrams of flows and of accepted openers received so far.
    pub(crate) fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    fn report(&self) -> (Phase, Load) {
        *self.report.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn via(&self, caller: SocketAddrV4) -> Option<SocketAddrV4> {
        let table = self.via.lock().unwrap_or_else(PoisonError::into_inner);
        table.get(&caller).copied()
    }
}

/// The UDP socket that quinn uses; wraps its datagrams in envelopes.
pub(crate) struct EnvelopeSocket {
    link_socket: Arc<UdpSocket>,
    keys: Arc<KeyRing>,
    service: ServicePort,
    return_paths: Arc<ReturnPaths>,
    incoming: Mutex<flume::r#async::RecvStream<'static, IncomingDatagram>>,
}

impl EnvelopeSocket {
    pub(crate) fn new(
        link_socket: Arc<UdpSocket>,
        keys: Arc<KeyRing>,
        service: ServicePort,
        return_paths: Arc<ReturnPaths>,
        incoming: flume::Receiver<IncomingDatagram>,
    ) -> Self {
        Self {
            link_socket,
            keys,
            service,
            return_paths,
            incoming: Mutex::new(incoming.into_stream()),
        }
    }

    fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Option<IncomingDatagram>> {
        let mut stream = self.incoming.lock().unwrap_or_else(PoisonError::into_inner);
        Pin::new(&mut *stream).poll_next(cx)
    }
}

impl fmt::Debug for EnvelopeSocket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EnvelopeSocket")
            .field("link_socket", &self.link_socket)
            .finish_non_exhaustive()
    }
}

impl AsyncUdpSocket for EnvelopeSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(AlwaysWritable)
    }

    /// Sends a datagram to a caller through the balancer that last forwarded one from that caller.
    /// A datagram that cannot be sent is dropped, as on a network; QUIC retransmits its data.
    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let SocketAddr::V4(caller) = transmit.destination else {
            return Ok(());
        };
        let Some(via) = self.return_paths.via(caller) else {
            return Ok(());
        };
        let (phase, load) = self.return_paths.report();
        let header = Header::Return(ReturnHeader {
            service: self.service,
            caller,
            phase,
            load,
        });
        let mut out = BytesMut::new();
        header.encode(self.keys.current(), transmit.contents, &mut out);
        if let Err(err) = self.link_socket.try_send_to(&out, SocketAddr::V4(via)) {
            log::debug!(via:% = via, err:% = err; "sending a datagram to the balancer failed");
        }
        Ok(())
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut count = 0;
        while count < bufs.len().min(meta.len()) {
            match self.poll_next(cx) {
                Poll::Ready(Some(incoming)) => {
                    let len = incoming.datagram.len();
                    if len > bufs[count].len() {
                        continue;
                    }
                    bufs[count][..len].copy_from_slice(&incoming.datagram);
                    meta[count] = recv_meta(&incoming, len);
                    count += 1;
                }
                Poll::Ready(None) => return Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
                Poll::Pending => break,
            }
        }
        if count == 0 {
            return Poll::Pending;
        }
        Poll::Ready(Ok(count))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.link_socket.local_addr()
    }
}

/// The socket is always writable, because [`EnvelopeSocket::try_send`] drops what it cannot send.
#[derive(Debug)]
struct AlwaysWritable;

impl UdpPoller for AlwaysWritable {
    fn poll_writable(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

fn recv_meta(incoming: &IncomingDatagram, len: usize) -> RecvMeta {
    RecvMeta {
        addr: SocketAddr::V4(incoming.caller),
        len,
        stride: len,
        ..RecvMeta::default()
    }
}
