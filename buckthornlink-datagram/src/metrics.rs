//! Metrics of a process of the datagram path.

use std::time::Duration;

use prometheus::{
    HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, histogram_opts,
};

use buckthornlink_core::datagram::{Decision, Measure, Reducer, Source};
use buckthornlink_core::{Millis, Version};
use buckthornlink_node::metrics::LATENCY_BUCKETS;

/// Counters, gauges and histograms of one process.
#[derive(Clone, Debug)]
pub struct Metrics {
    pub(crate) registry: Registry,
    packets: IntCounterVec,
    decisions: IntCounterVec,
    flow_ends: IntCounterVec,
    state: IntGaugeVec,
    durations: HistogramVec,
    store_durations: HistogramVec,
    store_calls: IntCounterVec,
}

/// What a call to the store is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreCall {
    /// Read of the operators' records.
    ReadRecords,
    /// One wait for changes of the operators' records.
    WatchRecords,
    /// Read of the lists of the zones' members.
    ReadMembers,
    /// Write of the list of the own zone's members.
    WriteMembers,
    /// Read of the flows that an earlier process of the agent saved.
    ReadFlows,
    /// Write of the flows of the agent's backend server.
    WriteFlows,
}

impl StoreCall {
    const fn label(self) -> &'static str {
        match self {
            Self::ReadRecords => "read_records",
            Self::WatchRecords => "watch_records",
            Self::ReadMembers => "read_members",
            Self::WriteMembers => "write_members",
            Self::ReadFlows => "read_flows",
            Self::WriteFlows => "write_flows",
        }
    }
}

impl Metrics {
    /// Registers all metrics. Their `service` label is empty on a balancer.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be registered.
    pub fn new(service: &str) -> prometheus::Result<Self> {
        let labels = [("service".to_owned(), service.to_owned())];
        let registry = Registry::new_custom(Some("buckthornlink".to_owned()), Some(labels.into()))?;
        let metrics = Self {
            packets: IntCounterVec::new(
                Opts::new("packets_total", "Packets received, by source."),
                &["source"],
            )?,
            decisions: IntCounterVec::new(
                Opts::new("decisions_total", "Decisions, by reason."),
                &["reason"],
            )?,
            flow_ends: IntCounterVec::new(
                Opts::new("flow_ends_total", "Flows that were reset, by evidence."),
                &["evidence"],
            )?,
            state: IntGaugeVec::new(
                Opts::new("state", "What the process holds, by kind."),
                &["kind"],
            )?,
            durations: histogram(
                "span_seconds",
                "Spans of handshakes, responses, searches and waits for room at a backend server.",
                "of",
            )?,
            store_durations: histogram("store_call_seconds", "Calls to the store.", "outcome")?,
            store_calls: IntCounterVec::new(
                Opts::new("store_calls_total", "Calls to the store, by purpose."),
                &["purpose"],
            )?,
            registry,
        };
        metrics.register()?;
        Ok(metrics)
    }

    pub(crate) fn count_packet(&self, source: Source) {
        let label = match source {
            Source::Fabric => "fabric",
            Source::Peer(_) => "peer",
            Source::Backend => "backend",
        };
        self.packets.with_label_values(&[label]).inc();
    }

    pub(crate) fn count_decision(&self, decision: &Decision) {
        let reason = decision.reason.name();
        self.decisions.with_label_values(&[reason]).inc();
        if let Some(evidence) = decision.evidence.filter(|_| decision.flow.is_some()) {
            let evidence = evidence.name();
            self.flow_ends.with_label_values(&[evidence]).inc();
        }
    }

    pub(crate) fn observe(&self, measure: Measure, duration: Millis) {
        let label = match measure {
            Measure::Handshake => "handshake",
            Measure::Response => "response",
            Measure::Search => "search",
            Measure::Queue => "queue",
        };
        let seconds = Duration::from_millis(duration.0).as_secs_f64();
        self.durations.with_label_values(&[label]).observe(seconds);
    }

    pub(crate) fn observe_store(&self, outcome: &str, duration: Duration) {
        let histogram = self.store_durations.with_label_values(&[outcome]);
        histogram.observe(duration.as_secs_f64());
    }

    pub(crate) fn count_store_call(&self, call: StoreCall) {
        self.store_calls.with_label_values(&[call.label()]).inc();
    }

    /// Sets the gauges to the reducer's current state.
    pub(crate) fn update_gauges(&self, reducer: &impl Reducer, now: Millis) {
        let flows = reducer.flow_counts();
        let gossip = reducer.gossip();
        let membership = gossip.membership();
        let suspects = membership.iter().filter(|m| m.is_suspect).count();
        let Version(version) = reducer.table().version;
        self.set_gauge("flows_open", flows.open);
        self.set_gauge("flows_waiting", flows.waiting);
        self.set_gauge("flows_known", flows.known);
        self.set_gauge("members", membership.len());
        self.set_gauge("members_suspect", suspects);
        self.set_gauge("store_watchers", gossip.store_watchers().count());
        let Millis(store_age) = gossip.store_age(now);
        self.set_gauge(
            "store_age_ms",
            usize::try_from(store_age).unwrap_or(usize::MAX),
        );
        self.set_gauge("routes", reducer.table().routes.len());
        self.set_gauge("version", usize::try_from(version).unwrap_or(usize::MAX));
    }

    /// Sets the gauge of the epoch of the store's contents.
    pub(crate) fn set_store_epoch(&self, epoch: u32) {
        self.state
            .with_label_values(&["store_epoch"])
            .set(epoch.into());
    }

    fn set_gauge(&self, kind: &str, value: usize) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.state.with_label_values(&[kind]).set(value);
    }

    fn register(&self) -> prometheus::Result<()> {
        self.registry.register(Box::new(self.packets.clone()))?;
        self.registry.register(Box::new(self.decisions.clone()))?;
        self.registry.register(Box::new(self.flow_ends.clone()))?;
        self.registry.register(Box::new(self.state.clone()))?;
        self.registry.register(Box::new(self.durations.clone()))?;
        self.registry
            .register(Box::new(self.store_durations.clone()))?;
        self.registry.register(Box::new(self.store_calls.clone()))
    }
}

fn histogram(name: &str, help: &str, label: &str) -> prometheus::Result<HistogramVec> {
    let opts: HistogramOpts = histogram_opts!(name, help, LATENCY_BUCKETS.to_vec());
    HistogramVec::new(opts, &[label])
}

#[cfg(test)]
#[path = "../tests/unit/metrics.rs"]
mod tests;
