//! `buckthornlink explain`.

mod history;
mod log_files;
mod log_line;

use std::path::PathBuf;

use super::CommandResult;
use history::History;
use log_files::LogFiles;

#[derive(Debug, clap::Args)]
pub(super) struct Arguments {
    /// Address and port of the caller, as in the log of the caller or the backend server
    #[arg(long, value_name = "ADDRESS:PORT")]
    flow: String,
    /// Also show lines that concern no flow: versions, zones, instances, starts and stops
    #[arg(long)]
    beliefs: bool,
    /// Log files of the processes, one or more
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

impl Arguments {
    pub(super) fn run(self) -> CommandResult {
        let files = LogFiles::new(self.files);
        let mut history = History::new(self.flow, self.beliefs);
        let gaps = files.read(|line| history.add(line))?;
        history.sort();
        print!("{history}");
        print!("{gaps}");
        Ok(())
    }
}
