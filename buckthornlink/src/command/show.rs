//! `buckthornlink show`.

use anyhow::Context;
use serde::Serialize;

use buckthornlink_core::Version;

use super::{CommandResult, Output, StoreArguments, block_on};

#[derive(Debug, clap::Args)]
#[command(disable_version_flag = true)]
pub(super) struct Arguments {
    /// Show the version only
    #[arg(long)]
    version: bool,
    /// Show whether the edit with this id was accepted, after its outcome was unknown
    #[arg(long, value_name = "ID")]
    edit: Option<String>,
    /// Output format
    #[arg(long, value_enum, default_value_t)]
    output: Output,
    #[command(flatten)]
    store: StoreArguments,
}

#[derive(Debug, Serialize)]
struct EditLookup {
    edit: String,
    version: Option<Version>,
}

impl Arguments {
    pub(super) fn run(self) -> CommandResult {
        block_on(async {
            match &self.edit {
                Some(edit) => self.show_edit(edit).await,
                None => self.show_config().await,
            }
        })
    }

    async fn show_config(&self) -> CommandResult {
        let current = self.store.catalog().config().await?;
        let record = current
            .context("no configuration has been accepted yet")?
            .record;
        if self.version {
            self.output.print(&record.version, ToString::to_string)?;
        } else {
            self.output.print(&record, |r| r.text.clone())?;
        }
        Ok(())
    }

    async fn show_edit(&self, edit: &str) -> CommandResult {
        let lookup = EditLookup {
            edit: edit.to_owned(),
            version: self.store.catalog().find_edit(edit).await?,
        };
        self.output.print(&lookup, |l| match l.version {
            Some(version) => format!("accepted as version {version}"),
            None => {
                "not among the latest edits: it was refused, or has not taken effect yet".to_owned()
            }
        })?;
        Ok(())
    }
}
