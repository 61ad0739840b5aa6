//! Links between the processes, which can be cut in one direction.
//!
//! Each process is told ports of its own at which all others listen. At these ports of the others' addresses, the soak
//! receives what the process sends, and passes it on from an address of the process.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::net::UdpSocket;

use crate::rebind::rebind;
use crate::tcp_proxy::TcpProxy;
use crate::topology::Instance;

/// Maximum size of a datagram between processes, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// The links between all processes of a run.
#[derive(Debug)]
pub struct Links {
    ends: Vec<Arc<End>>,
}

/// The end of the links of one instance.
#[derive(Debug, Default)]
struct End {
    /// Whether what it sends is lost.
    is_muted: AtomicBool,
    /// Whether what is sent to it is lost.
    is_deaf: AtomicBool,
}

impl Links {
    /// Opens the links between instances whose internal ports differ.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn open(instances: &[Instance]) -> anyhow::Result<Self> {
        let ends: Vec<Arc<End>> = instances.iter().map(|_| Arc::default()).collect();
        for (from, sender) in instances.iter().zip(&ends) {
            let out = Arc::new(rebind(|| UdpSocket::bind((from.ip, 0))).await?);
            let others = instances
                .iter()
                .zip(&ends)
                .filter(|(to, _)| to.ip != from.ip);
            for (to, receiver) in others {
                for (listen_port, port) in from.internal_ports.into_iter().zip(to.internal_ports) {
                    let at = SocketAddrV4::new(to.ip, listen_port);
                    let socket = rebind(|| UdpSocket::bind(at)).await?;
                    let link = Link {
                        sender: Arc::clone(sender),
                        receiver: Arc::clone(receiver),
                        out: Arc::clone(&out),
                        to: SocketAddrV4::new(to.ip, port),
                    };
                    tokio::spawn(link.forward(socket, from.ip));
                }
                let fetches = SocketAddrV4::new(to.ip, from.internal_ports[0]);
                let server = SocketAddrV4::new(to.ip, to.internal_ports[0]);
                TcpProxy::bind(fetches, server).await?;
            }
        }
        Ok(Self { ends })
    }

    /// Loses what the instance with this index sends to others, or no longer.
    pub fn set_muted(&self, index: usize, is_muted: bool) {
        self.ends[index].is_muted.store(is_muted, Ordering::Relaxed);
    }

    /// Loses what others send to the instance with this index, or no longer.
    pub fn set_deaf(&self, index: usize, is_deaf: bool) {
        self.ends[index].is_deaf.store(is_deaf, Ordering::Relaxed);
    }
}

/// One direction of the link between two instances, for one port.
struct Link {
    sender: Arc<End>,
    receiver: Arc<End>,
    out: Arc<UdpSocket>,
    to: SocketAddrV4,
}

impl Link {
    /// Passes on what arrives from the sender, until the socket fails.
    async fn forward(self, socket: UdpSocket, from: Ipv4Addr) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        while let Ok((len, source)) = socket.recv_from(&mut buffer).await {
            let is_cut = self.sender.is_muted.load(Ordering::Relaxed)
                || self.receiver.is_deaf.load(Ordering::Relaxed);
            if !is_cut && source.ip() == from {
                let _ = self.out.send_to(&buffer[..len], self.to).await;
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/links.rs"]
mod tests;
