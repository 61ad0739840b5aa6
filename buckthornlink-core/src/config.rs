//! Configuration: services, their limits and their dependencies.
//!
//! [`Config::parse`] validates a text before it is written to the store; its errors name the
//! line and column, and the field if it is known. [`ConfigDelta`] lists what an edit changes.

mod check;
mod delta;
mod error;

use std::net::SocketAddrV4;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use delta::ConfigDelta;
pub use error::ConfigError;

use crate::id::{ServicePort, ZoneTag};

/// Maximum size of a configuration text, in bytes: the store's limit for one value.
pub const MAX_TEXT_BYTES: usize = 1_000_000;

/// A validated configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Names of the availability zones.
    pub zones: Vec<String>,
    /// All services that callers can reach.
    pub services: Vec<Service>,
}

/// One service and its dependencies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Address that callers use, as `IPv4:port`. The port is unique among all services.
    #[schemars(with = "String")]
    pub address: SocketAddrV4,
    /// Class of requests without a class header; the request queue is fair between classes.
    #[serde(default = "default_class")]
    pub class: String,
    /// Deadline of requests that carry none, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u32,
    /// Limits of one backend server.
    #[serde(default)]
    pub limits: Limits,
    /// Names of the services that this one calls.
    #[serde(default)]
    pub dependencies: Vec<String>,
}

/// Limits of one backend server of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of requests that run at the same time.
    pub slots: u16,
    /// Maximum number of open flows.
    pub connections: u32,
    /// Maximum number of requests that wait for a slot.
    pub queue: u16,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            slots: 8,
            connections: 2_000,
            queue: 64,
        }
    }
}

impl Config {
    /// Parses and validates a configuration text.
    ///
    /// # Errors
    ///
    /// Returns the first error found: the text is too long, is not valid JSON, has an unknown
    /// field, an invalid name, limit or deadline, a duplicate name, address or port, an unknown
    /// dependency or a dependency cycle.
    ///
    /// ```
    /// # use buckthornlink_core::config::Config;
    /// let err = Config::parse("{\"zones\": [],\n \"servces\": []}").unwrap_err();
    /// assert!(err.to_string().starts_with("line 2, column"));
    /// ```
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(ConfigError::TooLong { bytes: text.len() });
        }
        let config: Self = serde_json::from_str(text)?;
        check::check(&config, text)?;
        Ok(config)
    }

    /// Returns the service that callers reach at `port`.
    #[must_use]
    pub fn service(&self, port: ServicePort) -> Option<&Service> {
        self.services.iter().find(|s| s.port() == port)
    }

    /// Returns the service called `name`.
    #[must_use]
    pub fn service_named(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }

    /// Returns the name of the zone with this tag.
    #[must_use]
    pub fn zone_name(&self, tag: ZoneTag) -> Option<&str> {
        let found = self.zones.iter().find(|name| ZoneTag::of(name) == tag);
        found.map(String::as_str)
    }

    /// Returns the part of the configuration that an agent of service `name` needs: the service
    /// and its direct dependencies.
    #[must_use]
    pub fn slice(&self, name: &str) -> Option<Self> {
        let own = self.service_named(name)?;
        let is_kept = |s: &&Service| s.name == name || own.dependencies.contains(&s.name);
        Some(Self {
            zones: self.zones.clone(),
            services: self.services.iter().filter(is_kept).cloned().collect(),
        })
    }
}

impl Service {
    /// Returns the identifier of the service on the wire.
    #[must_use]
    pub const fn port(&self) -> ServicePort {
        ServicePort(self.address.port())
    }
}

fn default_class() -> String {
    "default".to_owned()
}

const fn default_deadline() -> u32 {
    2_000
}
