//! Observes by an idle TCP connection whether the backend server accepts connections.
//!
//! When the connection closes, new connection attempts show whether anything still listens. The connection
//! is replaced at intervals, since it may have fallen silent. What is observed goes to the reducer, which
//! decides what it means.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use buckthornlink_core::datagram::{Connection, Event};

use crate::ReducerHandle;

/// Target of the log records of this module. Operators name it in the filters of `log.level`, so
/// it is kept although the module has another name.
const LOG_TARGET: &str = "buckthornlink_datagram::vigil";
/// Time after which the connection is replaced.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(10);
/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the next connection attempt, multiplied by the number of consecutive refusals.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay between connection attempts while nothing listens.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Consecutive refused connections from which on they are reported.
const ABSENT_REFUSALS: u32 = 2;

/// Monitors the backend server at `addr`. Never returns.
pub(crate) async fn run(addr: SocketAddrV4, handle: ReducerHandle) {
    monitor(addr, CONNECTION_LIFETIME, handle).await;
}

/// Monitors the backend server with connections that are replaced after `lifetime`.
async fn monitor(addr: SocketAddrV4, lifetime: Duration, handle: ReducerHandle) {
    let mut refusals = 0;
    loop {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => {
                let connection = match refusals {
                    1..ABSENT_REFUSALS => Connection::AcceptedAgain,
                    _ => Connection::Accepted,
                };
                refusals = 0;
                report(&handle, connection);
                if timeout(lifetime, wait_closed(stream)).await.is_ok() {
                    report(&handle, Connection::Closed);
                }
            }
            Ok(Err(err)) if err.kind() == io::ErrorKind::ConnectionRefused => {
                refusals += 1;
                if refusals == ABSENT_REFUSALS {
                    log::warn!(
                        target: LOG_TARGET,
                        addr:% = addr;
                        "nothing listens at the backend server"
                    );
                }
                if refusals >= ABSENT_REFUSALS {
                    report(&handle, Connection::Refused);
                }
            }
            Ok(Err(_)) | Err(_) => refusals = 0,
        }
        sleep((MIN_RETRY_DELAY * refusals.max(1)).min(MAX_RETRY_DELAY)).await;
    }
}

fn report(handle: &ReducerHandle, connection: Connection) {
    handle.send(Event::BackendConnection(connection));
}

/// Waits until the backend server closes the connection.
async fn wait_closed(mut stream: TcpStream) {
    let mut byte = [0];
    while let Ok(1..) = stream.read(&mut byte).await {}
}

#[cfg(test)]
#[path = "../tests/unit/backend_monitor.rs"]
mod tests;
