//! Errors of a configuration text.

use super::MAX_TEXT_BYTES;

/// Why a configuration text is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The text exceeds the store's limit for one value.
    #[error("the text has {bytes} bytes; the limit is {MAX_TEXT_BYTES}")]
    TooLong {
        /// Length of the text in bytes.
        bytes: usize,
    },
    /// The text is not valid JSON or does not match the schema.
    #[error("line {line}, column {column}: {message}")]
    Syntax {
        /// Line, from 1.
        line: usize,
        /// Column in bytes, from 1.
        column: usize,
        /// Error message of the JSON parser.
        message: String,
    },
    /// The JSON matches the schema, but a field has an invalid value.
    #[error("line {line}, column {column}: {field}: {message}")]
    Field {
        /// Line, from 1.
        line: usize,
        /// Column in bytes, from 1.
        column: usize,
        /// Path of the field, such as `services[0].name`.
        field: String,
        /// Why the value is invalid.
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
