//! `buckthornlink zone`.

use clap::Subcommand;
use serde::Serialize;

use super::{CommandResult, EditArguments, Output, StoreArguments, block_on};

#[derive(Debug, clap::Args)]
pub(super) struct Arguments {
    #[command(subcommand)]
    action: Action,
    /// Output format
    #[arg(long, value_enum, default_value_t, global = true)]
    output: Output,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Take a zone out of service; its flows are closed at once
    Out(Target),
    /// Bring a zone back into service; its backend servers begin with a cold start
    In(Target),
}

#[derive(Debug, clap::Args)]
struct Target {
    /// Name of the availability zone
    name: String,
    #[command(flatten)]
    store: StoreArguments,
    #[command(flatten)]
    edit: EditArguments,
}

#[derive(Debug, Serialize)]
struct Report {
    zone: String,
    out: bool,
    seq: u64,
    edit: String,
}

impl Arguments {
    pub(super) fn run(self) -> CommandResult {
        let (out, target) = match &self.action {
            Action::Out(target) => (true, target),
            Action::In(target) => (false, target),
        };
        block_on(async {
            let catalog = target.store.catalog();
            let edit = target.edit.new_edit_id();
            let editor = &target.edit.editor;
            let timeout = target.edit.timeout();
            let accepted = catalog
                .set_zone(&target.name, out, &edit, editor, timeout)
                .await?;
            let report = Report {
                zone: accepted.record.name,
                out: accepted.record.out,
                seq: accepted.record.seq,
                edit,
            };
            self.output.print(&report, |r| {
                let state = if r.out {
                    "out of service"
                } else {
                    "in service"
                };
                format!(
                    "accepted: zone {} is {state} (edit {} of this zone)",
                    r.zone, r.seq
                )
            })?;
            Ok(())
        })
    }
}
