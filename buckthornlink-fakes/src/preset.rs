//! The fleets that users run today.

use std::net::Ipv4Addr;

/// A fleet of one user.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preset {
    /// Cup deposits: tokens and a ledger in four zones.
    Carpatia,
    /// Stencil hire: bookings and packs in three zones.
    Chalkline,
}

/// One service of a preset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServicePreset {
    /// Name.
    pub name: &'static str,
    /// Port of its address.
    pub port: u16,
    /// Backend servers.
    pub servers: usize,
    /// Slots of each.
    pub slots: u16,
    /// The service that it calls, if any.
    pub dependency: Option<&'static str>,
}

/// Port of the first service.
const FIRST_PORT: u16 = 4_433;
/// Connections of each backend server.
const CONNECTIONS: u32 = 2_000;

impl Preset {
    /// Names of the availability zones.
    #[must_use]
    pub const fn zones(self) -> &'static [&'static str] {
        match self {
            Self::Carpatia => &["brasov-1", "brasov-2", "brasov-3", "brasov-4"],
            Self::Chalkline => &["forth-1", "forth-2", "forth-3"],
        }
    }

    /// The services; the first one is what callers use, the second what it depends on.
    #[must_use]
    pub const fn services(self) -> [ServicePreset; 2] {
        match self {
            Self::Carpatia => services(["token", "ledger"], [7, 4], 8),
            Self::Chalkline => services(["booking", "pack"], [7, 3], 5),
        }
    }

    /// The operators' text, for a fabric that answers at `ip`.
    #[must_use]
    pub fn config_at(self, ip: Ipv4Addr) -> String {
        let services = self.services().map(|s| {
            let dependencies: Vec<_> = s.dependency.into_iter().collect();
            serde_json::json!({
                "name": s.name,
                "address": format!("{ip}:{}", s.port),
                "class": s.name,
                "deadline_ms": 2_000,
                "limits": { "slots": s.slots, "connections": CONNECTIONS, "queue": 64 },
                "dependencies": dependencies,
            })
        });
        let text = serde_json::json!({ "zones": self.zones(), "services": services });
        format!("{text:#}")
    }

    /// The operators' text, for a fabric on the loopback address.
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
