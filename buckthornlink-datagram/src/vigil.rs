//! Notices at once when the backend server ends without a word.
//!
//! An idle connection to the backend server is kept open. When it closes, a new one tells whether
//! anything still listens.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use buckthornlink_core::datagram::Event;

use crate::Inbox;

/// Time allowed for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before a refused connection is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between tries while nothing listens.
const RETRY_MAX: Duration = Duration::from_secs(1);
/// Refused connections in a row after which nothing is taken to listen.
const MIN_REFUSALS: u32 = 2;

/// Watches the backend server at `addr` for ever.
pub(crate) async fn watch(addr: SocketAddrV4, inbox: Inbox) {
    let mut refusals = 0;
    loop {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => {
                refusals = 0;
                closed(stream).await;
            }
            Ok(Err(err)) if err.kind() == io::ErrorKind::ConnectionRefused => {
                refusals += 1;
                if refusals == MIN_REFUSALS {
                    log::warn!(addr:% = addr; "nothing listens at the backend server");
                    inbox.send(Event::BackendAbsent);
                }
            }
            Ok(Err(_)) | Err(_) => refusals = 0,
        }
        sleep((RETRY_PAUSE * refusals.max(1)).min(RETRY_MAX)).await;
    }
}

/// Waits until the other end closes the connection.
async fn closed(mut stream: TcpStream) {
    let mut byte = [0];
    while let Ok(1..) = stream.read(&mut byte).await {}
}
