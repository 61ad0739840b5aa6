//! Example fleets: their zones, services and numbers of backend servers.

use std::net::Ipv4Addr;

/// An example fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preset {
    /// Cup deposit system: services `token` and `ledger` in four zones.
    Carpatia,
    /// Stencil hire system: services `booking` and `pack` in three zones.
    Chalkline,
}

/// One service of a preset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServicePreset {
    /// Name of the service.
    pub name: &'static str,
    /// Port of the service's address.
    pub port: u16,
    /// Number of backend servers.
    pub servers: usize,
    /// Maximum number of requests that each backend server runs at the same time.
    pub slots: u16,
    /// Name of the service that it calls, if any.
    pub dependency: Option<&'static str>,
}

/// Port of the first service; the second uses the next port.
const FIRST_PORT: u16 = 4_433;
/// Maximum number of open flows to each backend server.
const MAX_CONNECTIONS: u32 = 2_000;

impl Preset {
    /// Names of the availability zones.
    #[must_use]
    pub const fn zones(self) -> &'static [&'static str] {
        match self {
            Self::Carpatia => &["brasov-1", "brasov-2", "brasov-3", "brasov-4"],
            Self::Chalkline => &["forth-1", "forth-2", "forth-3"],
        }
    }

    /// The services. Callers use the first one, which depends on the second.
    #[must_use]
    pub const fn services(self) -> [ServicePreset; 2] {
        match self {
            Self::Carpatia => services(["token", "ledger"], [7, 4], 8),
            Self::Chalkline => services(["booking", "pack"], [7, 3], 5),
        }
    }

    /// Configuration in the format that operators write, for a fabric at `ip`.
    #[must_use]
    pub fn config_at(self, ip: Ipv4Addr) -> String {
        let services = self.services().map(|s| {
            let dependencies: Vec<_> = s.dependency.into_iter().collect();
            serde_json::json!({
                "name": s.name,
                "address": format!("{ip}:{}", s.port),
                "class": s.name,
                "deadline_ms": 2_000,
                "limits": { "slots": s.slots, "connections": MAX_CONNECTIONS, "queue": 64 },
                "dependencies": dependencies,
            })
        });
        let text = serde_json::json!({ "zones": self.zones(), "services": services });
        format!("{text:#}")
    }

    /// Like [`Preset::config_at`], with a fabric at `127.0.0.1`.
    #[must_use]
    pub fn config_text(self) -> String {
        self.config_at(Ipv4Addr::LOCALHOST)
    }
}

const fn services(names: [&'static str; 2], servers: [usize; 2], slots: u16) -> [ServicePreset; 2] {
    [
        ServicePreset {
            name: names[0],
            port: FIRST_PORT,
            servers: servers[0],
            slots,
            dependency: Some(names[1]),
        },
        ServicePreset {
            name: names[1],
            port: FIRST_PORT + 1,
            servers: servers[1],
            slots,
            dependency: None,
        },
    ]
}
