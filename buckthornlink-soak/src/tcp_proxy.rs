//! A relay for TCP connections that delays, silences, cuts or resets them.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Delay of a slow link.
const SLOW_DELAY: Duration = Duration::from_millis(400);

/// What a link does with bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// Passes them on.
    #[default]
    Normal,
    /// Passes them on late.
    Slow,
    /// Loses them all, without a reset.
    Silent,
    /// Loses those that come back.
    OneWay,
    /// Resets connections.
    Reset,
}

/// A relay from one address to another.
#[derive(Clone, Debug)]
pub struct TcpProxy {
    mode: watch::Sender<LinkMode>,
}

impl TcpProxy {
    /// Relays connections from `from` to `to`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn bind(from: SocketAddrV4, to: SocketAddrV4) -> io::Result<Self> {
        let listener = TcpListener::bind(from).await?;
        let (mode, modes) = watch::channel(LinkMode::Normal);
        tokio::spawn(accept_connections(listener, to, modes));
        Ok(Self { mode })
    }

    /// Changes what the link does.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn accept_connections(
    listener: TcpListener,
    to: SocketAddrV4,
    modes: watch::Receiver<LinkMode>,
) {
    while let Ok((client, _)) = listener.accept().await {
        if *modes.borrow() == LinkMode::Reset {
            continue;
        }
        tokio::spawn(proxy_connection(client, to, modes.clone()));
    }
}

async fn proxy_connection(client: TcpStream, to: SocketAddrV4, modes: watch::Receiver<LinkMode>) {
    let Ok(server) = TcpStream::connect(to).await else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let mut resets = modes.clone();
    let upstream = copy(client_read, server_write, modes.clone(), LinkMode::Silent);
    let downstream = copy(server_read, client_write, modes, LinkMode::OneWay);
    tokio::select! {
        _ = upstream => {}
        _ = downstream => {}
        _ = resets.wait_for(|&q| q == LinkMode::Reset) => {}
    }
}

/// Copies bytes; `dropping_mode` and [`LinkMode::Silent`] lose them.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    modes: watch::Receiver<LinkMode>,
    dropping_mode: LinkMode,
) -> io::Result<()> {
    let mut buffer = vec![0; 1 << 14];
    loop {
        let len = from.read(&mut buffer).await?;
        if len == 0 {
            return Ok(());
        }
        let mode = *modes.borrow();
        if mode == LinkMode::Slow {
            sleep(SLOW_DELAY).await;
        }
        if mode != LinkMode::Silent && mode != dropping_mode {
            to.write_all(&buffer[..len]).await?;
        }
    }
}
