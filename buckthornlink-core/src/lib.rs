//! Decision logic of the buckthornlink load balancer, without I/O.
//!
//! Each process runs one reducer: `reduce(event, now)` updates its state and returns
//! [effects](balancer::Effect) as data. The crate uses no clock, socket or thread, so replaying a
//! recorded event log gives the same effects on any machine.
//!
//! * [`config`] parses and validates the configuration that operators write.
//! * [`member`] merges the facts that each instance publishes about itself.
//! * [`balancer`] places new flows on agents and gossips facts to other balancers.
//! * [`store`] tells how old the knowledge of the operators' records is, and who reads them.
//! * [`retry`] limits retries of calls to dependencies.
//! * [`datagram`] balances flows whose datagrams carry no routable id.
//! * [`agent`] decides which request runs on its backend server, and when.
//!
//! # Example
//!
//! ```
//! use buckthornlink_core::config::Config;
//!
//! let text = r#"{
//!     "zones": ["brasov-1", "brasov-2"],
//!     "services": [{"name": "token", "address": "10.0.0.1:4433", "deadline_ms": 2000}]
//! }"#;
//! let config = Config::parse(text)?;
//! assert_eq!(config.services.len(), 1);
//! # Ok::<(), buckthornlink_core::config::ConfigError>(())
//! ```

pub mod agent;
pub mod balancer;
pub mod config;
pub mod datagram;
pub mod id;
pub mod member;
pub mod message;
pub mod retry;
mod sample;
pub mod store;
pub mod time;
pub mod verdict;

pub use id::{BootId, FlowKey, ServicePort, Version, ZoneTag};
pub use time::Millis;
pub use verdict::Verdict;
