//! Structured logging.
//!
//! Text goes to standard error, for people. JSON goes to standard output through a bounded
//! [buffer](BufferedAppender), which [`flush`] writes out without blocking.

mod buffered;

use std::time::Duration;

use logforth::append;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::TextLayout;
use tokio::time::interval;

use crate::settings::{LogFormat, LogSettings};

pub use buffered::{BufferedAppender, Output, PipeOutput};

/// Interval at which [`flush_periodically`] writes out buffered lines.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

/// Installs the global logger. Further calls in the same process have no effect.
pub fn init(settings: &LogSettings) {
    let filter = RustLogFilterBuilder::from_spec(settings.level.as_str()).build();
    let builder = logforth::starter_log::builder();
    let started = match settings.format {
        LogFormat::Text => {
            let stderr = append::Stderr::default().with_layout(TextLayout::default().no_color());
            builder
                .dispatch(|d| d.filter(filter).append(stderr))
                .try_apply()
        }
        LogFormat::Json => {
            let stdout = BufferedAppender::new(PipeOutput::stdout());
            builder
                .dispatch(|d| d.filter(filter).append(stdout))
                .try_apply()
        }
    };
    if started.is_err() {
        log::debug!("logging is already initialized");
    }
}

/// Writes out buffered lines, as many as standard output takes without blocking.
pub fn flush() {
    log::logger().flush();
}

/// Flushes the log forever at a fixed interval, for processes that do not call [`flush`] from a
/// tick.
pub async fn flush_periodically() {
    let mut ticks = interval(FLUSH_INTERVAL);
    loop {
        ticks.tick().await;
        flush();
    }
}
