//! The UDP sockets of a process.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use anyhow::Context;
use tokio::net::UdpSocket;

use buckthornlink_core::datagram::Source;

use crate::Settings;

/// Maximum size of a received datagram, in bytes.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 2_048;

/// The sockets of a process.
#[derive(Debug)]
pub(crate) struct Sockets {
    /// Packets from the fabric; balancers only.
    pub fabric: Option<UdpSocket>,
    /// Packets from and to other instances.
    pub relay: UdpSocket,
    /// Control messages.
    pub link: UdpSocket,
    /// Packets from the backend server; agents only.
    pub backend: Option<UdpSocket>,
    /// Packets to the backend server; agents only. It is connected, so that the system reports when nothing
    /// receives packets at the backend server's address.
    pub delivery: Option<UdpSocket>,
}

impl Sockets {
    /// Binds the addresses in the settings.
    pub(crate) async fn bind(settings: &Settings) -> anyhow::Result<Self> {
        let at = |port| SocketAddrV4::new(settings.ip, port);
        let (mut fabric, mut backend, mut delivery) = (None, None, None);
        match &settings.backend {
            Some(server) => {
                backend = Some(bind(server.outbound).await?);
                delivery = Some(connect(*server.outbound.ip(), server.address).await?);
            }
            None => fabric = Some(bind(settings.data).await?),
        }
        Ok(Self {
            fabric,
            delivery,
            relay: bind(at(settings.relay_port)).await?,
            link: bind(at(settings.link_port)).await?,
            backend,
        })
    }

    /// The socket that receives packets from `source`, if there is one.
    pub(crate) const fn for_source(&self, source: Source) -> Option<&UdpSocket> {
        match source {
            Source::Fabric => self.fabric.as_ref(),
            Source::Backend => self.backend.as_ref(),
            Source::Peer(_) => Some(&self.relay),
        }
    }
}

async fn bind(addr: SocketAddrV4) -> anyhow::Result<UdpSocket> {
    let socket = UdpSocket::bind(addr).await;
    socket.with_context(|| format!("cannot bind the datagram socket {addr}"))
}

/// Opens a socket at any port of `from` that sends to `to` only.
async fn connect(from: Ipv4Addr, to: SocketAddrV4) -> anyhow::Result<UdpSocket> {
    let socket = bind(SocketAddrV4::new(from, 0)).await?;
    let connected = socket.connect(to).await;
    connected.with_context(|| format!("cannot connect the datagram socket to {to}"))?;
    Ok(socket)
}

/// Sends a datagram over a connected socket without waiting; returns whether an earlier one was refused.
pub(crate) fn send_connected(socket: &UdpSocket, bytes: &[u8]) -> bool {
    let is_refused = |result: io::Result<usize>| {
        result.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionRefused)
    };
    // The system reports a refusal instead of sending the next datagram.
    let was_refused = is_refused(socket.try_send(bytes));
    if was_refused {
        let _ = socket.try_send(bytes);
    }
    was_refused
}

/// Whether a datagram sent over a connected socket was refused since the last call.
pub(crate) fn take_refusal(socket: &UdpSocket) -> bool {
    let error = socket.take_error().ok().flatten();
    error.is_some_and(|err| err.kind() == io::ErrorKind::ConnectionRefused)
}

/// Receives one datagram without waiting.
pub(crate) fn try_receive(socket: &UdpSocket, buffer: &mut [u8]) -> Received {
    match socket.try_recv_from(buffer) {
        Ok((len, SocketAddr::V4(from))) => Received::Datagram(len, *from.ip()),
        Err(err) if err.kind() == io::ErrorKind::WouldBlock => Received::Nothing,
        Ok(_) | Err(_) => Received::Failed,
    }
}

/// Outcome of [`try_receive`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Received {
    /// A datagram of this length from this address.
    Datagram(usize, Ipv4Addr),
    /// The system reported an error, possibly about an earlier datagram.
    Failed,
    /// No datagram is available.
    Nothing,
}

/// Waits until a socket is readable; forever if there is none.
pub(crate) async fn wait_readable(socket: Option<&UdpSocket>) {
    match socket {
        Some(socket) => {
            let _ = socket.readable().await;
        }
        None => std::future::pending().await,
    }
}

#[cfg(test)]
#[path = "../tests/unit/sockets.rs"]
mod tests;
