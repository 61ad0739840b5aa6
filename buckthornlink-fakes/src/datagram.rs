//! The datagram path in virtual time: real reducers, and stand-ins for everything around them.
//!
//! * [`World`] holds balancers, agents, backend servers and callers, and moves their packets.
//! * [`Fault`] is something that happens to them; [`Plan`] draws a series of faults from a seed.
//! * [`Caller`] and [`Backend`] are the ends of flows, also for tests with real processes.
//! * [`Outcome`] counts what callers and backend servers saw.
//!
//! # Example
//!
//! ```
//! use buckthornlink_core::Millis;
//! use buckthornlink_fakes::datagram::{World, WorldSetup};
//!
//! let mut world = World::new(&WorldSetup::default(), 7);
//! world.run(Millis(20_000));
//! assert_eq!(world.outcome().broken(), 0);
//! ```

mod backend;
mod caller;
mod fabric;
mod outcome;
mod plan;
mod process;
mod world;

pub use backend::{Backend, HEARTBEAT, Reaction};
pub use caller::{Caller, News};
pub use outcome::Outcome;
pub use plan::{Fault, Plan};
pub use world::{World, WorldSetup};
