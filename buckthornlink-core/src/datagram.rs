//! Load balancing of flows that are identified only by addresses and ports.
//!
//! Unlike on the QUIC path, the datagrams of these flows carry no routable id. The balancer places
//! a flow quickly, from the state that it has received; the agent next to the backend server makes
//! the final decision, because every packet of its backend server passes through it.
//!
//! * [`Packet`] holds the fields of a datagram that the reducers need; a codec outside this crate
//!   parses it.
//! * [`Table`] says which services may take the flows of a route.
//! * [`Membership`] and [`Gossip`] hold and distribute the state that instances publish.
//! * [`Balancer`] places new flows and caches the owners of established ones.
//! * [`Admission`] holds the opening packets and requests that a backend server has no room for.
//! * [`Agent`] admits new flows, owns established ones, and finds the owners of others.
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

mod admission;
mod agent;
mod backend;
mod balancer;
mod decision;
mod effect;
mod event;
mod evidence;
mod fact;
mod flow;
mod flow_digest;
mod flows;
mod gossip;
mod membership;
mod message;
mod outlier;
mod packet;
mod table;

pub use admission::Admission;
pub use agent::Agent;
pub use backend::{Backend, BackendHeartbeat, BackendState, Connection, Heard};
pub use balancer::Balancer;
pub use decision::{Decision, Reason, Trial};
pub use effect::{Effect, Measure, Ticket};
pub use event::{Event, FlowCounts, Reducer, Source};
pub use evidence::{Basis, Evidence};
pub use fact::{Fact, Load, Phase, Role};
pub use flow::{Flow, FlowMap, ServiceTag};
pub use flow_digest::{FlowDigest, SavedFlow};
pub use flows::{FlowState, Flows, HeldTry, Ownership, Try};
pub use gossip::{Gossip, Setup, ZoneMembers};
pub use membership::{Member, Membership, Merge, ServiceLoad};
pub(crate) use membership::{addresses, sort_by_preference};
pub use message::{MemberHeartbeat, Message, OwnerRecord, Status, StoreView};
pub use outlier::Outcomes;
pub use packet::{Flags, Mode, Packet, RelayTag};
pub use table::{Route, ServiceLimits, Table, Target};
