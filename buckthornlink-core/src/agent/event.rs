//! Inputs of the agent's reducer.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use super::{FlowId, Outcome, Request, Ticket};
use crate::balancer::Candidate;
use crate::config::Config;
use crate::id::Version;
use crate::message::Message;
use crate::time::Millis;

/// Interval of [`Event::Tick`].
pub const TICK_INTERVAL: Millis = Millis(100);

/// An input of [`Agent::reduce`](super::Agent::reduce).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A datagram that opens a flow (an opener) arrived from a balancer or another agent.
    Opener {
        /// Number of agents that have handed the opener off.
        hops: u8,
        /// Remaining candidate agents, which may accept it instead.
        rest: Vec<Candidate>,
    },
    /// A caller whose address is validated asks to open a flow.
    FlowAsked(FlowId),
    /// A flow ended.
    FlowClosed(FlowId),
    /// A request arrived on a flow.
    Request(Request),
    /// A running request ended.
    Finished {
        /// The request that ended.
        ticket: Ticket,
        /// How it ended.
        outcome: Outcome,
        /// Time from start to end.
        took: Millis,
    },
    /// The caller cancelled a request.
    Cancelled(Ticket),
    /// A probe of the backend server's health endpoint completed.
    Health {
        /// Whether the endpoint reported the backend server as healthy.
        is_up: bool,
    },
    /// A configuration was fetched.
    Config {
        /// Version of the fetched configuration.
        version: Version,
        /// The part of the configuration that concerns this agent.
        config: Config,
    },
    /// A control message arrived.
    Control {
        /// Source address of the datagram.
        from: SocketAddrV4,
        /// The decoded message.
        message: Message,
    },
    /// The process was asked to drain and exit.
    Drain,
    /// [`TICK_INTERVAL`] has elapsed.
    Tick,
}
