//! buckthornlink, a layer-4 load balancer for services that cannot lose or double a request.
//!
//! Callers speak QUIC. A balancer forwards any datagram of any established flow by its connection
//! id alone, without a table; the agent beside each backend server decides about everything else.
//!
//! This package holds the balancer and the operators' command line, and re-exports the packages
//! underneath. See the `ARCHITECTURE` page for how the parts act together.
//!
//! # Example
//!
//! ```no_run
//! use buckthornlink::balancer::{Balancer, BalancerSettings};
//! use buckthornlink::node::settings;
//!
//! # async fn run() -> anyhow::Result<()> {
//! let settings: BalancerSettings = settings::load("balancer.json".as_ref())?;
//! let balancer = Balancer::spawn(settings).await?;
//! balancer.shut_down().await;
//! # Ok(())
//! # }
//! ```

pub mod balancer;
pub mod command;

pub use buckthornlink_core as core;
pub use buckthornlink_node as node;
pub use buckthornlink_platform as platform;
pub use buckthornlink_wire as wire;
