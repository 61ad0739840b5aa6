//! Loading and validation of JSON settings files.

use std::path::{Path, PathBuf};

use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;

use buckthornlink_wire::{Key, KeyRing, SECRET_BYTES};

/// Error in settings or while loading them.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {cause}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The text is not valid JSON, or does not have the expected fields.
    #[error(transparent)]
    Syntax(#[from] serde_json::Error),
    /// A field has an invalid value.
    #[error("{field}: {message}")]
    Field {
        /// Path of the field.
        field: &'static str,
        /// Description of the error.
        message: String,
    },
}

/// Settings of logging.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Level, or a list of `module=level` filters.
    pub level: String,
    /// Format of log lines.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
            format: LogFormat::Text,
        }
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// A shared secret of all processes, with its id.
#[serde_as]
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Id, unique among the configured keys.
    pub id: u8,
    /// 32 random bytes, encoded as base64.
    #[serde_as(as = "Base64")]
    pub secret: Vec<u8>,
}

impl std::fmt::Debug for KeySettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("KeySettings")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// Loads a settings file.
///
/// # Errors
///
/// Returns an error if the file cannot be read or does not parse as `T`.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|cause| SettingsError::File {
        path: path.to_owned(),
        cause,
    })?;
    parse(&text)
}

/// Parses settings from JSON text.
///
/// # Errors
///
/// Returns an error with line and column if the text does not parse as `T`.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, SettingsError> {
    Ok(serde_json::from_str(text)?)
}

/// Returns the JSON Schema of settings `T` as text.
///
/// ```
/// use buckthornlink_node::settings::{LogSettings, schema};
///
/// assert!(schema::<LogSettings>().contains("\"level\""));
/// ```
#[must_use]
pub fn schema<T: JsonSchema>() -> String {
    let schema = schemars::schema_for!(T);
    serde_json::to_string_pretty(&schema).unwrap_or_default()
}

/// Derives a key ring from the configured secrets.
///
/// # Errors
///
/// Returns an error if there is no key, a secret is not 32 bytes long, or two keys have the same
/// id.
pub fn key_ring(keys: &[KeySettings]) -> Result<KeyRing, SettingsError> {
    let derived = keys.iter().map(derive_key).collect::<Result<_, _>>()?;
    KeyRing::new(derived).ok_or_else(|| SettingsError::Field {
        field: "keys",
        message: "at least one key is required, and key ids must be unique".to_owned(),
    })
}

fn derive_key(key: &KeySettings) -> Result<Key, SettingsError> {
    let secret = <&[u8; SECRET_BYTES]>::try_from(key.secret.as_slice());
    let secret = secret.map_err(|_| SettingsError::Field {
        field: "keys.secret",
        message: format!(
            "secret of key {} has {} bytes; expected {SECRET_BYTES}",
            key.id,
            key.secret.len()
        ),
    })?;
    Ok(Key::derive(key.id, secret))
}
