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

use crate::ReducerHandle;

/// Time allowed for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before a refused connection is tried again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest pause between tries while nothing listens.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Refused connections in a row after which nothing is taken to listen.
const ABSENT_REFUSALS: u32 = 2;

/// Watches the backend server at `addr` for ever.
pub(crate) async fn run(addr: SocketAddrV4, handle: ReducerHandle) {
    let mut refusals = 0;
    loop {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => {
                refusals = 0;
                wait_closed(stream).await;
            }
            Ok(Err(err)) if err.kind() == io::ErrorKind::ConnectionRefused => {
                refusals += 1;
                if refusals == ABSENT_REFUSALS {
                    log::warn!(addr:% = addr; "nothing listens at the backend server");
                    handle.send(Event::BackendAbsent);
                }
            }
            Ok(Err(_)) | Err(_) => refusals = 0,
        }
        sleep((MIN_RETRY_DELAY * refusals.max(1)).min(MAX_RETRY_DELAY)).await;
    }
}

/// Waits until the other end closes the connection.
async fn wait_closed(mut stream: TcpStream) {
    let mut byte = [0];
    while let Ok(1..) = stream.read(&mut byte).await {}
}
