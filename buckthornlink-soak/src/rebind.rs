//! Binds addresses that a socket of this process used shortly before.
//!
//! Until its exec is complete, a child process holds a copy of every open socket of its parent,
//! those of concurrent runs included. A socket that is closed meanwhile keeps its address until
//! then, although nothing of the run that used it is left.

use std::io;
use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Time within which a started child process has given up its copies of sockets.
const EXEC_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between two attempts to bind an address.
const RETRY_DELAY: Duration = Duration::from_millis(2);

/// Calls `bind` until the address is free.
///
/// # Errors
///
/// Returns the error of `bind` if it is another one than [`io::ErrorKind::AddrInUse`], or if the
/// address is still in use after [`EXEC_TIMEOUT`].
pub async fn rebind<T, F>(bind: impl Fn() -> F) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let give_up_at = Instant::now() + EXEC_TIMEOUT;
    loop {
        match bind().await {
            Err(err) if err.kind() == io::ErrorKind::AddrInUse && Instant::now() < give_up_at => {
                sleep(RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/rebind.rs"]
mod tests;
