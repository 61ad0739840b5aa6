//! What shows that a backend server or a flow has ended.

use serde::{Deserialize, Serialize};

/// What the end of a backend server, or of one of its flows, is concluded from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Evidence {
    /// The backend server announced its end.
    Announced,
    /// Connections to it are refused.
    ConnectionsRefused,
    /// Another boot sent a heartbeat.
    Replaced,
    /// It returned a packet of the flow.
    Bounced,
    /// The agent that owns the flow says that its backend server has ended.
    ReportedOver,
    /// The agent that owns the flow reports a later boot of its backend server.
    ReportedReplaced,
    /// All agents that may own the flow denied it, or did not answer in time.
    Denied,
}

/// How the evidence came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// The deciding process saw it itself.
    Observed,
    /// The backend server said so in advance.
    Announced,
    /// It is concluded from something that may have another reason.
    Inferred,
    /// Another instance said so.
    Reported,
}

impl Evidence {
    /// All evidence, in the order of its declaration.
    pub const ALL: [Self; 7] = [
        Self::Announced,
        Self::ConnectionsRefused,
        Self::Replaced,
        Self::Bounced,
        Self::ReportedOver,
        Self::ReportedReplaced,
        Self::Denied,
    ];

    /// Name in logs and metrics.
    ///
    /// ```
    /// # use buckthornlink_core::datagram::Evidence;
    /// assert_eq!(Evidence::ConnectionsRefused.name(), "connections_refused");
    /// ```
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Announced => "announced",
            Self::ConnectionsRefused => "connections_refused",
            Self::Replaced => "replaced",
            Self::Bounced => "bounced",
            Self::ReportedOver => "reported_over",
            Self::ReportedReplaced => "reported_replaced",
            Self::Denied => "denied",
        }
    }

    /// How it came about.
    ///
    /// ```
    /// # use buckthornlink_core::datagram::{Basis, Evidence};
    /// assert_eq!(Evidence::Announced.basis(), Basis::Announced);
    /// assert_eq!(Evidence::Bounced.basis(), Basis::Observed);
    /// ```
    #[must_use]
    pub const fn basis(self) -> Basis {
        match self {
            Self::Announced => Basis::Announced,
            Self::Bounced => Basis::Observed,
            Self::ConnectionsRefused | Self::Replaced => Basis::Inferred,
            Self::ReportedOver | Self::ReportedReplaced | Self::Denied => Basis::Reported,
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
            Self::Announced => "announced",
            Self::Inferred => "inferred",
            Self::Reported => "reported",
        }
    }
}
