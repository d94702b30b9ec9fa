//! The simulation's state, its event queue and the execution of the balancers' actions.

use super::common::ZonePlanning;
use super::decider::{create_decider, parse_operator, Decider, DeciderChoice};
use crate::model::discovery::Discovery;
use crate::model::network::Network;
use crate::model::server::{Job, Server};
use crate::scenario::plan::{
    next_uniform, random_stream, retry_delay, Workload, RECONNECT_AFTER_BREAK_US, RECONNECT_AFTER_MOVE_US,
};
use crate::scenario::Scenario;
use crate::score::record::{state_letter, AttemptOutcome, Entry, EntrySink, RunEvent};
use oakdeal::contracts::Terms;
use oakdeal::{Action, CallId, Event, HostId, HostState, ListKind, Micros, Outcome};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Interval at which the service of the servers is sampled, in microseconds.
pub(super) const SAMPLE_INTERVAL: Micros = 250_000;
/// One second, in microseconds.
pub(super) const SECOND: Micros = 1_000_000;
/// Timeout of connecting to a server, in microseconds; the same as in the balancers' settings.
pub(super) const CONNECT_TIMEOUT: Micros = 100_000;
/// Time after which the front-end router detects that a balancer has died, in microseconds.
pub(super) const FAILURE_DETECTION_TIME: Micros = 2_000_000;
/// Time from SIGTERM to SIGKILL, in microseconds; the same as in the balancer.
pub(super) const TERM_TO_KILL: Micros = 3_700_000;
/// Time from SIGTERM to the first move of a client, in microseconds; the same as in the balancer.
pub(super) const TERM_TO_FIRST_MOVE: Micros = 1_800_000;
/// Time after which a change of the list counts as notified, whether or not the notification arrived, in microseconds.
/// It runs from when discovery has the change and is reachable.
pub(super) const ASSUMED_NOTIFIED_AFTER: Micros = 6_000_000;
/// Interval between two balancers of a rolling restart, in microseconds.
pub(super) const RESTART_INTERVAL: Micros = 3_000_000;
/// Smallest interval between two checks of a balancer for due work, in microseconds; the same as in the balancer.
const DUE_CHECK_INTERVAL: Micros = 20_000;
/// Time that a server takes to answer a probe, in microseconds.
const PROBE_SERVICE_TIME: Micros = 1_000;
/// Time after the notification of a drain during which new attempts are still allowed, in microseconds.
const DRAIN_GRACE: Micros = 500_000;
/// Range of the time until a client sends its next message, in microseconds.
pub(super) const NEXT_MESSAGE_WITHIN: (f64, f64) = (0.0, 2e6);

/// An event of the simulation. Events of balancers carry the epoch and those of set-ups and due work a version; they
/// are ignored when it is outdated.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum SimEvent {
    ClientArrives(u32),
    AttemptArrives(Job),
    SetupCompletes(usize, u64),
    AttemptAnswered(Job, AttemptOutcome),
    PatienceExpires(Job),
    BalancerDeadline(u32, u32),
    ClientGivesUp(u32, u32),
    LifetimeEnds(u32),
    LoadChanges(Job),
    /// The balancer detects that the server of this attempt's connection is silent.
    SilenceDetected(Job),
    /// The connection of the attempt ends; the flag is whether the server moved the client instead of breaking off.
    ConnectionBreaks(Job, bool),
    Timer(usize, u32, u64),
    DecisionDue(usize, u32, u64),
    ProbeAnswered(usize, u32, usize, Outcome),
    ListUpdate(usize, u32, ListKind, Option<Box<(usize, HostState, Micros)>>),
    FaultBegins(usize),
    FaultEnds(usize),
    /// SIGTERM; the second field is the time from SIGKILL to the restart.
    BalancerStops(usize, Micros),
    /// A stopping balancer moves its next batch of clients; the last field is the time of SIGKILL.
    BalancerDrains(usize, u32, Micros),
    /// SIGKILL; the second field is the time until the restart.
    BalancerKilled(usize, Micros),
    /// The front-end router detects that a balancer has died.
    FailureDetected(usize),
    BalancerRestarts(usize),
    /// A restarted balancer accepts clients although discovery has not answered it.
    AcceptsWithoutList(usize, u32),
    /// A change of the list counts as notified at every balancer.
    ChangeNotified(ListChange),
    Tick,
}

/// A change of discovery's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ListChange {
    pub(super) server: usize,
    pub(super) state: HostState,
    pub(super) changed_at: Micros,
}

/// An event with its time; `sequence` orders events of the same time.
pub(super) struct QueuedEvent {
    pub(super) at: Micros,
    pub(super) sequence: u64,
    pub(super) event: SimEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &QueuedEvent) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &QueuedEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &QueuedEvent) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Where a client is in its request and connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The client waits until its next request, or will send none.
    Waiting,
    /// A balancer has the request and no attempt is in flight.
    Requested,
    /// An attempt is in flight or at its server.
    InFlight,
    /// The connection is established.
    Established,
    /// The client's lifetime has ended.
    Finished,
}

/// State of a client.
pub(super) struct Client {
    pub(super) phase: Phase,
    pub(super) node: usize,
    /// Number of requests so far.
    pub(super) request_number: u32,
    /// Number of attempts so far, over all requests.
    pub(super) attempt_serial: u32,
    /// Number of attempts of the current request.
    pub(super) attempts: u32,
    pub(super) sent_at: Micros,
    pub(super) server: usize,
    /// Number of consecutive requests that were not served.
    pub(super) consecutive_failures: u32,
    /// Whether it has had an established connection before.
    pub(super) returning: bool,
    pub(super) load: f64,
    /// State of its random number generator.
    pub(super) random_state: u64,
}

/// State of a session server.
pub(super) struct Host {
    pub(super) model: Server,
    pub(super) up: bool,
    /// Whether it failed by overload while cold; it then stays down.
    pub(super) overloaded: bool,
    pub(super) draining: bool,
    /// Since when it accepts requests and answers nothing.
    pub(super) silent_since: Option<Micros>,
    /// Whether the network to it is cut.
    pub(super) severed: bool,
    /// Share of new requests that it answers with an error.
    pub(super) error_share: f64,
    /// Incremented when the next set-up completion is rescheduled, which invalidates earlier events.
    pub(super) setup_version: u64,
    /// Number of established connections by team and class.
    pub(super) established: Vec<u32>,
    /// Number of established connections by balancer.
    pub(super) connections_by_node: Vec<u32>,
    /// Whether the last delay reported to each balancer was slow.
    pub(super) reported_slow: Vec<bool>,
}

/// State of a balancer.
pub(super) struct Node {
    pub(super) decider: Box<dyn Decider>,
    pub(super) up: bool,
    /// Whether the front-end router sends clients to it.
    pub(super) in_rotation: bool,
    /// Incremented when it dies, which invalidates events of the earlier process.
    pub(super) epoch: u32,
    pub(super) zone: usize,
    /// Whether discovery notifies it of changes.
    pub(super) subscribed: bool,
    /// Whether it has restarted and accepts no clients until discovery has answered or failed.
    pub(super) waits_for_list: bool,
    /// Its latest instance list, which it has again after a restart.
    pub(super) list: BTreeMap<usize, ListedEntry>,
    /// Time of the next scheduled check for due work.
    pub(super) due_at: Option<Micros>,
    /// Incremented when that check is rescheduled, which invalidates earlier events.
    pub(super) due_version: u64,
}

/// An entry of a balancer's list, and when it was last notified of it.
#[derive(Clone)]
pub(super) struct ListedEntry {
    pub(super) entry: oakdeal::Entry,
    pub(super) learned_at: Micros,
}

/// State of a simulation.
pub(super) struct Simulation<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) plan: &'a Workload,
    pub(super) choice: &'a DeciderChoice,
    pub(super) seed: u64,
    pub(super) now: Micros,
    pub(super) queue: BinaryHeap<Reverse<QueuedEvent>>,
    pub(super) last_sequence: u64,
    pub(super) hosts: Vec<Host>,
    pub(super) nodes: Vec<Node>,
    pub(super) clients: Vec<Client>,
    pub(super) network: Network,
    pub(super) discovery: Discovery,
    pub(super) notification_rng: rand_chacha::ChaCha8Rng,
    pub(super) sink: &'a mut dyn EntrySink,
    /// Number of clients that want a connection, by team and class.
    pub(super) wanted: Vec<u32>,
    /// Worth asked for in the current second, by team and class.
    pub(super) asked_worth: Vec<f64>,
    /// Worth served in the current second, by team and class.
    pub(super) served_worth: Vec<f64>,
    pub(super) ticks: u64,
    pub(super) counts: Counts,
    /// The fleet's zone plan, if the scenario's operator settings ask for one.
    pub(super) zone_planning: Option<ZonePlanning>,
}

/// Counts on which the penalties are based.
#[derive(Default)]
pub(super) struct Counts {
    pub(super) clients: u64,
    pub(super) sends: u64,
    pub(super) crossings: u64,
    pub(super) moves: u64,
    pub(super) probes: u64,
    pub(super) wasted: f64,
    pub(super) offered: f64,
}

/// Returns the host number by which balancers know a server.
pub fn host_id(server: usize) -> HostId {
    // Spreads the ids over the whole range, as real ids are; an odd factor makes the mapping one-to-one.
    (server as u32 + 1).wrapping_mul(0x9e37_79b1)
}

pub(super) fn server_of(host: HostId) -> usize {
    // The inverse of the factor in `host_id` modulo 2^32.
    host.wrapping_mul(0x0e8b_2f51).wrapping_sub(1) as usize
}

/// Generates the plan of a seed and simulates it; passes every event to `sink`.
pub fn simulate(
    scenario: &Scenario,
    name: &str,
    seed: u64,
    choice: &DeciderChoice,
    sink: &mut dyn EntrySink,
) -> Result<(), String> {
    let plan = Workload::draw(scenario, seed);
    simulate_plan(scenario, name, seed, &plan, choice, sink, None)
}

/// Replaces or wraps a balancer's decider.
pub type DeciderWrapper<'a> = &'a dyn Fn(Box<dyn Decider>) -> Box<dyn Decider>;

/// Simulates a given plan, with deciders replaced or wrapped by the caller if `wrapper` is given.
pub fn simulate_plan(
    scenario: &Scenario,
    name: &str,
    seed: u64,
    plan: &Workload,
    choice: &DeciderChoice,
    sink: &mut dyn EntrySink,
    wrapper: Option<DeciderWrapper>,
) -> Result<(), String> {
    let load = scenario.mean_load();
    let cells = scenario.team.len() * scenario.class.len();
    let entries = plan.servers.iter().enumerate().map(|(i, m)| oakdeal::Entry {
        host: host_id(i),
        state: HostState::Ready,
        ready_at: 0,
        zone: Some(m.zone),
        cell: 0,
        weight: m.cores * m.speed,
    });
    let mut nodes = Vec::new();
    for (i, &zone) in plan.balancers.iter().enumerate() {
        let decider = create_decider(choice, scenario, zone, seed ^ (i as u64 + 1) << 32)?;
        let decider = match wrapper {
            Some(wrap) => wrap(decider),
            None => decider,
        };
        nodes.push(Node {
            decider,
            up: true,
            in_rotation: true,
            epoch: 0,
            zone,
            subscribed: false,
            waits_for_list: false,
            list: BTreeMap::new(),
            due_at: None,
            due_version: 0,
        });
    }
    let new_host = |m: &crate::scenario::plan::Machine| Host {
        model: Server::new(m.clone(), &scenario.fleet, load),
        up: true,
        overloaded: false,
        draining: false,
        silent_since: None,
        severed: false,
        error_share: 0.0,
        setup_version: 0,
        established: vec![0; cells],
        connections_by_node: vec![0; plan.balancers.len()],
        reported_slow: vec![false; plan.balancers.len()],
    };
    let new_client = |c: &crate::scenario::plan::Client| Client {
        phase: Phase::Waiting,
        node: 0,
        request_number: 0,
        attempt_serial: 0,
        attempts: 0,
        sent_at: 0,
        server: 0,
        consecutive_failures: 0,
        returning: false,
        load: c.load,
        random_state: c.seed,
    };
    let mut simulation = Simulation {
        scenario,
        plan,
        choice,
        seed,
        now: 0,
        queue: BinaryHeap::new(),
        last_sequence: 0,
        hosts: plan.servers.iter().map(new_host).collect(),
        nodes,
        clients: plan.clients.iter().map(new_client).collect(),
        network: Network::new(&scenario.fleet),
        discovery: Discovery::new(entries.collect(), scenario.fleet.call.0),
        notification_rng: random_stream(seed, "lag"),
        sink,
        wanted: vec![0; cells],
        asked_worth: vec![0.0; cells],
        served_worth: vec![0.0; cells],
        ticks: 0,
        counts: Counts::default(),
        zone_planning: ZonePlanning::new(scenario, choice)?,
    };
    simulation.run(name)
}

impl Simulation<'_> {
    /// Runs all events up to the end of the scenario.
    pub(super) fn run(&mut self, name: &str) -> Result<(), String> {
        let (begin, end) = self.scenario.scored_interval();
        let terms: Option<Terms> = match (&self.scenario.operator, self.choice) {
            (Some(text), DeciderChoice::Own) => parse_operator(text.get_ref())?.terms,
            _ => None,
        };
        let capacity = terms.and_then(|t| t.capacity).map(|c| (c / self.nodes.len() as f64) as u64);
        self.record(RunEvent::Begin {
            scenario: name.into(),
            title: self.scenario.title.clone(),
            seed: self.seed,
            how: format!("virtual, {}", self.choice.name()),
            classes: self.scenario.class.iter().map(|c| c.name.clone()).collect(),
            teams: self.scenario.team.iter().map(|t| t.get_ref().name.clone()).collect(),
            servers: self.plan.servers.iter().map(|m| m.cores * m.speed).collect(),
            balancers: self.nodes.len(),
            score_from: begin,
            end,
            drain_grace: DRAIN_GRACE,
            fall_time: self.scenario.fleet.fall_time.0,
            capacity,
        });
        for node_id in 0..self.nodes.len() {
            let listed =
                |entry: oakdeal::Entry| (server_of(entry.host), ListedEntry { entry, learned_at: 0 });
            self.nodes[node_id].list = self.discovery.list().into_iter().map(listed).collect();
            self.load_cached_list(node_id);
        }
        for (i, strike) in self.plan.faults.iter().enumerate() {
            self.schedule(strike.from, SimEvent::FaultBegins(i));
            if strike.fault.length.0 > 0 {
                self.schedule(strike.until, SimEvent::FaultEnds(i));
            }
        }
        self.schedule(SAMPLE_INTERVAL, SimEvent::Tick);
        // First arrivals are in order in the plan, which serves as a second queue. At equal times an arrival goes
        // before the events of the other queue.
        let (plan, mut next_client) = (self.plan, 0);
        loop {
            let due = self.queue.peek().map_or(Micros::MAX, |Reverse(item)| item.at);
            match plan.clients.get(next_client).filter(|c| c.arrival <= due) {
                Some(client) if client.arrival <= end => {
                    self.now = client.arrival;
                    next_client += 1;
                    self.client_arrives(next_client as u32 - 1);
                }
                _ if due > end => break,
                _ => {
                    let Some(Reverse(item)) = self.queue.pop() else { break };
                    self.now = item.at;
                    self.handle_event(item.event);
                }
            }
        }
        self.now = end;
        let counts = std::mem::take(&mut self.counts);
        self.record(RunEvent::End {
            first: counts.clients,
            sends: counts.sends,
            crossings: counts.crossings,
            moves: counts.moves,
            probes: counts.probes,
            wasted: counts.wasted,
            offered: counts.offered,
        });
        Ok(())
    }

    pub(super) fn schedule(&mut self, at: Micros, event: SimEvent) {
        self.last_sequence += 1;
        self.queue.push(Reverse(QueuedEvent { at: at.max(self.now), sequence: self.last_sequence, event }));
    }

    pub(super) fn record(&mut self, what: RunEvent) {
        self.sink.accept(&Entry { t: self.now, what });
    }

    /// Draws a random number from 0 to 1 from the client's own generator.
    pub(super) fn draw(&mut self, client_id: u32) -> f64 {
        next_uniform(&mut self.clients[client_id as usize].random_state)
    }

    pub(super) fn draw_between(&mut self, client_id: u32, (low, high): (f64, f64)) -> Micros {
        (low + (high - low) * self.draw(client_id)) as Micros
    }

    pub(super) fn call_id(&self, client_id: u32) -> CallId {
        format!("c{client_id}-{}", self.clients[client_id as usize].request_number).as_str().into()
    }

    /// Returns the index of a client's team and class.
    pub(super) fn cell(&self, client_id: u32) -> usize {
        let p = &self.plan.clients[client_id as usize];
        p.team * self.scenario.class.len() + p.class
    }

    pub(super) fn one_way_delay(&self, node: usize, server: usize) -> Micros {
        self.network.one_way_delay(self.nodes[node].zone, self.plan.servers[server].zone)
    }

    /// Starts a balancer with its cached list, which may be outdated.
    pub(super) fn load_cached_list(&mut self, node_id: usize) {
        let list = self.nodes[node_id].list.clone();
        for (&server, ListedEntry { entry, learned_at }) in &list {
            let (state, learned) = (state_letter(entry.state), *learned_at);
            self.record(RunEvent::StateCached { node: node_id, server, state, learned });
        }
        let hosts = list.into_values().map(|listed| listed.entry).collect();
        self.deliver_event(node_id, Event::Members { kind: ListKind::Cached, hosts });
    }

    pub(super) fn deliver_event(&mut self, node_id: usize, event: Event) {
        let mut out = Vec::new();
        self.nodes[node_id].decider.handle_event(self.now, event, &mut out);
        self.perform_actions(node_id, out);
    }

    /// Performs a decider's actions and schedules its next due work.
    pub(super) fn perform_actions(&mut self, node_id: usize, actions: Vec<Action>) {
        for action in actions {
            self.perform_action(node_id, action);
        }
        let now = self.now;
        let node = &mut self.nodes[node_id];
        if let Some(due) = node.decider.next_due(now) {
            let due = due.max(now + DUE_CHECK_INTERVAL);
            if node.due_at.is_none_or(|at| due < at) {
                node.due_version += 1;
                node.due_at = Some(due);
                let (epoch, version) = (node.epoch, node.due_version);
                self.schedule(due, SimEvent::DecisionDue(node_id, epoch, version));
            }
        }
    }

    /// Returns the client of a call if the call is still its current request at this balancer.
    pub(super) fn client_of(&self, node_id: usize, call: &CallId) -> Option<u32> {
        let (client_id, number) = call.0.strip_prefix('c')?.split_once('-')?;
        let (client_id, number): (u32, u32) = (client_id.parse().ok()?, number.parse().ok()?);
        let client = self.clients.get(client_id as usize)?;
        (client.request_number == number && client.node == node_id).then_some(client_id)
    }

    pub(super) fn perform_action(&mut self, node_id: usize, action: Action) {
        match action {
            Action::Send { call, host, patience } => {
                let server = server_of(host);
                let crosses = self.nodes[node_id].zone != self.plan.servers[server].zone;
                self.counts.sends += 1;
                self.counts.crossings += u64::from(crosses);
                self.record(RunEvent::Sent { node: node_id, call: call.0.to_string(), server, crosses });
                let Some(client_id) = self.client_of(node_id, &call) else { return };
                let now = self.now;
                let client = &mut self.clients[client_id as usize];
                if client.phase == Phase::Established
                    || client.phase == Phase::Finished
                    || client.phase == Phase::Waiting
                {
                    return;
                }
                client.attempt_serial += 1;
                client.attempts += 1;
                (client.phase, client.server, client.sent_at) = (Phase::InFlight, server, now);
                let job = (client_id, client.attempt_serial);
                let delay = self.one_way_delay(node_id, server);
                self.schedule(now + delay, SimEvent::AttemptArrives(job));
                self.schedule(now.saturating_add(patience), SimEvent::PatienceExpires(job));
            }
            Action::Refuse { call, retry_after } => {
                self.final_answer(node_id, &call, true, retry_after, false)
            }
            Action::Fail { call } => self.final_answer(node_id, &call, false, None, false),
            Action::Move { call } => {
                let Some(client_id) = self.client_of(node_id, &call) else { return };
                if self.clients[client_id as usize].phase == Phase::Established {
                    self.move_client(client_id);
                }
            }
            Action::Timer { at, token } => {
                let epoch = self.nodes[node_id].epoch;
                self.schedule(at, SimEvent::Timer(node_id, epoch, token));
            }
            Action::Probe { host } => {
                self.counts.probes += 1;
                let (server, epoch) = (server_of(host), self.nodes[node_id].epoch);
                let delay = 2 * self.one_way_delay(node_id, server);
                let target = &self.hosts[server];
                let (after, outcome) = match () {
                    () if target.severed => (CONNECT_TIMEOUT, Outcome::ConnectFailed),
                    () if !target.up => (delay, Outcome::ConnectFailed),
                    () if target.silent_since.is_some() => (CONNECT_TIMEOUT, Outcome::Timeout),
                    () => (delay + PROBE_SERVICE_TIME, Outcome::Ok),
                };
                self.record(RunEvent::Probed { node: node_id, server });
                self.schedule(self.now + after, SimEvent::ProbeAnswered(node_id, epoch, server, outcome));
            }
            Action::Watch => {
                let epoch = self.nodes[node_id].epoch;
                let answer = self.discovery.enqueue_call(self.now);
                self.record(RunEvent::DiscoveryCalled { node: node_id, answered: answer.is_ok() });
                match answer {
                    Ok(at) => self.schedule(at, SimEvent::ListUpdate(node_id, epoch, ListKind::Full, None)),
                    Err(at) => {
                        self.schedule(at, SimEvent::ListUpdate(node_id, epoch, ListKind::Failed, None))
                    }
                }
            }
        }
    }

    /// Handles a balancer's final answer: a refusal or a failure.
    pub(super) fn final_answer(
        &mut self,
        node_id: usize,
        call: &CallId,
        refused: bool,
        after: Option<Micros>,
        contract: bool,
    ) {
        self.record(RunEvent::Answer { node: node_id, call: call.0.to_string(), refused, after, contract });
        let Some(client_id) = self.client_of(node_id, call) else { return };
        if matches!(self.clients[client_id as usize].phase, Phase::Requested | Phase::InFlight) {
            self.schedule_retry(client_id, after);
        }
    }

    /// Schedules the retry of a client that was not served: with exponential backoff, and not before the time that the
    /// answer asked for.
    pub(super) fn schedule_retry(&mut self, client_id: u32, retry_after: Option<Micros>) {
        let chance = self.draw(client_id);
        let client = &mut self.clients[client_id as usize];
        client.phase = Phase::Waiting;
        client.consecutive_failures += 1;
        let wait = retry_delay(client.consecutive_failures, chance).max(retry_after.unwrap_or(0));
        self.schedule(self.now + wait, SimEvent::ClientArrives(client_id));
    }

    /// Schedules the return of a client whose established connection has ended.
    pub(super) fn schedule_return(&mut self, client_id: u32, within: (f64, f64)) {
        let wait = self.draw_between(client_id, within);
        let client = &mut self.clients[client_id as usize];
        (client.phase, client.returning) = (Phase::Waiting, true);
        self.schedule(self.now + wait, SimEvent::ClientArrives(client_id));
    }

    /// Ends an established connection at its server, in the record and at its balancer.
    pub(super) fn end_connection(&mut self, client_id: u32, outcome: Outcome) {
        let (server, node, serial) = {
            let client = &self.clients[client_id as usize];
            (client.server, client.node, client.attempt_serial)
        };
        self.remove_connection(client_id, server, (client_id, serial));
        let (call, broken) = (self.call_id(client_id), outcome == Outcome::Reset);
        self.record(RunEvent::ConnectionEnded { node, call: call.0.to_string(), broken });
        self.report_finished(client_id, outcome, true);
    }

    /// Removes an established connection from its server's model and counts.
    pub(super) fn remove_connection(&mut self, client_id: u32, server: usize, job: Job) {
        let cell = self.cell(client_id);
        let (now, node) = (self.now, self.clients[client_id as usize].node);
        let host = &mut self.hosts[server];
        host.model.remove(now, job);
        host.established[cell] = host.established[cell].saturating_sub(1);
        host.connections_by_node[node] = host.connections_by_node[node].saturating_sub(1);
        self.reschedule_setup(server);
    }

    pub(super) fn report_finished(&mut self, client_id: u32, outcome: Outcome, ended: bool) {
        let client = &self.clients[client_id as usize];
        let (node_id, attempt, host) =
            (client.node, client.attempts.saturating_sub(1), host_id(client.server));
        let elapsed = self.now - client.sent_at;
        let call = self.call_id(client_id);
        self.deliver_event(node_id, Event::Finished { call, attempt, host, outcome, elapsed, ended });
    }

    /// Ends a connection whose client is asked to move, and schedules the client's return.
    pub(super) fn move_client(&mut self, client_id: u32) {
        let (node, call) = (self.clients[client_id as usize].node, self.call_id(client_id));
        self.counts.moves += 1;
        self.record(RunEvent::Moved { node, call: call.0.to_string() });
        self.clients[client_id as usize].phase = Phase::Waiting;
        self.end_connection(client_id, Outcome::Cancelled);
        self.schedule_return(client_id, RECONNECT_AFTER_MOVE_US);
    }

    /// Reschedules the completion of a server's next set-up.
    pub(super) fn reschedule_setup(&mut self, server: usize) {
        let host = &mut self.hosts[server];
        host.setup_version += 1;
        let (next, version) = (host.model.next_setup_completion(), host.setup_version);
        if let Some(at) = next {
            self.schedule(at, SimEvent::SetupCompletes(server, version));
        }
    }

    pub(super) fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::ClientArrives(client_id) => self.client_arrives(client_id),
            SimEvent::AttemptArrives(job) => self.attempt_arrives(job),
            SimEvent::SetupCompletes(server, version) => self.complete_setups(server, version),
            SimEvent::AttemptAnswered(job, how) => self.attempt_finished(job, how),
            SimEvent::PatienceExpires(job) => {
                if self.is_in_flight(job) {
                    self.attempt_finished(job, AttemptOutcome::Timeout);
                }
            }
            SimEvent::BalancerDeadline(client_id, request_number) => {
                self.deadline_reached(client_id, request_number, true)
            }
            SimEvent::ClientGivesUp(client_id, request_number) => {
                self.deadline_reached(client_id, request_number, false)
            }
            SimEvent::LifetimeEnds(client_id) => self.lifetime_ends(client_id),
            SimEvent::LoadChanges(job) => self.load_changes(job),
            SimEvent::SilenceDetected((client_id, serial)) => {
                let client = &self.clients[client_id as usize];
                let silent =
                    self.hosts[client.server].silent_since.is_some() || self.hosts[client.server].severed;
                if client.phase == Phase::Established && client.attempt_serial == serial && silent {
                    self.move_client(client_id);
                }
            }
            SimEvent::ConnectionBreaks((client_id, serial), moved) => {
                let client = &self.clients[client_id as usize];
                if client.phase != Phase::Established || client.attempt_serial != serial {
                    return;
                }
                self.clients[client_id as usize].phase = Phase::Waiting;
                self.end_connection(client_id, if moved { Outcome::Cancelled } else { Outcome::Reset });
                self.schedule_return(
                    client_id,
                    if moved { RECONNECT_AFTER_MOVE_US } else { RECONNECT_AFTER_BREAK_US },
                );
            }
            SimEvent::Timer(node_id, epoch, token) => {
                if self.nodes[node_id].up && self.nodes[node_id].epoch == epoch {
                    self.deliver_event(node_id, Event::Timer { token });
                }
            }
            SimEvent::DecisionDue(node_id, epoch, version) => {
                let (now, node) = (self.now, &mut self.nodes[node_id]);
                if !node.up || node.epoch != epoch || node.due_version != version {
                    return;
                }
                node.due_at = None;
                let mut out = Vec::new();
                node.decider.run_due(now, &mut out);
                self.perform_actions(node_id, out);
            }
            SimEvent::ProbeAnswered(node_id, epoch, server, outcome) => {
                if self.nodes[node_id].up && self.nodes[node_id].epoch == epoch {
                    self.deliver_event(node_id, Event::Probed { host: host_id(server), outcome, load: None });
                }
            }
            SimEvent::ListUpdate(node_id, epoch, kind, changed) => {
                self.update_list(node_id, epoch, kind, changed)
            }
            SimEvent::FaultBegins(i) => self.begin_fault(i),
            SimEvent::FaultEnds(i) => self.end_fault(i),
            SimEvent::BalancerStops(node_id, down) => {
                self.nodes[node_id].in_rotation = false;
                let (epoch, until) = (self.nodes[node_id].epoch, self.now + TERM_TO_KILL);
                self.schedule(self.now + TERM_TO_FIRST_MOVE, SimEvent::BalancerDrains(node_id, epoch, until));
                self.schedule(until, SimEvent::BalancerKilled(node_id, down));
            }
            SimEvent::BalancerDrains(node_id, epoch, until) => self.drain_balancer(node_id, epoch, until),
            SimEvent::BalancerKilled(node_id, down) => self.kill_balancer(node_id, down),
            SimEvent::FailureDetected(node_id) => self.nodes[node_id].in_rotation &= self.nodes[node_id].up,
            SimEvent::BalancerRestarts(node_id) => self.restart_balancer(node_id),
            SimEvent::AcceptsWithoutList(node_id, epoch) => {
                if self.nodes[node_id].epoch == epoch {
                    self.nodes[node_id].waits_for_list = false;
                }
            }
            SimEvent::ChangeNotified(change) => self.change_notified(change),
            SimEvent::Tick => {
                self.update_zone_plan();
                self.sample();
            }
        }
    }
}
