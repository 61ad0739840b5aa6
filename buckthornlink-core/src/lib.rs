//! Decisions of the buckthornlink load balancer, free of input and output.
//!
//! Every process of the system is one reducer: `reduce(event, now)` changes a state and returns
//! [effects](balancer::Effect) as data. The crate has no clock, no socket and no thread, so a
//! recorded event log replays to the same effects on any machine.
//!
//! * [`config`] parses and checks the operators' text.
//! * [`member`] merges the single-writer facts that instances publish about themselves.
//! * [`balancer`] decides where an opening flow goes and how facts spread.
//! * [`retry`] bounds the retries of calls to dependencies.
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
pub mod time;
pub mod verdict;

pub use id::{BootId, FlowKey, ServicePort, Version, ZoneTag};
pub use time::Millis;
pub use verdict::Verdict;
