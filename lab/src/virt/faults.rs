//! What goes wrong, and how balancers hear of it: faults, discovery's news, balancers that end and come back.

use super::decider::{decider, operator, Choice};
use super::engine::{server_of, Change, Ev, Listed, Phase, World, NEXT, NOTICED, NOTIFIED_AFTER, TERM};
use crate::scenario::plan::{ScheduledFault, RECONNECT_AFTER_BREAK_US};
use crate::scenario::Kind;
use crate::score::record::{letter, Attempt, What};
use oakdeal::broker::SILENT;
use oakdeal::serve::FIRST_LIST;
use oakdeal::{Event, HostState, ListKind, Micros, Outcome};
use rand::RngExt;

impl World<'_> {
    pub(super) fn news(
        &mut self,
        n: usize,
        epoch: u32,
        kind: ListKind,
        changed: Option<Box<(usize, HostState, Micros)>>,
    ) {
        let node = &mut self.nodes[n];
        if !node.up || node.epoch != epoch {
            return;
        }
        if kind != ListKind::Changes {
            node.waits_for_list = false;
        }
        let hosts = match kind {
            ListKind::Full => {
                node.watching = true;
                let hosts = self.discovery.list();
                let listed: Vec<usize> = hosts.iter().map(|e| server_of(e.host)).collect();
                for server in (0..self.hosts.len()).filter(|s| !listed.contains(s)) {
                    self.note(What::told(n, server, HostState::Gone));
                }
                self.nodes[n].list.retain(|server, _| listed.contains(server));
                hosts
            }
            ListKind::Failed => {
                node.watching = false;
                return self.tell(n, Event::Members { kind, hosts: Vec::new() });
            }
            _ if !node.watching => return,
            _ => {
                let entry = |&(server, state, ready_at): &(usize, HostState, Micros)| oakdeal::Entry {
                    state,
                    ready_at,
                    ..self.discovery.entry(server).clone()
                };
                changed.as_deref().into_iter().map(entry).collect()
            }
        };
        for entry in &hosts {
            let server = server_of(entry.host);
            self.note(What::told(n, server, entry.state));
            let list = &mut self.nodes[n].list;
            if entry.state == HostState::Gone {
                list.remove(&server);
            } else {
                list.insert(server, Listed { entry: entry.clone(), learned: self.now });
            }
        }
        self.tell(n, Event::Members { kind, hosts });
    }

    /// Discovery's list changes; each balancer is told in its own time.
    pub(super) fn list(&mut self, server: usize, state: HostState, ready_at: Option<Micros>) {
        let entry = self.discovery.change(server, state, ready_at);
        let at = self.discovery.up_at(self.now);
        self.at(at + NOTIFIED_AFTER, Ev::Notified(Change { server, state, at }));
        let (low, high) = self.scenario.fleet.told_after;
        for n in 0..self.nodes.len() {
            let lag = self.lag.random_range(low.0..=high.0.max(low.0));
            let (at, epoch) = (self.discovery.up_at(self.now) + lag, self.nodes[n].epoch);
            self.at(
                at,
                Ev::News(n, epoch, ListKind::Changes, Some(Box::new((server, state, entry.ready_at)))),
            );
        }
    }

    /// A change counts as notified now, or so long after discovery's return if it was down meanwhile.
    pub(super) fn notified(&mut self, change: Change) {
        let counts_at = self.discovery.up_at(change.at).max(self.discovery.last_return()) + NOTIFIED_AFTER;
        if self.now < counts_at {
            return self.at(counts_at, Ev::Notified(change));
        }
        let Change { server, state, at } = change;
        self.note(What::Notified { server, state: letter(state), changed: at });
    }

    /// A server's process dies: everything there breaks.
    pub(super) fn die(&mut self, server: usize) {
        let now = self.now;
        let h = &mut self.hosts[server];
        h.up = false;
        let (setups, held) = h.model.lose(now);
        h.stamp += 1;
        h.standing.iter_mut().for_each(|n| *n = 0);
        h.by_node.iter_mut().for_each(|n| *n = 0);
        for job in setups {
            let way = self.way(self.clients[job.0 as usize].node, server);
            self.at(now + way, Ev::Answered(job, Attempt::Reset));
        }
        for job in held {
            let way = self.way(self.clients[job.0 as usize].node, server);
            self.at(now + way, Ev::Broken(job, false));
        }
        self.list(server, HostState::Gone, None);
    }

    pub(super) fn begin(&mut self, i: usize) {
        let strike: ScheduledFault = self.plan.faults[i].clone();
        let text = match (&strike.fault.zone, &strike.fault.of) {
            (Some(place), _) | (None, Some(place)) => format!("{:?} ({place})", strike.fault.kind),
            _ => format!("{:?}", strike.fault.kind),
        };
        self.note(What::Fault { text, until: strike.until });
        let now = self.now;
        match strike.fault.kind {
            Kind::Death => strike.servers.iter().for_each(|&s| self.die(s)),
            Kind::Silence | Kind::Cut => {
                for &server in &strike.servers {
                    let h = &mut self.hosts[server];
                    (h.silent, h.cut) = (Some(now), strike.fault.kind == Kind::Cut);
                    for c in 0..self.clients.len() as u32 {
                        let client = &self.clients[c as usize];
                        if client.phase == Phase::Stands && client.server == server {
                            // The next message of this client goes out within two seconds.
                            let (serial, wait) = (client.serial, self.between(c, (0.0, 2e6)));
                            self.at(now + wait + SILENT, Ev::Silent((c, serial)));
                        }
                    }
                }
            }
            Kind::FastErrors => {
                strike.servers.iter().for_each(|&s| self.hosts[s].errors = strike.fault.share)
            }
            Kind::Drain => {
                for &server in &strike.servers {
                    self.hosts[server].draining = true;
                    self.list(server, HostState::Draining, None);
                    for c in 0..self.clients.len() as u32 {
                        let client = &self.clients[c as usize];
                        if client.phase == Phase::Stands && client.server == server {
                            let (serial, way) = (client.serial, self.way(client.node, server));
                            self.at(now + way, Ev::Broken((c, serial), true));
                        }
                    }
                }
            }
            Kind::Reconnect => {
                for c in 0..self.clients.len() as u32 {
                    if self.clients[c as usize].phase != Phase::Stands || self.draw(c) >= strike.fault.part {
                        continue;
                    }
                    self.clients[c as usize].phase = Phase::Out;
                    self.over(c, Outcome::Cancelled);
                    self.returns(c, (0.0, strike.fault.length.0 as f64));
                }
            }
            Kind::Restart => {
                // One after the other, or a part at a time: those need not wait until the ones before are back.
                let many = ((strike.fault.part * self.nodes.len() as f64).round() as usize).max(1);
                let step = if many > 1 { NEXT / 2 } else { TERM.0 + strike.fault.length.0 + NEXT };
                for n in 0..self.nodes.len() {
                    self.at(now + (n / many) as u64 * step, Ev::Stop(n, strike.fault.length.0));
                }
            }
            Kind::Kill => {
                let n = ((strike.fault.part * self.nodes.len() as f64).round() as usize).max(1);
                for n in 0..n.min(self.nodes.len()) {
                    self.at(now, Ev::Kill(n, strike.fault.length.0));
                }
            }
            Kind::Discovery => {
                self.discovery.down(strike.until);
                for n in 0..self.nodes.len() {
                    let epoch = self.nodes[n].epoch;
                    self.at(now + 1_000, Ev::News(n, epoch, ListKind::Failed, None));
                }
            }
            Kind::Contract => {
                let text = strike.fault.operator.as_deref().unwrap_or_default();
                if let Ok(operator) = operator(text) {
                    for n in 0..self.nodes.len() {
                        self.nodes[n].decider.operate(now, &operator);
                        self.act(n, Vec::new());
                    }
                }
            }
            // Drawn with the clients.
            Kind::Costly | Kind::Surge => {}
        }
    }

    pub(super) fn end(&mut self, i: usize) {
        let strike: ScheduledFault = self.plan.faults[i].clone();
        let now = self.now;
        for &server in &strike.servers {
            let h = &mut self.hosts[server];
            match strike.fault.kind {
                Kind::Death | Kind::Drain if !h.fallen => {
                    if strike.fault.kind == Kind::Drain {
                        self.die(server);
                    }
                    let h = &mut self.hosts[server];
                    (h.up, h.draining) = (true, false);
                    h.model.start(now);
                    self.note(What::Started { server });
                    self.list(server, HostState::Ready, Some(now));
                }
                Kind::Silence | Kind::Cut => (h.silent, h.cut) = (None, false),
                Kind::FastErrors => h.errors = 0.0,
                _ => {}
            }
        }
    }

    /// SIGTERM: every client of this balancer is asked to come again, evenly until it is killed.
    pub(super) fn leave(&mut self, n: usize, epoch: u32, until: Micros) {
        if self.nodes[n].epoch != epoch || !self.nodes[n].up {
            return;
        }
        let there: Vec<u32> = (0..self.clients.len() as u32)
            .filter(|&c| {
                self.clients[c as usize].phase == Phase::Stands && self.clients[c as usize].node == n
            })
            .collect();
        let turns = (until.saturating_sub(self.now) / 100_000).saturating_sub(7).max(1) as usize;
        for c in there.iter().take(there.len().div_ceil(turns)) {
            self.moved(*c);
        }
        if self.now + 100_000 < until {
            self.at(self.now + 100_000, Ev::Leave(n, epoch, until));
        }
    }

    pub(super) fn kill(&mut self, n: usize, down: Micros) {
        self.note(What::Died { node: n });
        let node = &mut self.nodes[n];
        (node.up, node.watching, node.due) = (false, false, None);
        node.epoch += 1;
        for c in 0..self.clients.len() as u32 {
            let (phase, serial, server) = {
                let client = &self.clients[c as usize];
                (client.phase, client.serial, client.server)
            };
            if self.clients[c as usize].node != n {
                continue;
            }
            match phase {
                Phase::Stands => self.off(c, server, (c, serial)),
                Phase::Sent => self.give_back((c, serial)),
                Phase::Asking => {}
                Phase::Out | Phase::Done => continue,
            }
            self.returns(c, RECONNECT_AFTER_BREAK_US);
        }
        self.at(self.now + down, Ev::Back(n));
        if self.nodes[n].open {
            // The front goes on dealing clients out to it until it notices.
            self.at(self.now + NOTICED, Ev::Notice(n));
        }
    }

    pub(super) fn back(&mut self, n: usize) {
        let seed = self.seed ^ (n as u64 + 1) << 32 ^ u64::from(self.nodes[n].epoch);
        let (choice, scenario, zone) = (self.choice, self.scenario, self.nodes[n].zone);
        match decider(choice, scenario, zone, seed) {
            Ok(decider) => self.nodes[n].decider = decider,
            Err(e) => return eprintln!("oakdeal-lab: a balancer does not come back: {e}"),
        }
        (self.nodes[n].up, self.nodes[n].open) = (true, true);
        // The yardsticks ask nobody.
        if matches!(choice, Choice::Own | Choice::Drill(_)) {
            self.nodes[n].waits_for_list = true;
            let epoch = self.nodes[n].epoch;
            self.at(self.now + FIRST_LIST, Ev::Listen(n, epoch));
        }
        self.known(n);
    }
}
