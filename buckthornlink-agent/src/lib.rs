//! The buckthornlink process that runs next to a backend server.
//!
//! The agent announces its backend server, terminates QUIC and HTTP/3, and forwards requests over
//! loopback HTTP/1.1. Every request to the backend server passes through the agent, so it decides
//! about admission, cold start, drain, deadlines and at-most-once execution.
//!
//! # Example
//!
//! ```no_run
//! use buckthornlink_agent::{Agent, AgentSettings};
//! use buckthornlink_node::settings;
//!
//! # async fn run() -> anyhow::Result<()> {
//! let settings: AgentSettings = settings::load("agent.json".as_ref())?;
//! let agent = Agent::spawn(settings).await?;
//! let draining = agent.drain().await;
//! draining.finish().await;
//! # Ok(())
//! # }
//! ```

mod agent;
mod backend;
mod cid;
pub mod client;
mod dependency;
mod dependency_waits;
mod executor;
mod flow;
mod health;
mod link;
mod metrics;
mod quic;
mod request;
mod response;
mod settings;
mod socket;

pub use agent::{Agent, Draining, Serving, Stats};
pub use flow::ZONE_OUT_CODE;
pub use settings::{AgentSettings, BackendSettings, TlsSettings};
