//! Simulation of the datagram path in virtual time: the reducers are real, everything around them
//! is simulated.
//!
//! * [`Simulation`] runs balancers, agents, backend servers and callers, and passes packets on.
//! * [`Fault`] is a fault or planned change; [`Plan`] schedules them, also at random from a seed.
//! * [`Caller`] and [`Backend`] are the endpoints of flows, also for tests with real processes.
//! * [`Outcome`] counts requests, flows and violations seen at callers and backend servers.
//!
//! # Example
//!
//! ```
//! use buckthornlink_core::Millis;
//! use buckthornlink_fakes::datagram::{Simulation, SimulationSetup};
//!
//! let mut simulation = Simulation::new(&SimulationSetup::default(), 7);
//! simulation.run(Millis(20_000));
//! assert_eq!(simulation.outcome().violations(), 0);
//! ```

mod backend;
mod caller;
mod fabric;
mod outcome;
mod plan;
mod process;
mod simulation;

pub use backend::{Backend, HEARTBEAT_INTERVAL, Reaction};
pub use caller::{Caller, CallerEvent};
pub use outcome::Outcome;
pub use plan::{Fault, Plan};
pub use simulation::{Simulation, SimulationSetup};
