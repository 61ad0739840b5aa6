//! The cases.

mod cold;
mod late;
mod watchers;
mod young;

use crate::Outcome;
use crate::record::Record;

/// Plays a case.
pub fn play(case: &str, has_trouble: bool, record: &Record) -> std::io::Result<Outcome> {
    match case {
        "clock" => young::play(young::Variant::Clock, has_trouble, record),
        "held" => young::play(young::Variant::Held, has_trouble, record),
        "kill" => young::play(young::Variant::Kill, has_trouble, record),
        "seq" => young::play(young::Variant::Seq, has_trouble, record),
        "late" => late::play(has_trouble, record),
        "restart" => cold::play(cold::Variant::Restart, has_trouble, record),
        "thaw" => cold::play(cold::Variant::Thaw, has_trouble, record),
        "watchers" => watchers::play(has_trouble, record),
        _ => Ok(Outcome::NotRun(format!("there is no case {case}"))),
    }
}
