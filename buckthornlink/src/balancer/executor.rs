//! Runs the reducer and performs its effects.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use buckthornlink_core::balancer::{
    Balancer, Candidate, Effect, Event, Setup, Snapshot, TICK_INTERVAL,
};
use buckthornlink_core::member::Fact;
use buckthornlink_core::message::Message;
use buckthornlink_core::{FlowKey, ServicePort, Version};
use buckthornlink_node::clock::{Clock, millis_since};
use buckthornlink_node::config_transfer::{self, VersionedConfig};
use buckthornlink_node::event_loop;
use buckthornlink_node::store_sync::{StoreSync, Update};
use buckthornlink_node::trace::Recorder;
use buckthornlink_wire::{Header, IP_UDP_HEADER_BYTES, control};

use super::contacts;
use super::forward::{Shared, receive_service};
use super::metrics::DropReason;
use super::sockets::{self, ReceiveTasks, ServiceSocket, SocketMap};
use super::status::Status;

/// Work for the task that runs the reducer.
pub(super) enum Job {
    /// An event without a datagram.
    Event(Box<Event>),
    /// What was read from the store.
    Store(Box<Update>),
    /// An opener: a datagram for the reducer to place.
    Opener(Opener),
    /// A peer's request for agents of a service.
    Contacts(ServicePort, oneshot::Sender<Vec<Fact>>),
    /// A request for the current status.
    Status(oneshot::Sender<Status>),
}

/// A datagram that the reducer places on an agent: the first of a flow, or one of a flow whose
/// agent is in a zone out of service.
pub(super) struct Opener {
    pub(super) service: ServicePort,
    pub(super) flow: FlowKey,
    pub(super) caller: SocketAddrV4,
    pub(super) datagram: Vec<u8>,
    /// Whether the flow's agent is in a zone out of service; another agent then resets the flow.
    pub(super) is_orphan: bool,
    pub(super) arrived_at: Instant,
}

impl Job {
    pub(super) fn event(event: Event) -> Self {
        Self::Event(Box::new(event))
    }
}

impl From<Update> for Job {
    fn from(update: Update) -> Self {
        Self::Store(Box::new(update))
    }
}

/// The event for what was read from the store, which is handled now.
fn store_event(update: Update) -> Event {
    match update {
        Update::Config { version, config } => Event::Config { version, config },
        Update::Zone(record) => Event::Zone(record),
        Update::Answered(at) => Event::StoreAnswered(millis_since(at)),
        Update::Failed => Event::StoreFailed,
    }
}

impl Opener {
    const fn event(&self) -> Event {
        Event::Opener {
            service: self.service,
            flow: self.flow,
        }
    }
}

/// The reducer, with the resources needed to perform its effects.
pub(super) struct Executor {
    state: Balancer,
    clock: Clock,
    shared: Arc<Shared>,
    jobs: flume::Sender<Job>,
    store_sync: StoreSync,
    recorder: Option<Recorder>,
    http: reqwest::Client,
    receive_tasks: ReceiveTasks,
    tasks: JoinSet<()>,
    last_fetch: Option<(Version, Instant)>,
    pending_openers: HashMap<ServicePort, Vec<Opener>>,
    out: BytesMut,
}

/// Maximum number of openers kept for one service while its agents are being fetched.
const MAX_PENDING_OPENERS: usize = 256;
/// Minimum interval before the fetch of a version is started again.
const FETCH_RETRY_INTERVAL: Duration = Duration::from_secs(1);

impl Executor {
    pub(super) fn new(
        setup: Setup,
        shared: Arc<Shared>,
        jobs: flume::Sender<Job>,
        store_sync: StoreSync,
        recorder: Option<Recorder>,
    ) -> Self {
        Self {
            state: Balancer::new(setup),
            clock: Clock::start(),
            shared,
            jobs,
            store_sync,
            recorder,
            http: config_transfer::http_client(),
            receive_tasks: ReceiveTasks::default(),
            tasks: JoinSet::new(),
            last_fetch: None,
            pending_openers: HashMap::new(),
            out: BytesMut::new(),
        }
    }

    /// Opens the sockets of the services that are served before a configuration is known.
    pub(super) fn open_services(&mut self, ports: &[u16]) {
        let mut sockets = SocketMap::new();
        for service in ports.iter().copied().map(ServicePort) {
            if let Some(socket) = self.open_service(service) {
                sockets.insert(service, socket);
            }
        }
        self.shared.sockets.store(Arc::new(sockets));
    }

    /// Handles jobs and periodic ticks until the task is aborted.
    pub(super) async fn run(mut self, queue: flume::Receiver<Job>) {
        let tick = || Job::event(Event::Tick);
        event_loop::run(queue, TICK_INTERVAL, tick, |job| self.handle_job(job)).await;
    }

    fn handle_job(&mut self, job: Job) {
        match job {
            Job::Event(event) => match *event {
                Event::Contacts { service, .. } => {
                    self.reduce(*event, None);
                    self.place_pending(service);
                }
                event => self.reduce(event, None),
            },
            Job::Store(update) => self.reduce(store_event(*update), None),
            Job::Opener(opener) => self.place_opener(opener),
            Job::Contacts(service, reply) => drop(reply.send(self.state.contacts(service))),
            Job::Status(reply) => drop(reply.send(Status::new(&self.state, self.clock.now()))),
        }
    }

    /// Places an opener. While agents of its service are being fetched, it is also kept for another
    /// attempt.
    fn place_opener(&mut self, opener: Opener) {
        let service = opener.service;
        self.reduce(opener.event(), Some(&opener));
        if let Some(pending) = self.pending_openers.get_mut(&service)
            && pending.len() < MAX_PENDING_OPENERS
        {
            pending.push(opener);
        }
    }

    /// Places the openers of a service that were kept while its agents were being fetched.
    fn place_pending(&mut self, service: ServicePort) {
        for opener in self.pending_openers.remove(&service).unwrap_or_default() {
            self.reduce(opener.event(), Some(&opener));
        }
    }

    fn reduce(&mut self, event: Event, opener: Option<&Opener>) {
        let now = self.clock.now();
        let is_tick = event == Event::Tick;
        let recorded = self.recorder.as_ref().map(|_| event.clone());
        let effects = self.state.reduce(event, now);
        if let (Some(recorder), Some(event)) = (&self.recorder, recorded) {
            recorder.record(now, &event, &effects);
        }
        for effect in effects {
            self.perform(effect, opener);
        }
        if is_tick {
            self.update_gauges();
        }
    }

    fn perform(&mut self, effect: Effect, opener: Option<&Opener>) {
        match effect {
            Effect::Forward(candidates) => self.forward_opener(&candidates, opener),
            Effect::Drop => self.drop_opener(opener),
            Effect::Send { to, message } => self.send_message(to, &message),
            Effect::Fetch { from, version } => self.fetch_config(from, version),
            Effect::FetchContacts { service, from } => self.fetch_contacts(service, from),
            Effect::Publish(snapshot) => self.publish(snapshot),
            Effect::Watch(watching) => self.set_watching(watching),
        }
    }

    fn set_watching(&self, watching: bool) {
        let age_ms = self.state.store_age(self.clock.now()).0;
        log::info!(watching, age_ms; "reads of the store change");
        self.shared.metrics.store_watched.set(watching.into());
        self.store_sync.set_watching(watching);
    }

    /// Counts an opener that cannot be placed as dropped, unless agents of its service are being
    /// fetched.
    fn drop_opener(&self, opener: Option<&Opener>) {
        let is_pending = opener.is_some_and(|o| self.pending_openers.contains_key(&o.service));
        if !is_pending {
            self.shared.metrics.record_drop(DropReason::Unroutable);
        }
    }

    fn forward_opener(&mut self, candidates: &[Candidate], opener: Option<&Opener>) {
        let (Some(first), Some(opener)) = (candidates.first(), opener) else {
            return;
        };
        let Opener {
            service, caller, ..
        } = *opener;
        let via = self.shared.link;
        let header = if opener.is_orphan {
            Header::Orphan {
                service,
                caller,
                via,
            }
        } else {
            Header::Opener {
                service,
                caller,
                via,
                hops: 0,
                rest: candidates[1..].to_vec(),
            }
        };
        self.shared
            .send(first.addr, &header, &opener.datagram, &mut self.out);
        let elapsed = opener.arrived_at.elapsed().as_secs_f64();
        self.shared.metrics.opener_seconds.observe(elapsed);
    }

    fn send_message(&mut self, to: SocketAddrV4, message: &Message) {
        match control::encode(message) {
            Ok(bytes) => {
                self.shared
                    .send(to, &Header::Control, &bytes, &mut self.out);
                let sent = self.out.len() + IP_UDP_HEADER_BYTES;
                self.shared.metrics.control_bytes.inc_by(sent as u64);
            }
            Err(err) => log::error!(err:% = err; "control message cannot be encoded"),
        }
    }

    /// Fetches the configuration from a peer, unless a fetch of this or a later version was started
    /// less than [`FETCH_RETRY_INTERVAL`] ago.
    fn fetch_config(&mut self, from: SocketAddrV4, version: Version) {
        let is_recent = self
            .last_fetch
            .is_some_and(|(wanted, at)| wanted >= version && at.elapsed() < FETCH_RETRY_INTERVAL);
        if is_recent {
            return;
        }
        self.last_fetch = Some((version, Instant::now()));
        let http = self.http.clone();
        let keys = Arc::clone(&self.shared.keys);
        let jobs = self.jobs.clone();
        let base = self.shared.config.load_full();
        self.tasks.spawn(async move {
            match config_transfer::fetch_config(&http, from, None, &base, &keys).await {
                Ok(VersionedConfig { version, config }) => {
                    let event = Event::Config { version, config };
                    let _ = jobs.send_async(Job::event(event)).await;
                }
                Err(err) => log::debug!(from:% = from, err:% = err; "configuration not fetched"),
            }
        });
    }

    fn fetch_contacts(&mut self, service: ServicePort, from: Vec<SocketAddrV4>) {
        self.pending_openers.entry(service).or_default();
        let http = self.http.clone();
        let keys = Arc::clone(&self.shared.keys);
        let jobs = self.jobs.clone();
        self.tasks.spawn(async move {
            let facts = contacts::fetch(&http, &from, service, &keys).await;
            let event = Event::Contacts { service, facts };
            let _ = jobs.send_async(Job::event(event)).await;
        });
    }

    /// Opens and closes service sockets, then publishes the snapshot to the forwarding path.
    fn publish(&mut self, snapshot: Snapshot) {
        log::info!(version:% = snapshot.version, zones_out = snapshot.zones_out.len();
            "configuration and zones in force");
        let old = self.shared.sockets.load_full();
        let mut sockets = (*old).clone();
        sockets.retain(|service, _| snapshot.has_service(*service));
        self.receive_tasks.retain(&snapshot.services);
        for &service in &snapshot.services {
            if sockets.contains_key(&service) {
                continue;
            }
            if let Some(socket) = self.open_service(service) {
                sockets.insert(service, socket);
            }
        }
        let config = VersionedConfig {
            version: self.state.version(),
            config: self.state.config().clone(),
        };
        let old = self.shared.config.load_full();
        if old.version != config.version {
            self.shared.history.record(&old, &config);
        }
        self.shared.sockets.store(Arc::new(sockets));
        self.shared.config.store(Arc::new(config));
        self.shared.snapshot.store(Arc::new(snapshot));
    }

    fn open_service(&mut self, service: ServicePort) -> Option<Arc<ServiceSocket>> {
        let socket = match sockets::bind(self.shared.ip, service) {
            Ok(socket) => socket,
            Err(err) => {
                log::error!(service:% = service, err:% = err; "service socket cannot be bound");
                return None;
            }
        };
        let service_socket = Arc::new(ServiceSocket {
            service,
            socket,
            metrics: self.shared.metrics.service_metrics(service),
        });
        let receive = receive_service(
            Arc::clone(&self.shared),
            Arc::clone(&service_socket),
            self.jobs.clone(),
        );
        self.receive_tasks
            .insert(service, self.tasks.spawn(receive));
        Some(service_socket)
    }

    fn update_gauges(&mut self) {
        while self.tasks.try_join_next().is_some() {}
        let metrics = &self.shared.metrics;
        let version = i64::try_from(self.state.version().0).unwrap_or(i64::MAX);
        metrics.version.set(version);
        let members = i64::try_from(self.state.members().len()).unwrap_or(i64::MAX);
        metrics.members.set(members);
        let age = self.state.store_age(self.clock.now());
        metrics
            .store_age
            .set(i64::try_from(age.0).unwrap_or(i64::MAX));
        let out = self.state.zones().iter().filter(|z| z.out).count();
        metrics
            .zones_out
            .set(i64::try_from(out).unwrap_or(i64::MAX));
    }
}
