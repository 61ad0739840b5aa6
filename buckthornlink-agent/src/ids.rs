//! Connection ids that the agent issues.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use quinn_proto::{ConnectionId, ConnectionIdGenerator, InvalidCid};

use buckthornlink_wire::{CID_BYTES, ConnectionId as Sealed, FlowLocation, KeyRing};

/// Issues ids that name this agent.
#[derive(Clone, Debug)]
pub(crate) struct Issuer {
    place: FlowLocation,
    keys: Arc<KeyRing>,
    nonce: Arc<AtomicU32>,
}

impl Issuer {
    pub(crate) fn new(place: FlowLocation, keys: Arc<KeyRing>) -> Self {
        let nonce = Arc::new(AtomicU32::new(u32::from(place.boot)));
        Self { place, keys, nonce }
    }
}

impl ConnectionIdGenerator for Issuer {
    fn generate_cid(&mut self) -> ConnectionId {
        let nonce = self.nonce.fetch_add(1, Ordering::Relaxed);
        ConnectionId::new(&Sealed::seal(&self.place, nonce, self.keys.current()))
    }

    /// Accepts ids of other agents too: a flow that ended with another agent is reset here.
    fn validate(&self, cid: &ConnectionId) -> Result<(), InvalidCid> {
        let place = Sealed::open(cid, &self.keys).ok_or(InvalidCid)?;
        if place.service == self.place.service {
            Ok(())
        } else {
            Err(InvalidCid)
        }
    }

    fn cid_len(&self) -> usize {
        CID_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}
