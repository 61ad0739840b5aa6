//! A TCP proxy that can delay or discard the bytes of its connections, or close them.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::rebind::rebind;

/// Delay of each chunk of bytes in [`ProxyMode::Slow`].
const SLOW_DELAY: Duration = Duration::from_millis(400);

/// How a proxy treats its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyMode {
    /// Forwards all bytes.
    #[default]
    Normal,
    /// Forwards all bytes after a delay.
    Slow,
    /// Discards all bytes but keeps connections open.
    Silent,
    /// Discards the bytes from the server to the client.
    OneWay,
    /// Closes existing connections, and new ones as soon as they are accepted.
    Reset,
}

/// A TCP proxy from one address to another.
#[derive(Clone, Debug)]
pub struct TcpProxy {
    mode: watch::Sender<ProxyMode>,
}

impl TcpProxy {
    /// Accepts connections at `from` and proxies them to `to`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn bind(from: SocketAddrV4, to: SocketAddrV4) -> io::Result<Self> {
        let listener = rebind(|| TcpListener::bind(from)).await?;
        let (mode, modes) = watch::channel(ProxyMode::Normal);
        tokio::spawn(accept_connections(listener, to, modes));
        Ok(Self { mode })
    }

    /// Changes how the proxy treats new and existing connections.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

async fn accept_connections(
    listener: TcpListener,
    to: SocketAddrV4,
    modes: watch::Receiver<ProxyMode>,
) {
    while let Ok((client, _)) = listener.accept().await {
        if *modes.borrow() == ProxyMode::Reset {
            continue;
        }
        tokio::spawn(proxy_connection(client, to, modes.clone()));
    }
}

async fn proxy_connection(client: TcpStream, to: SocketAddrV4, modes: watch::Receiver<ProxyMode>) {
    let Ok(server) = TcpStream::connect(to).await else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let mut resets = modes.clone();
    let upstream = copy(client_read, server_write, modes.clone(), ProxyMode::Silent);
    let downstream = copy(server_read, client_write, modes, ProxyMode::OneWay);
    tokio::select! {
        _ = upstream => {}
        _ = downstream => {}
        _ = resets.wait_for(|&mode| mode == ProxyMode::Reset) => {}
    }
}

/// Copies bytes, but discards them in `dropping_mode` and in [`ProxyMode::Silent`].
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    modes: watch::Receiver<ProxyMode>,
    dropping_mode: ProxyMode,
) -> io::Result<()> {
    let mut buffer = vec![0; 1 << 14];
    loop {
        let len = from.read(&mut buffer).await?;
        if len == 0 {
            return Ok(());
        }
        let mode = *modes.borrow();
        if mode == ProxyMode::Slow {
            sleep(SLOW_DELAY).await;
        }
        if mode != ProxyMode::Silent && mode != dropping_mode {
            to.write_all(&buffer[..len]).await?;
        }
    }
}
