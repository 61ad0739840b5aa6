//! Output for people or for scripts.

use clap::ValueEnum;
use serde::Serialize;

/// Format of a command's output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// For people.
    #[default]
    Text,
    /// One JSON value.
    Json,
}

impl Output {
    /// Prints `value` as JSON, or the text that `text` makes of it.
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
