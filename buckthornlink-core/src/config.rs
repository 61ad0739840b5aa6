//! The operators' text: services, their limits and what they depend on.
//!
//! [`Config::parse`] checks a text before anything is written; every fault names its field, line
//! and column. [`ConfigDelta`] says what an edit changes.

mod check;
mod delta;
mod error;

use std::net::SocketAddrV4;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use delta::ConfigDelta;
pub use error::ConfigError;

use crate::id::{ServicePort, ZoneTag};

/// Largest text that the platform's store holds in one value, in bytes.
pub const MAX_TEXT_BYTES: usize = 1_000_000;

/// The operators' text after it has been checked.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Names of the availability zones.
    pub zones: Vec<String>,
    /// The services.
    pub services: Vec<Service>,
}

/// One service and what it depends on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Address that callers use, as `IPv4:port`. The port is unique among all services.
    #[schemars(with = "String")]
    pub address: SocketAddrV4,
    /// Class of requests that carry no class of their own.
    #[serde(default = "default_class")]
    pub class: String,
    /// Deadline of requests that carry none, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u32,
    /// What one backend server bears.
    #[serde(default)]
    pub limits: Limits,
    /// Names of the services that this one calls.
    #[serde(default)]
    pub dependencies: Vec<String>,
}

/// What one backend server of a service bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests that run at the same time.
    pub slots: u16,
    /// Open flows.
    pub connections: u32,
    /// Requests that wait for a slot.
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
    /// Parses and checks a text.
    ///
    /// # Errors
    ///
    /// Returns the first fault found, with its line and column: a text that is too long, broken
    /// JSON, an unknown field, a double name, address or port, an unknown dependency or a cycle.
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

    /// The service that callers reach at `port`.
    #[must_use]
    pub fn service(&self, port: ServicePort) -> Option<&Service> {
        self.services.iter().find(|s| s.port() == port)
    }

    /// The service called `name`.
    #[must_use]
    pub fn service_named(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }

    /// The name of the zone with this tag.
    #[must_use]
    pub fn zone_name(&self, tag: ZoneTag) -> Option<&str> {
        let found = self.zones.iter().find(|name| ZoneTag::of(name) == tag);
        found.map(String::as_str)
    }

    /// The part of the configuration that an agent of `name` needs: its service and the services
    /// that it depends on.
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
    /// The identifier of the service on the wire.
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
