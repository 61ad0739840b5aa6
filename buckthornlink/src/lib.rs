//! buckthornlink, a layer-4 load balancer for services that cannot lose or double a request.
//!
//! Callers use QUIC. A balancer forwards each datagram of an established flow by its connection id
//! alone, without a flow table; the agent beside each backend server makes all other decisions.
//!
//! This package contains the balancer and the operators' command line, and re-exports the packages
//! that they build on. See the `ARCHITECTURE` page for how the parts work together.
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
