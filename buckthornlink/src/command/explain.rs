//! `buckthornlink explain`.

mod ends;
mod history;
mod log_files;
mod log_line;

use std::path::PathBuf;

use clap::ArgGroup;

use super::CommandResult;
use ends::EndTable;
use history::History;
use log_files::LogFiles;

#[derive(Debug, clap::Args)]
#[command(group = ArgGroup::new("subject").args(["flow", "ends"]).required(true))]
pub(super) struct Arguments {
    /// Show the history of the flow of this caller: its address and port, as in its log or that of
    /// the backend server
    #[arg(long, value_name = "ADDRESS:PORT")]
    flow: Option<String>,
    /// Count the flows that were ended, by process and evidence
    #[arg(long)]
    ends: bool,
    /// Also show lines that concern no flow: versions, zones, instances, starts and stops
    #[arg(long, conflicts_with = "ends")]
    beliefs: bool,
    /// Log files of the processes, one or more
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

impl Arguments {
    pub(super) fn run(self) -> CommandResult {
        let files = LogFiles::new(self.files);
        let gaps = if let Some(flow) = self.flow {
            let mut history = History::new(flow, self.beliefs);
            let gaps = files.read(|line| history.add(line))?;
            history.sort();
            print!("{history}");
            gaps
        } else {
            let mut ends = EndTable::default();
            let gaps = files.read(|line| ends.add(&line))?;
            print!("{ends}");
            gaps
        };
        print!("{gaps}");
        Ok(())
    }
}
