//! `buckthornlink check`.

use std::path::PathBuf;

use anyhow::Context;
use serde::Serialize;

use buckthornlink_core::config::Config;

use super::{CommandResult, Output};

#[derive(Debug, clap::Args)]
pub(super) struct Arguments {
    /// Configuration file in JSON
    #[arg(required_unless_present = "print_schema")]
    file: Option<PathBuf>,
    /// Print the JSON Schema of the configuration and exit
    #[arg(long)]
    print_schema: bool,
    /// Output format
    #[arg(long, value_enum, default_value_t)]
    output: Output,
}

#[derive(Debug, Serialize)]
struct Report {
    zones: usize,
    services: usize,
}

impl Arguments {
    pub(super) fn run(self) -> CommandResult {
        let Some(file) = self.file.filter(|_| !self.print_schema) else {
            println!("{}", buckthornlink_node::settings::schema::<Config>());
            return Ok(());
        };
        let text = read_config(&file)?;
        let config = Config::parse(&text).with_context(|| file.display().to_string())?;
        let report = Report {
            zones: config.zones.len(),
            services: config.services.len(),
        };
        self.output.print(&report, |r| {
            format!(
                "{}: {} services in {} zones",
                file.display(),
                r.services,
                r.zones
            )
        })?;
        Ok(())
    }
}

/// Reads the text of a configuration file.
pub(super) fn read_config(file: &PathBuf) -> anyhow::Result<String> {
    std::fs::read_to_string(file).with_context(|| file.display().to_string())
}
