//! Channel through which other tasks send inputs to the event loop.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use flume::TrySendError;

use buckthornlink_core::datagram::{BackendHeartbeat, Event};

/// Target of the log records of this module. Operators name it in the filters of `log.level`, so
/// it is kept although the module has another name.
const LOG_TARGET: &str = "buckthornlink_datagram::inbox";

/// An input of the event loop that does not arrive in a datagram.
#[derive(Debug)]
pub enum Input {
    /// An event for the reducer.
    Event(Event),
    /// Request to shut down once no more packets arrive or the grace period is over.
    Stop,
}

/// Handle with which other tasks send inputs to the event loop and read its readiness.
#[derive(Clone, Debug)]
pub struct ReducerHandle {
    sender: flume::Sender<Input>,
    ready: Arc<AtomicBool>,
}

impl ReducerHandle {
    /// Creates a handle that sends to `sender`.
    #[must_use]
    pub fn new(sender: flume::Sender<Input>) -> Self {
        Self {
            sender,
            ready: Arc::default(),
        }
    }

    /// Whether the fabric may send packets to this process.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Sets the result of the fabric's readiness check.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Sends a heartbeat of the backend server; returns whether the channel accepted it.
    #[must_use]
    pub fn send_heartbeat(&self, heartbeat: BackendHeartbeat) -> bool {
        self.try_send(Event::BackendHeartbeat(heartbeat))
    }

    /// Reports that the backend server `id` is about to end; returns whether the channel accepted it.
    #[must_use]
    pub fn send_backend_ending(&self, id: String) -> bool {
        self.try_send(Event::BackendEnding(id))
    }

    /// Sends an event once the channel has room, so that none of a series is missing when the last one is handled.
    pub async fn deliver(&self, event: Event) {
        let _ = self.sender.send_async(Input::Event(event)).await;
    }

    /// Sends an event, which is dropped if the channel is full; important events are repeated.
    pub fn send(&self, event: Event) {
        if let Err(TrySendError::Full(_)) = self.sender.try_send(Input::Event(event)) {
            log::warn!(
                target: LOG_TARGET,
                "input channel of the event loop is full; dropping an event"
            );
        }
    }

    fn try_send(&self, event: Event) -> bool {
        self.sender.try_send(Input::Event(event)).is_ok()
    }

    /// Requests the shutdown of the process.
    pub fn stop(&self) {
        let _ = self.sender.try_send(Input::Stop);
    }
}
