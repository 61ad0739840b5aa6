use super::*;

fn zones_of(preset: Preset) -> Vec<&'static str> {
    preset.shape().balancer_zones().collect()
}

/// Guards against a change of the default that gives recorded seeds other targets.
#[test]
fn balancers_of_the_default_alternate_between_two_zones() {
    assert_eq!(zones_of(Preset::TwoZones), ["zone-a", "zone-b", "zone-a"]);
    let shape = Preset::TwoZones.shape();
    let second: Vec<_> = (0..6).filter(|&i| shape.is_second_service(i)).collect();
    assert_eq!(second, [2, 5]);
}

/// Guards against a zone without a balancer, or balancers that are lost between the zones.
#[test]
fn all_balancers_are_distributed_over_all_zones() {
    assert_eq!(
        zones_of(Preset::ThreeZones),
        ["zone-a", "zone-b", "zone-c", "zone-a", "zone-b", "zone-a"]
    );
    let mut shape = Preset::FourZones.shape();
    for total in [4, 5, 20, 30] {
        shape.set_balancers(total);
        assert_eq!(shape.balancers.iter().sum::<u8>(), total);
        assert_eq!(shape.balancer_zones().count(), usize::from(total));
    }
}

/// Guards against shapes that are smaller than their descriptions say.
#[test]
fn the_largest_shape_has_a_hundred_processes_or_more() {
    let shape = Preset::FourZonesHuge.shape();
    let processes = shape.balancers.iter().sum::<u8>() + shape.agents;
    assert_eq!(processes, 120);
}
