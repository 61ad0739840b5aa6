//! Metrics of a balancer.

use buckthornlink_core::ServicePort;
use buckthornlink_node::metrics::{LATENCY_BUCKETS, SIZE_BUCKETS};
use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

/// Reason for dropping a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DropReason {
    /// The datagram is not a QUIC packet.
    NotQuic,
    /// The connection id names another service, or the service of a returned datagram has no
    /// socket.
    Misrouted,
    /// The envelope is truncated, not authentic or unexpected, or its control message is invalid.
    Envelope,
    /// No agent that accepts flows is known.
    Unroutable,
    /// The queue of the reducer is full, or the datagram cannot be sent.
    Overload,
}

impl DropReason {
    const fn label(self) -> &'static str {
        match self {
            Self::NotQuic => "noise",
            Self::Misrouted => "misrouted",
            Self::Envelope => "envelope",
            Self::Unroutable => "unroutable",
            Self::Overload => "overload",
        }
    }
}

/// All metrics of a balancer.
#[derive(Debug)]
pub(super) struct Metrics {
    pub(super) registry: Registry,
    pub(super) control_bytes: IntCounter,
    pub(super) version: IntGauge,
    pub(super) members: IntGauge,
    pub(super) zones_out: IntGauge,
    pub(super) store_age: IntGauge,
    pub(super) store_watched: IntGauge,
    pub(super) opener_seconds: Histogram,
    datagram_sizes: HistogramVec,
    openers: IntCounterVec,
    orphans: IntCounterVec,
    drops: IntCounterVec,
}

/// Metrics of one service, looked up by label once and then reused.
#[derive(Clone, Debug)]
pub(super) struct ServiceMetrics {
    pub(super) received: Histogram,
    pub(super) returned: Histogram,
    pub(super) openers: IntCounter,
    pub(super) orphans: IntCounter,
}

impl Metrics {
    pub(super) fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let seconds = HistogramOpts::new(
            "buckthornlink_opener_seconds",
            "Time from the arrival of an opener to its forwarding",
        );
        let sizes = HistogramOpts::new(
            "buckthornlink_datagram_bytes",
            "Sizes of forwarded datagrams",
        );
        let labels = &["service", "direction"];
        let metrics = Self {
            control_bytes: IntCounter::new(
                "buckthornlink_control_bytes_total",
                "Bytes of control messages sent, with headers",
            )?,
            version: IntGauge::new(
                "buckthornlink_config_version",
                "Version of the configuration in force",
            )?,
            members: IntGauge::new("buckthornlink_members", "Instances known")?,
            zones_out: IntGauge::new(
                "buckthornlink_zones_out",
                "Availability zones out of service",
            )?,
            store_age: IntGauge::new(
                "buckthornlink_store_age_ms",
                "Milliseconds since when a change in the store may have been missed",
            )?,
            store_watched: IntGauge::new(
                "buckthornlink_store_watched",
                "1 if this balancer watches the store",
            )?,
            opener_seconds: Histogram::with_opts(seconds.buckets(LATENCY_BUCKETS.to_vec()))?,
            datagram_sizes: HistogramVec::new(sizes.buckets(SIZE_BUCKETS.to_vec()), labels)?,
            openers: counter("buckthornlink_openers_total", "Openers received", "service")?,
            orphans: counter(
                "buckthornlink_orphans_total",
                "Datagrams of flows given up with their zone",
                "service",
            )?,
            drops: counter("buckthornlink_dropped_total", "Datagrams dropped", "reason")?,
            registry,
        };
        metrics.register()?;
        Ok(metrics)
    }

    pub(super) fn service_metrics(&self, service: ServicePort) -> ServiceMetrics {
        let name = service.to_string();
        ServiceMetrics {
            received: self.datagram_sizes.with_label_values(&[&name, "received"]),
            returned: self.datagram_sizes.with_label_values(&[&name, "returned"]),
            openers: self.openers.with_label_values(&[&name]),
            orphans: self.orphans.with_label_values(&[&name]),
        }
    }

    pub(super) fn record_drop(&self, reason: DropReason) {
        self.drops.with_label_values(&[reason.label()]).inc();
    }

    fn register(&self) -> prometheus::Result<()> {
        let registry = &self.registry;
        registry.register(Box::new(self.control_bytes.clone()))?;
        registry.register(Box::new(self.version.clone()))?;
        registry.register(Box::new(self.members.clone()))?;
        registry.register(Box::new(self.zones_out.clone()))?;
        registry.register(Box::new(self.store_age.clone()))?;
        registry.register(Box::new(self.store_watched.clone()))?;
        registry.register(Box::new(self.opener_seconds.clone()))?;
        registry.register(Box::new(self.datagram_sizes.clone()))?;
        registry.register(Box::new(self.openers.clone()))?;
        registry.register(Box::new(self.orphans.clone()))?;
        registry.register(Box::new(self.drops.clone()))
    }
}

fn counter(name: &str, help: &str, label: &str) -> prometheus::Result<IntCounterVec> {
    IntCounterVec::new(Opts::new(name, help), &[label])
}
