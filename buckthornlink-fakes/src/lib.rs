//! Small stand-ins for what surrounds buckthornlink. They are never shipped.
//!
//! * [`Fabric`] sprays the datagrams of each caller over all balancers at random.
//! * [`FakeStore`] speaks the etcd v3 gateway, with faults that can be switched on.
//! * [`BackendServer`] has slots, a cold start, and a record of everything it ran.
//! * [`Callers`] keep flows open and send requests on them.
//! * [`datagram`] runs the datagram path in virtual time.
//! * [`Fleet`] sets all this up on loopback, with real balancers and agents.
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
pub use store::FakeStore;
