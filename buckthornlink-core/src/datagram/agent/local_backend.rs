//! What the agent observes of its own backend server, and which flows it keeps or ends by that.

use std::net::SocketAddrV4;

use super::Agent;
use crate::datagram::{BackendHeartbeat, Connection, Effect, Evidence, Heard, Reason, ServiceTag};
use crate::id::BootId;
use crate::time::Millis;

impl Agent {
    pub(super) fn receive_heartbeat(
        &mut self,
        heartbeat: &BackendHeartbeat,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if !self.is_of_backend(heartbeat) {
            let age = self.backend.age(now);
            out.push(self.decision(Reason::HeartbeatIgnored, None, age));
            return;
        }
        let was_over = self.backend.is_over();
        let heard = self.backend.receive_heartbeat(heartbeat, now);
        if heard == Heard::Contender {
            let age = self.backend.age(now);
            out.push(self.decision(Reason::HeartbeatIgnored, None, age));
        }
        if matches!(heard, Heard::Stale | Heard::Contender) {
            return;
        }
        self.update_admission();
        if was_over && matches!(heard, Heard::Current | Heard::First) {
            self.keep_ended_flows(now, out);
        }
        match heard {
            Heard::Stale | Heard::Contender | Heard::Current => {}
            Heard::First => self.begin_first_boot(now, out),
            Heard::Successor(proven_until) => {
                self.end_flows(Evidence::Replaced, proven_until, now);
                self.keep_other_flows(true);
            }
            Heard::Corrected => self.keep_other_flows(was_over),
        }
        self.update_own_fact(now, out);
        if heard != Heard::Current {
            self.decide_trials(now, out);
            self.report_ended_flows(now, out);
            self.resume_searches(now, out);
        }
    }

    /// Begins with the first boot that this process hears of, which an earlier one may have known.
    fn begin_first_boot(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.holds_earlier = !self.backend.is_tracked();
        if self.backend.has_predecessor() {
            let age = self.backend.age(now);
            out.push(self.decision(Reason::PredecessorKnown, None, age));
        }
    }

    /// Takes note of the boot of the backend server that an earlier process of this agent knew last: that one may have admitted
    /// flows of it.
    pub(super) fn record_earlier_backend(
        &mut self,
        boot: BootId,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if self.backend.record_earlier_boot(boot) {
            self.holds_earlier = true;
            let age = self.backend.age(now);
            out.push(self.decision(Reason::PredecessorKnown, None, age));
            self.update_own_fact(now, out);
        }
    }

    /// Keeps the flows that have not ended for the boot that is known from now on, and has their home agents told of it. If
    /// the end of the boot before `is_observed`, the flows recorded there have ended but for those.
    fn keep_other_flows(&mut self, is_observed: bool) {
        self.outcomes.clear();
        let is_kept = self.flows.renew_records();
        self.holds_earlier = is_kept || !is_observed;
    }

    /// Whether a heartbeat names the backend server beside this agent, and a service that it may run.
    fn is_of_backend(&self, heartbeat: &BackendHeartbeat) -> bool {
        self.is_backend_address(heartbeat.address) && self.is_known_service(heartbeat.service)
    }

    /// Whether the backend server is at this address: that of the settings, or the same port at the address of the instance.
    fn is_backend_address(&self, address: SocketAddrV4) -> bool {
        let own = self.gossip.own().ip;
        self.backend_address.is_some_and(|known| {
            address == known || address == SocketAddrV4::new(own, known.port())
        })
    }

    /// Whether a service is the one of this agent's settings or of its backend server, or is configured.
    fn is_known_service(&self, service: ServiceTag) -> bool {
        let own = self.gossip.own().service();
        own == Some(service) || self.table.services.contains_key(&service)
    }

    pub(super) fn announce_backend_end(&mut self, id: &str, now: Millis, out: &mut Vec<Effect>) {
        if self.backend.announce_end(id, now) {
            self.update_own_fact(now, out);
        }
    }

    pub(super) fn record_connection(
        &mut self,
        connection: Connection,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.backend.record_connection(connection, now);
        self.conclude_backend_end(now, out);
        self.report_ended_flows(now, out);
        self.update_own_fact(now, out);
    }

    pub(super) fn record_refused_delivery(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.backend.record_refused_delivery(now);
        self.conclude_backend_end(now, out);
    }

    /// Ends the flows of the backend server if the signs observed so far show that it has ended.
    pub(super) fn conclude_backend_end(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let idle_timeout = self.has_table().then_some(self.table.idle);
        let evidence = self.backend.conclude_end(idle_timeout, now);
        if let Some(evidence) = evidence {
            self.end_flows(evidence, now, now);
            self.update_own_fact(now, out);
        }
    }

    /// Records a packet of the backend server; one that was taken for ended keeps its flows.
    pub(super) fn record_backend_life(
        &mut self,
        is_bounced: bool,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if self.backend.record_packet(is_bounced, now) {
            self.keep_ended_flows(now, out);
            self.update_own_fact(now, out);
        }
    }
}
