//! Balancer and agent processes for flows of datagrams that are identified only by addresses and
//! ports.
//!
//! [`buckthornlink_core::datagram`] makes the decisions; this crate executes them. One thread
//! receives, reduces and sends packets, with no channel in between. In the reducers, packets of
//! established flows cause no heap allocation.
//!
//! * [`Adapter`] is the interface to the platform: a packet codec, a store, a parser of the
//!   operators' records, and the HTTP routes that backend servers and the network fabric call.
//! * [`Settings`] are loaded from a JSON file.
//! * [`run_balancer`] and [`run_agent`] run until SIGTERM.
//! * [`StoreTasks`] reads and watches the store and passes what it reads to a reducer.
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
mod config_transfer;
mod decision_log;
mod event_loop;
mod kept_packets;
mod member_lists;
mod metrics;
mod process;
mod reducer_handle;
mod reset_summary;
mod saved_flows;
mod settings;
mod sockets;
mod store_control;
mod store_sync;

pub use adapter::{Adapter, Record};
pub use metrics::Metrics;
pub use process::{StoreTasks, run_agent, run_balancer};
pub use reducer_handle::{Input, ReducerHandle};
pub use settings::Settings;
pub use store_control::{StoreControl, StoreHandle};
