//! Semantic validation of a configuration that deserialization does not cover.

use std::collections::{HashMap, HashSet};

use super::{Config, ConfigError, Service};
use crate::id::ZoneTag;

const MAX_NAME_BYTES: usize = 64;

/// Validates names, addresses, limits and dependencies of a parsed configuration.
pub(super) fn check(config: &Config, text: &str) -> Result<(), ConfigError> {
    let source = Source { text };
    check_zones(config, source)?;
    check_services(config, source)?;
    check_dependencies(config, source)?;
    check_cycles(config, source)
}

/// The configuration text, searched for the position of an invalid value.
#[derive(Clone, Copy)]
struct Source<'a> {
    text: &'a str,
}

impl Source<'_> {
    /// Builds an error at the `nth` occurrence, from 0, of `value` as a JSON string.
    fn error_at_value(
        self,
        field: String,
        value: &str,
        nth: usize,
        message: String,
    ) -> ConfigError {
        let offset = self.occurrences(value).nth(nth).unwrap_or(0);
        self.error_at_offset(offset, field, message)
    }

    /// Builds an error at the `nth` occurrence, from 0, of `name` as the value of a `name` key.
    fn error_at_service(
        self,
        name: &str,
        nth: usize,
        field: String,
        message: String,
    ) -> ConfigError {
        let is_name = |offset: &usize| {
            let before = self.text[..*offset]
                .trim_end()
                .trim_end_matches(':')
                .trim_end();
            before.ends_with("\"name\"")
        };
        let offset = self.occurrences(name).filter(is_name).nth(nth).unwrap_or(0);
        self.error_at_offset(offset, field, message)
    }

    /// Returns the byte offsets at which `value` occurs as a JSON string.
    fn occurrences(self, value: &str) -> impl Iterator<Item = usize> {
        let quoted = format!("\"{value}\"");
        let found: Vec<_> = self.text.match_indices(&quoted).map(|m| m.0).collect();
        found.into_iter()
    }

    fn error_at_offset(self, offset: usize, field: String, message: String) -> ConfigError {
        let before = &self.text[..offset];
        let line_start = before.rfind('\n').map_or(0, |i| i + 1);
        ConfigError::Field {
            line: before.matches('\n').count() + 1,
            column: offset - line_start + 1,
            field,
            message,
        }
    }
}

fn check_zones(config: &Config, source: Source<'_>) -> Result<(), ConfigError> {
    let mut tags = HashMap::new();
    for (i, name) in config.zones.iter().enumerate() {
        let field = format!("zones[{i}]");
        check_name(name, &field, source)?;
        let Some(earlier) = tags.insert(ZoneTag::of(name), name) else {
            continue;
        };
        let nth = usize::from(earlier == name);
        let message = format!("zone {name:?} conflicts with zone {earlier:?}; choose another name");
        return Err(source.error_at_value(field, name, nth, message));
    }
    Ok(())
}

fn check_services(config: &Config, source: Source<'_>) -> Result<(), ConfigError> {
    let mut names = HashMap::new();
    let mut ports: HashMap<u16, &Service> = HashMap::new();
    for (i, service) in config.services.iter().enumerate() {
        check_name(&service.name, &format!("services[{i}].name"), source)?;
        check_limits(i, service, source)?;
        if names.insert(&service.name, i).is_some() {
            let message = format!("service {:?} is listed twice", service.name);
            let field = format!("services[{i}].name");
            return Err(source.error_at_service(&service.name, 1, field, message));
        }
        if let Some(earlier) = ports.insert(service.address.port(), service) {
            return Err(port_conflict(i, service, earlier, source));
        }
    }
    Ok(())
}

fn port_conflict(
    i: usize,
    service: &Service,
    earlier: &Service,
    source: Source<'_>,
) -> ConfigError {
    let same = earlier.address == service.address;
    let what = if same { "address" } else { "port" };
    let value = service.address.to_string();
    let message = format!(
        "{what} of {value} is already used by service {:?}",
        earlier.name
    );
    source.error_at_value(
        format!("services[{i}].address"),
        &value,
        usize::from(same),
        message,
    )
}

fn check_name(name: &str, field: &str, source: Source<'_>) -> Result<(), ConfigError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_allowed) {
        return Ok(());
    }
    let message =
        format!("a name has 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.', not {name:?}");
    Err(source.error_at_value(field.to_owned(), name, 0, message))
}

fn check_limits(i: usize, service: &Service, source: Source<'_>) -> Result<(), ConfigError> {
    let limits = service.limits;
    let (field, message) = if limits.slots == 0 {
        ("limits.slots", "at least 1 slot is needed")
    } else if limits.connections == 0 {
        ("limits.connections", "at least 1 connection is needed")
    } else if service.deadline_ms == 0 {
        ("deadline_ms", "a deadline is at least 1 ms")
    } else {
        return Ok(());
    };
    let field = format!("services[{i}].{field}");
    Err(source.error_at_service(&service.name, 0, field, message.to_owned()))
}

fn check_dependencies(config: &Config, source: Source<'_>) -> Result<(), ConfigError> {
    let names: HashSet<&str> = config.services.iter().map(|s| s.name.as_str()).collect();
    for (i, service) in config.services.iter().enumerate() {
        for (j, name) in service.dependencies.iter().enumerate() {
            if names.contains(name.as_str()) {
                continue;
            }
            let field = format!("services[{i}].dependencies[{j}]");
            let message = format!("no service is called {name:?}");
            return Err(source.error_at_value(field, name, 0, message));
        }
    }
    Ok(())
}

/// Finds dependency cycles: repeatedly removes services without dependants; if any service remains,
/// there is a cycle.
fn check_cycles(config: &Config, source: Source<'_>) -> Result<(), ConfigError> {
    let by_name: HashMap<&str, &Service> = config
        .services
        .iter()
        .map(|s| (s.name.as_str(), s))
        .collect();
    let mut dependants: HashMap<&str, usize> = by_name.keys().map(|name| (*name, 0)).collect();
    for name in config.services.iter().flat_map(|s| &s.dependencies) {
        *dependants.entry(name).or_default() += 1;
    }
    let is_unreferenced = |name: &&str| dependants[*name] == 0;
    let mut unreferenced: Vec<&str> = by_name.keys().copied().filter(is_unreferenced).collect();
    while let Some(name) = unreferenced.pop() {
        dependants.remove(name);
        for dependency in by_name[name].dependencies.iter().map(String::as_str) {
            let count = dependants.entry(dependency).or_default();
            *count -= 1;
            if *count == 0 {
                unreferenced.push(dependency);
            }
        }
    }
    let remaining = config
        .services
        .iter()
        .filter(|s| dependants.contains_key(s.name.as_str()));
    let names: Vec<&str> = remaining.map(|s| s.name.as_str()).collect();
    let Some(first) = names.first() else {
        return Ok(());
    };
    let message = format!("dependencies form a cycle through {}", names.join(", "));
    Err(source.error_at_service(first, 0, "services.dependencies".to_owned(), message))
}
