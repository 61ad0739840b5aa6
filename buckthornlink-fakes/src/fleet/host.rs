//! Places of backend servers.

use buckthornlink_agent::Agent;

use crate::backend::{BackendHandle, BackendServer};
use crate::preset::ServicePreset;

/// The place of one backend server and its agent; both can be gone for a time.
pub struct Host {
    pub(super) service: ServicePreset,
    pub(super) zone: &'static str,
    pub(super) name: String,
    pub(super) boots: u64,
    pub(super) backend: Option<BackendServer>,
    pub(super) handle: Option<BackendHandle>,
    pub(super) agent: Option<Agent>,
}

impl Host {
    /// Name of the backend server, with its zone behind an `@`.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Name of the availability zone.
    #[must_use]
    pub const fn zone(&self) -> &'static str {
        self.zone
    }

    /// Name of the service.
    #[must_use]
    pub const fn service(&self) -> &'static str {
        self.service.name
    }

    /// Control over the backend server.
    #[must_use]
    pub const fn backend(&self) -> Option<&BackendHandle> {
        self.handle.as_ref()
    }

    /// The agent, unless it is gone.
    #[must_use]
    pub const fn agent(&self) -> Option<&Agent> {
        self.agent.as_ref()
    }
}
