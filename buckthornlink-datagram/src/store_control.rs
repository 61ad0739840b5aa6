//! Channel through which the event loop directs the tasks that call the store.

use std::time::Instant;

use tokio::sync::watch;

use buckthornlink_core::datagram::{FlowDigest, ZoneMembers};

/// Capacity of the channel of requests; further ones are dropped, as reducers repeat them.
const REQUEST_CAPACITY: usize = 4;

/// A single call that the reducer asks for.
#[derive(Clone, Debug)]
pub(crate) enum StoreRequest {
    /// Write the members of the own zone.
    Publish {
        /// The members.
        members: ZoneMembers,
        /// When the reducer listed them.
        listed_at: Instant,
    },
    /// Read the lists of all zones' members.
    Discover,
}

/// Handle with which the event loop directs the tasks.
#[derive(Clone, Debug)]
pub struct StoreHandle {
    watching: watch::Sender<bool>,
    requests: flume::Sender<StoreRequest>,
    digests: watch::Sender<FlowDigest>,
}

/// The tasks' end of a [`StoreHandle`].
#[derive(Clone, Debug)]
pub struct StoreControl {
    pub(crate) watching: watch::Receiver<bool>,
    pub(crate) requests: flume::Receiver<StoreRequest>,
    pub(crate) digests: watch::Receiver<FlowDigest>,
}

impl StoreHandle {
    /// Creates a handle and the tasks' end. The tasks do not watch the store at first.
    ///
    /// ```
    /// let (handle, _control) = buckthornlink_datagram::StoreHandle::open();
    /// handle.set_watching(true);
    /// ```
    #[must_use]
    pub fn open() -> (Self, StoreControl) {
        let (watching_sender, watching) = watch::channel(false);
        let (request_sender, requests) = flume::bounded(REQUEST_CAPACITY);
        let (digest_sender, digests) = watch::channel(FlowDigest::default());
        let handle = Self {
            watching: watching_sender,
            requests: request_sender,
            digests: digest_sender,
        };
        let control = StoreControl {
            watching,
            requests,
            digests,
        };
        (handle, control)
    }

    /// Selects whether the tasks watch the operators' records or read them at long intervals.
    pub fn set_watching(&self, watching: bool) {
        self.watching.send_replace(watching);
    }

    /// Requests that the members of the own zone be written.
    pub fn publish(&self, members: ZoneMembers) {
        let listed_at = Instant::now();
        self.request(StoreRequest::Publish { members, listed_at });
    }

    /// Requests that the flows of the backend server be saved in place of those before.
    pub fn save_flows(&self, digest: FlowDigest) {
        self.digests.send_replace(digest);
    }

    /// Requests that the lists of all zones' members be read.
    pub fn discover(&self) {
        self.request(StoreRequest::Discover);
    }

    fn request(&self, request: StoreRequest) {
        let _ = self.requests.try_send(request);
    }
}
