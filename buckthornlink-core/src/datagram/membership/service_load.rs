//! Load of a service, by which agents are compared for new flows.

use super::Member;

/// Total load of a service's agents, which weighs open flows against outstanding requests.
///
/// Long flows stay where they are placed, so open flows predict future load, while outstanding
/// requests show the present one. Each counts as its share of the service's total. A backend server
/// that sheds load has few flows, and stands out only by its outstanding requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    flows: u64,
    waiting: u64,
}

impl ServiceLoad {
    /// The total load of `agents`.
    ///
    /// ```
    /// # use buckthornlink_core::datagram::ServiceLoad;
    /// assert_eq!(ServiceLoad::of(std::iter::empty()), ServiceLoad::default());
    /// ```
    pub fn of<'a>(agents: impl Iterator<Item = &'a Member>) -> Self {
        agents.fold(Self::default(), |sum, member| Self {
            flows: sum.flows + member.estimated_flows(),
            waiting: sum.waiting + member.weighted_waiting(),
        })
    }

    /// Cost of placing a flow on one of the agents; the lowest is best.
    #[must_use]
    pub fn placement_cost(&self, member: &Member) -> u64 {
        let flows = member.estimated_flows() * self.waiting.max(1);
        let waiting = member.weighted_waiting() * self.flows.max(1);
        flows + waiting
    }
}
