//! Feeds events to the agent's reducer and performs the effects that it returns.

use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use tokio::net::UdpSocket;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;

use buckthornlink_core::agent::{
    Agent, Effect, Event, FlowId, Request, Setup, TICK_INTERVAL, Ticket,
};
use buckthornlink_core::message::Message;
use buckthornlink_core::verdict::Refusal;
use buckthornlink_core::{Verdict, Version};
use buckthornlink_node::clock::Clock;
use buckthornlink_node::config_transfer::{self, VersionedConfig};
use buckthornlink_node::event_loop;
use buckthornlink_node::trace::Recorder;
use buckthornlink_wire::{Header, IP_UDP_HEADER_BYTES, KeyRing, control};

use crate::dependency_waits::DependencyWaits;
use crate::metrics::{DropReason, Metrics};
use crate::response::{BackendResponse, ResponseCache};
use crate::socket::{IncomingDatagram, ReturnPaths};

/// Minimum interval before the fetch of a version is started again.
const FETCH_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Work for the task that runs the reducer.
pub(crate) enum Job {
    /// An event without a reply.
    Event(Event),
    /// An opener: the event and the datagram.
    Opener(Event, Opener),
    /// A caller asks to open a flow; the reply is dropped if the flow is refused.
    AdmitFlow(FlowId, oneshot::Sender<watch::Receiver<FlowCommand>>),
    /// A request, and the sender for the decisions about it.
    Request(Request, flume::Sender<Decision>),
}

/// A datagram that opens a flow, and the path by which it came.
pub(crate) struct Opener {
    pub(crate) caller: SocketAddrV4,
    pub(crate) via: SocketAddrV4,
    pub(crate) hops: u8,
    pub(crate) datagram: Vec<u8>,
}

/// Command to the task that serves a flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum FlowCommand {
    /// Serve requests.
    #[default]
    Serve,
    /// Send GOAWAY, so that the caller moves to a new flow, and finish the running requests.
    Move,
    /// Close the connection at once, because the zone is out of service.
    Close,
}

/// The reducer's decision about a request.
#[derive(Clone, Debug)]
pub(crate) enum Decision {
    /// Send it to the backend server.
    Run,
    /// Stop waiting for the backend server's response.
    Abort,
    /// Refuse it without running it, or after it ended without a response.
    Refuse(Verdict, Refusal),
    /// Answer it with the cached response to an earlier attempt.
    Replay(Arc<BackendResponse>),
}

/// State that the executor shares with other tasks.
#[derive(Clone)]
pub(crate) struct Shared {
    pub(crate) link_socket: Arc<UdpSocket>,
    pub(crate) keys: Arc<KeyRing>,
    pub(crate) return_paths: Arc<ReturnPaths>,
    pub(crate) response_cache: Arc<ResponseCache>,
    pub(crate) dependency_waits: Arc<DependencyWaits>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) config: watch::Sender<Arc<VersionedConfig>>,
    pub(crate) drained: watch::Sender<bool>,
    pub(crate) clock: Clock,
}

/// The reducer, with the resources needed to perform its effects.
pub(crate) struct Executor {
    state: Agent,
    setup: Setup,
    shared: Shared,
    to_quic: flume::Sender<IncomingDatagram>,
    jobs: flume::Sender<Job>,
    recorder: Option<Recorder>,
    flows: HashMap<FlowId, watch::Sender<FlowCommand>>,
    admission_reply: Option<oneshot::Sender<watch::Receiver<FlowCommand>>>,
    requests: HashMap<Ticket, flume::Sender<Decision>>,
    http: reqwest::Client,
    last_fetch: Option<(Version, Instant)>,
    tasks: JoinSet<()>,
    out: BytesMut,
}

impl Executor {
    pub(crate) fn new(
        setup: Setup,
        shared: Shared,
        to_quic: flume::Sender<IncomingDatagram>,
        jobs: flume::Sender<Job>,
        recorder: Option<Recorder>,
    ) -> Self {
        Self {
            state: Agent::new(setup.clone()),
            setup,
            shared,
            to_quic,
            jobs,
            recorder,
            flows: HashMap::new(),
            admission_reply: None,
            requests: HashMap::new(),
            http: config_transfer::http_client(),
            last_fetch: None,
            tasks: JoinSet::new(),
            out: BytesMut::new(),
        }
    }

    /// Handles jobs and periodic ticks until the task is aborted.
    pub(crate) async fn run(mut self, queue: flume::Receiver<Job>) {
        let tick = || Job::Event(Event::Tick);
        event_loop::run(queue, TICK_INTERVAL, tick, |job| self.handle_job(job)).await;
    }

    fn handle_job(&mut self, job: Job) {
        match job {
            Job::Event(event) => self.reduce(event, None),
            Job::Opener(event, opener) => self.reduce(event, Some(opener)),
            Job::AdmitFlow(flow, reply) => {
                self.admission_reply = Some(reply);
                self.reduce(Event::FlowAsked(flow), None);
            }
            Job::Request(request, decisions) => {
                self.requests.insert(request.ticket, decisions);
                self.reduce(Event::Request(request), None);
            }
        }
    }

    fn reduce(&mut self, event: Event, opener: Option<Opener>) {
        let now = self.shared.clock.now();
        self.remove_ended(&event);
        let recorded = self.recorder.as_ref().map(|_| event.clone());
        let version = self.state.version();
        let effects = self.state.reduce(event, now);
        if let (Some(recorder), Some(event)) = (&self.recorder, recorded) {
            recorder.record(now, &event, &effects);
        }
        if version != self.state.version() {
            self.publish_config();
        }
        self.shared
            .return_paths
            .set_report(self.state.fact().phase, self.state.load());
        let mut opener = opener;
        for effect in effects {
            self.perform(effect, &mut opener);
        }
        self.update_gauges();
    }

    /// Removes the sender of a flow that was closed or a request that was cancelled.
    fn remove_ended(&mut self, event: &Event) {
        match event {
            Event::FlowClosed(flow) => drop(self.flows.remove(flow)),
            Event::Cancelled(ticket) => drop(self.requests.remove(ticket)),
            _ => {}
        }
    }

    fn perform(&mut self, effect: Effect, opener: &mut Option<Opener>) {
        match effect {
            Effect::Accept => self.accept_opener(opener.take()),
            Effect::HandOn { to, rest } => self.hand_off(to, rest, opener.take()),
            Effect::OpenFlow(flow) => self.open_flow(flow),
            Effect::RefuseFlow(_) => self.admission_reply = None,
            Effect::MoveFlows(flows) => self.command_flows(&flows, FlowCommand::Move),
            Effect::GiveUpFlows => {
                let flows: Vec<_> = self.flows.keys().copied().collect();
                self.command_flows(&flows, FlowCommand::Close);
            }
            Effect::Run(ticket) => self.send_decision(ticket, Decision::Run),
            Effect::Abort(ticket) => self.send_decision(ticket, Decision::Abort),
            Effect::Refuse {
                ticket,
                verdict,
                refusal,
            } => {
                self.send_decision(ticket, Decision::Refuse(verdict, refusal));
                self.requests.remove(&ticket);
            }
            Effect::Replay { ticket, original } => self.replay(ticket, original),
            Effect::Forget(ticket) => self.shared.response_cache.remove(ticket),
            Effect::Send { to, message } => self.send_message(to, &message),
            Effect::Fetch { from, version } => self.fetch_config(from, version),
            Effect::Drained => drop(self.shared.drained.send_replace(true)),
        }
    }

    fn accept_opener(&self, opener: Option<Opener>) {
        let Some(opener) = opener else {
            return;
        };
        self.shared
            .return_paths
            .record_path(opener.caller, opener.via);
        let incoming = IncomingDatagram {
            caller: opener.caller,
            datagram: opener.datagram,
        };
        if self.to_quic.try_send(incoming).is_err() {
            self.shared.metrics.record_drop(DropReason::Overload);
        }
    }

    fn hand_off(
        &mut self,
        to: SocketAddrV4,
        rest: Vec<buckthornlink_core::balancer::Candidate>,
        opener: Option<Opener>,
    ) {
        let Some(opener) = opener else {
            return;
        };
        let header = Header::Opener {
            service: self.setup.service,
            caller: opener.caller,
            via: opener.via,
            hops: opener.hops + 1,
            rest,
        };
        self.transmit(to, &header, &opener.datagram);
    }

    fn open_flow(&mut self, flow: FlowId) {
        let (sender, commands) = watch::channel(FlowCommand::default());
        self.flows.insert(flow, sender);
        if let Some(reply) = self.admission_reply.take() {
            let _ = reply.send(commands);
        }
    }

    fn command_flows(&self, flows: &[FlowId], command: FlowCommand) {
        for flow in flows {
            if let Some(sender) = self.flows.get(flow) {
                sender.send_replace(command);
            }
        }
    }

    fn send_decision(&self, ticket: Ticket, decision: Decision) {
        if let Some(sender) = self.requests.get(&ticket) {
            let _ = sender.try_send(decision);
        }
    }

    fn replay(&mut self, ticket: Ticket, original: Ticket) {
        let decision = match self.shared.response_cache.get(original) {
            Some(response) => Decision::Replay(response),
            None => Decision::Refuse(Verdict::MayHaveRun, Refusal::OutcomeUnknown),
        };
        self.send_decision(ticket, decision);
        self.requests.remove(&ticket);
    }

    fn send_message(&mut self, to: SocketAddrV4, message: &Message) {
        match control::encode(message) {
            Ok(bytes) => {
                self.transmit(to, &Header::Control, &bytes);
                let sent = self.out.len() + IP_UDP_HEADER_BYTES;
                self.shared.metrics.control_bytes.inc_by(sent as u64);
            }
            Err(err) => log::error!(err:% = err; "control message cannot be encoded"),
        }
    }

    fn transmit(&mut self, to: SocketAddrV4, header: &Header, payload: &[u8]) {
        header.encode(self.shared.keys.current(), payload, &mut self.out);
        if self
            .shared
            .link_socket
            .try_send_to(&self.out, SocketAddr::V4(to))
            .is_err()
        {
            self.shared.metrics.record_drop(DropReason::Overload);
        }
    }

    /// Fetches the configuration from a balancer, unless a fetch of this or a later version was
    /// started less than [`FETCH_RETRY_INTERVAL`] ago.
    fn fetch_config(&mut self, from: SocketAddrV4, version: Version) {
        let is_recent = self.last_fetch.is_some_and(|(wanted, since)| {
            wanted >= version && since.elapsed() < FETCH_RETRY_INTERVAL
        });
        if is_recent {
            return;
        }
        self.last_fetch = Some((version, Instant::now()));
        let http = self.http.clone();
        let keys = Arc::clone(&self.shared.keys);
        let jobs = self.jobs.clone();
        let name = self.setup.name.clone();
        let base = self.shared.config.borrow().clone();
        self.tasks.spawn(async move {
            match config_transfer::fetch_config(&http, from, Some(&name), &base, &keys).await {
                Ok(VersionedConfig { version, config }) => {
                    let event = Event::Config { version, config };
                    let _ = jobs.send_async(Job::Event(event)).await;
                }
                Err(err) => log::debug!(from:% = from, err:% = err; "configuration not fetched"),
            }
        });
    }

    fn publish_config(&self) {
        let config = VersionedConfig {
            version: self.state.version(),
            config: self.state.config().clone(),
        };
        log::info!(version:% = config.version; "configuration in force");
        self.shared.config.send_replace(Arc::new(config));
    }

    fn update_gauges(&mut self) {
        while self.tasks.try_join_next().is_some() {}
        let metrics = &self.shared.metrics;
        metrics.flows.set(i64::from(self.state.load().flows));
        metrics.limit.set(i64::from(self.state.limit()));
        let version = i64::try_from(self.state.version().0).unwrap_or(i64::MAX);
        metrics.version.set(version);
    }
}
