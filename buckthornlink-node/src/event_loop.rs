//! Event loop that handles queued jobs and periodic ticks.

use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

use buckthornlink_core::Millis;

/// Handles queued jobs one at a time, and a job from `tick` every `period`, until all senders are
/// dropped.
///
/// ```
/// use buckthornlink_core::Millis;
/// use buckthornlink_node::event_loop;
///
/// let (sender, queue) = flume::unbounded();
/// sender.send("job").unwrap();
/// drop(sender);
/// let mut seen = Vec::new();
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
/// runtime.block_on(event_loop::run(queue, Millis(60_000), || "tick", |job| seen.push(job)));
/// assert!(seen.contains(&"job"));
/// ```
pub async fn run<J>(
    queue: flume::Receiver<J>,
    period: Millis,
    tick: impl Fn() -> J,
    mut handle: impl FnMut(J),
) {
    let mut ticks = interval(Duration::from_millis(period.0));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        let job = tokio::select! {
            _ = ticks.tick() => tick(),
            job = queue.recv_async() => match job {
                Ok(job) => job,
                Err(flume::RecvError::Disconnected) => return,
            },
        };
        handle(job);
    }
}
