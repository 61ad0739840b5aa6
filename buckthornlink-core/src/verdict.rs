//! Verdicts: whether a request may have run on a backend server.
//!
//! A verdict is passed end to end in the HTTP header [`VERDICT_HEADER`].

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Response header that carries the [`Verdict`].
pub const VERDICT_HEADER: &str = "buckthornlink-verdict";
/// Response header that carries the [`Refusal`] behind a verdict other than [`Verdict::Ran`].
pub const REASON_HEADER: &str = "buckthornlink-reason";
/// Request header with the caller's id of the request; required unless the method is idempotent.
pub const REQUEST_ID_HEADER: &str = "buckthornlink-request-id";
/// Request header that counts the attempts whose outcome the caller does not know, from 1.
pub const ATTEMPT_HEADER: &str = "buckthornlink-attempt";
/// Request header with the time until the caller's deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "buckthornlink-deadline-ms";
/// Request header that names the class of the request.
pub const CLASS_HEADER: &str = "buckthornlink-class";
/// Request header on calls made for a request that is already admitted; names the calling service.
pub const DEPENDANT_HEADER: &str = "buckthornlink-dependant";
/// Request header that identifies a running request to its backend server.
///
/// The backend server copies it to the calls to dependencies that it makes for the request, so
/// that the agent does not mistake a slow dependency for a slow backend server.
pub const CALL_HEADER: &str = "buckthornlink-call";
/// Response header by which a backend server declares that it did not run a request.
///
/// The value [`SHED_FOR_DEPENDENCY`] says that a dependency refused; any other value says that the
/// backend server is overloaded.
pub const SHED_HEADER: &str = "buckthornlink-shed";
/// Value of [`SHED_HEADER`] when a dependency refused the request.
pub const SHED_FOR_DEPENDENCY: &str = "dependency";
/// Response header with the boot id of the backend server that answered.
pub const BACKEND_BOOT_HEADER: &str = "buckthornlink-backend-boot";

/// Whether a request ran on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The backend server ran the request; its complete response follows.
    Ran,
    /// The request did not run on a backend server. The caller may send it again unchanged.
    NotRun,
    /// The request may have run. The caller must not repeat it as a first attempt.
    MayHaveRun,
}

impl Verdict {
    /// Returns the value used in [`VERDICT_HEADER`].
    ///
    /// ```
    /// # use buckthornlink_core::Verdict;
    /// assert_eq!(Verdict::NotRun.as_str(), "not-run");
    /// ```
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Error returned for a text that is not a verdict.
#[derive(Debug, thiserror::Error)]
#[error("unknown verdict {0:?}; expected ran, not-run or may-have-run")]
pub struct ParseVerdictError(String);

impl FromStr for Verdict {
    type Err = ParseVerdictError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s {
            "ran" => Ok(Self::Ran),
            "not-run" => Ok(Self::NotRun),
            "may-have-run" => Ok(Self::MayHaveRun),
            _ => Err(ParseVerdictError(s.to_owned())),
        }
    }
}

/// Why a request has no response from a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The deadline has passed, or would pass before the request could finish.
    Deadline,
    /// The queue is full.
    Overload,
    /// The queue is full while the backend server is in cold start.
    Cold,
    /// The instance is draining before shutdown.
    Draining,
    /// Operators took the availability zone out of service.
    ZoneOut,
    /// The request lacks a required request id, or a header does not parse.
    Malformed,
    /// The request is a repeat, and this agent has no record of its first attempt.
    NoRecord,
    /// The first attempt is still running on this agent.
    StillRunning,
    /// The first attempt ended on this agent without a complete response.
    OutcomeUnknown,
    /// The request id was already used for a different request.
    IdReused,
    /// The backend server shed the request and declared that it did not run.
    Shed,
    /// The backend server could not be reached.
    Unreachable,
    /// The connection to the backend server failed, or the agent aborted the request, after it was
    /// sent.
    BackendFailed,
    /// The calling service has not declared this dependency.
    Undeclared,
    /// A dependency is failing: the agent refuses calls to it without sending them, or the backend
    /// server declared that the request did not run for that reason.
    DependencyDown,
}

impl Refusal {
    /// Returns the value used in [`REASON_HEADER`].
    ///
    /// ```
    /// # use buckthornlink_core::verdict::Refusal;
    /// assert_eq!(Refusal::ZoneOut.as_str(), "zone-out");
    /// ```
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::Overload => "overload",
            Self::Cold => "cold",
            Self::Draining => "draining",
            Self::ZoneOut => "zone-out",
            Self::Malformed => "malformed",
            Self::NoRecord => "no-record",
            Self::StillRunning => "still-running",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::IdReused => "id-reused",
            Self::Shed => "shed",
            Self::Unreachable => "unreachable",
            Self::BackendFailed => "backend-failed",
            Self::Undeclared => "undeclared",
            Self::DependencyDown => "dependency-down",
        }
    }
}
