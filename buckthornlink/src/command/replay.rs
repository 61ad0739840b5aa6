//! `buckthornlink replay`.

use std::path::PathBuf;

use serde::Serialize;
use serde::de::DeserializeOwned;

use buckthornlink_core::Millis;
use buckthornlink_core::{agent, balancer};
use buckthornlink_node::trace::{TraceReader, TraceRole, effects_hash};

use super::{CommandResult, Output};

#[derive(Debug, clap::Args)]
pub(super) struct Arguments {
    /// Trace file, plain or compressed with zstd
    trace: PathBuf,
    /// Print every event with its effects
    #[arg(long)]
    effects: bool,
    /// Output format of the summary
    #[arg(long, value_enum, default_value_t)]
    output: Output,
}

#[derive(Debug, Default, Serialize)]
struct Summary {
    events: u64,
    effects: u64,
    differing: u64,
}

#[derive(Serialize)]
struct Step<'a, E, F> {
    at: Millis,
    event: &'a E,
    effects: &'a [F],
}

impl Arguments {
    pub(super) fn run(self) -> CommandResult {
        let mut reader = TraceReader::open(&self.trace)?;
        let summary = match reader.header().role.clone() {
            TraceRole::Balancer(setup) => {
                let mut state = balancer::Balancer::new(setup);
                self.replay(&mut reader, |event, at| state.reduce(event, at))?
            }
            TraceRole::Agent(setup) => {
                let mut state = agent::Agent::new(setup);
                self.replay(&mut reader, |event, at| state.reduce(event, at))?
            }
        };
        self.output.print(&summary, |s| {
            format!(
                "{} events, {} effects, {} differing",
                s.events, s.effects, s.differing
            )
        })?;
        if summary.differing > 0 {
            return Err(anyhow::anyhow!(
                "{} events had other effects than recorded",
                summary.differing
            )
            .into());
        }
        Ok(())
    }

    fn replay<E, F>(
        &self,
        reader: &mut TraceReader,
        mut reduce: impl FnMut(E, Millis) -> Vec<F>,
    ) -> anyhow::Result<Summary>
    where
        E: DeserializeOwned + Serialize + Clone,
        F: Serialize,
    {
        let mut summary = Summary::default();
        while let Some(record) = reader.read::<E>()? {
            let effects = reduce(record.event.clone(), record.at);
            summary.events += 1;
            summary.effects += effects.len() as u64;
            if effects_hash(&effects) != record.effects {
                summary.differing += 1;
            }
            if self.effects {
                let step = Step {
                    at: record.at,
                    event: &record.event,
                    effects: &effects,
                };
                println!("{}", serde_json::to_string(&step)?);
            }
        }
        Ok(summary)
    }
}
