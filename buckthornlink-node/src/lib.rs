//! Process infrastructure shared by the binaries of buckthornlink.
//!
//! * [`settings`] loads JSON settings and reports each error with its field or its line and column.
//! * [`logs`] starts structured logging.
//! * [`event_loop`] passes queued jobs and periodic ticks to a handler.
//! * [`trace`] records the events of a reducer to a file and reads them back.
//! * [`config_transfer`] serves and fetches configurations over HTTP at a process's link address.
//! * [`store_sync`] watches or polls the operators' records in the store, and registers processes.
//! * [`backoff`] spaces the attempts of a task that repeats a call until it succeeds.
//! * [`metrics`] serves a Prometheus registry over HTTP.
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

pub mod backoff;
pub mod clock;
pub mod config_transfer;
pub mod event_loop;
pub mod logs;
pub mod metrics;
pub mod settings;
pub mod store_sync;
pub mod trace;
