//! Settings files in JSON.

use std::path::{Path, PathBuf};

use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;

use buckthornlink_wire::{Key, KeyRing, SECRET_BYTES};

/// Why settings are refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {cause}")]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The text is not the JSON that is expected.
    #[error(transparent)]
    Syntax(#[from] serde_json::Error),
    /// A field has a value that cannot stand.
    #[error("{field}: {message}")]
    Field {
        /// Path of the field.
        field: &'static str,
        /// What is wrong with it.
        message: String,
    },
}

/// Logging.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Level, or a list of `module=level` filters.
    pub level: String,
    /// Format of each line.
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
    /// For people.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// A secret that all processes share.
#[serde_as]
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Id, unique among the keys in force.
    pub id: u8,
    /// 32 random bytes in base64.
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
/// Returns an error if the file cannot be read or is not what `T` expects.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|cause| SettingsError::File {
        path: path.to_owned(),
        cause,
    })?;
    parse(&text)
}

/// Parses settings.
///
/// # Errors
///
/// Returns an error with line and column if the text is not what `T` expects.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, SettingsError> {
    Ok(serde_json::from_str(text)?)
}

/// The JSON Schema of settings `T`, as text.
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

/// Derives the keys in force.
///
/// # Errors
///
/// Returns an error if there is no key, a secret is not 32 bytes long, or an id stands twice.
pub fn key_ring(keys: &[KeySettings]) -> Result<KeyRing, SettingsError> {
    let derived = keys.iter().map(derive_key).collect::<Result<_, _>>()?;
    KeyRing::new(derived).ok_or_else(|| SettingsError::Field {
        field: "keys",
        message: "at least one key is needed, and each id may stand once".to_owned(),
    })
}

fn derive_key(key: &KeySettings) -> Result<Key, SettingsError> {
    let secret = <&[u8; SECRET_BYTES]>::try_from(key.secret.as_slice());
    let secret = secret.map_err(|_| SettingsError::Field {
        field: "keys.secret",
        message: format!(
            "key {} has {} bytes; {SECRET_BYTES} are needed",
            key.id,
            key.secret.len()
        ),
    })?;
    Ok(Key::derive(key.id, secret))
}
