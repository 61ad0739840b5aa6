//! Structured logging.

use logforth::append;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::{JsonLayout, TextLayout};

use crate::settings::{LogFormat, LogSettings};

/// Starts logging to standard error. A second call in one process has no effect.
pub fn init(settings: &LogSettings) {
    let filter = RustLogFilterBuilder::from_spec(settings.level.as_str()).build();
    let stderr = match settings.format {
        LogFormat::Text => append::Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => append::Stderr::default().with_layout(JsonLayout::default()),
    };
    let started = logforth::starter_log::builder()
        .dispatch(|d| d.filter(filter).append(stderr))
        .try_apply();
    if started.is_err() {
        log::debug!("logging was started before");
    }
}
