//! Flows of datagrams that are known by their addresses and ports alone.
//!
//! Beside the QUIC path, the system balances flows whose datagrams carry no routable id. The
//! balancer places a flow fast, from what it has heard; the agent beside the backend server
//! decides for certain, because every packet of its backend server passes it.
//!
//! * [`Packet`] is what both reducers see of a datagram; a codec outside this crate reads it.
//! * [`Table`] says which services may take the flows of which route.
//! * [`Membership`] and [`Gossip`] hold what instances say about themselves, and spread it.
//! * [`Balancer`] places new flows and remembers where established ones live.
//! * [`Agent`] admits new flows, owns established ones, and finds the owner of others.
//!
//! # Example
//!
//! ```
//! use buckthornlink_core::datagram::Flow;
//!
//! let caller = "100.64.0.7:40001".parse().unwrap();
//! let route = "198.18.0.1:443".parse().unwrap();
//! let flow = Flow { caller, route };
//! assert_eq!(flow.hash(), Flow { caller, route }.hash());
//! ```

mod agent;
mod backend;
mod balancer;
mod decision;
mod effect;
mod event;
mod fact;
mod flow;
mod flows;
mod gossip;
mod membership;
mod message;
mod packet;
mod table;

pub use agent::Agent;
pub use backend::{Backend, BackendState, Heartbeat};
pub use balancer::Balancer;
pub use decision::{Decision, Reason};
pub use effect::{Effect, Measure};
pub use event::{Event, FlowCounts, Reducer, Source};
pub use fact::{Fact, Load, Phase, Role};
pub use flow::{Flow, FlowMap, ServiceTag};
pub use flows::{FlowState, Flows, Ownership};
pub use gossip::{Gossip, Setup};
pub use membership::{Member, Membership, Merge, ServiceLoad};
pub use message::{MemberHeartbeat, Message, OwnerRecord, Status};
pub use packet::{Flags, Mode, Packet, RelayTag};
pub use table::{Route, ServiceLimits, Table, Target};
