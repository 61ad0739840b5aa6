//! How a backend server leaves: when it closes its TCP port, how long it serves after the report of its
//! end, and what its successor inherits.

use std::ops::Range;
use std::time::Duration;

use rand::Rng;

use buckthornlink_fakes::datagram::HEARTBEAT_INTERVAL;

/// One in this many departures closes the port before the drain is announced, on average.
const DEPARTURES_PER_EARLY_CLOSING: u32 = 3;
/// Time from the announced drain to the closing of the port, in milliseconds.
const CLOSING_DELAY_MS: Range<u64> = 0..2_400;
/// Time for which flows are served after the agent has answered the report of the end, in
/// milliseconds.
const LINGER_MS: Range<u64> = 0..2_000;
/// The same in runs with backend servers that take long to exit.
const LONG_LINGER_MS: Range<u64> = 0..9_000;
/// One in this many reports of an end is repeated, on average.
const REPORTS_PER_REPEAT: u32 = 4;
/// Time from the report of the end to its repetition, in milliseconds; it may follow the next boot.
const REPEAT_DELAY_MS: Range<u64> = 500..6_000;

/// When a backend server that leaves closes its TCP port and the connections to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortClosing {
    /// This long before its heartbeat announces the drain: its agent takes it for ready meanwhile.
    BeforeDrain(Duration),
    /// This long after its heartbeat announced the drain.
    AfterDrain(Duration),
}

/// The course of one departure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// When the TCP port closes.
    pub port_closing: PortClosing,
    /// Time from the answer to the report of the end until the exit.
    pub linger: Duration,
    /// Time from the report of the end to its repetition, if the network delivers it twice.
    pub repeat_delay: Option<Duration>,
    /// Whether the next boot has the same id.
    pub keeps_id: bool,
}

impl Departure {
    /// Draws a departure; one that is slow may take several seconds from the report of the end to the exit.
    #[must_use]
    pub fn draw(is_slow: bool, rng: &mut impl Rng) -> Self {
        let port_closing = if rng.random_ratio(1, DEPARTURES_PER_EARLY_CLOSING) {
            PortClosing::BeforeDrain(draw_millis(0..HEARTBEAT_INTERVAL.0, rng))
        } else {
            PortClosing::AfterDrain(draw_millis(CLOSING_DELAY_MS, rng))
        };
        Self {
            port_closing,
            linger: draw_millis(if is_slow { LONG_LINGER_MS } else { LINGER_MS }, rng),
            repeat_delay: rng
                .random_ratio(1, REPORTS_PER_REPEAT)
                .then(|| draw_millis(REPEAT_DELAY_MS, rng)),
            keeps_id: rng.random(),
        }
    }
}

fn draw_millis(range: Range<u64>, rng: &mut impl Rng) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

#[cfg(test)]
#[path = "../tests/unit/departure.rs"]
mod tests;
