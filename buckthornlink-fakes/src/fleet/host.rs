//! Hosts of backend servers.

use buckthornlink_agent::Agent;

use crate::backend::{BackendHandle, BackendServer};
use crate::preset::ServicePreset;

/// Host of one backend server and its agent, which may both be stopped and started again.
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
    /// Name of the backend server, in the form `<service>-<index>@<zone>`.
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

    /// Handle of the latest backend server, which may have stopped.
    #[must_use]
    pub const fn backend(&self) -> Option<&BackendHandle> {
        self.handle.as_ref()
    }

    /// The agent, if it is running.
    #[must_use]
    pub const fn agent(&self) -> Option<&Agent> {
        self.agent.as_ref()
    }
}
