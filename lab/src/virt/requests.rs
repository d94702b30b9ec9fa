//! The life of a request and its connection, from the client's arrival to the connection's end.

use super::decider::ANSWER_MARGIN;
use super::engine::{host_id, Phase, SimEvent, Simulation, CONNECT_TIMEOUT, NEXT_MESSAGE_WITHIN};
use crate::model::server::{Arrival, Job};
use crate::scenario::plan::{LOAD_CHANGE_FACTOR, MEAN_LOAD_CHANGE_INTERVAL_US};
use crate::score::record::{AttemptOutcome, RunEvent};
use oakdeal::broker::SILENCE_TIMEOUT;
use oakdeal::{Demand, Event, Micros, Outcome};

/// Time until a connection breaks that is established at a server that has died, in microseconds.
const BREAK_DELAY: Micros = 500;
/// Time after the balancer's answer deadline at which the simulation enforces it, in microseconds.
const DEADLINE_ALLOWANCE: Micros = 1_000;

impl Simulation<'_> {
    /// Sends a client's first or repeated request to a balancer.
    pub(super) fn client_arrives(&mut self, client_id: u32) {
        let p = &self.plan.clients[client_id as usize];
        let (until, class, team, zone, group) = (p.arrival + p.lifetime, p.class, p.team, p.zone, p.group);
        if self.clients[client_id as usize].phase != Phase::Waiting || self.now >= until {
            return;
        }
        if self.clients[client_id as usize].request_number == 0
            && self.clients[client_id as usize].consecutive_failures == 0
        {
            let cell = self.cell(client_id);
            self.wanted[cell] += 1;
            self.counts.clients += 1;
            self.schedule(until, SimEvent::LifetimeEnds(client_id));
        }
        // The front-end router sends clients to the balancers of their zone, or to any balancer if the zone has none.
        let available = |same_zone: bool| -> Vec<usize> {
            let all = self.nodes.iter().enumerate();
            all.filter(|(_, node)| {
                node.in_rotation && !node.waits_for_list && (!same_zone || node.zone == zone)
            })
            .map(|(i, _)| i)
            .collect()
        };
        let mut candidates = available(true);
        if candidates.is_empty() {
            candidates = available(false);
        }
        let draw = self.draw(client_id);
        let Some(&node_id) = candidates.get((draw * candidates.len() as f64) as usize) else {
            return self.schedule_retry(client_id, None);
        };
        if !self.nodes[node_id].up {
            return self.schedule_retry(client_id, None);
        }
        let wait = self.scenario.class[class].give_up.0;
        let client = &mut self.clients[client_id as usize];
        client.request_number += 1;
        (client.phase, client.node, client.attempts) = (Phase::Requested, node_id, 0);
        let (request_number, failures, returning, load) =
            (client.request_number, client.consecutive_failures, client.returning, client.load);
        let call = self.call_id(client_id);
        let by = self.now + wait;
        self.record(RunEvent::Asked { node: node_id, call: call.0.to_string(), team, class, by });
        let demand = Demand {
            key: Some(format!("k{client_id}").as_str().into()),
            group: Some(format!("g{group}").as_str().into()),
            hint: Some(self.hosts[0].model.reported_load(load)),
            repeat: failures > 0,
            returned: returning,
            ..Demand::new(&call.0, class, wait)
        };
        self.schedule(
            by - ANSWER_MARGIN + DEADLINE_ALLOWANCE,
            SimEvent::BalancerDeadline(client_id, request_number),
        );
        self.schedule(by, SimEvent::ClientGivesUp(client_id, request_number));
        let mut out = Vec::new();
        let name = &self.scenario.team[team].get_ref().name;
        match self.nodes[node_id].decider.demand(self.now, demand, name, &mut out) {
            Ok(()) => {}
            Err(after) => self.final_answer(node_id, &call, true, after, true),
        }
        self.perform_actions(node_id, out);
    }

    /// Returns whether this attempt is still in flight.
    pub(super) fn is_in_flight(&self, (client_id, serial): Job) -> bool {
        let client = &self.clients[client_id as usize];
        client.phase == Phase::InFlight && client.attempt_serial == serial
    }

    /// Handles the arrival of an attempt at its server.
    pub(super) fn attempt_arrives(&mut self, job: Job) {
        if !self.is_in_flight(job) {
            return;
        }
        let (server, node) = (self.clients[job.0 as usize].server, self.clients[job.0 as usize].node);
        let (load, cost) =
            (self.clients[job.0 as usize].load, self.plan.clients[job.0 as usize].setup_factor);
        let delay = self.one_way_delay(node, server);
        let chance = self.draw(job.0);
        let now = self.now;
        let host = &mut self.hosts[server];
        self.counts.offered += 1.0;
        let how = match () {
            () if host.severed => {
                return self.schedule(
                    now + CONNECT_TIMEOUT,
                    SimEvent::AttemptAnswered(job, AttemptOutcome::Unconnected),
                )
            }
            () if !host.up => AttemptOutcome::Unconnected,
            // The server accepts the request and never answers.
            () if host.silent_since.is_some() => return,
            () if host.draining => AttemptOutcome::Full,
            () if chance < host.error_share => AttemptOutcome::Error,
            () => match host.model.receive_request(now, job, load, cost) {
                Arrival::Accepted => return self.reschedule_setup(server),
                Arrival::Full => AttemptOutcome::Full,
                Arrival::Overloaded => {
                    host.overloaded = true;
                    self.record(RunEvent::Overloaded { server });
                    self.kill_server(server);
                    AttemptOutcome::Reset
                }
            },
        };
        self.counts.wasted += 1.0;
        self.schedule(now + delay, SimEvent::AttemptAnswered(job, how));
    }

    /// Establishes the connections whose set-ups have completed at a server.
    pub(super) fn complete_setups(&mut self, server: usize, version: u64) {
        if self.hosts[server].setup_version != version {
            return;
        }
        let now = self.now;
        for job in self.hosts[server].model.take_completed_setups(now) {
            if !self.is_in_flight(job) || self.hosts[server].silent_since.is_some() {
                continue;
            }
            let (cell, node) = (self.cell(job.0), self.clients[job.0 as usize].node);
            let (load, group) = (self.clients[job.0 as usize].load, self.plan.clients[job.0 as usize].group);
            let host = &mut self.hosts[server];
            host.model.establish(now, job, load, group);
            host.established[cell] += 1;
            host.connections_by_node[node] += 1;
            let delay = self.one_way_delay(node, server);
            self.schedule(now + delay, SimEvent::AttemptAnswered(job, AttemptOutcome::Up));
        }
        self.reschedule_setup(server);
    }

    /// Handles the outcome of an attempt at its balancer.
    pub(super) fn attempt_finished(&mut self, job: Job, how: AttemptOutcome) {
        if !self.is_in_flight(job) {
            return;
        }
        let (client_id, serial) = job;
        let (node_id, server) =
            (self.clients[client_id as usize].node, self.clients[client_id as usize].server);
        let call = self.call_id(client_id);
        self.record(RunEvent::Done { node: node_id, call: call.0.to_string(), how });
        if how == AttemptOutcome::Up {
            let client = &mut self.clients[client_id as usize];
            (client.phase, client.consecutive_failures) = (Phase::Established, 0);
            let (load, elapsed) = (client.load, self.now - client.sent_at);
            self.deliver_event(node_id, Event::Opened { call: call.clone(), host: host_id(server), elapsed });
            let load = self.hosts[server].model.reported_load(load);
            self.deliver_event(node_id, Event::LoadNote { call, load });
            let wait = self.draw_between(client_id, (0.0, 2.0 * MEAN_LOAD_CHANGE_INTERVAL_US));
            self.schedule(self.now + wait, SimEvent::LoadChanges((client_id, serial)));
            if self.hosts[server].silent_since.is_some() || !self.hosts[server].up {
                // The server became unresponsive or died while its answer was in transit.
                let (dead, wait) =
                    (!self.hosts[server].up, self.draw_between(client_id, NEXT_MESSAGE_WITHIN));
                let event = if dead {
                    SimEvent::ConnectionBreaks(job, false)
                } else {
                    SimEvent::SilenceDetected(job)
                };
                self.schedule(self.now + if dead { BREAK_DELAY } else { wait + SILENCE_TIMEOUT }, event);
            }
            return;
        }
        let outcome = match how {
            AttemptOutcome::Up => Outcome::Ok,
            AttemptOutcome::Error => Outcome::Error,
            AttemptOutcome::Full => Outcome::Full,
            AttemptOutcome::Timeout => Outcome::Timeout,
            AttemptOutcome::Unconnected => Outcome::ConnectFailed,
            AttemptOutcome::Reset => Outcome::Reset,
            AttemptOutcome::GivenUp => Outcome::Cancelled,
        };
        if how == AttemptOutcome::Timeout {
            self.counts.wasted += 1.0;
            self.drop_attempt(job);
        }
        self.clients[client_id as usize].phase = Phase::Requested;
        self.report_finished(client_id, outcome, false);
    }

    /// Drops an abandoned attempt at its server, also if it is set up and its answer is in transit.
    pub(super) fn drop_attempt(&mut self, job: Job) {
        let server = self.clients[job.0 as usize].server;
        let (now, before) = (self.now, self.hosts[server].model.connection_count());
        self.hosts[server].model.remove(now, job);
        if self.hosts[server].model.connection_count() < before {
            let (cell, node) = (self.cell(job.0), self.clients[job.0 as usize].node);
            let host = &mut self.hosts[server];
            host.established[cell] = host.established[cell].saturating_sub(1);
            host.connections_by_node[node] = host.connections_by_node[node].saturating_sub(1);
        }
        self.reschedule_setup(server);
    }

    /// Ends a request at the balancer's or the client's deadline, whichever is reached first.
    pub(super) fn deadline_reached(&mut self, client_id: u32, request_number: u32, balancer: bool) {
        if self.clients[client_id as usize].request_number != request_number
            || !self.drop_request(client_id, balancer)
        {
            return;
        }
        self.schedule_retry(client_id, None);
    }

    /// Ends a request that has no answer yet; returns whether there was one.
    pub(super) fn drop_request(&mut self, client_id: u32, balancer: bool) -> bool {
        let (phase, serial, node_id) = {
            let client = &self.clients[client_id as usize];
            (client.phase, client.attempt_serial, client.node)
        };
        if !matches!(phase, Phase::Requested | Phase::InFlight) {
            return false;
        }
        let call = self.call_id(client_id);
        if phase == Phase::InFlight {
            self.drop_attempt((client_id, serial));
            self.counts.wasted += 1.0;
            self.record(RunEvent::Done {
                node: node_id,
                call: call.0.to_string(),
                how: AttemptOutcome::GivenUp,
            });
        }
        self.clients[client_id as usize].phase = Phase::Waiting;
        match balancer {
            true => self.record(RunEvent::Answer {
                node: node_id,
                call: call.0.to_string(),
                refused: false,
                after: None,
                contract: false,
            }),
            false => self.record(RunEvent::ClientLeft { node: node_id, call: call.0.to_string() }),
        }
        self.deliver_event(node_id, Event::Vanished { call });
        if phase == Phase::InFlight {
            self.report_finished(client_id, Outcome::Cancelled, true);
        }
        true
    }

    /// Ends a client with its request or connection.
    pub(super) fn lifetime_ends(&mut self, client_id: u32) {
        let cell = self.cell(client_id);
        self.wanted[cell] -= 1;
        match self.clients[client_id as usize].phase {
            Phase::Established => {
                self.clients[client_id as usize].phase = Phase::Finished;
                self.end_connection(client_id, Outcome::Ok);
            }
            Phase::Requested | Phase::InFlight => drop(self.drop_request(client_id, false)),
            Phase::Waiting | Phase::Finished => {}
        }
        self.clients[client_id as usize].phase = Phase::Finished;
    }

    /// Changes the load of an established connection and reports it.
    pub(super) fn load_changes(&mut self, job: Job) {
        let (client_id, serial) = job;
        let client = &self.clients[client_id as usize];
        if client.phase != Phase::Established || client.attempt_serial != serial {
            return;
        }
        let (node_id, server) = (client.node, client.server);
        let part =
            LOAD_CHANGE_FACTOR.0 + (LOAD_CHANGE_FACTOR.1 - LOAD_CHANGE_FACTOR.0) * self.draw(client_id);
        let load = self.plan.clients[client_id as usize].load * part;
        self.clients[client_id as usize].load = load;
        let now = self.now;
        let host = &mut self.hosts[server];
        host.model.set_load(now, job, load);
        if host.silent_since.is_none() {
            let load = host.model.reported_load(load);
            let call = self.call_id(client_id);
            self.deliver_event(node_id, Event::LoadNote { call, load });
        }
        let wait = self.draw_between(client_id, (0.0, 2.0 * MEAN_LOAD_CHANGE_INTERVAL_US));
        self.schedule(self.now + wait, SimEvent::LoadChanges(job));
    }
}
