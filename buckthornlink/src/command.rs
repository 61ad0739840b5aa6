//! The operators' command line.

mod apply;
mod check;
mod explain;
mod output;
mod replay;
mod serve;
mod show;
mod status;
mod zone;

use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};

use buckthornlink_core::Verdict;
use buckthornlink_platform::{Catalog, EditError, EtcdStore};

pub use output::Output;

/// The command succeeded.
const EXIT_DONE: u8 = 0;
/// The command was refused; nothing was changed.
const EXIT_REFUSED: u8 = 1;
/// The outcome could not be determined.
const EXIT_UNKNOWN: u8 = 3;

/// A layer-4 load balancer for services that cannot lose or double a request.
///
/// Exit codes: 0 done; 1 refused, nothing was changed; 2 usage; 3 outcome unknown.
#[derive(Debug, Parser)]
#[command(name = "buckthornlink", version, about, long_about)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a balancer (an entry instance)
    Balancer(serve::Arguments),
    /// Check a configuration file without writing it to the store
    Check(check::Arguments),
    /// Put a configuration file in force
    Apply(apply::Arguments),
    /// Show the configuration in force
    Show(show::Arguments),
    /// Take an availability zone out of service or bring it back
    Zone(zone::Arguments),
    /// Show the configuration version and the known instances of each balancer
    Status(status::Arguments),
    /// Replay a recorded trace through the reducer and compare the effects
    Replay(replay::Arguments),
    /// Show the history of a datagram flow from the logs of several processes
    Explain(explain::Arguments),
}

/// Location of the platform's store.
#[derive(Debug, Args)]
struct StoreArguments {
    /// URL of the platform's store (etcd v3 gateway)
    #[arg(
        long,
        env = "BUCKTHORNLINK_STORE",
        default_value = "http://127.0.0.1:2379"
    )]
    store: String,
}

/// Editor and timeout of an edit.
#[derive(Debug, Args)]
struct EditArguments {
    /// Name of the operator, shown to others whose edits conflict
    #[arg(
        long = "as",
        env = "USER",
        default_value = "operator",
        value_name = "NAME"
    )]
    editor: String,
    /// Seconds to keep retrying while the outcome is unknown
    #[arg(long, default_value_t = 10, value_name = "SECONDS")]
    patience: u64,
}

/// Error of a command, with a verdict on whether it may have taken effect.
#[derive(Debug)]
struct Failure {
    verdict: Verdict,
    error: anyhow::Error,
}

type CommandResult = Result<(), Failure>;

impl Arguments {
    /// Runs the command and returns its exit code.
    #[must_use]
    pub fn run(self) -> ExitCode {
        let outcome = match self.command {
            Command::Balancer(args) => args.run(),
            Command::Check(args) => args.run(),
            Command::Apply(args) => args.run(),
            Command::Show(args) => args.run(),
            Command::Zone(args) => args.run(),
            Command::Status(args) => args.run(),
            Command::Replay(args) => args.run(),
            Command::Explain(args) => args.run(),
        };
        let Err(failure) = outcome else {
            return ExitCode::from(EXIT_DONE);
        };
        eprintln!("error: {:#}", failure.error);
        match failure.verdict {
            Verdict::MayHaveRun => ExitCode::from(EXIT_UNKNOWN),
            Verdict::NotRun | Verdict::Ran => ExitCode::from(EXIT_REFUSED),
        }
    }
}

impl StoreArguments {
    fn catalog(&self) -> Catalog<EtcdStore> {
        Catalog::new(EtcdStore::new(&self.store))
    }
}

impl EditArguments {
    const fn timeout(&self) -> Duration {
        Duration::from_secs(self.patience)
    }

    fn new_edit_id(&self) -> String {
        let boot = buckthornlink_node::clock::boot_id();
        format!("{}-{:x}-{:x}", self.editor, boot.0, std::process::id())
    }
}

impl<E: Into<anyhow::Error>> From<E> for Failure {
    fn from(err: E) -> Self {
        let error = err.into();
        let verdict = error
            .downcast_ref::<EditError>()
            .map_or(Verdict::NotRun, EditError::verdict);
        Self { verdict, error }
    }
}

/// Runs a future on a new single-threaded runtime.
fn block_on<T>(future: impl Future<Output = Result<T, Failure>>) -> Result<T, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(future)
}
