//! A client's request and its connection, from its coming to its end.

use super::decider::AHEAD;
use super::engine::{host_id, Ev, Phase, World, CONNECT};
use crate::model::server::{Came, Job};
use crate::scenario::plan::{LOAD_CHANGE_FACTOR, MEAN_LOAD_CHANGE_INTERVAL_US};
use crate::score::record::{Attempt, What};
use oakdeal::broker::SILENT;
use oakdeal::{Demand, Event, Outcome};

impl World<'_> {
    pub(super) fn come(&mut self, c: u32) {
        let p = &self.plan.clients[c as usize];
        let (until, class, team, zone, group) = (p.arrival + p.lifetime, p.class, p.team, p.zone, p.group);
        if self.clients[c as usize].phase != Phase::Out || self.now >= until {
            return;
        }
        if self.clients[c as usize].tries == 0 && self.clients[c as usize].failed == 0 {
            let cell = self.cell(c);
            self.wants[cell] += 1;
            self.counts.first += 1;
            self.at(until, Ev::LifeOver(c));
        }
        // The front deals out the clients of a zone to its balancers, or to any if it has none.
        let open = |near: bool| -> Vec<usize> {
            let all = self.nodes.iter().enumerate();
            all.filter(|(_, n)| n.open && !n.waits_for_list && (!near || n.zone == zone))
                .map(|(i, _)| i)
                .collect()
        };
        let mut there = open(true);
        if there.is_empty() {
            there = open(false);
        }
        let draw = self.draw(c);
        let Some(&n) = there.get((draw * there.len() as f64) as usize) else { return self.again(c, None) };
        if !self.nodes[n].up {
            return self.again(c, None);
        }
        let wait = self.scenario.class[class].give_up.0;
        let client = &mut self.clients[c as usize];
        client.tries += 1;
        (client.phase, client.node, client.attempts) = (Phase::Asking, n, 0);
        let (tries, failed, again, load) = (client.tries, client.failed, client.again, client.load);
        let call = self.call(c);
        let by = self.now + wait;
        self.note(What::Asked { node: n, call: call.0.to_string(), team, class, by });
        let demand = Demand {
            key: Some(format!("k{c}").as_str().into()),
            group: Some(format!("g{group}").as_str().into()),
            hint: Some(self.hosts[0].model.told(load)),
            repeat: failed > 0,
            returned: again,
            ..Demand::new(&call.0, class, wait)
        };
        self.at(by - AHEAD + 1_000, Ev::Deadline(c, tries));
        self.at(by, Ev::GiveUp(c, tries));
        let mut out = Vec::new();
        let name = &self.scenario.team[team].get_ref().name;
        match self.nodes[n].decider.demand(self.now, demand, name, &mut out) {
            Ok(()) => {}
            Err(after) => self.answered(n, &call, true, after, true),
        }
        self.act(n, out);
    }

    /// Whether this attempt is out still.
    pub(super) fn out(&self, (c, serial): Job) -> bool {
        let client = &self.clients[c as usize];
        client.phase == Phase::Sent && client.serial == serial
    }

    pub(super) fn reach(&mut self, job: Job) {
        if !self.out(job) {
            return;
        }
        let (server, node) = (self.clients[job.0 as usize].server, self.clients[job.0 as usize].node);
        let (load, cost) =
            (self.clients[job.0 as usize].load, self.plan.clients[job.0 as usize].setup_factor);
        let way = self.way(node, server);
        let chance = self.draw(job.0);
        let now = self.now;
        let h = &mut self.hosts[server];
        self.counts.offered += 1.0;
        let how = match () {
            () if h.cut => return self.at(now + CONNECT, Ev::Answered(job, Attempt::Unconnected)),
            () if !h.up => Attempt::Unconnected,
            // Taken, and never answered.
            () if h.silent.is_some() => return,
            () if h.draining => Attempt::Full,
            () if chance < h.errors => Attempt::Error,
            () => match h.model.came(now, job, load, cost) {
                Came::Taken => return self.look(server),
                Came::Full => Attempt::Full,
                Came::Fell => {
                    h.fallen = true;
                    self.note(What::Fell { server });
                    self.die(server);
                    Attempt::Reset
                }
            },
        };
        self.counts.wasted += 1.0;
        self.at(now + way, Ev::Answered(job, how));
    }

    pub(super) fn set_up(&mut self, server: usize, stamp: u64) {
        if self.hosts[server].stamp != stamp {
            return;
        }
        let now = self.now;
        for job in self.hosts[server].model.ended(now) {
            if !self.out(job) || self.hosts[server].silent.is_some() {
                continue;
            }
            let (cell, node) = (self.cell(job.0), self.clients[job.0 as usize].node);
            let (load, group) = (self.clients[job.0 as usize].load, self.plan.clients[job.0 as usize].group);
            let h = &mut self.hosts[server];
            h.model.stand(now, job, load, group);
            h.standing[cell] += 1;
            h.by_node[node] += 1;
            let way = self.way(node, server);
            self.at(now + way, Ev::Answered(job, Attempt::Up));
        }
        self.look(server);
    }

    /// An attempt's outcome has come back.
    pub(super) fn result(&mut self, job: Job, how: Attempt) {
        if !self.out(job) {
            return;
        }
        let (c, serial) = job;
        let (n, server) = (self.clients[c as usize].node, self.clients[c as usize].server);
        let call = self.call(c);
        self.note(What::Done { node: n, call: call.0.to_string(), how });
        if how == Attempt::Up {
            let client = &mut self.clients[c as usize];
            (client.phase, client.failed) = (Phase::Stands, 0);
            let (load, elapsed) = (client.load, self.now - client.sent_at);
            self.tell(n, Event::Opened { call: call.clone(), host: host_id(server), elapsed });
            let load = self.hosts[server].model.told(load);
            self.tell(n, Event::LoadNote { call, load });
            let wait = self.between(c, (0.0, 2.0 * MEAN_LOAD_CHANGE_INTERVAL_US));
            self.at(self.now + wait, Ev::Change((c, serial)));
            if self.hosts[server].silent.is_some() || !self.hosts[server].up {
                // It fell silent or died while the answer was on its way.
                let (dead, wait) = (!self.hosts[server].up, self.between(c, (0.0, 2e6)));
                let ev = if dead { Ev::Broken(job, false) } else { Ev::Silent(job) };
                self.at(self.now + if dead { 500 } else { wait + SILENT }, ev);
            }
            return;
        }
        let outcome = match how {
            Attempt::Up => Outcome::Ok,
            Attempt::Error => Outcome::Error,
            Attempt::Full => Outcome::Full,
            Attempt::Timeout => Outcome::Timeout,
            Attempt::Unconnected => Outcome::ConnectFailed,
            Attempt::Reset => Outcome::Reset,
            Attempt::Given => Outcome::Cancelled,
        };
        if how == Attempt::Timeout {
            self.counts.wasted += 1.0;
            self.give_back(job);
        }
        self.clients[c as usize].phase = Phase::Asking;
        self.finished(c, outcome, false);
    }

    /// An attempt is given up: its server drops it, also one that was set up and whose answer is on its way.
    pub(super) fn give_back(&mut self, job: Job) {
        let server = self.clients[job.0 as usize].server;
        let (now, before) = (self.now, self.hosts[server].model.held());
        self.hosts[server].model.leave(now, job);
        if self.hosts[server].model.held() < before {
            let (cell, node) = (self.cell(job.0), self.clients[job.0 as usize].node);
            let h = &mut self.hosts[server];
            h.standing[cell] = h.standing[cell].saturating_sub(1);
            h.by_node[node] = h.by_node[node].saturating_sub(1);
        }
        self.look(server);
    }

    /// The balancer's deadline, or the client's own: whoever is first has the last word.
    pub(super) fn deadline(&mut self, c: u32, tries: u32, balancer: bool) {
        if self.clients[c as usize].tries != tries || !self.drop_request(c, balancer) {
            return;
        }
        self.again(c, None);
    }

    /// A request that has no answer yet is over; whether there was one.
    pub(super) fn drop_request(&mut self, c: u32, balancer: bool) -> bool {
        let (phase, serial, n) = {
            let client = &self.clients[c as usize];
            (client.phase, client.serial, client.node)
        };
        if !matches!(phase, Phase::Asking | Phase::Sent) {
            return false;
        }
        let call = self.call(c);
        if phase == Phase::Sent {
            self.give_back((c, serial));
            self.counts.wasted += 1.0;
            self.note(What::Done { node: n, call: call.0.to_string(), how: Attempt::Given });
        }
        self.clients[c as usize].phase = Phase::Out;
        match balancer {
            true => self.note(What::Answer {
                node: n,
                call: call.0.to_string(),
                refused: false,
                after: None,
                contract: false,
            }),
            false => self.note(What::Gone { node: n, call: call.0.to_string() }),
        }
        self.tell(n, Event::Vanished { call });
        if phase == Phase::Sent {
            self.finished(c, Outcome::Cancelled, true);
        }
        true
    }

    pub(super) fn life_over(&mut self, c: u32) {
        let cell = self.cell(c);
        self.wants[cell] -= 1;
        match self.clients[c as usize].phase {
            Phase::Stands => {
                self.clients[c as usize].phase = Phase::Done;
                self.over(c, Outcome::Ok);
            }
            Phase::Asking | Phase::Sent => drop(self.drop_request(c, false)),
            Phase::Out | Phase::Done => {}
        }
        self.clients[c as usize].phase = Phase::Done;
    }

    pub(super) fn change(&mut self, job: Job) {
        let (c, serial) = job;
        let client = &self.clients[c as usize];
        if client.phase != Phase::Stands || client.serial != serial {
            return;
        }
        let (n, server) = (client.node, client.server);
        let part = LOAD_CHANGE_FACTOR.0 + (LOAD_CHANGE_FACTOR.1 - LOAD_CHANGE_FACTOR.0) * self.draw(c);
        let load = self.plan.clients[c as usize].load * part;
        self.clients[c as usize].load = load;
        let now = self.now;
        let h = &mut self.hosts[server];
        h.model.change(now, job, load);
        if h.silent.is_none() {
            let load = h.model.told(load);
            let call = self.call(c);
            self.tell(n, Event::LoadNote { call, load });
        }
        let wait = self.between(c, (0.0, 2.0 * MEAN_LOAD_CHANGE_INTERVAL_US));
        self.at(self.now + wait, Ev::Change(job));
    }
}
