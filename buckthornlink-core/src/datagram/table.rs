//! Routing table: which services may take the flows of a route.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use super::{Flow, ServiceTag};
use crate::id::Version;
use crate::time::Millis;

/// One version of the configuration, compiled for routing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Version of the configuration.
    pub version: Version,
    /// Idle timeout: a flow without packets for this long may be forgotten.
    pub idle: Millis,
    /// Routes by the address that callers connect to.
    pub routes: BTreeMap<SocketAddrV4, Route>,
    /// Limits of the services.
    pub services: BTreeMap<ServiceTag, ServiceLimits>,
}

/// The services that take the flows of one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Services with their weights.
    pub targets: Vec<Target>,
    /// Priority of the route's requests; zero is the highest.
    #[serde(default)]
    pub priority: u8,
    /// Time in which a request is to be answered; zero means none is configured.
    #[serde(default)]
    pub target: Millis,
    /// Time after which a caller gives up a request; zero means none is configured.
    #[serde(default)]
    pub timeout: Millis,
}

/// One service that may take a share of a route's flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceTag,
    /// Its share, relative to the other targets.
    pub weight: u32,
}

/// Limits of one backend server of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLimits {
    /// Maximum number of open flows; zero means no limit.
    pub connections: u32,
    /// Maximum requests per thousand seconds during a cold start, which agents apply to new flows;
    /// zero means no limit.
    pub cold_rate: u32,
    /// Duration of a cold start.
    pub cold_span: Millis,
}

impl Table {
    /// The route of a flow.
    #[must_use]
    pub fn route(&self, flow: &Flow) -> Option<&Route> {
        self.routes.get(&flow.route)
    }

    /// Whether a service may take new flows of the flow's route.
    #[must_use]
    pub fn allows(&self, flow: &Flow, service: ServiceTag) -> bool {
        let route = self.route(flow);
        route.is_some_and(|r| r.leads_to(service))
    }

    /// Whether routes of different priority lead to a service.
    ///
    /// ```
    /// # use buckthornlink_core::datagram::{Route, ServiceTag, Table, Target};
    /// let service = ServiceTag::of("token");
    /// let route = Route { targets: vec![Target { service, weight: 1 }], ..Route::default() };
    /// let mut table = Table::default();
    /// table.routes.insert("198.18.0.1:443".parse().unwrap(), route.clone());
    /// table.routes.insert("198.18.0.1:444".parse().unwrap(), Route { priority: 2, ..route });
    /// assert!(table.has_priorities(service));
    /// ```
    #[must_use]
    pub fn has_priorities(&self, service: ServiceTag) -> bool {
        let routes = self.routes.values().filter(|r| r.leads_to(service));
        let mut priorities = routes.map(|r| r.priority);
        let first = priorities.next();
        priorities.any(|p| Some(p) != first)
    }

    /// Limits of a service.
    #[must_use]
    pub fn limits(&self, service: ServiceTag) -> ServiceLimits {
        self.services.get(&service).copied().unwrap_or_default()
    }
}

impl Route {
    /// Whether a service takes flows of the route.
    #[must_use]
    pub fn leads_to(&self, service: ServiceTag) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|t| t.service == service && t.weight > 0)
    }

    /// The service for the flow with this hash, by weight; retransmissions get the same one.
    ///
    /// ```
    /// # use buckthornlink_core::datagram::{Route, ServiceTag, Target};
    /// let service = ServiceTag::of("token");
    /// let route = Route { targets: vec![Target { service, weight: 1 }], ..Route::default() };
    /// assert_eq!(route.pick(42), Some(service));
    /// ```
    #[must_use]
    pub fn pick(&self, hash: u64) -> Option<ServiceTag> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut point = hash.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(target.service);
            }
            point -= weight;
        }
        None
    }
}
