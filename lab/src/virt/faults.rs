//! Faults, changes of discovery's list and their notifications, and balancers that stop and restart.

use super::decider::{create_decider, parse_operator, DeciderChoice};
use super::engine::{
    server_of, ListChange, ListedEntry, Phase, SimEvent, Simulation, ASSUMED_NOTIFIED_AFTER,
    FAILURE_DETECTION_TIME, NEXT_MESSAGE_WITHIN, RESTART_INTERVAL, TERM_TO_KILL,
};
use crate::scenario::plan::{ScheduledFault, RECONNECT_AFTER_BREAK_US};
use crate::scenario::Kind;
use crate::score::record::{state_letter, AttemptOutcome, RunEvent};
use oakdeal::broker::SILENCE_TIMEOUT;
use oakdeal::serve::FIRST_LIST_TIMEOUT;
use oakdeal::{Event, HostState, ListKind, Micros, Outcome};
use rand::RngExt;

/// Interval at which a stopping balancer moves a batch of its clients, in microseconds.
const MOVE_INTERVAL: Micros = 100_000;
/// Number of batches by which a stopping balancer is done moving its clients before SIGKILL.
const SPARE_MOVE_TURNS: u64 = 7;
/// Time after which balancers notice that discovery is down, in microseconds.
const DISCOVERY_FAILURE_DELAY: Micros = 1_000;

impl Simulation<'_> {
    /// Delivers a list, a change of it or a failed call to a balancer.
    pub(super) fn update_list(
        &mut self,
        node_id: usize,
        epoch: u32,
        kind: ListKind,
        changed: Option<Box<(usize, HostState, Micros)>>,
    ) {
        let node = &mut self.nodes[node_id];
        if !node.up || node.epoch != epoch {
            return;
        }
        if kind != ListKind::Changes {
            node.waits_for_list = false;
        }
        let hosts = match kind {
            ListKind::Full => {
                node.subscribed = true;
                let hosts = self.discovery.list();
                let listed: Vec<usize> = hosts.iter().map(|e| server_of(e.host)).collect();
                for server in (0..self.hosts.len()).filter(|s| !listed.contains(s)) {
                    self.record(RunEvent::state_notified(node_id, server, HostState::Gone));
                }
                self.nodes[node_id].list.retain(|server, _| listed.contains(server));
                hosts
            }
            ListKind::Failed => {
                node.subscribed = false;
                return self.deliver_event(node_id, Event::Members { kind, hosts: Vec::new() });
            }
            _ if !node.subscribed => return,
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
            self.record(RunEvent::state_notified(node_id, server, entry.state));
            let list = &mut self.nodes[node_id].list;
            if entry.state == HostState::Gone {
                list.remove(&server);
            } else {
                list.insert(server, ListedEntry { entry: entry.clone(), learned_at: self.now });
            }
        }
        self.deliver_event(node_id, Event::Members { kind, hosts });
    }

    /// Changes discovery's list and schedules each balancer's notification, with a random lag.
    pub(super) fn change_list(&mut self, server: usize, state: HostState, ready_at: Option<Micros>) {
        let entry = self.discovery.update_entry(server, state, ready_at);
        let at = self.discovery.earliest_notification(self.now);
        self.schedule(
            at + ASSUMED_NOTIFIED_AFTER,
            SimEvent::ChangeNotified(ListChange { server, state, changed_at: at }),
        );
        let (low, high) = self.scenario.fleet.told_after;
        for node_id in 0..self.nodes.len() {
            let lag = self.notification_rng.random_range(low.0..=high.0.max(low.0));
            let (at, epoch) =
                (self.discovery.earliest_notification(self.now) + lag, self.nodes[node_id].epoch);
            self.schedule(
                at,
                SimEvent::ListUpdate(
                    node_id,
                    epoch,
                    ListKind::Changes,
                    Some(Box::new((server, state, entry.ready_at))),
                ),
            );
        }
    }

    /// Records that a change counts as notified, or reschedules this if discovery has been down meanwhile.
    pub(super) fn change_notified(&mut self, change: ListChange) {
        let counts_at =
            self.discovery.earliest_notification(change.changed_at).max(self.discovery.outage_end())
                + ASSUMED_NOTIFIED_AFTER;
        if self.now < counts_at {
            return self.schedule(counts_at, SimEvent::ChangeNotified(change));
        }
        let ListChange { server, state, changed_at } = change;
        self.record(RunEvent::Notified { server, state: state_letter(state), changed: changed_at });
    }

    /// Kills a server's process, which breaks all its connections.
    pub(super) fn kill_server(&mut self, server: usize) {
        let now = self.now;
        let host = &mut self.hosts[server];
        host.up = false;
        let (setups, connections) = host.model.drop_all(now);
        host.setup_version += 1;
        host.established.iter_mut().for_each(|n| *n = 0);
        host.connections_by_node.iter_mut().for_each(|n| *n = 0);
        for job in setups {
            let delay = self.one_way_delay(self.clients[job.0 as usize].node, server);
            self.schedule(now + delay, SimEvent::AttemptAnswered(job, AttemptOutcome::Reset));
        }
        for job in connections {
            let delay = self.one_way_delay(self.clients[job.0 as usize].node, server);
            self.schedule(now + delay, SimEvent::ConnectionBreaks(job, false));
        }
        self.change_list(server, HostState::Gone, None);
    }

    /// Starts a fault of the plan.
    pub(super) fn begin_fault(&mut self, i: usize) {
        let strike: ScheduledFault = self.plan.faults[i].clone();
        let text = match (&strike.fault.zone, &strike.fault.of) {
            (Some(place), _) | (None, Some(place)) => format!("{:?} ({place})", strike.fault.kind),
            _ => format!("{:?}", strike.fault.kind),
        };
        self.record(RunEvent::Fault { text, until: strike.until });
        let now = self.now;
        match strike.fault.kind {
            Kind::Death => strike.servers.iter().for_each(|&s| self.kill_server(s)),
            Kind::Silence | Kind::Cut => {
                for &server in &strike.servers {
                    let host = &mut self.hosts[server];
                    (host.silent_since, host.severed) = (Some(now), strike.fault.kind == Kind::Cut);
                    for client_id in 0..self.clients.len() as u32 {
                        let client = &self.clients[client_id as usize];
                        if client.phase == Phase::Established && client.server == server {
                            // The client sends its next message within two seconds.
                            let (serial, wait) =
                                (client.attempt_serial, self.draw_between(client_id, NEXT_MESSAGE_WITHIN));
                            self.schedule(
                                now + wait + SILENCE_TIMEOUT,
                                SimEvent::SilenceDetected((client_id, serial)),
                            );
                        }
                    }
                }
            }
            Kind::FastErrors => {
                strike.servers.iter().for_each(|&s| self.hosts[s].error_share = strike.fault.share)
            }
            Kind::Drain => {
                for &server in &strike.servers {
                    self.hosts[server].draining = true;
                    self.change_list(server, HostState::Draining, None);
                    for client_id in 0..self.clients.len() as u32 {
                        let client = &self.clients[client_id as usize];
                        if client.phase == Phase::Established && client.server == server {
                            let (serial, delay) =
                                (client.attempt_serial, self.one_way_delay(client.node, server));
                            self.schedule(now + delay, SimEvent::ConnectionBreaks((client_id, serial), true));
                        }
                    }
                }
            }
            Kind::Reconnect => {
                for client_id in 0..self.clients.len() as u32 {
                    if self.clients[client_id as usize].phase != Phase::Established
                        || self.draw(client_id) >= strike.fault.part
                    {
                        continue;
                    }
                    self.clients[client_id as usize].phase = Phase::Waiting;
                    self.end_connection(client_id, Outcome::Cancelled);
                    self.schedule_return(client_id, (0.0, strike.fault.length.0 as f64));
                }
            }
            Kind::Restart => {
                // Balancers restart one after the other, each once the previous one is back, or in batches of `part`
                // that do not wait for the previous batch.
                let batch = ((strike.fault.part * self.nodes.len() as f64).round() as usize).max(1);
                let step = if batch > 1 {
                    RESTART_INTERVAL / 2
                } else {
                    TERM_TO_KILL + strike.fault.length.0 + RESTART_INTERVAL
                };
                for node_id in 0..self.nodes.len() {
                    self.schedule(
                        now + (node_id / batch) as u64 * step,
                        SimEvent::BalancerStops(node_id, strike.fault.length.0),
                    );
                }
            }
            Kind::Kill => {
                let count = ((strike.fault.part * self.nodes.len() as f64).round() as usize).max(1);
                for node_id in 0..count.min(self.nodes.len()) {
                    self.schedule(now, SimEvent::BalancerKilled(node_id, strike.fault.length.0));
                }
            }
            Kind::Discovery => {
                self.discovery.set_down_until(strike.until);
                for node_id in 0..self.nodes.len() {
                    let epoch = self.nodes[node_id].epoch;
                    self.schedule(
                        now + DISCOVERY_FAILURE_DELAY,
                        SimEvent::ListUpdate(node_id, epoch, ListKind::Failed, None),
                    );
                }
            }
            Kind::Contract => {
                let text = strike.fault.operator.as_deref().unwrap_or_default();
                if let Ok(operator) = parse_operator(text) {
                    for node_id in 0..self.nodes.len() {
                        self.nodes[node_id].decider.apply_operator(now, &operator);
                        self.perform_actions(node_id, Vec::new());
                    }
                }
            }
            // These faults are part of the generated clients.
            Kind::Costly | Kind::Surge => {}
        }
    }

    /// Ends a fault of the plan.
    pub(super) fn end_fault(&mut self, i: usize) {
        let strike: ScheduledFault = self.plan.faults[i].clone();
        let now = self.now;
        for &server in &strike.servers {
            let host = &mut self.hosts[server];
            match strike.fault.kind {
                Kind::Death | Kind::Drain if !host.overloaded => {
                    if strike.fault.kind == Kind::Drain {
                        self.kill_server(server);
                    }
                    let host = &mut self.hosts[server];
                    (host.up, host.draining) = (true, false);
                    host.model.start(now);
                    self.record(RunEvent::Started { server });
                    self.change_list(server, HostState::Ready, Some(now));
                }
                Kind::Silence | Kind::Cut => (host.silent_since, host.severed) = (None, false),
                Kind::FastErrors => host.error_share = 0.0,
                _ => {}
            }
        }
    }

    /// Moves a balancer's clients at an even rate between SIGTERM and SIGKILL.
    pub(super) fn drain_balancer(&mut self, node_id: usize, epoch: u32, until: Micros) {
        if self.nodes[node_id].epoch != epoch || !self.nodes[node_id].up {
            return;
        }
        let clients: Vec<u32> = (0..self.clients.len() as u32)
            .filter(|&client_id| {
                self.clients[client_id as usize].phase == Phase::Established
                    && self.clients[client_id as usize].node == node_id
            })
            .collect();
        let turns =
            (until.saturating_sub(self.now) / MOVE_INTERVAL).saturating_sub(SPARE_MOVE_TURNS).max(1) as usize;
        for client_id in clients.iter().take(clients.len().div_ceil(turns)) {
            self.move_client(*client_id);
        }
        if self.now + MOVE_INTERVAL < until {
            self.schedule(self.now + MOVE_INTERVAL, SimEvent::BalancerDrains(node_id, epoch, until));
        }
    }

    /// Kills a balancer: its clients return after a break, and it restarts after `down`.
    pub(super) fn kill_balancer(&mut self, node_id: usize, down: Micros) {
        self.record(RunEvent::Died { node: node_id });
        let node = &mut self.nodes[node_id];
        (node.up, node.subscribed, node.due_at) = (false, false, None);
        node.epoch += 1;
        for client_id in 0..self.clients.len() as u32 {
            let (phase, serial, server) = {
                let client = &self.clients[client_id as usize];
                (client.phase, client.attempt_serial, client.server)
            };
            if self.clients[client_id as usize].node != node_id {
                continue;
            }
            match phase {
                Phase::Established => self.remove_connection(client_id, server, (client_id, serial)),
                Phase::InFlight => self.drop_attempt((client_id, serial)),
                Phase::Requested => {}
                Phase::Waiting | Phase::Finished => continue,
            }
            self.schedule_return(client_id, RECONNECT_AFTER_BREAK_US);
        }
        self.schedule(self.now + down, SimEvent::BalancerRestarts(node_id));
        if self.nodes[node_id].in_rotation {
            // The front-end router sends clients to it until it detects the failure.
            self.schedule(self.now + FAILURE_DETECTION_TIME, SimEvent::FailureDetected(node_id));
        }
    }

    /// Restarts a balancer with a new decider and its cached list.
    pub(super) fn restart_balancer(&mut self, node_id: usize) {
        let seed = self.seed ^ (node_id as u64 + 1) << 32 ^ u64::from(self.nodes[node_id].epoch);
        let (choice, scenario, zone) = (self.choice, self.scenario, self.nodes[node_id].zone);
        match create_decider(choice, scenario, zone, seed) {
            Ok(decider) => self.nodes[node_id].decider = decider,
            Err(e) => return eprintln!("oakdeal-lab: a balancer cannot be restarted: {e}"),
        }
        (self.nodes[node_id].up, self.nodes[node_id].in_rotation) = (true, true);
        // The baselines accept clients without waiting for discovery.
        if matches!(choice, DeciderChoice::Own | DeciderChoice::Drill(_)) {
            self.nodes[node_id].waits_for_list = true;
            let epoch = self.nodes[node_id].epoch;
            self.schedule(self.now + FIRST_LIST_TIMEOUT, SimEvent::AcceptsWithoutList(node_id, epoch));
        }
        self.load_cached_list(node_id);
    }
}
