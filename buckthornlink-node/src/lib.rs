//! Process plumbing that both binaries of buckthornlink share.
//!
//! * [`settings`] loads JSON settings and names every fault by field, line and column.
//! * [`logs`] starts structured logging.
//! * [`event_loop`] runs the loop around a reducer.
//! * [`trace`] records the events of a reducer and reads them back.
//! * [`link`] is the UDP socket between processes, and the HTTP server beside it.
//! * [`store_sync`] follows the operators' records in the store.
//! * [`metrics`] holds the Prometheus registry and its server.
//!
//! # Example
//!
//! ```
//! use buckthornlink_node::settings::{self, LogSettings};
//!
//! let logs: LogSettings = settings::parse("{\"level\": \"debug\"}")?;
//! assert_eq!(logs.level, "debug");
//! # Ok::<(), settings::SettingsError>(())
//! ```

pub mod clock;
pub mod event_loop;
pub mod link;
pub mod logs;
pub mod metrics;
pub mod settings;
pub mod store_sync;
pub mod trace;
