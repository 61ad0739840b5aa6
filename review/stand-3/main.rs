//! Plays one case of the review: `stand CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` the disruption is
//! left out.

mod backend;
mod cases;
mod consumer;
mod fleet;
mod http;
mod json;
mod packet;
mod record;
mod store;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// Result of a case.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: stand CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::create(&Path::new(&folder).join("record.txt")) {
        Ok(record) => record,
        Err(err) => {
            eprintln!("cannot write the record: {err}");
            return ExitCode::from(2);
        }
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.say(&format!(
        "case {case}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    let outcome = cases::play(&case, has_trouble, &record)
        .unwrap_or_else(|err| Outcome::NotRun(err.to_string()));
    match outcome {
        Outcome::Held => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Outcome::Broken => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Outcome::NotRun(why) => {
            record.say(&format!("could not run: {why}"));
            ExitCode::from(2)
        }
    }
}
