//! Fakes of the systems around buckthornlink, for tests and examples only.
//!
//! * [`Fabric`] forwards each datagram of a caller to a random balancer.
//! * [`FakeStore`] implements the HTTP gateway of etcd v3, with faults that tests can inject.
//! * [`BackendServer`] has a slot limit and a cold start, and logs the requests that it runs.
//! * [`Callers`] keep flows open and send requests on them.
//! * [`datagram`] simulates the datagram path in virtual time.
//! * [`Fleet`] runs all of these on loopback, with real balancers and agents.
//!
//! # Example
//!
//! ```no_run
//! use buckthornlink_fakes::{Fleet, Preset};
//!
//! # async fn run() -> anyhow::Result<()> {
//! let fleet = Fleet::spawn(Preset::Carpatia, 1).await?;
//! fleet.apply(&Preset::Carpatia.config_text()).await?;
//! # Ok(())
//! # }
//! ```

mod backend;
mod caller;
mod certificate;
pub mod datagram;
mod fabric;
mod fleet;
mod preset;
mod request_log;
mod store;

pub use backend::{BackendHandle, BackendServer, BackendSetup};
pub use caller::{Callers, CallersSetup, Counts, caller_endpoint};
pub use certificate::SelfSignedCert;
pub use fabric::Fabric;
pub use fleet::{Fleet, FleetSetup, Host};
pub use preset::{Preset, ServicePreset};
pub use request_log::{RequestLog, RequestRun};
pub use store::{FakeStore, StoreCopy};
