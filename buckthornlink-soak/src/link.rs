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
const DELAY: Duration = Duration::from_millis(400);

/// What a link does with bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Quality {
    /// Passes them on.
    #[default]
    Good,
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
pub struct Link {
    quality: watch::Sender<Quality>,
}

impl Link {
    /// Relays connections from `from` to `to`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn bind(from: SocketAddrV4, to: SocketAddrV4) -> io::Result<Self> {
        let listener = TcpListener::bind(from).await?;
        let (quality, state) = watch::channel(Quality::Good);
        tokio::spawn(accept(listener, to, state));
        Ok(Self { quality })
    }

    /// Changes what the link does.
    pub fn set(&self, quality: Quality) {
        self.quality.send_replace(quality);
    }
}

async fn accept(listener: TcpListener, to: SocketAddrV4, state: watch::Receiver<Quality>) {
    while let Ok((near, _)) = listener.accept().await {
        if *state.borrow() == Quality::Reset {
            continue;
        }
        tokio::spawn(relay(near, to, state.clone()));
    }
}

async fn relay(near: TcpStream, to: SocketAddrV4, state: watch::Receiver<Quality>) {
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut resets = state.clone();
    let there = copy(near_read, far_write, state.clone(), Quality::Silent);
    let back = copy(far_read, near_write, state, Quality::OneWay);
    tokio::select! {
        _ = there => {}
        _ = back => {}
        _ = resets.wait_for(|&q| q == Quality::Reset) => {}
    }
}

/// Copies bytes; `lost` and [`Quality::Silent`] lose them.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: watch::Receiver<Quality>,
    lost: Quality,
) -> io::Result<()> {
    let mut buffer = vec![0; 1 << 14];
    loop {
        let len = from.read(&mut buffer).await?;
        if len == 0 {
            return Ok(());
        }
        let quality = *state.borrow();
        if quality == Quality::Slow {
            sleep(DELAY).await;
        }
        if quality != Quality::Silent && quality != lost {
            to.write_all(&buffer[..len]).await?;
        }
    }
}
