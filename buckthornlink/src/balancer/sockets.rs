//! One UDP socket for each configured service.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::task::AbortHandle;

use buckthornlink_core::ServicePort;

use super::batch::BatchSocket;
use super::metrics::ServiceMetrics;

/// Socket and metrics of one service.
#[derive(Debug)]
pub(super) struct ServiceSocket {
    pub(super) service: ServicePort,
    pub(super) socket: BatchSocket,
    pub(super) metrics: ServiceMetrics,
}

/// Open sockets by service.
pub(super) type SocketMap = HashMap<ServicePort, Arc<ServiceSocket>>;

/// Tasks that receive from the open sockets. Dropping this stops them.
#[derive(Debug, Default)]
pub(super) struct ReceiveTasks {
    tasks: HashMap<ServicePort, AbortHandle>,
}

impl ReceiveTasks {
    /// Registers the receive task of a service.
    pub(super) fn insert(&mut self, service: ServicePort, task: AbortHandle) {
        self.tasks.insert(service, task);
    }

    /// Stops the receive tasks of services that are not in `kept`.
    pub(super) fn retain(&mut self, kept: &[ServicePort]) {
        self.tasks.retain(|service, task| {
            let is_kept = kept.contains(service);
            if !is_kept {
                task.abort();
            }
            is_kept
        });
    }
}

impl Drop for ReceiveTasks {
    fn drop(&mut self) {
        self.retain(&[]);
    }
}

/// Binds the socket of a service.
pub(super) fn bind(ip: Ipv4Addr, service: ServicePort) -> std::io::Result<BatchSocket> {
    let socket = std::net::UdpSocket::bind(super::service_addr(ip, service.0))?;
    socket.set_nonblocking(true)?;
    BatchSocket::new(UdpSocket::from_std(socket)?)
}
