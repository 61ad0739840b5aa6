//! The link socket as quinn sees it: datagrams come from callers, not from balancers.

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

/// Callers remembered at the most; the table is emptied when it is full, and fills again with the
/// next datagram of each caller.
const MAX_CALLERS: usize = 65_536;

/// A datagram for quinn.
pub(crate) struct IncomingDatagram {
    pub(crate) caller: SocketAddrV4,
    pub(crate) datagram: Vec<u8>,
}

/// Phase and load that go with each datagram back, and the way back of each caller.
#[derive(Debug, Default)]
pub(crate) struct ReturnPaths {
    report: Mutex<(Phase, Load)>,
    via: Mutex<HashMap<SocketAddrV4, SocketAddrV4>>,
    received: AtomicU64,
}

impl ReturnPaths {
    /// Notes that a datagram of `caller` came through the balancer `via`.
    pub(crate) fn record_path(&self, caller: SocketAddrV4, via: SocketAddrV4) {
        self.received.fetch_add(1, Ordering::Relaxed);
        let mut table = self.via.lock().unwrap_or_else(PoisonError::into_inner);
        if table.len() >= MAX_CALLERS && !table.contains_key(&caller) {
            table.clear();
        }
        table.insert(caller, via);
    }

    /// Changes what is reported.
    pub(crate) fn set_report(&self, phase: Phase, load: Load) {
        *self.report.lock().unwrap_or_else(PoisonError::into_inner) = (phase, load);
    }

    /// Datagrams received from balancers and agents, control messages left out.
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

/// Quinn's socket.
pub(crate) struct EnvelopeSocket {
    link: Arc<UdpSocket>,
    keys: Arc<KeyRing>,
    service: ServicePort,
    return_paths: Arc<ReturnPaths>,
    incoming: Mutex<flume::r#async::RecvStream<'static, IncomingDatagram>>,
}

impl EnvelopeSocket {
    pub(crate) fn new(
        link: Arc<UdpSocket>,
        keys: Arc<KeyRing>,
        service: ServicePort,
        return_paths: Arc<ReturnPaths>,
        incoming: flume::Receiver<IncomingDatagram>,
    ) -> Self {
        Self {
            link,
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
            .field("link", &self.link)
            .finish_non_exhaustive()
    }
}

impl AsyncUdpSocket for EnvelopeSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(AlwaysWritable)
    }

    /// Sends a datagram back through the caller's latest balancer. What cannot be sent is dropped,
    /// as a network would; QUIC repairs it.
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
        if let Err(err) = self.link.try_send_to(&out, SocketAddr::V4(via)) {
            log::debug!(via:% = via, err:% = err; "datagram dropped");
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
        self.link.local_addr()
    }
}

/// Sending never waits: see [`EnvelopeSocket::try_send`].
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
