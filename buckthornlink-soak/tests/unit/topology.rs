use buckthornlink_datagram::Settings;

use super::*;

/// Guards against settings that the programs understand and the platform would not write: both come
/// from the deployed templates.
#[test]
fn deployed_templates_give_settings_of_both_roles() {
    let topology = Topology::new(39, 4, 3);
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
