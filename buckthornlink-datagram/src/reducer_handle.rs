//! What comes to the reducer's thread other than by datagram.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use flume::TrySendError;

use buckthornlink_core::datagram::{Event, Heartbeat};

/// Something for the reducer's thread.
#[derive(Debug)]
pub enum Input {
    /// An event for the reducer.
    Event(Event),
    /// The process is to end once the fabric has noticed.
    Stop,
}

/// The sending end of the reducer's channel, and what others may read of its state.
#[derive(Clone, Debug)]
pub struct ReducerHandle {
    sender: flume::Sender<Input>,
    ready: Arc<AtomicBool>,
}

impl ReducerHandle {
    /// A handle that sends to `sender`.
    #[must_use]
    pub fn new(sender: flume::Sender<Input>) -> Self {
        Self {
            sender,
            ready: Arc::default(),
        }
    }

    /// Whether the fabric may send packets here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Changes the answer to the fabric.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Hands a heartbeat over; returns whether there was room.
    #[must_use]
    pub fn send_heartbeat(&self, heartbeat: Heartbeat) -> bool {
        self.try_send(Event::Heartbeat(heartbeat))
    }

    /// Hands the end of a backend server over; returns whether there was room.
    #[must_use]
    pub fn send_backend_ended(&self, id: String) -> bool {
        self.try_send(Event::BackendEnded(id))
    }

    /// Hands an event over, which is dropped if the reducer is far behind; what matters comes again.
    pub fn send(&self, event: Event) {
        if let Err(TrySendError::Full(_)) = self.sender.try_send(Input::Event(event)) {
            log::warn!("reducer is behind; an event was dropped");
        }
    }

    fn try_send(&self, event: Event) -> bool {
        self.sender.try_send(Input::Event(event)).is_ok()
    }

    /// Asks the process to end.
    pub fn stop(&self) {
        let _ = self.sender.try_send(Input::Stop);
    }
}
