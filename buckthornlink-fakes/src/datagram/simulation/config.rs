//! Names, addresses and configuration of a simulation.

use std::net::{Ipv4Addr, SocketAddrV4};

use buckthornlink_core::datagram::{Route, ServiceLimits, ServiceTag, Table, Target};
use buckthornlink_core::{Millis, Version, ZoneTag};

pub(super) fn service_tag(index: usize) -> ServiceTag {
    ServiceTag::of(["token", "ledger"][index])
}

pub(super) fn zone_tag(index: u8) -> ZoneTag {
    ZoneTag::of(&format!("zone-{index}"))
}

pub(super) fn route_address(index: usize) -> SocketAddrV4 {
    let port = 443 + u16::try_from(index).unwrap_or(0);
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port)
}

/// A configuration in which each of the two routes targets one service.
pub(super) fn build_table(version: u64, services: [ServiceTag; 2]) -> Table {
    let routes = services.iter().enumerate().map(|(index, &service)| {
        let targets = vec![Target { service, weight: 1 }];
        let route = Route {
            targets,
            ..Route::default()
        };
        (route_address(index), route)
    });
    let limits = ServiceLimits {
        connections: 2_000,
        cold_rate: 10_000,
        cold_span: Millis(2_000),
    };
    Table {
        version: Version(version),
        idle: Millis(15_000),
        routes: routes.collect(),
        services: [0, 1].map(|i| (service_tag(i), limits)).into(),
    }
}
