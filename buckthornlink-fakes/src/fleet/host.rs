//! Hosts of backend servers, and how a fleet starts and stops them.

use std::net::SocketAddrV4;
use std::time::Duration;

use buckthornlink_agent::{Agent, AgentSettings, BackendSettings};
use buckthornlink_node::settings::LogSettings;

use super::{Fleet, LINK_PORT, ip, keys};
use crate::backend::{BackendHandle, BackendServer, BackendSetup};
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

impl Fleet {
    /// Drains a host's agent, then stops its backend server. Returns false if the drain did not
    /// complete before its timeout.
    pub async fn drain_host(&mut self, index: usize) -> bool {
        let host = &mut self.hosts[index];
        if let Some(handle) = &host.handle {
            handle.set_out_of_service(true);
        }
        let Some(agent) = host.agent.take() else {
            return true;
        };
        let is_drained = agent.drain().await.finish().await;
        host.backend = None;
        is_drained
    }

    /// Stops a host's agent and backend server without a drain.
    pub fn kill_host(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.agent = None;
        host.backend = None;
        if let Some(handle) = &host.handle {
            handle.set_out_of_service(true);
        }
    }

    /// Starts a host's backend server, cold, and its agent.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start_host(&mut self, index: usize) -> anyhow::Result<()> {
        let agent_ip = ip(self.net, 200);
        let any_port = SocketAddrV4::new(agent_ip, 0);
        let boots = self.hosts[index].boots + 1;
        let record = self.trace_path(&format!("agent-{}-{boots}", self.hosts[index].name));
        let host = &mut self.hosts[index];
        host.boots = boots;
        let setup = BackendSetup {
            name: host.name.clone(),
            service: host.service,
            request_log: self.request_log.clone(),
            seed: self.seed * 1_000 + (index as u64) * 10 + host.boots,
        };
        let backend = BackendServer::spawn(any_port, setup).await?;
        let settings = AgentSettings {
            service: host.service.name.to_owned(),
            service_port: host.service.port,
            zone: host.zone.to_owned(),
            link: any_port,
            http: any_port,
            dependencies: any_port,
            entry: self.fabric.addr(LINK_PORT),
            backend: BackendSettings {
                addr: backend.addr(),
                health: "/health".to_owned(),
                load: "/load".to_owned(),
            },
            tls: self.certificate.settings().clone(),
            keys: keys(),
            dependency_flows: 8,
            drain_ms: Duration::from_secs(5),
            record,
            log: LogSettings::default(),
        };
        let agent = Agent::spawn(settings).await?;
        backend.handle().set_dependency_addr(agent.dependencies());
        host.handle = Some(backend.handle());
        host.backend = Some(backend);
        host.agent = Some(agent);
        Ok(())
    }

    /// Adds the hosts of all services and starts them.
    pub(super) async fn start_hosts(&mut self) -> anyhow::Result<()> {
        let zones = self.preset.zones();
        for service in self.preset.services() {
            for index in 0..service.servers {
                let zone = zones[index % zones.len()];
                self.hosts.push(Host {
                    service,
                    zone,
                    name: format!("{}-{index}@{zone}", service.name),
                    boots: 0,
                    backend: None,
                    handle: None,
                    agent: None,
                });
                self.start_host(self.hosts.len() - 1).await?;
            }
        }
        Ok(())
    }
}
