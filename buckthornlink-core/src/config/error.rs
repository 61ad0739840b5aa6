//! Faults of a configuration text.

use super::MAX_TEXT_BYTES;

/// Why a configuration text is refused.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The text is longer than a value of the store may be.
    #[error("the text has {bytes} bytes; the limit is {MAX_TEXT_BYTES}")]
    TooLong {
        /// Length of the text in bytes.
        bytes: usize,
    },
    /// The text is not the JSON that is expected.
    #[error("line {line}, column {column}: {message}")]
    Syntax {
        /// Line, from 1.
        line: usize,
        /// Column in bytes, from 1.
        column: usize,
        /// What the parser expected.
        message: String,
    },
    /// The JSON is well formed, but a field has a value that cannot stand.
    #[error("line {line}, column {column}: {field}: {message}")]
    Field {
        /// Line, from 1.
        line: usize,
        /// Column in bytes, from 1.
        column: usize,
        /// Path of the field.
        field: String,
        /// What is wrong with it.
        message: String,
    },
}

impl From<serde_json::Error> for ConfigError {
    fn from(err: serde_json::Error) -> Self {
        let full = err.to_string();
        let message = match full.rfind(" at line ") {
            Some(end) => full[..end].to_owned(),
            None => full,
        };
        Self::Syntax {
            line: err.line(),
            column: err.column().max(1),
            message,
        }
    }
}
