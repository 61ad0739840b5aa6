//! Edits of the operators' records, retried until the outcome is known or a timeout is over.

use std::time::Duration;

use serde::Serialize;
use tokio::time::{Instant, sleep};

use buckthornlink_core::config::{Config, ConfigDelta, ConfigError};
use buckthornlink_core::{Verdict, Version};

use super::{CONFIG_KEY, Catalog, ConfigRecord, ZoneEntry, zone_key};
use crate::store::{Revision, Store, StoreError, SwapOutcome};

/// Delay between two attempts of the same write.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// An accepted edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted<T> {
    /// The written record.
    pub record: T,
    /// Whether a later edit has already replaced the record.
    pub superseded: bool,
}

/// Error of an edit that was not accepted, or whose outcome is unknown.
#[derive(Debug, thiserror::Error)]
pub enum EditError {
    /// The configuration is invalid; nothing was written.
    #[error(transparent)]
    Invalid(#[from] ConfigError),
    /// Another edit was accepted first; nothing was written.
    #[error("refused: {editor} made version {version} in the meantime:\n{delta}")]
    Conflict {
        /// Who made the other edit.
        editor: String,
        /// The version that is now in the store.
        version: Version,
        /// The changes from that version to the refused configuration.
        delta: ConfigDelta,
    },
    /// Another operator changed the zone first; nothing was written.
    #[error("refused: {editor} changed zone {zone} in the meantime")]
    ZoneConflict {
        /// Who made the other edit.
        editor: String,
        /// Name of the zone.
        zone: String,
    },
    /// The configuration has no zone of this name; nothing was written.
    #[error("no zone is called {0:?} in the configuration")]
    UnknownZone(String),
    /// The edit failed before a write could reach the store; nothing was written.
    #[error("nothing was written: {0}")]
    NotRun(StoreError),
    /// The write may have taken effect.
    #[error("outcome unknown ({cause}); ask again with: {command}")]
    Unknown {
        /// Id of the edit.
        edit_id: String,
        /// Error of the last attempt.
        cause: StoreError,
        /// Command that looks up the outcome.
        command: String,
    },
}

impl EditError {
    /// Returns whether the edit may have taken effect.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Unknown { .. } => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }
}

/// Outcome of a write that was retried until its outcome was known or the timeout was over.
enum WriteOutcome {
    Done,
    Conflict,
    NotRun(StoreError),
    Unknown(StoreError),
}

impl<S: Store> Catalog<S> {
    /// Replaces the configuration if its version is still `base`; `None` accepts any version.
    ///
    /// # Errors
    ///
    /// Returns an error if `text` is invalid, another edit was accepted first, or the outcome could
    /// not be determined within `timeout`.
    pub async fn apply(
        &self,
        text: &str,
        base: Option<Version>,
        edit_id: &str,
        editor: &str,
        timeout: Duration,
    ) -> Result<Accepted<ConfigRecord>, EditError> {
        let config = Config::parse(text)?;
        let current = self.config().await.map_err(EditError::NotRun)?;
        let previous = current.as_ref().map(|c| &c.record);
        let version = previous.map_or(Version::default(), |r| r.version);
        if base.is_some_and(|base| base != version) {
            return Err(conflict(previous, &config));
        }
        let record = ConfigRecord::successor(previous, text, edit_id, editor, (self.clock)());
        let expected = current.as_ref().map_or(Revision(0), |c| c.revision);
        match self.write(CONFIG_KEY, &record, expected, timeout).await {
            WriteOutcome::Done => Ok(Accepted {
                record,
                superseded: false,
            }),
            WriteOutcome::NotRun(err) => Err(EditError::NotRun(err)),
            WriteOutcome::Unknown(cause) => Err(unknown(edit_id, cause)),
            WriteOutcome::Conflict => {
                let stored = self
                    .config()
                    .await
                    .map_err(|cause| unknown(edit_id, cause))?;
                let latest = stored.map(|c| c.record);
                resolve(record, latest.as_ref().map(|r| &r.edits), edit_id)
                    .map_err(|_| conflict(latest.as_ref(), &config))
            }
        }
    }

    /// Takes a zone out of service, or brings it back.
    ///
    /// # Errors
    ///
    /// Returns an error if the zone is not configured, another edit was accepted first, or the
    /// outcome could not be determined within `timeout`.
    pub async fn set_zone(
        &self,
        name: &str,
        out: bool,
        edit_id: &str,
        editor: &str,
        timeout: Duration,
    ) -> Result<Accepted<ZoneEntry>, EditError> {
        self.check_zone(name).await?;
        let current = self.zone(name).await.map_err(EditError::NotRun)?;
        let previous = current.as_ref().map(|c| &c.record);
        let record = ZoneEntry::successor(previous, name, out, edit_id, editor, (self.clock)());
        let expected = current.as_ref().map_or(Revision(0), |c| c.revision);
        match self
            .write(&zone_key(name), &record, expected, timeout)
            .await
        {
            WriteOutcome::Done => Ok(Accepted {
                record,
                superseded: false,
            }),
            WriteOutcome::NotRun(err) => Err(EditError::NotRun(err)),
            WriteOutcome::Unknown(cause) => Err(unknown(edit_id, cause)),
            WriteOutcome::Conflict => {
                let stored = self
                    .zone(name)
                    .await
                    .map_err(|cause| unknown(edit_id, cause))?;
                let latest = stored.map(|c| c.record);
                resolve(record, latest.as_ref().map(|r| &r.edits), edit_id).map_err(|refused| {
                    EditError::ZoneConflict {
                        editor: latest.map(|r| r.editor).unwrap_or_default(),
                        zone: refused.name,
                    }
                })
            }
        }
    }

    /// Looks up an edit by its id among the latest edits of the configuration and the zones.
    /// Returns the configuration version that the edit made, or the current `seq` of the zone record.
    ///
    /// # Errors
    ///
    /// Returns an error if the call to the store fails or a value does not parse.
    pub async fn find_edit(&self, edit_id: &str) -> Result<Option<Version>, StoreError> {
        if let Some(current) = self.config().await? {
            let version = current.record.version_of(edit_id);
            if version.is_some() {
                return Ok(version);
            }
        }
        let (zones, _) = self.zones().await?;
        let found = zones.iter().find(|z| z.edits.iter().any(|e| e == edit_id));
        Ok(found.map(|z| Version(z.seq)))
    }

    async fn check_zone(&self, name: &str) -> Result<(), EditError> {
        let current = self.config().await.map_err(EditError::NotRun)?;
        let text = current.map(|c| c.record.text).unwrap_or_default();
        let config = Config::parse(&text)?;
        if config.zones.iter().any(|zone| zone == name) {
            return Ok(());
        }
        Err(EditError::UnknownZone(name.to_owned()))
    }

    /// Retries a write until the store confirms whether it took effect, or `timeout` is over.
    ///
    /// An attempt whose response is lost may still take effect. The retry is the same
    /// compare-and-swap, so it conflicts if an earlier attempt took effect.
    async fn write<T: Serialize + Sync>(
        &self,
        key: &str,
        record: &T,
        expected: Revision,
        timeout: Duration,
    ) -> WriteOutcome {
        let value = match serde_json::to_vec(record) {
            Ok(value) => value,
            Err(err) => return WriteOutcome::NotRun(StoreError::Malformed(err.to_string())),
        };
        let deadline = Instant::now() + timeout;
        let mut may_have_run = false;
        loop {
            let err = match self.store().compare_and_swap(key, &value, expected).await {
                Ok(SwapOutcome::Done) => return WriteOutcome::Done,
                Ok(SwapOutcome::Conflict(_)) => return WriteOutcome::Conflict,
                Err(err) => err,
            };
            may_have_run |= err.verdict() == Verdict::MayHaveRun;
            if Instant::now() >= deadline {
                return if may_have_run {
                    WriteOutcome::Unknown(err)
                } else {
                    WriteOutcome::NotRun(err)
                };
            }
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Resolves a conflict: the edit was accepted by an earlier attempt if its id is among the stored
/// edit ids.
fn resolve<T>(record: T, edits: Option<&Vec<String>>, edit_id: &str) -> Result<Accepted<T>, T> {
    match edits.and_then(|edits| edits.iter().position(|e| e == edit_id)) {
        Some(later_edits) => Ok(Accepted {
            record,
            superseded: later_edits > 0,
        }),
        None => Err(record),
    }
}

fn conflict(latest: Option<&ConfigRecord>, config: &Config) -> EditError {
    let old = latest
        .and_then(|r| Config::parse(&r.text).ok())
        .unwrap_or_default();
    EditError::Conflict {
        editor: latest.map(|r| r.editor.clone()).unwrap_or_default(),
        version: latest.map_or(Version::default(), |r| r.version),
        delta: ConfigDelta::between(&old, config),
    }
}

fn unknown(edit_id: &str, cause: StoreError) -> EditError {
    EditError::Unknown {
        edit_id: edit_id.to_owned(),
        cause,
        command: format!("buckthornlink show --edit {edit_id}"),
    }
}
