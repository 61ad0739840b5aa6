//! The forwarding path.
//!
//! Datagrams of established flows are routed by their connection id and the published snapshot.
//! Openers, control messages and load reports go to the reducer. If its queue is full, they are
//! dropped: QUIC retransmits openers, the next gossip exchange repeats the content of control
//! messages, and the next returned datagram repeats the load report.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use bytes::BytesMut;

use buckthornlink_core::FlowKey;
use buckthornlink_core::balancer::{Event, Snapshot};
use buckthornlink_core::member::{Load, Phase};
use buckthornlink_node::config_transfer::{ConfigHistory, VersionedConfig};
use buckthornlink_wire::{
    CidCodec, FlowLocation, Header, KeyRing, QuicHeaderParser, ReturnHeader, control,
};

use super::batch::BatchSocket;
use super::executor::{Job, Opener};
use super::metrics::{DropReason, Metrics};
use super::sockets::{ServiceSocket, SocketMap};

/// Interval after which an unchanged load report is passed to the reducer again.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// State shared by the receive tasks and the executor.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) ip: Ipv4Addr,
    pub(super) link: SocketAddrV4,
    pub(super) link_socket: BatchSocket,
    pub(super) keys: Arc<KeyRing>,
    pub(super) snapshot: ArcSwap<Snapshot>,
    pub(super) config: ArcSwap<VersionedConfig>,
    pub(super) history: ConfigHistory,
    pub(super) sockets: ArcSwap<SocketMap>,
    pub(super) metrics: Metrics,
}

impl Shared {
    pub(super) fn new(
        ip: Ipv4Addr,
        link: SocketAddrV4,
        link_socket: BatchSocket,
        keys: Arc<KeyRing>,
    ) -> anyhow::Result<Self> {
        Ok(Self {
            ip,
            link,
            link_socket,
            keys,
            snapshot: ArcSwap::default(),
            config: ArcSwap::default(),
            history: ConfigHistory::default(),
            sockets: ArcSwap::default(),
            metrics: Metrics::new()?,
        })
    }

    /// Sends a datagram in an envelope. A datagram that cannot be sent, for example because the
    /// socket's send buffer is full, is dropped, as on a congested network.
    pub(super) fn send(
        &self,
        to: SocketAddrV4,
        header: &Header,
        payload: &[u8],
        out: &mut BytesMut,
    ) {
        header.encode(self.keys.current(), payload, out);
        if self.link_socket.send(out, to).is_err() {
            self.metrics.record_drop(DropReason::Overload);
        }
    }
}

/// Receives the datagrams that callers send to one service.
pub(super) async fn receive_service(
    shared: Arc<Shared>,
    service: Arc<ServiceSocket>,
    jobs: flume::Sender<Job>,
) {
    let mut receiver = ServiceReceiver {
        shared,
        service,
        jobs,
        out: BytesMut::new(),
        header_parser: QuicHeaderParser::default(),
    };
    let service = Arc::clone(&receiver.service);
    loop {
        let batch = service
            .socket
            .receive(|caller, datagram| receiver.handle_datagram(caller, datagram));
        if let Err(err) = batch.await {
            log::debug!(err:% = err; "receiving from callers failed");
        }
    }
}

struct ServiceReceiver {
    shared: Arc<Shared>,
    service: Arc<ServiceSocket>,
    jobs: flume::Sender<Job>,
    out: BytesMut,
    header_parser: QuicHeaderParser,
}

impl ServiceReceiver {
    fn handle_datagram(&mut self, caller: SocketAddrV4, datagram: &[u8]) {
        #[expect(
            clippy::cast_precision_loss,
            reason = "datagrams have at most 65,535 bytes"
        )]
        self.service.metrics.received.observe(datagram.len() as f64);
        let Some(cid) = self.header_parser.destination_id(datagram) else {
            self.shared.metrics.record_drop(DropReason::NotQuic);
            return;
        };
        match CidCodec::open(&cid, &self.shared.keys) {
            Some(location) => self.forward(caller, location, datagram),
            None => self.enqueue_opener(caller, &cid, datagram, false),
        }
    }

    /// Forwards a datagram of an established flow.
    fn forward(&mut self, caller: SocketAddrV4, location: FlowLocation, datagram: &[u8]) {
        if location.service != self.service.service {
            self.shared.metrics.record_drop(DropReason::Misrouted);
            return;
        }
        if self.shared.snapshot.load().is_out(location.zone) {
            self.service.metrics.orphans.inc();
            self.enqueue_opener(caller, &[], datagram, true);
            return;
        }
        let header = Header::Flow {
            service: self.service.service,
            caller,
            via: self.shared.link,
        };
        self.shared
            .send(location.agent, &header, datagram, &mut self.out);
    }

    /// Queues a datagram for the reducer to place, since it identifies no usable agent.
    fn enqueue_opener(&self, caller: SocketAddrV4, cid: &[u8], datagram: &[u8], is_orphan: bool) {
        let service = self.service.service;
        if !is_orphan {
            self.service.metrics.openers.inc();
        }
        let opener = Opener {
            service,
            flow: FlowKey::new(service, caller, cid),
            caller,
            datagram: datagram.to_vec(),
            is_orphan,
            arrived_at: Instant::now(),
        };
        if self.jobs.try_send(Job::Opener(opener)).is_err() {
            self.shared.metrics.record_drop(DropReason::Overload);
        }
    }
}

/// Receives from agents and other balancers.
pub(super) async fn receive_link(shared: Arc<Shared>, jobs: flume::Sender<Job>) {
    let mut receiver = LinkReceiver {
        shared,
        jobs,
        last_reports: HashMap::new(),
    };
    let shared = Arc::clone(&receiver.shared);
    loop {
        let batch = shared
            .link_socket
            .receive(|from, datagram| receiver.handle_datagram(from, datagram));
        if let Err(err) = batch.await {
            log::debug!(err:% = err; "receiving on the link socket failed");
        }
    }
}

struct LinkReceiver {
    shared: Arc<Shared>,
    jobs: flume::Sender<Job>,
    last_reports: HashMap<SocketAddrV4, LastReport>,
}

/// The last load report of an agent that was passed to the reducer.
struct LastReport {
    phase: Phase,
    load: Load,
    sent_at: Instant,
}

impl LinkReceiver {
    fn handle_datagram(&mut self, from: SocketAddrV4, datagram: &[u8]) {
        match Header::decode(datagram, &self.shared.keys) {
            Ok((Header::Return(ret), start)) => self.send_to_caller(from, &ret, &datagram[start..]),
            Ok((Header::Control, start)) => self.handle_control(from, &datagram[start..]),
            Ok(_) | Err(_) => self.shared.metrics.record_drop(DropReason::Envelope),
        }
    }

    /// Sends a datagram to its caller from the socket of its service.
    fn send_to_caller(&mut self, from: SocketAddrV4, header: &ReturnHeader, payload: &[u8]) {
        self.enqueue_report(from, header.phase, header.load);
        let sockets = self.shared.sockets.load();
        let Some(service) = sockets.get(&header.service) else {
            self.shared.metrics.record_drop(DropReason::Misrouted);
            return;
        };
        #[expect(
            clippy::cast_precision_loss,
            reason = "datagrams have at most 65,535 bytes"
        )]
        service.metrics.returned.observe(payload.len() as f64);
        if service.socket.send(payload, header.caller).is_err() {
            self.shared.metrics.record_drop(DropReason::Overload);
        }
    }

    /// Passes a load report to the reducer if it changed or [`REPORT_INTERVAL`] has passed.
    fn enqueue_report(&mut self, agent: SocketAddrV4, phase: Phase, load: Load) {
        let now = Instant::now();
        let is_recent = self.last_reports.get(&agent).is_some_and(|last| {
            last.phase == phase && last.load == load && now - last.sent_at < REPORT_INTERVAL
        });
        if is_recent {
            return;
        }
        let event = Event::Report { agent, phase, load };
        if self.jobs.try_send(Job::event(event)).is_ok() {
            let last = LastReport {
                phase,
                load,
                sent_at: now,
            };
            self.last_reports.insert(agent, last);
        }
    }

    fn handle_control(&self, from: SocketAddrV4, payload: &[u8]) {
        let Ok(message) = control::decode(payload) else {
            self.shared.metrics.record_drop(DropReason::Envelope);
            return;
        };
        let event = Event::Control { from, message };
        if self.jobs.try_send(Job::event(event)).is_err() {
            self.shared.metrics.record_drop(DropReason::Overload);
        }
    }
}
