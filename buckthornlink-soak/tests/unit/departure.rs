use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::*;

const DRAWS: usize = 200;

/// Guards against stand-ins that are kinder than real backend servers: all of them gone with the report
/// of their end, or none that closes its port while its agent takes it for ready.
#[test]
fn departures_differ_in_closing_and_in_lingering() {
    let mut rng = SmallRng::seed_from_u64(36);
    let departures: Vec<_> = (0..DRAWS)
        .map(|_| Departure::draw(false, &mut rng))
        .collect();
    let is_early = |d: &&Departure| matches!(d.port_closing, PortClosing::BeforeDrain(_));
    let early = departures.iter().filter(is_early).count();
    assert!((DRAWS / 5..DRAWS / 2).contains(&early), "{early}");
    let lingering = departures
        .iter()
        .filter(|d| d.linger > Duration::from_secs(1));
    assert!(lingering.count() > DRAWS / 3);
    assert!(departures.iter().all(|d| d.linger < Duration::from_secs(2)));
}
