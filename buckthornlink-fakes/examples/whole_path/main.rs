//! Runs the whole path on loopback: callers, fabric, balancers, agents and backend servers.
//!
//! While requests of several kinds run over many long-lived flows, a balancer is replaced, a backend
//! server drains and restarts cold, and a zone is taken out of service and brought back. The counts
//! come from the callers and the backend servers. The last line of the output is a JSON object.

mod plan;
mod report;

use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::{Parser, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};

use buckthornlink_core::balancer::Policy;
use buckthornlink_fakes::{Callers, Fleet, FleetSetup, Preset};
use plan::{Fault, Plan, Runner};
use report::Report;

/// Interval at which the plan is checked for due faults.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time that the fleet warms up before the plan starts and the imbalance is measured.
const WARM_UP_TIME: Duration = Duration::from_secs(3);

/// Run the whole path on loopback and report the results.
#[derive(Debug, Parser)]
struct Arguments {
    /// Fleet to run
    #[arg(long, value_enum, default_value_t)]
    preset: PresetName,
    /// Length of the run, in seconds
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Seed of all random choices
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Flows that callers keep open
    #[arg(long, default_value_t = 120)]
    flows: usize,
    /// Mean pause between two requests on a flow, in milliseconds
    #[arg(long, default_value_t = 150)]
    think_ms: u64,
    /// Faults that are injected during the run
    #[arg(long, value_enum, default_value_t)]
    faults: FaultSet,
    /// Make the store unavailable from second 2 to second 8
    #[arg(long)]
    store_outage: bool,
    /// Policy by which balancers place openers (datagrams that open a flow)
    #[arg(long, value_enum, default_value_t)]
    policy: PolicyName,
    /// Delay between callers and balancers, one way, in milliseconds
    #[arg(long, default_value_t = 3)]
    delay_ms: u64,
    /// Folder to which the events of all reducers are recorded
    #[arg(long, value_name = "FOLDER")]
    record: Option<PathBuf>,
    /// Log level of the processes
    #[arg(long, default_value = "error")]
    log: String,
}

#[derive(Clone, Copy, Debug, Default, ValueEnum)]
enum PresetName {
    #[default]
    Carpatia,
    Chalkline,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
enum FaultSet {
    /// No faults
    None,
    /// Changes that operators plan
    #[default]
    Planned,
    /// Planned changes and failures
    All,
}

#[derive(Clone, Copy, Debug, Default, ValueEnum)]
enum PolicyName {
    #[default]
    Adaptive,
    RoundRobin,
    Random,
    LeastReported,
    Rendezvous,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args = Arguments::parse();
    buckthornlink_node::logs::init(&buckthornlink_node::settings::LogSettings {
        level: args.log.clone(),
        ..Default::default()
    });
    let report = run(&args).await?;
    println!("{}", report.table());
    for cause in report.causes() {
        println!("{cause}");
    }
    println!("{}", serde_json::to_string(&report)?);
    Ok(())
}

async fn run(args: &Arguments) -> anyhow::Result<Report> {
    let mut fleet = Fleet::spawn_with(args.setup()).await?;
    let version = fleet.apply(&fleet.config_text()).await?;
    let in_force_after = fleet.wait_until_in_force(version).await?;
    let callers = fleet.spawn_callers(args.flows, Duration::from_millis(args.think_ms))?;
    tokio::time::sleep(WARM_UP_TIME).await;
    fleet.reset_warm_stats();
    let plan = args.plan();
    let mut runner = Runner::new(plan);
    let start = Instant::now();
    let duration = Duration::from_secs(args.seconds);
    let bar = progress_bar(args.seconds);
    let mut rates = report::ControlRates::start(&fleet);
    while start.elapsed() < duration {
        let description = runner
            .inject_next(start.elapsed(), &mut fleet, &callers)
            .await?;
        if let Some(description) = description {
            bar.println(format!(
                "{:6.2} s  {description}",
                start.elapsed().as_secs_f64()
            ));
        }
        if bar.position() != start.elapsed().as_secs() {
            bar.set_position(start.elapsed().as_secs());
            bar.println(progress_line(start.elapsed(), &callers));
        }
        rates.sample(&fleet);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    bar.finish_and_clear();
    finish(fleet, callers, &runner, &rates, in_force_after).await
}

async fn finish(
    fleet: Fleet,
    callers: Callers,
    runner: &Runner,
    rates: &report::ControlRates,
    in_force_after: Duration,
) -> anyhow::Result<Report> {
    let imbalance = fleet.imbalance();
    let counts = callers.finish().await;
    let last_packet_delay = runner.last_packet_delay(&fleet);
    Ok(Report::new(
        counts,
        &fleet,
        imbalance,
        last_packet_delay,
        rates.max_rate(),
        in_force_after,
    ))
}

impl Arguments {
    fn setup(&self) -> FleetSetup {
        FleetSetup {
            policy: self.policy(),
            delay: Duration::from_millis(self.delay_ms),
            trace_dir: self.record.clone(),
            ..FleetSetup::new(self.preset(), self.seed)
        }
    }

    const fn preset(&self) -> Preset {
        match self.preset {
            PresetName::Carpatia => Preset::Carpatia,
            PresetName::Chalkline => Preset::Chalkline,
        }
    }

    const fn policy(&self) -> Policy {
        match self.policy {
            PolicyName::Adaptive => Policy::Adaptive,
            PolicyName::RoundRobin => Policy::RoundRobin,
            PolicyName::Random => Policy::Random,
            PolicyName::LeastReported => Policy::LeastReported,
            PolicyName::Rendezvous => Policy::Rendezvous,
        }
    }

    fn plan(&self) -> Plan {
        let duration = Duration::from_secs(self.seconds);
        let mut plan = match self.faults {
            FaultSet::None => Plan::default(),
            FaultSet::Planned => Plan::planned(duration, self.store_outage),
            FaultSet::All => Plan::all(duration, self.seed, self.store_outage),
        };
        if self.store_outage {
            plan.add(Duration::from_secs(2), Fault::StoreDown);
            plan.add(Duration::from_secs(8), Fault::StoreUp);
        }
        plan
    }
}

fn progress_line(elapsed: Duration, callers: &Callers) -> String {
    let counts = callers.counts();
    format!(
        "{:6.2} s  {} requests, {} answered, {} refused, {} may have run, {} flows opened",
        elapsed.as_secs_f64(),
        counts.requests,
        counts.answered,
        counts.refused_not_run,
        counts.may_have_run,
        counts.opened_flows,
    )
}

fn progress_bar(seconds: u64) -> ProgressBar {
    let bar = ProgressBar::new(seconds);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} s") {
        bar.set_style(style);
    }
    bar
}
