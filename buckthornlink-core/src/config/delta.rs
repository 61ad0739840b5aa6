//! Difference between two configurations.

use std::collections::HashMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::{Config, Service};

/// Difference between two configurations, by service and zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Services that are new or changed.
    pub changed: Vec<Service>,
    /// Names of removed services.
    pub removed: Vec<String>,
    /// All zones of the new configuration, if the list changed.
    pub zones: Option<Vec<String>>,
}

impl ConfigDelta {
    /// Computes the delta that turns `old` into `new`.
    ///
    /// ```
    /// # use buckthornlink_core::config::{Config, ConfigDelta};
    /// let old = Config::default();
    /// let new = Config { zones: vec!["a".into()], ..Config::default() };
    /// let delta = ConfigDelta::between(&old, &new);
    /// assert_eq!(delta.apply(&old), new);
    /// ```
    #[must_use]
    pub fn between(old: &Config, new: &Config) -> Self {
        let (before, after) = (by_name(old), by_name(new));
        let is_changed = |s: &&Service| before.get(s.name.as_str()) != Some(s);
        let is_removed = |s: &&Service| !after.contains_key(s.name.as_str());
        let removed = old.services.iter().filter(is_removed);
        Self {
            changed: new.services.iter().filter(is_changed).cloned().collect(),
            removed: removed.map(|s| s.name.clone()).collect(),
            zones: (old.zones != new.zones).then(|| new.zones.clone()),
        }
    }

    /// Returns `old` with the delta applied. New services are appended to the list.
    #[must_use]
    pub fn apply(&self, old: &Config) -> Config {
        let mut new = old.clone();
        new.services.retain(|s| !self.removed.contains(&s.name));
        for service in &self.changed {
            match new.services.iter_mut().find(|s| s.name == service.name) {
                Some(slot) => *slot = service.clone(),
                None => new.services.push(service.clone()),
            }
        }
        if let Some(zones) = &self.zones {
            new.zones.clone_from(zones);
        }
        new
    }

    /// Whether the delta changes neither a service in `slice` nor the zones.
    #[must_use]
    pub fn leaves_unchanged(&self, slice: &Config) -> bool {
        let is_in = |name: &str| slice.service_named(name).is_some();
        let has_changed = self.changed.iter().any(|s| is_in(&s.name));
        let has_removed = self.removed.iter().any(|name| is_in(name));
        self.zones.is_none() && !has_changed && !has_removed
    }

    /// Whether the delta changes nothing.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.changed.is_empty() && self.removed.is_empty() && self.zones.is_none()
    }
}

fn by_name(config: &Config) -> HashMap<&str, &Service> {
    config
        .services
        .iter()
        .map(|s| (s.name.as_str(), s))
        .collect()
}

impl fmt::Display for ConfigDelta {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return f.write_str("no change");
        }
        for service in &self.changed {
            let json = serde_json::to_string(service).map_err(|_| fmt::Error)?;
            writeln!(f, "+ {json}")?;
        }
        for name in &self.removed {
            writeln!(f, "- service {name}")?;
        }
        match &self.zones {
            Some(zones) => writeln!(f, "~ zones {}", zones.join(", ")),
            None => Ok(()),
        }
    }
}
