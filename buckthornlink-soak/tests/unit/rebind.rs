use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use tokio::net::TcpListener;
use tokio::process::Command;
use tokio::runtime::Runtime;

use super::rebind;

const REBINDS: usize = 2_000;
const SPAWNERS: usize = 3;

/// Starts child processes until `is_done` is set.
fn spawn_until(is_done: &AtomicBool) -> io::Result<()> {
    Runtime::new()?.block_on(async {
        while !is_done.load(Ordering::Relaxed) {
            Command::new("true").spawn()?.wait().await?;
        }
        Ok(())
    })
}

/// Binds and closes one address [`REBINDS`] times; returns how often it was in use.
async fn count_failures(address: SocketAddr) -> usize {
    let mut failures = 0;
    for _ in 0..REBINDS {
        let listener = rebind(|| TcpListener::bind(address)).await;
        failures += usize::from(listener.is_err());
    }
    failures
}

#[test]
fn an_address_can_be_bound_again_while_children_of_other_runs_start() -> io::Result<()> {
    let is_done = AtomicBool::new(false);
    let failures = thread::scope(|scope| {
        let spawners: Vec<_> = (0..SPAWNERS)
            .map(|_| scope.spawn(|| spawn_until(&is_done)))
            .collect();
        let failures = Runtime::new()?.block_on(async {
            let first = TcpListener::bind((Ipv4Addr::new(127, 39, 0, 1), 0)).await?;
            let address = first.local_addr()?;
            drop(first);
            io::Result::Ok(count_failures(address).await)
        });
        is_done.store(true, Ordering::Relaxed);
        for spawner in spawners {
            spawner.join().expect("a spawner")?;
        }
        failures
    })?;
    assert_eq!(failures, 0);
    Ok(())
}

#[tokio::test]
async fn an_address_that_stays_in_use_is_reported() -> io::Result<()> {
    let held = TcpListener::bind((Ipv4Addr::new(127, 39, 0, 2), 0)).await?;
    let address = held.local_addr()?;
    let second = rebind(|| TcpListener::bind(address)).await;
    assert_eq!(
        second.map(drop).map_err(|err| err.kind()),
        Err(io::ErrorKind::AddrInUse)
    );
    Ok(())
}
