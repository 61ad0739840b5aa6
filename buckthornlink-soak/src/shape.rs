//! Sizes of runs: how many instances and callers there are, and in how many availability zones.

use clap::ValueEnum;

/// Availability zones, of which a run uses the first ones.
const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-d"];

/// Numbers of instances and callers of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Numbers of balancers by availability zone.
    pub balancers: Vec<u8>,
    /// Number of agents, which are distributed evenly over the zones.
    pub agents: u8,
    /// One in this many agents belongs to the second service.
    pub second_service: u8,
    /// Number of callers.
    pub callers: u16,
}

/// Shapes to choose from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Preset {
    /// A few instances in two zones.
    #[default]
    TwoZones,
    /// Three zones that differ in their numbers of balancers, with many pooled flows.
    ThreeZones,
    /// Four zones, most with a single balancer, with many pooled flows.
    FourZones,
    /// Four zones of the same size, with 61 processes.
    FourZonesEven,
    /// Four zones, two of them larger, with 74 processes.
    FourZonesLarge,
    /// Four zones with 120 processes.
    FourZonesHuge,
}

impl Preset {
    /// The numbers of this preset.
    #[must_use]
    pub fn shape(self) -> Shape {
        let (balancers, agents, second_service, callers): (&[u8], _, _, _) = match self {
            Self::TwoZones => (&[2, 1], 6, 3, 24),
            Self::ThreeZones => (&[3, 2, 1], 10, 3, 280),
            Self::FourZones => (&[2, 1, 1, 1], 11, 3, 280),
            Self::FourZonesEven => (&[4, 4, 4, 4], 45, 5, 560),
            Self::FourZonesLarge => (&[6, 6, 4, 4], 54, 5, 560),
            Self::FourZonesHuge => (&[8, 8, 7, 7], 90, 5, 400),
        };
        Shape {
            balancers: balancers.to_vec(),
            agents,
            second_service,
            callers,
        }
    }
}

impl Shape {
    /// Names of its availability zones.
    #[must_use]
    pub fn zones(&self) -> &'static [&'static str] {
        &ZONES[..self.balancers.len()]
    }

    /// Number of balancers and agents.
    #[must_use]
    pub fn instances(&self) -> usize {
        self.balancer_count() + usize::from(self.agents)
    }

    /// Number of balancers.
    #[must_use]
    pub fn balancer_count(&self) -> usize {
        let balancers = self.balancers.iter().map(|&count| usize::from(count));
        balancers.sum()
    }

    /// Distributes this many balancers evenly over the zones.
    pub fn set_balancers(&mut self, total: u8) {
        let zones = u8::try_from(self.balancers.len()).unwrap_or(u8::MAX);
        self.balancers = (0..zones)
            .map(|zone| (total + zones - 1 - zone) / zones)
            .collect();
    }

    /// Zones of the balancers in their order: one of each zone, then a second one, and so on.
    pub fn balancer_zones(&self) -> impl Iterator<Item = &'static str> {
        let rounds = 0..self.balancers.iter().copied().max().unwrap_or(0);
        let zones = self.zones().iter().zip(&self.balancers);
        rounds.flat_map(move |round| {
            let zones = zones.clone();
            zones.filter_map(move |(&zone, &count)| (count > round).then_some(zone))
        })
    }

    /// Whether the agent with this index belongs to the second service.
    #[must_use]
    pub const fn is_second_service(&self, agent: u8) -> bool {
        agent % self.second_service == self.second_service - 1
    }
}

#[cfg(test)]
#[path = "../tests/unit/shape.rs"]
mod tests;
