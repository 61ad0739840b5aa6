//! Output formats of the commands.

use clap::ValueEnum;
use serde::Serialize;

/// Format of a command's output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON value, for scripts.
    Json,
}

impl Output {
    /// Prints `value` as JSON, or as text formatted by `text`.
    pub(super) fn print<T: Serialize>(
        self,
        value: &T,
        text: impl FnOnce(&T) -> String,
    ) -> anyhow::Result<()> {
        match self {
            Self::Text => println!("{}", text(value).trim_end()),
            Self::Json => println!("{}", serde_json::to_string(value)?),
        }
        Ok(())
    }
}
