//! Decisions that are written to the log.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use super::{Evidence, Flow, Mode, Phase};
use crate::id::Version;
use crate::time::Millis;

/// A logged decision and the inputs that it is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// What was decided and why.
    pub reason: Reason,
    /// The flow that the decision is about, if any.
    pub flow: Option<Flow>,
    /// The other instance involved, if any.
    pub peer: Option<Ipv4Addr>,
    /// Version of the configuration in force.
    pub version: Version,
    /// Age of the input that determined the decision.
    pub age: Millis,
    /// Phase of the instance involved, if known.
    pub phase: Option<Phase>,
    /// What shows that the flow or the backend server has ended, if the decision is about that; the age is
    /// that of this evidence.
    pub evidence: Option<Evidence>,
    /// Why a packet was tried at the backend server, if the decision is about that.
    pub trial: Option<Trial>,
}

/// What a trial delivery of a packet rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Why the packet was sent to this instance, by the peer of the decision.
    pub mode: Mode,
    /// Earlier trial deliveries of the flow by this process.
    pub earlier: u8,
}

/// What was decided, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// A flow was placed on the least loaded agent.
    Placed,
    /// A retransmitted opening packet was placed again, as the last agent did not answer or the
    /// earlier ones were busy.
    PlacedAgain,
    /// An agent refused the flow, which was handed off to the next agent.
    HandedOn,
    /// All agents that were tried are busy; the flow waits for a retransmission of its opening
    /// packet.
    Deferred,
    /// No agent accepts the flow; the caller gets a reset at once.
    NoAgent,
    /// The configuration in force has no such route.
    NoRoute,
    /// A packet of an unknown flow was sent to its home agent, which stores the flow's owner
    /// record if there is one.
    LookedUp,
    /// The owner of a flow does not answer; the packet was sent through an agent of another zone.
    Detoured,
    /// The owner of a flow that was searched for became known.
    OwnerLearnt,
    /// The backend server that held the flow has ended.
    BackendOver,
    /// Every agent that may own the flow denied it or is unresponsive.
    DeniedByAll,
    /// The backend server returned the opening packet.
    Bounced,
    /// The backend server no longer holds a flow that it held.
    FlowLost,
    /// The agent admitted the flow.
    Admitted,
    /// Refused: the service may not take flows of the route.
    RefusedRoute,
    /// Refused: the agent is leaving, or its backend server is starting, draining, silent or gone.
    RefusedPhase,
    /// Refused: the zone is out of service.
    RefusedZone,
    /// Refused: the rate limit of the cold start is reached.
    RefusedCold,
    /// Refused: the backend server has reached its connection limit.
    RefusedFull,
    /// Refused: the backend server is busy, but others may have capacity.
    RefusedBusy,
    /// Refused: the backend server fails most requests or leaves some unanswered; other agents are asked first.
    RefusedFailing,
    /// Refused: no configuration is known yet, or it may have changed while the process was away.
    RefusedUnready,
    /// The agents that may own a flow were queried for it.
    Searched,
    /// A packet was delivered to the backend server to find out whether it holds the flow; the peer is the
    /// instance that sent it, the age that of the process.
    Tried,
    /// The backend server sent a packet of a flow that was tried there, so it holds the flow; the age is the
    /// time since the trial.
    TrialAnswered,
    /// The backend server does not hold a flow that was tried there; the age is the time since the trial.
    TrialFailed,
    /// A packet of a flow whose owner is unknown was dropped rather than tried once more; the peer is the agent
    /// of the last try, the age the time since then.
    TryWithheld,
    /// A packet was held rather than tried: the process does not know yet whether the one before tried its flow, or the
    /// store has not confirmed the mark of tries. The peer is the instance that sent it, the age that of the process.
    TryDeferred,
    /// A packet was dropped because it had passed too many instances.
    HopsExceeded,
    /// A new version of the configuration is in force.
    Configured,
    /// A zone was taken out of service.
    ZoneOut,
    /// A zone was brought back into service.
    ZoneIn,
    /// The store reported a change of a zone that is older than the known one.
    ZoneIgnored,
    /// An instance became known, or its phase, role, boot, backend server or store access changed.
    MemberChanged,
    /// An instance is no longer heard from and is suspected to have failed.
    MemberLost,
    /// An instance that was suspected to have failed is heard again; the age is how long it was not.
    MemberReturned,
    /// A heartbeat is not that of the agent's backend server: it names another address, a service that is not
    /// configured, or another boot while the known one is still there.
    HeartbeatIgnored,
    /// The instance began to watch the store; the age is that of what it knows of the store.
    WatchStarted,
    /// The instance stopped watching the store, as enough others do.
    WatchStopped,
    /// Another instance, or the store, tells that an earlier process of this agent knew the boot of the backend server, so
    /// that flows may be open which this process did not see; the age is that of the last heartbeat.
    PredecessorKnown,
    /// The phase that this agent reports changed: its backend server's phase did, or it is leaving.
    BackendChanged,
    /// The backend server left a request of this flow unanswered for far longer than others, so it gets no new
    /// flows but for trials while other agents accept them; the age is the request's.
    BackendHanging,
    /// A backend server that left requests unanswered answers again and gets new flows; the age is that of the
    /// answered request.
    BackendAnswers,
    /// An opening packet or a request on an open flow waits at the agent, as the backend server has no room for it;
    /// the age is that of the backend server's last heartbeat.
    Queued,
    /// An opening packet or a request that waited was passed to the backend server; the age is the time it waited.
    Released,
    /// Refused: by the rate at which the backend server answers, the flow would not be served before its timeout.
    RefusedLate,
    /// Refused: the opening packet waited until its next retransmission was due; the age is the time it waited.
    RefusedExpired,
}

impl Reason {
    /// All reasons, in the order of their declaration.
    pub const ALL: [Self; 47] = [
        Self::Placed,
        Self::PlacedAgain,
        Self::HandedOn,
        Self::Deferred,
        Self::NoAgent,
        Self::NoRoute,
        Self::LookedUp,
        Self::Detoured,
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
        Self::RefusedFailing,
        Self::RefusedUnready,
        Self::Searched,
        Self::Tried,
        Self::TrialAnswered,
        Self::TrialFailed,
        Self::TryWithheld,
        Self::TryDeferred,
        Self::HopsExceeded,
        Self::Configured,
        Self::ZoneOut,
        Self::ZoneIn,
        Self::ZoneIgnored,
        Self::MemberChanged,
        Self::MemberLost,
        Self::MemberReturned,
        Self::HeartbeatIgnored,
        Self::WatchStarted,
        Self::WatchStopped,
        Self::PredecessorKnown,
        Self::BackendChanged,
        Self::BackendHanging,
        Self::BackendAnswers,
        Self::Queued,
        Self::Released,
        Self::RefusedLate,
        Self::RefusedExpired,
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
            Self::Detoured => "detoured",
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
            Self::RefusedFailing => "refused_failing",
            Self::RefusedUnready => "refused_unready",
            Self::Searched => "searched",
            Self::Tried => "tried",
            Self::TrialAnswered => "trial_answered",
            Self::TrialFailed => "trial_failed",
            Self::TryWithheld => "try_withheld",
            Self::TryDeferred => "try_deferred",
            Self::HopsExceeded => "hops_exceeded",
            Self::Configured => "configured",
            Self::ZoneOut => "zone_out",
            Self::ZoneIn => "zone_in",
            Self::ZoneIgnored => "zone_ignored",
            Self::MemberChanged => "member_changed",
            Self::MemberLost => "member_lost",
            Self::MemberReturned => "member_returned",
            Self::HeartbeatIgnored => "heartbeat_ignored",
            Self::WatchStarted => "watch_started",
            Self::WatchStopped => "watch_stopped",
            Self::PredecessorKnown => "predecessor_known",
            Self::BackendChanged => "backend_changed",
            Self::BackendHanging => "backend_hanging",
            Self::BackendAnswers => "backend_answers",
            Self::Queued => "queued",
            Self::Released => "released",
            Self::RefusedLate => "refused_late",
            Self::RefusedExpired => "refused_expired",
        }
    }
}
