//! Metrics of an agent.

use buckthornlink_core::Verdict;
use buckthornlink_node::metrics::{LATENCY_BUCKETS, SIZE_BUCKETS};
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

/// Reason for dropping a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DropReason {
    /// The envelope is truncated, not authentic or unexpected, or its control message is invalid.
    Envelope,
    /// The datagram belongs to another service.
    Misrouted,
    /// A queue is full, or an opener or control message cannot be sent.
    Overload,
}

impl DropReason {
    const fn label(self) -> &'static str {
        match self {
            Self::Envelope => "envelope",
            Self::Misrouted => "misrouted",
            Self::Overload => "overload",
        }
    }
}

/// All metrics of an agent.
#[derive(Debug)]
pub(crate) struct Metrics {
    pub(crate) registry: Registry,
    pub(crate) latency: HistogramVec,
    pub(crate) queueing: HistogramVec,
    pub(crate) response_sizes: HistogramVec,
    pub(crate) flows: IntGauge,
    pub(crate) limit: IntGauge,
    pub(crate) version: IntGauge,
    pub(crate) backend_load: IntGauge,
    pub(crate) backend_up: IntGauge,
    pub(crate) broken_flows: IntCounter,
    pub(crate) control_bytes: IntCounter,
    verdicts: IntCounterVec,
    drops: IntCounterVec,
}

impl Metrics {
    pub(crate) fn new() -> prometheus::Result<Self> {
        let labels = &["service", "class"];
        let metrics = Self {
            registry: Registry::new(),
            latency: HistogramVec::new(
                HistogramOpts::new("buckthornlink_request_seconds", "Time to answer a request")
                    .buckets(LATENCY_BUCKETS.to_vec()),
                labels,
            )?,
            queueing: HistogramVec::new(
                HistogramOpts::new(
                    "buckthornlink_queue_seconds",
                    "Time a request waits for a slot",
                )
                .buckets(LATENCY_BUCKETS.to_vec()),
                labels,
            )?,
            response_sizes: HistogramVec::new(
                HistogramOpts::new("buckthornlink_answer_bytes", "Sizes of answers")
                    .buckets(SIZE_BUCKETS.to_vec()),
                labels,
            )?,
            flows: IntGauge::new("buckthornlink_flows", "Open flows")?,
            limit: IntGauge::new(
                "buckthornlink_limit",
                "Requests that may run at the same time",
            )?,
            version: IntGauge::new(
                "buckthornlink_config_version",
                "Version of the configuration in force",
            )?,
            backend_load: IntGauge::new("buckthornlink_backend_load", "Load endpoint's value")?,
            backend_up: IntGauge::new("buckthornlink_backend_up", "Health endpoint's claim")?,
            broken_flows: IntCounter::new(
                "buckthornlink_broken_flows_total",
                "Flows that ended by timeout or protocol error",
            )?,
            control_bytes: IntCounter::new(
                "buckthornlink_control_bytes_total",
                "Bytes of control messages sent, with headers",
            )?,
            verdicts: IntCounterVec::new(
                Opts::new("buckthornlink_requests_total", "Requests by verdict"),
                &["service", "class", "verdict"],
            )?,
            drops: IntCounterVec::new(
                Opts::new("buckthornlink_dropped_total", "Datagrams dropped"),
                &["reason"],
            )?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    pub(crate) fn record_verdict(&self, service: &str, class: &str, verdict: Verdict) {
        let labels = [service, class, verdict.as_str()];
        self.verdicts.with_label_values(&labels).inc();
    }

    pub(crate) fn record_drop(&self, reason: DropReason) {
        self.drops.with_label_values(&[reason.label()]).inc();
    }

    fn register(&self) -> prometheus::Result<()> {
        let registry = &self.registry;
        registry.register(Box::new(self.latency.clone()))?;
        registry.register(Box::new(self.queueing.clone()))?;
        registry.register(Box::new(self.response_sizes.clone()))?;
        registry.register(Box::new(self.flows.clone()))?;
        registry.register(Box::new(self.limit.clone()))?;
        registry.register(Box::new(self.version.clone()))?;
        registry.register(Box::new(self.backend_load.clone()))?;
        registry.register(Box::new(self.backend_up.clone()))?;
        registry.register(Box::new(self.broken_flows.clone()))?;
        registry.register(Box::new(self.control_bytes.clone()))?;
        registry.register(Box::new(self.verdicts.clone()))?;
        registry.register(Box::new(self.drops.clone()))
    }
}
