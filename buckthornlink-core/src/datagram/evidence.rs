//! What shows that a backend server or a flow has ended.

use serde::{Deserialize, Serialize};

/// What the end of a backend server, or of one of its flows, is concluded from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Evidence {
    /// Nothing listens at its port and nothing receives packets at its address.
    PortsRefused,
    /// Connections to it are refused, and it leaves packets unanswered.
    Unanswered,
    /// Connections to it are refused, and neither heartbeats nor packets come from it.
    Silent,
    /// Another boot sent a heartbeat.
    Replaced,
    /// It returned a packet of the flow.
    Bounced,
    /// The agent that owns the flow says that its backend server has ended.
    ReportedOver,
    /// The agent that owns the flow reports a later boot of its backend server.
    ReportedReplaced,
    /// The agent that owned the flow saved it, and the backend server of that time has ended.
    SavedAsEnded,
    /// All agents that may own the flow denied it, or did not answer in time.
    Denied,
}

/// How the evidence came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// The deciding process saw it itself.
    Observed,
    /// It is concluded from something that may have another reason.
    Inferred,
    /// Another instance said so.
    Reported,
}

impl Evidence {
    /// All evidence, in the order of its declaration.
    pub const ALL: [Self; 9] = [
        Self::PortsRefused,
        Self::Unanswered,
        Self::Silent,
        Self::Replaced,
        Self::Bounced,
        Self::ReportedOver,
        Self::ReportedReplaced,
        Self::SavedAsEnded,
        Self::Denied,
    ];

    /// Name in logs and metrics.
    ///
    /// ```
    /// # use buckthornlink_core::datagram::Evidence;
    /// assert_eq!(Evidence::PortsRefused.name(), "ports_refused");
    /// ```
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::PortsRefused => "ports_refused",
            Self::Unanswered => "unanswered",
            Self::Silent => "silent",
            Self::Replaced => "replaced",
            Self::Bounced => "bounced",
            Self::ReportedOver => "reported_over",
            Self::ReportedReplaced => "reported_replaced",
            Self::SavedAsEnded => "saved_as_ended",
            Self::Denied => "denied",
        }
    }

    /// How it came about.
    ///
    /// ```
    /// # use buckthornlink_core::datagram::{Basis, Evidence};
    /// assert_eq!(Evidence::Silent.basis(), Basis::Inferred);
    /// assert_eq!(Evidence::Bounced.basis(), Basis::Observed);
    /// ```
    #[must_use]
    pub const fn basis(self) -> Basis {
        match self {
            Self::PortsRefused | Self::Bounced => Basis::Observed,
            Self::Unanswered | Self::Silent | Self::Replaced => Basis::Inferred,
            Self::ReportedOver | Self::ReportedReplaced | Self::SavedAsEnded | Self::Denied => {
                Basis::Reported
            }
        }
    }
}

impl Basis {
    /// Name in logs.
    ///
    /// ```
    /// # use buckthornlink_core::datagram::Basis;
    /// assert_eq!(Basis::Inferred.name(), "inferred");
    /// ```
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Observed => "observed",
            Self::Inferred => "inferred",
            Self::Reported => "reported",
        }
    }
}
