//! Balancers that exchange messages and read a store, in virtual time, while some of them are lost.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

use buckthornlink_core::balancer::{Balancer, Effect, Event, Policy, Setup, TICK_INTERVAL};
use buckthornlink_core::config::Config;
use buckthornlink_core::member::{Phase, ZoneRecord, ZoneSeq};
use buckthornlink_core::message::Message;
use buckthornlink_core::{BootId, Millis, Version, ZoneTag};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const STEP: Millis = Millis(5);
/// Time from sending a message, or a call to the store, to its arrival.
const LATENCY: Millis = Millis(5);
/// Interval at which a watch asks the store whether it has missed a change.
const CHECK_INTERVAL: Millis = Millis(2_000);
/// Time after which a call fails that the store does not answer, and until it is made again.
const CALL_TIMEOUT: Millis = Millis(2_000);
const RETRY_DELAY: Millis = Millis(150);
/// Minimum interval before the fetch of a version is started again.
const FETCH_RETRY_INTERVAL: Millis = Millis(1_000);
/// Inputs that a paused balancer has room for.
const INBOX_CAPACITY: usize = 4_096;
/// Time in which all balancers become known to each other.
const SETTLE_TIME: Millis = Millis(30_000);

/// What happens to a balancer that is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Its process ends without a word.
    Killed,
    /// Its process does not run.
    Paused,
}

/// Balancers of one zone or more, and the store that they read.
pub struct Balancers {
    pub zones: u16,
    instances: BTreeMap<SocketAddrV4, Instance>,
    inputs: BTreeMap<Millis, Vec<(SocketAddrV4, Input)>>,
    /// Number of the latest edit.
    edit: u64,
    edited_at: Millis,
    /// Balancers whose calls the store does not answer.
    refused: BTreeSet<SocketAddrV4>,
    /// Balancers that began to watch.
    pub joins: Vec<(Millis, SocketAddrV4)>,
    /// Calls to the store so far.
    pub calls: usize,
    /// Bytes of control messages sent so far.
    pub bytes: usize,
    pub now: Millis,
    rng: Pcg64Mcg,
}

struct Instance {
    state: Balancer,
    loss: Option<Loss>,
    started_at: Millis,
    tick_offset: u64,
    is_watching: bool,
    /// Number of the latest call to the store, whose answer is not ignored.
    call: u32,
    /// Whether changes are delivered to it as they happen.
    has_stream: bool,
    last_fetch: Option<(Version, Millis)>,
    /// What waits for a paused balancer.
    inbox: Vec<Input>,
}

/// What reaches a balancer at a certain time.
enum Input {
    Message(SocketAddrV4, Message),
    /// The configuration of another balancer.
    FetchFrom(SocketAddrV4),
    /// The edit that a watch delivers.
    Change(u32, u64),
    /// The time has come for a call to the store.
    Call(u32),
    /// The store's answer to a call that was made at a time: the latest edit, or a failure.
    Answer(u32, Millis, Option<u64>),
}

impl Balancers {
    /// Starts `size` balancers at once in `zones` zones and runs them until they know each other.
    pub fn start(size: u16, zones: u16, seed: u64) -> Self {
        let mut fleet = Self {
            zones,
            instances: BTreeMap::new(),
            inputs: BTreeMap::new(),
            edit: 1,
            edited_at: Millis(0),
            refused: BTreeSet::new(),
            joins: Vec::new(),
            calls: 0,
            bytes: 0,
            now: Millis(0),
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        for host in 0..size {
            fleet.add(host, host % zones);
        }
        fleet.run(SETTLE_TIME);
        fleet.joins.clear();
        fleet.calls = 0;
        fleet.bytes = 0;
        fleet
    }

    fn add(&mut self, host: u16, zone: u16) {
        let addr = address(host);
        let setup = Setup {
            addr,
            zone: ZoneTag(zone),
            boot: BootId(1),
            policy: Policy::Adaptive,
            entry: address(u16::MAX),
            control_bytes: 4_000,
            seed: self.rng.next_u64(),
        };
        let instance = Instance {
            state: Balancer::new(setup),
            loss: None,
            started_at: self.now,
            tick_offset: self.random(TICK_INTERVAL.0),
            is_watching: false,
            call: 0,
            has_stream: false,
            last_fetch: None,
            inbox: Vec::new(),
        };
        self.instances.insert(addr, instance);
    }

    /// A random number below `limit`.
    pub fn random(&mut self, limit: u64) -> u64 {
        self.rng.next_u64() % limit
    }

    /// Balancers that are not lost.
    pub fn left(&self) -> Vec<SocketAddrV4> {
        self.having(|i| i.loss.is_none())
    }

    /// Balancers that are paused.
    pub fn paused(&self) -> Vec<SocketAddrV4> {
        self.having(|i| i.loss == Some(Loss::Paused))
    }

    /// Whether some balancer that is not lost holds `addr` for silent.
    pub fn is_held_for_silent(&self, addr: SocketAddrV4) -> bool {
        let left = self.left().into_iter().map(|a| &self.instances[&a].state);
        let mut views = left.filter_map(|state| state.members().at(addr));
        views.any(|member| member.fact.phase == Phase::Silent)
    }

    /// Balancers that are not lost and watch the store.
    pub fn watchers(&self) -> Vec<SocketAddrV4> {
        self.having(|i| i.loss.is_none() && i.is_watching)
    }

    fn having(&self, has: impl Fn(&Instance) -> bool) -> Vec<SocketAddrV4> {
        let found = self.instances.iter().filter(|(_, i)| has(i));
        found.map(|(&addr, _)| addr).collect()
    }

    pub fn lose(&mut self, addr: SocketAddrV4, loss: Loss) {
        if let Some(instance) = self.instances.get_mut(&addr) {
            instance.loss = Some(loss);
        }
    }

    /// Lets a paused balancer go on, which first ticks and then handles what has waited for it.
    pub fn resume(&mut self, addr: SocketAddrV4) {
        let Some(instance) = self.instances.get_mut(&addr) else {
            return;
        };
        instance.loss = None;
        let inbox = std::mem::take(&mut instance.inbox);
        self.reduce(addr, Event::Tick);
        for input in inbox {
            self.handle(addr, input);
        }
    }

    /// The store answers all calls, or none but those of `served`.
    pub fn set_outage(&mut self, is_out: bool, served: &[SocketAddrV4]) {
        let all = self.instances.keys().copied();
        self.refused = all.filter(|a| is_out && !served.contains(a)).collect();
    }

    /// The operators change the configuration, and take a zone out of service or back.
    pub fn edit(&mut self) {
        self.edit += 1;
        self.edited_at = self.now;
        let mut watching = self.having(|i| i.has_stream);
        watching.retain(|addr| !self.refused.contains(addr));
        for addr in watching {
            let call = self.instances[&addr].call;
            let edit = self.edit;
            self.schedule(LATENCY, addr, Input::Change(call, edit));
        }
    }

    /// Whether the latest edit is in force at a balancer.
    pub fn is_current(&self, addr: SocketAddrV4) -> bool {
        let state = &self.instances[&addr].state;
        let mut zones = state.zones().iter();
        let knows_zone = zones.any(|r| *r == zone_record(self.edit));
        state.version().0 == self.edit && knows_zone
    }

    /// Whether a balancer has missed an edit that it believes to know of, by more than `tolerance`.
    pub fn has_false_age(&self, addr: SocketAddrV4, tolerance: Millis) -> bool {
        let is_believed = self.store_age(addr) + tolerance < self.now.since(self.edited_at);
        is_believed && !self.is_current(addr)
    }

    /// How old a balancer believes its knowledge of the store to be.
    pub fn store_age(&self, addr: SocketAddrV4) -> Millis {
        let instance = &self.instances[&addr];
        let now = self.now.since(instance.started_at);
        instance.state.store_age(now)
    }

    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now = self.now + STEP;
        let later = self.inputs.split_off(&(self.now + Millis(1)));
        let due = std::mem::replace(&mut self.inputs, later);
        for (addr, input) in due.into_values().flatten() {
            self.handle(addr, input);
        }
        for addr in self.left() {
            let offset = self.instances[&addr].tick_offset + self.now.0;
            if offset % TICK_INTERVAL.0 < STEP.0 {
                self.reduce(addr, Event::Tick);
            }
        }
    }

    fn schedule(&mut self, delay: Millis, addr: SocketAddrV4, input: Input) {
        let inputs = self.inputs.entry(self.now + delay).or_default();
        inputs.push((addr, input));
    }

    fn handle(&mut self, addr: SocketAddrV4, input: Input) {
        let Some(instance) = self.instances.get_mut(&addr) else {
            return;
        };
        match instance.loss {
            Some(Loss::Killed) => return,
            Some(Loss::Paused) => {
                if instance.inbox.len() < INBOX_CAPACITY {
                    instance.inbox.push(input);
                }
                return;
            }
            None => {}
        }
        let latest_call = instance.call;
        match input {
            Input::Message(from, message) => self.reduce(addr, Event::Control { from, message }),
            Input::FetchFrom(from) => {
                let source = self.instances.get(&from).filter(|i| i.loss.is_none());
                if let Some(version) = source.map(|i| i.state.version()) {
                    let config = Config::default();
                    self.reduce(addr, Event::Config { version, config });
                }
            }
            Input::Change(call, edit) if call == latest_call => self.report(addr, edit),
            Input::Call(call) if call == latest_call => self.call_store(addr),
            Input::Answer(call, asked_at, answer) if call == latest_call => {
                self.handle_answer(addr, asked_at, answer);
            }
            Input::Change(..) | Input::Call(..) | Input::Answer(..) => {}
        }
    }

    /// Calls the store, which answers unless it refuses this balancer.
    fn call_store(&mut self, addr: SocketAddrV4) {
        self.calls += 1;
        let is_refused = self.refused.contains(&addr);
        let answer = (!is_refused).then_some(self.edit);
        let delay = if is_refused {
            CALL_TIMEOUT
        } else {
            LATENCY + LATENCY
        };
        let call = self.instances[&addr].call;
        self.schedule(delay, addr, Input::Answer(call, self.now, answer));
    }

    fn handle_answer(&mut self, addr: SocketAddrV4, asked_at: Millis, answer: Option<u64>) {
        let delay = if let Some(edit) = answer {
            self.report(addr, edit);
            let age = self.now.since(asked_at);
            self.reduce(addr, Event::StoreAnswered(age));
            CHECK_INTERVAL
        } else {
            self.reduce(addr, Event::StoreFailed);
            RETRY_DELAY
        };
        let Some(instance) = self.instances.get_mut(&addr) else {
            return;
        };
        instance.has_stream = instance.is_watching && answer.is_some();
        if instance.is_watching {
            let call = instance.call;
            self.schedule(delay, addr, Input::Call(call));
        }
    }

    /// Reports the records as of an edit.
    fn report(&mut self, addr: SocketAddrV4, edit: u64) {
        self.reduce(addr, Event::Zone(zone_record(edit)));
        let version = Version(edit);
        let config = Config::default();
        self.reduce(addr, Event::Config { version, config });
    }

    fn reduce(&mut self, addr: SocketAddrV4, event: Event) {
        let Some(instance) = self.instances.get_mut(&addr) else {
            return;
        };
        if instance.loss.is_some() {
            return;
        }
        let now = self.now.since(instance.started_at);
        for effect in instance.state.reduce(event, now) {
            self.perform(addr, effect);
        }
    }

    fn perform(&mut self, addr: SocketAddrV4, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                self.bytes += message.size();
                let to = if to == address(u16::MAX) {
                    let left = self.left();
                    let index = self.random(left.len() as u64);
                    left[usize::try_from(index).unwrap()]
                } else {
                    to
                };
                self.schedule(LATENCY, to, Input::Message(addr, message));
            }
            Effect::Fetch { from, version } => self.fetch(addr, from, version),
            Effect::Watch(is_watching) => self.set_watching(addr, is_watching),
            _ => {}
        }
    }

    fn fetch(&mut self, addr: SocketAddrV4, from: SocketAddrV4, version: Version) {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(&addr) else {
            return;
        };
        let is_recent = instance
            .last_fetch
            .is_some_and(|(wanted, at)| wanted >= version && now.since(at) < FETCH_RETRY_INTERVAL);
        if !is_recent {
            instance.last_fetch = Some((version, now));
            self.schedule(LATENCY + LATENCY, addr, Input::FetchFrom(from));
        }
    }

    fn set_watching(&mut self, addr: SocketAddrV4, is_watching: bool) {
        if let Some(instance) = self.instances.get_mut(&addr) {
            instance.is_watching = is_watching;
            instance.has_stream = false;
            instance.call += 1;
        }
        if is_watching {
            self.joins.push((self.now, addr));
            self.call_store(addr);
        }
    }
}

/// The record of the zone that operators take out of service and back.
fn zone_record(edit: u64) -> ZoneRecord {
    ZoneRecord {
        zone: ZoneTag::of("other"),
        seq: ZoneSeq {
            epoch: 1,
            number: edit,
        },
        out: edit.is_multiple_of(2),
    }
}

fn address(host: u16) -> SocketAddrV4 {
    let [high, low] = host.to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 4_000)
}
