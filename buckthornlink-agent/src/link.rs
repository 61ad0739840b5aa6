//! Receives datagrams on the link socket and passes them to quinn or the reducer.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;

use bytes::BytesMut;
use tokio::net::UdpSocket;

use buckthornlink_core::ServicePort;
use buckthornlink_core::agent::Event;
use buckthornlink_wire::{Header, KeyRing, control};

use crate::executor::{Job, Opener};
use crate::metrics::{DropReason, Metrics};
use crate::socket::{IncomingDatagram, ReturnPaths};

/// Size of the receive buffer, in bytes. Datagrams that fill it count as truncated and are dropped.
const BUFFER_BYTES: usize = 2_048;
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// Binds the link socket, with send and receive buffers of [`SOCKET_BUFFER_BYTES`].
pub(crate) fn bind(addr: SocketAddrV4) -> std::io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(addr)?;
    socket.set_nonblocking(true)?;
    let options = socket2::SockRef::from(&socket);
    options.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    options.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
    UdpSocket::from_std(socket)
}

/// Receive loop of the link socket.
pub(crate) struct LinkReceiver {
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) keys: Arc<KeyRing>,
    pub(crate) service: ServicePort,
    pub(crate) return_paths: Arc<ReturnPaths>,
    pub(crate) to_quic: flume::Sender<IncomingDatagram>,
    pub(crate) jobs: flume::Sender<Job>,
    pub(crate) metrics: Arc<Metrics>,
}

impl LinkReceiver {
    /// Receives datagrams until the task is aborted.
    pub(crate) async fn run(self) {
        let mut buffer = BytesMut::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            buffer.reserve(BUFFER_BYTES);
            match self.socket.recv_buf_from(&mut buffer).await {
                Ok((BUFFER_BYTES.., _)) => self.metrics.record_drop(DropReason::Envelope),
                Ok((_, SocketAddr::V4(from))) => self.handle_datagram(from, &buffer),
                Ok((_, SocketAddr::V6(_))) => {}
                Err(err) => log::debug!(err:% = err; "receiving on the link socket failed"),
            }
        }
    }

    fn handle_datagram(&self, from: SocketAddrV4, bytes: &[u8]) {
        let Ok((header, start)) = Header::decode(bytes, &self.keys) else {
            return self.metrics.record_drop(DropReason::Envelope);
        };
        let payload = &bytes[start..];
        match header {
            Header::Flow {
                service,
                caller,
                via,
            }
            | Header::Orphan {
                service,
                caller,
                via,
            } => self.deliver(service, caller, via, payload),
            Header::Opener {
                service,
                caller,
                via,
                hops,
                rest,
            } => {
                if service != self.service {
                    return self.metrics.record_drop(DropReason::Misrouted);
                }
                let opener = Opener {
                    caller,
                    via,
                    hops,
                    datagram: payload.to_vec(),
                };
                self.enqueue(Job::Opener(Event::Opener { hops, rest }, opener));
            }
            Header::Control => self.handle_control(from, payload),
            Header::Return(_) => self.metrics.record_drop(DropReason::Envelope),
        }
    }

    /// Passes a datagram of a flow to quinn.
    fn deliver(&self, service: ServicePort, caller: SocketAddrV4, via: SocketAddrV4, data: &[u8]) {
        if service != self.service {
            return self.metrics.record_drop(DropReason::Misrouted);
        }
        self.return_paths.record_path(caller, via);
        let incoming = IncomingDatagram {
            caller,
            datagram: data.to_vec(),
        };
        if self.to_quic.try_send(incoming).is_err() {
            self.metrics.record_drop(DropReason::Overload);
        }
    }

    fn handle_control(&self, from: SocketAddrV4, payload: &[u8]) {
        match control::decode(payload) {
            Ok(message) => self.enqueue(Job::Event(Event::Control { from, message })),
            Err(_) => self.metrics.record_drop(DropReason::Envelope),
        }
    }

    fn enqueue(&self, job: Job) {
        if self.jobs.try_send(job).is_err() {
            self.metrics.record_drop(DropReason::Overload);
        }
    }
}
