//! Results of a run.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use buckthornlink_fakes::{Counts, Fleet};
use serde::Serialize;
use tabled::{Table, Tabled};

/// Length of the windows over which the rate of control traffic is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Results of a run.
#[derive(Debug, Serialize)]
pub struct Report {
    #[serde(flatten)]
    counts: Counts,
    run_twice: usize,
    wrong_service: u64,
    overloads: u64,
    imbalance: f64,
    imbalances: std::collections::BTreeMap<&'static str, f64>,
    zone_out_last_packet_ms: Option<u128>,
    control_bytes_per_second: u64,
    config_in_force_ms: u128,
    store_reads: u64,
    store_writes: u64,
}

#[derive(Tabled)]
struct Row {
    figure: String,
    value: String,
}

impl Report {
    pub fn new(
        counts: Counts,
        fleet: &Fleet,
        imbalance: f64,
        last_packet_delay: Option<Duration>,
        control_rate: u64,
        in_force_after: Duration,
    ) -> Self {
        let (store_reads, store_writes) = fleet.store().call_counts();
        Self {
            counts,
            run_twice: fleet.request_log().run_twice(),
            wrong_service: fleet.request_log().wrong_service(),
            overloads: fleet.request_log().overloads(),
            imbalance: round_ratio(imbalance),
            imbalances: fleet
                .imbalances()
                .into_iter()
                .map(|(s, i)| (s, round_ratio(i)))
                .collect(),
            zone_out_last_packet_ms: last_packet_delay.map(|d| d.as_millis()),
            control_bytes_per_second: control_rate,
            config_in_force_ms: in_force_after.as_millis(),
            store_reads,
            store_writes,
        }
    }

    /// Formats the results as a table.
    pub fn table(&self) -> String {
        let Ok(serde_json::Value::Object(fields)) = serde_json::to_value(self) else {
            return String::new();
        };
        let rows = fields
            .iter()
            .filter(|(_, v)| !v.is_object())
            .map(|(name, value)| Row {
                figure: name.replace('_', " "),
                value: value.to_string(),
            });
        Table::new(rows).to_string()
    }

    /// Formats one line for each cause of broken flows and each reason for refusals.
    pub fn causes(&self) -> Vec<String> {
        let broken = self.counts.causes.iter();
        let broken = broken.map(|(cause, n)| format!("{n} broken: {cause}"));
        let refused = self.counts.refusals.iter();
        broken
            .chain(refused.map(|(reason, n)| format!("{n} refused: {reason}")))
            .collect()
    }
}

/// Rounds to three decimal places, which are enough for a ratio.
fn round_ratio(ratio: f64) -> f64 {
    (ratio * 1_000.0).round() / 1_000.0
}

/// Measures the highest rate of control traffic of any process, over windows of `RATE_WINDOW`.
pub struct ControlRates {
    last_totals: HashMap<String, u64>,
    window_start: Instant,
    max_rate: u64,
}

impl ControlRates {
    pub fn start(fleet: &Fleet) -> Self {
        Self {
            last_totals: control_bytes(fleet),
            window_start: Instant::now(),
            max_rate: 0,
        }
    }

    /// Ends the window if its length has elapsed, and starts the next.
    pub fn sample(&mut self, fleet: &Fleet) {
        let elapsed = self.window_start.elapsed();
        if elapsed < RATE_WINDOW {
            return;
        }
        let totals = control_bytes(fleet);
        for (process, bytes) in &totals {
            let previous = self.last_totals.get(process).copied().unwrap_or(0);
            let millis = u64::try_from(elapsed.as_millis())
                .unwrap_or(u64::MAX)
                .max(1);
            let rate = bytes.saturating_sub(previous) * 1_000 / millis;
            self.max_rate = self.max_rate.max(rate);
        }
        self.last_totals = totals;
        self.window_start = Instant::now();
    }

    /// Highest rate of any process in any window, in bytes per second.
    pub const fn max_rate(&self) -> u64 {
        self.max_rate
    }
}

fn control_bytes(fleet: &Fleet) -> HashMap<String, u64> {
    let balancers = fleet
        .balancers()
        .iter()
        .map(|(ip, b)| (ip.to_string(), b.control_bytes()));
    let agents = fleet.hosts().iter().filter_map(|h| {
        let agent = h.agent()?;
        Some((agent.link().to_string(), agent.stats().control_bytes))
    });
    balancers.chain(agents).collect()
}
