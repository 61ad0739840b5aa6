//! Actions that the agent's reducer returns.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use super::{FlowId, Ticket};
use crate::balancer::Candidate;
use crate::id::Version;
use crate::message::Message;
use crate::verdict::{Refusal, Verdict};

/// An action that [`Agent::reduce`](super::Agent::reduce) returns for the process to perform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Accept the opener and respond with address validation.
    Accept,
    /// Hand the opener off to another agent.
    HandOn {
        /// The next agent.
        to: SocketAddrV4,
        /// Candidate agents that remain after `to`.
        rest: Vec<Candidate>,
    },
    /// Complete the handshake of a flow.
    OpenFlow(FlowId),
    /// Refuse the handshake of a flow.
    RefuseFlow(FlowId),
    /// Ask the callers to move these flows: running requests finish, new ones go to other agents.
    MoveFlows(Vec<FlowId>),
    /// Close all flows at once because the zone is out of service.
    GiveUpFlows,
    /// Send a request to the backend server.
    Run(Ticket),
    /// Abort a running request.
    Abort(Ticket),
    /// Respond to a request without running it.
    Refuse {
        /// The refused request.
        ticket: Ticket,
        /// Whether it may have run.
        verdict: Verdict,
        /// Reason for the refusal.
        refusal: Refusal,
    },
    /// Respond to a request with the recorded response to an earlier one.
    Replay {
        /// The request to respond to.
        ticket: Ticket,
        /// The earlier request, whose response is recorded.
        original: Ticket,
    },
    /// Drop the recorded response to a request.
    Forget(Ticket),
    /// Send a control message.
    Send {
        /// Destination address.
        to: SocketAddrV4,
        /// The message to send.
        message: Message,
    },
    /// Fetch the configuration from a balancer.
    Fetch {
        /// Link address of the balancer.
        from: SocketAddrV4,
        /// Lowest acceptable version.
        version: Version,
    },
    /// The drain is complete, with no flow or request left; the process may exit.
    Drained,
}
