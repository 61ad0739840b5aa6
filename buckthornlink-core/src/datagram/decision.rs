//! Decisions that are worth a line in the log.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use super::{Flow, Phase};
use crate::id::Version;
use crate::time::Millis;

/// A decision, with the inputs that it depended on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// What was decided and why.
    pub reason: Reason,
    /// The flow, if one is concerned.
    pub flow: Option<Flow>,
    /// The other instance that is concerned.
    pub peer: Option<Ipv4Addr>,
    /// Version of the configuration in force.
    pub version: Version,
    /// Age of the decisive input.
    pub age: Millis,
    /// Phase of the instance that is concerned.
    pub phase: Option<Phase>,
}

/// What was decided, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// A flow was placed on the least loaded agent.
    Placed,
    /// The copy of an opening packet was placed on another agent, as the first did not answer.
    PlacedAgain,
    /// An agent refused the flow, so the next one is asked.
    HandedOn,
    /// All agents that were tried are busy; the flow waits for the next copy of its opening packet.
    Deferred,
    /// No agent takes the flow; the caller is told at once.
    NoAgent,
    /// The route does not exist in the version in force.
    NoRoute,
    /// A packet of an unknown flow is sent to where a note may be.
    LookedUp,
    /// The owner of a flow was learnt.
    OwnerLearnt,
    /// The backend server that held the flow has ended.
    BackendOver,
    /// Every agent of the service denies the flow.
    DeniedByAll,
    /// The backend server gave the opening packet back.
    Bounced,
    /// The backend server does not hold a flow that it held.
    FlowLost,
    /// The flow was admitted.
    Admitted,
    /// Refused: the service may not take flows of the route.
    RefusedRoute,
    /// Refused: the backend server drains, has ended or is silent.
    RefusedPhase,
    /// Refused: the zone is out of service.
    RefusedZone,
    /// Refused: the cold start's rate is used up.
    RefusedCold,
    /// Refused: the backend server holds as many flows as it bears.
    RefusedFull,
    /// Refused: the backend server has its hands full, others may not.
    RefusedBusy,
    /// Refused: no configuration is known yet.
    RefusedUnready,
    /// All agents of the service are asked for a flow.
    Searched,
    /// A packet passed too many instances.
    HopsExceeded,
    /// A new version of the configuration is in force.
    Configured,
    /// A zone was taken out of service.
    ZoneOut,
    /// A zone was brought back.
    ZoneIn,
    /// An instance changed its phase.
    MemberChanged,
    /// An instance is no longer heard.
    MemberLost,
    /// The backend server of this instance changed its phase.
    BackendChanged,
}

impl Reason {
    /// All reasons, in the order of their declaration.
    pub const ALL: [Self; 28] = [
        Self::Placed,
        Self::PlacedAgain,
        Self::HandedOn,
        Self::Deferred,
        Self::NoAgent,
        Self::NoRoute,
        Self::LookedUp,
        Self::OwnerLearnt,
        Self::BackendOver,
        Self::DeniedByAll,
        Self::Bounced,
        Self::FlowLost,
        Self::Admitted,
        Self::RefusedRoute,
        Self::RefusedPhase,
        Self::RefusedZone,
        Self::RefusedCold,
        Self::RefusedFull,
        Self::RefusedBusy,
        Self::RefusedUnready,
        Self::Searched,
        Self::HopsExceeded,
        Self::Configured,
        Self::ZoneOut,
        Self::ZoneIn,
        Self::MemberChanged,
        Self::MemberLost,
        Self::BackendChanged,
    ];

    /// Name in logs and metrics.
    ///
    /// ```
    /// # use buckthornlink_core::datagram::Reason;
    /// assert_eq!(Reason::HandedOn.name(), "handed_on");
    /// ```
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Placed => "placed",
            Self::PlacedAgain => "placed_again",
            Self::HandedOn => "handed_on",
            Self::Deferred => "deferred",
            Self::NoAgent => "no_agent",
            Self::NoRoute => "no_route",
            Self::LookedUp => "looked_up",
            Self::OwnerLearnt => "owner_learnt",
            Self::BackendOver => "backend_over",
            Self::DeniedByAll => "denied_by_all",
            Self::Bounced => "bounced",
            Self::FlowLost => "flow_lost",
            Self::Admitted => "admitted",
            Self::RefusedRoute => "refused_route",
            Self::RefusedPhase => "refused_phase",
            Self::RefusedZone => "refused_zone",
            Self::RefusedCold => "refused_cold",
            Self::RefusedFull => "refused_full",
            Self::RefusedBusy => "refused_busy",
            Self::RefusedUnready => "refused_unready",
            Self::Searched => "searched",
            Self::HopsExceeded => "hops_exceeded",
            Self::Configured => "configured",
            Self::ZoneOut => "zone_out",
            Self::ZoneIn => "zone_in",
            Self::MemberChanged => "member_changed",
            Self::MemberLost => "member_lost",
            Self::BackendChanged => "backend_changed",
        }
    }
}
