//! Generator of the QUIC connection ids that the agent issues.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use quinn_proto::{ConnectionId, ConnectionIdGenerator, InvalidCid};

use buckthornlink_wire::{CID_BYTES, CidCodec, FlowLocation, KeyRing};

/// Generates connection ids that name this agent.
#[derive(Clone, Debug)]
pub(crate) struct CidGenerator {
    location: FlowLocation,
    keys: Arc<KeyRing>,
    nonce: Arc<AtomicU32>,
}

impl CidGenerator {
    pub(crate) fn new(location: FlowLocation, keys: Arc<KeyRing>) -> Self {
        let nonce = Arc::new(AtomicU32::new(u32::from(location.boot)));
        Self {
            location,
            keys,
            nonce,
        }
    }
}

impl ConnectionIdGenerator for CidGenerator {
    fn generate_cid(&mut self) -> ConnectionId {
        let nonce = self.nonce.fetch_add(1, Ordering::Relaxed);
        ConnectionId::new(&CidCodec::seal(&self.location, nonce, self.keys.current()))
    }

    /// Accepts ids issued by other agents of the service too: balancers send datagrams of flows
    /// whose agent is in a zone out of service to another agent, which resets the flows.
    fn validate(&self, cid: &ConnectionId) -> Result<(), InvalidCid> {
        let location = CidCodec::open(cid, &self.keys).ok_or(InvalidCid)?;
        if location.service == self.location.service {
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
