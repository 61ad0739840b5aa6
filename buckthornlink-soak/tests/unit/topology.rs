use std::collections::HashSet;

use buckthornlink_datagram::Settings;

use super::*;
use crate::shape::Preset;

/// Guards against settings that the programs understand and the platform would not write: both come
/// from the deployed templates.
#[test]
fn deployed_templates_give_settings_of_both_roles() {
    let topology = Topology::new(39, &Preset::FourZones.shape());
    for instance in &topology.instances {
        let settings = topology.settings(instance).expect("rendered settings");
        let settings: Settings = serde_json::from_str(&settings).expect("settings of a process");
        assert_eq!(settings.ip, instance.ip);
        assert_eq!(settings.zone, instance.zone);
        assert_eq!(settings.store, format!("http://{}", instance.store_proxy));
        assert_eq!(settings.link_port, LINK_PORT);
        assert_eq!(settings.contacts.len(), STARTUP_CONTACTS);
        let backend = settings.backend.map(|b| (b.service, b.address));
        let expected = instance
            .service()
            .map(|service| (service.to_owned(), instance.backend_addr()));
        assert_eq!(backend, expected);
    }
}

/// Guards against two endpoints of a large run at one address.
#[test]
fn addresses_are_distinct_in_the_largest_shapes() {
    for preset in [Preset::FourZonesHuge, Preset::FourZonesLarge] {
        let shape = preset.shape();
        let topology = Topology::new(39, &shape);
        let instances = topology.instances.iter();
        let proxies = instances.clone().map(|i| *i.store_proxy.ip());
        let callers = (0..shape.callers).map(|i| topology.caller_ip(i));
        let ips: Vec<_> = instances
            .map(|i| i.ip)
            .chain(proxies)
            .chain(callers)
            .collect();
        let distinct: HashSet<_> = ips.iter().collect();
        assert_eq!(distinct.len(), ips.len());
    }
}
