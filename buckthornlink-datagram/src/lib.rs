//! Processes that balance flows of datagrams which are known by their addresses and ports alone.
//!
//! The decisions are those of [`buckthornlink_core::datagram`]. This crate runs them: one thread,
//! which receives, reduces and sends without a channel, a lock or an allocation in between.
//!
//! * [`Adapter`] is what the surroundings must supply: a packet codec, a store, a reader of the
//!   operators' records, and the HTTP interface that backend servers and the fabric call.
//! * [`Settings`] are read from a JSON file.
//! * [`run_balancer`] and [`run_agent`] run until SIGTERM.
//!
//! # Example
//!
//! ```
//! use buckthornlink_datagram::Settings;
//!
//! let text = r#"{
//!     "ip": "10.1.0.10", "zone": "brasov-a", "store": "http://10.200.1.7:8169",
//!     "data": "10.1.0.10:8172", "link_port": 7720, "relay_port": 7721,
//!     "readiness": "10.1.0.10:8167", "control": "10.1.0.10:8166"
//! }"#;
//! let settings: Settings = buckthornlink_node::settings::parse(text)?;
//! assert_eq!(settings.heartbeat_ms, 1_000);
//! # Ok::<(), buckthornlink_node::settings::SettingsError>(())
//! ```

mod adapter;
mod backend_monitor;
mod clock;
mod decision_log;
mod event_loop;
mod link;
mod metrics;
mod process;
mod reducer_handle;
mod settings;
mod sockets;
mod store_sync;

pub use adapter::{Adapter, Record};
pub use process::{run_agent, run_balancer};
pub use reducer_handle::{Input, ReducerHandle};
pub use settings::Settings;
