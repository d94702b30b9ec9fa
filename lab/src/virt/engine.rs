//! The world in simulated time.

use super::common::Common;
use super::decider::{decider, operator, Choice, Decider};
use crate::model::discovery::Discovery;
use crate::model::network::Network;
use crate::model::server::{Job, Server};
use crate::scenario::plan::{
    next_uniform, random_stream, retry_delay, Workload, RECONNECT_AFTER_BREAK_US, RECONNECT_AFTER_MOVE_US,
};
use crate::scenario::Scenario;
use crate::score::record::{letter, Attempt, Entry, Reader, What};
use oakdeal::contracts::Terms;
use oakdeal::{Action, CallId, Event, HostId, HostState, ListKind, Micros, Outcome};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Between two looks at what the servers served.
pub(super) const TICK: Micros = 250_000;
pub(super) const SECOND: Micros = 1_000_000;
/// A connection to what answers nothing is given up after this long; the settings say the same.
pub(super) const CONNECT: Micros = 100_000;
/// The front notices that a balancer has died after this long.
pub(super) const NOTICED: Micros = 2_000_000;
/// From SIGTERM to SIGKILL, and from when on in between clients are moved: as the balancer does it.
pub(super) const TERM: (Micros, Micros) = (3_700_000, 1_800_000);
/// Whether or not it arrived, a change of the list counts as notified this long after discovery had it and could be reached.
pub(super) const NOTIFIED_AFTER: Micros = 6_000_000;
/// Between two balancers of a rolling restart.
pub(super) const NEXT: Micros = 3_000_000;

#[derive(Clone, Debug, PartialEq)]
pub(super) enum Ev {
    Come(u32),
    Reach(Job),
    Served(usize, u64),
    Answered(Job, Attempt),
    Patience(Job),
    Deadline(u32, u32),
    GiveUp(u32, u32),
    LifeOver(u32),
    Change(Job),
    Silent(Job),
    Broken(Job, bool),
    Timer(usize, u32, u64),
    Due(usize, u32, u64),
    Probed(usize, u32, usize, Outcome),
    News(usize, u32, ListKind, Option<Box<(usize, HostState, Micros)>>),
    Begin(usize),
    End(usize),
    Stop(usize, Micros),
    Leave(usize, u32, Micros),
    Kill(usize, Micros),
    Notice(usize),
    Back(usize),
    /// A balancer that came back lets clients in, though discovery has not answered it.
    Listen(usize, u32),
    /// A change of the list counts as notified at every balancer.
    Notified(Change),
    Tick,
}

/// A change of discovery's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Change {
    pub(super) server: usize,
    pub(super) state: HostState,
    pub(super) at: Micros,
}

pub(super) struct Item {
    pub(super) at: Micros,
    pub(super) number: u64,
    pub(super) ev: Ev,
}

impl PartialEq for Item {
    fn eq(&self, other: &Item) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Item {}

impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Item) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Item {
    fn cmp(&self, other: &Item) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It waits to come, or will not.
    Out,
    /// A balancer has its request.
    Asking,
    /// An attempt is under way or at its server.
    Sent,
    Stands,
    Done,
}

pub(super) struct Client {
    pub(super) phase: Phase,
    pub(super) node: usize,
    pub(super) tries: u32,
    pub(super) serial: u32,
    pub(super) attempts: u32,
    pub(super) sent_at: Micros,
    pub(super) server: usize,
    /// Requests in a row that were not served.
    pub(super) failed: u32,
    pub(super) again: bool,
    pub(super) load: f64,
    pub(super) draws: u64,
}

pub(super) struct Host {
    pub(super) model: Server,
    pub(super) up: bool,
    pub(super) fallen: bool,
    pub(super) draining: bool,
    pub(super) silent: Option<Micros>,
    pub(super) cut: bool,
    pub(super) errors: f64,
    pub(super) stamp: u64,
    /// Standing connections by team and class, and by balancer.
    pub(super) standing: Vec<u32>,
    pub(super) by_node: Vec<u32>,
    pub(super) slow: Vec<bool>,
}

pub(super) struct Node {
    pub(super) decider: Box<dyn Decider>,
    pub(super) up: bool,
    /// The front deals clients out to it.
    pub(super) open: bool,
    pub(super) epoch: u32,
    pub(super) zone: usize,
    pub(super) watching: bool,
    /// It came back and lets nobody in until discovery has answered or failed.
    pub(super) waits_for_list: bool,
    /// The list as it was last told, which it has again after a restart.
    pub(super) list: BTreeMap<usize, Listed>,
    pub(super) due: Option<Micros>,
    pub(super) stamp: u64,
}

/// An entry of a balancer's list, and when it was last told.
#[derive(Clone)]
pub(super) struct Listed {
    pub(super) entry: oakdeal::Entry,
    pub(super) learned: Micros,
}

/// The world.
pub(super) struct World<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) plan: &'a Workload,
    pub(super) choice: &'a Choice,
    pub(super) seed: u64,
    pub(super) now: Micros,
    pub(super) queue: BinaryHeap<Reverse<Item>>,
    pub(super) number: u64,
    pub(super) hosts: Vec<Host>,
    pub(super) nodes: Vec<Node>,
    pub(super) clients: Vec<Client>,
    pub(super) network: Network,
    pub(super) discovery: Discovery,
    pub(super) lag: rand_chacha::ChaCha8Rng,
    pub(super) reader: &'a mut dyn Reader,
    /// Clients that want a connection, by team and class.
    pub(super) wants: Vec<u32>,
    pub(super) asked: Vec<f64>,
    pub(super) served: Vec<f64>,
    pub(super) ticks: u64,
    pub(super) counts: Counts,
    /// The fleet's plan for zones, where the scenario's operator wants one.
    pub(super) common: Option<Common>,
}

#[derive(Default)]
pub(super) struct Counts {
    pub(super) first: u64,
    pub(super) sends: u64,
    pub(super) crossings: u64,
    pub(super) moves: u64,
    pub(super) probes: u64,
    pub(super) wasted: f64,
    pub(super) offered: f64,
}

/// The number that balancers know a server by.
pub fn host_id(server: usize) -> HostId {
    // Spread over the numbers, as real ids are; one to one (an odd factor).
    (server as u32 + 1).wrapping_mul(0x9e37_79b1)
}

pub(super) fn server_of(host: HostId) -> usize {
    // The inverse of that factor modulo 2^32.
    host.wrapping_mul(0x0e8b_2f51).wrapping_sub(1) as usize
}

/// Plays a day; all that happens is shown to the reader.
pub fn play(
    scenario: &Scenario,
    name: &str,
    seed: u64,
    choice: &Choice,
    reader: &mut dyn Reader,
) -> Result<(), String> {
    let plan = Workload::draw(scenario, seed);
    play_plan(scenario, name, seed, &plan, choice, reader, None)
}

/// Puts a decider of the caller's own in the place of another, or round it.
pub type Wrap<'a> = &'a dyn Fn(Box<dyn Decider>) -> Box<dyn Decider>;

/// The same with a plan that is drawn already, and deciders of the caller's own where it has some.
pub fn play_plan(
    scenario: &Scenario,
    name: &str,
    seed: u64,
    plan: &Workload,
    choice: &Choice,
    reader: &mut dyn Reader,
    own: Option<Wrap>,
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
        let made = decider(choice, scenario, zone, seed ^ (i as u64 + 1) << 32)?;
        let decider = match own {
            Some(own) => own(made),
            None => made,
        };
        nodes.push(Node {
            decider,
            up: true,
            open: true,
            epoch: 0,
            zone,
            watching: false,
            waits_for_list: false,
            list: BTreeMap::new(),
            due: None,
            stamp: 0,
        });
    }
    let host = |m: &crate::scenario::plan::Machine| Host {
        model: Server::new(m.clone(), &scenario.fleet, load),
        up: true,
        fallen: false,
        draining: false,
        silent: None,
        cut: false,
        errors: 0.0,
        stamp: 0,
        standing: vec![0; cells],
        by_node: vec![0; plan.balancers.len()],
        slow: vec![false; plan.balancers.len()],
    };
    let client = |c: &crate::scenario::plan::Client| Client {
        phase: Phase::Out,
        node: 0,
        tries: 0,
        serial: 0,
        attempts: 0,
        sent_at: 0,
        server: 0,
        failed: 0,
        again: false,
        load: c.load,
        draws: c.seed,
    };
    let mut world = World {
        scenario,
        plan,
        choice,
        seed,
        now: 0,
        queue: BinaryHeap::new(),
        number: 0,
        hosts: plan.servers.iter().map(host).collect(),
        nodes,
        clients: plan.clients.iter().map(client).collect(),
        network: Network::new(&scenario.fleet),
        discovery: Discovery::new(entries.collect(), scenario.fleet.call.0),
        lag: random_stream(seed, "lag"),
        reader,
        wants: vec![0; cells],
        asked: vec![0.0; cells],
        served: vec![0.0; cells],
        ticks: 0,
        counts: Counts::default(),
        common: Common::new(scenario, choice)?,
    };
    world.run(name)
}

impl World<'_> {
    pub(super) fn run(&mut self, name: &str) -> Result<(), String> {
        let (begin, end) = self.scenario.scored_interval();
        let terms: Option<Terms> = match (&self.scenario.operator, self.choice) {
            (Some(text), Choice::Own) => operator(text.get_ref())?.terms,
            _ => None,
        };
        let capacity = terms.and_then(|t| t.capacity).map(|c| (c / self.nodes.len() as f64) as u64);
        self.note(What::Begin {
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
            drain_grace: 500_000,
            fall_time: self.scenario.fleet.fall_time.0,
            capacity,
        });
        for n in 0..self.nodes.len() {
            let listed = |entry: oakdeal::Entry| (server_of(entry.host), Listed { entry, learned: 0 });
            self.nodes[n].list = self.discovery.list().into_iter().map(listed).collect();
            self.known(n);
        }
        for (i, strike) in self.plan.faults.iter().enumerate() {
            self.at(strike.from, Ev::Begin(i));
            if strike.fault.length.0 > 0 {
                self.at(strike.until, Ev::End(i));
            }
        }
        self.at(TICK, Ev::Tick);
        // Those who come for the first time stand in the plan in order: a queue of their own, and before what the
        // other has for the same instant.
        let (plan, mut next) = (self.plan, 0);
        loop {
            let due = self.queue.peek().map_or(Micros::MAX, |Reverse(item)| item.at);
            match plan.clients.get(next).filter(|c| c.arrival <= due) {
                Some(c) if c.arrival <= end => {
                    self.now = c.arrival;
                    next += 1;
                    self.come(next as u32 - 1);
                }
                _ if due > end => break,
                _ => {
                    let Some(Reverse(item)) = self.queue.pop() else { break };
                    self.now = item.at;
                    self.step(item.ev);
                }
            }
        }
        self.now = end;
        let c = std::mem::take(&mut self.counts);
        self.note(What::End {
            first: c.first,
            sends: c.sends,
            crossings: c.crossings,
            moves: c.moves,
            probes: c.probes,
            wasted: c.wasted,
            offered: c.offered,
        });
        Ok(())
    }

    pub(super) fn at(&mut self, at: Micros, ev: Ev) {
        self.number += 1;
        self.queue.push(Reverse(Item { at: at.max(self.now), number: self.number, ev }));
    }

    pub(super) fn note(&mut self, what: What) {
        self.reader.read(&Entry { t: self.now, what });
    }

    /// A draw of a client's own, from 0 to 1.
    pub(super) fn draw(&mut self, c: u32) -> f64 {
        next_uniform(&mut self.clients[c as usize].draws)
    }

    pub(super) fn between(&mut self, c: u32, (low, high): (f64, f64)) -> Micros {
        (low + (high - low) * self.draw(c)) as Micros
    }

    pub(super) fn call(&self, c: u32) -> CallId {
        format!("c{c}-{}", self.clients[c as usize].tries).as_str().into()
    }

    pub(super) fn cell(&self, c: u32) -> usize {
        let p = &self.plan.clients[c as usize];
        p.team * self.scenario.class.len() + p.class
    }

    pub(super) fn way(&self, node: usize, server: usize) -> Micros {
        self.network.way(self.nodes[node].zone, self.plan.servers[server].zone)
    }

    /// A balancer begins with the list as it last had it, which may be old.
    pub(super) fn known(&mut self, n: usize) {
        let list = self.nodes[n].list.clone();
        for (&server, Listed { entry, learned }) in &list {
            let (state, learned) = (letter(entry.state), *learned);
            self.note(What::Known { node: n, server, state, learned });
        }
        let hosts = list.into_values().map(|listed| listed.entry).collect();
        self.tell(n, Event::Members { kind: ListKind::Cached, hosts });
    }

    pub(super) fn tell(&mut self, n: usize, event: Event) {
        let mut out = Vec::new();
        self.nodes[n].decider.tell(self.now, event, &mut out);
        self.act(n, out);
    }

    pub(super) fn act(&mut self, n: usize, actions: Vec<Action>) {
        for action in actions {
            self.do_one(n, action);
        }
        let now = self.now;
        let node = &mut self.nodes[n];
        if let Some(due) = node.decider.due(now) {
            // As the balancer looks: not more often than each 20 ms.
            let due = due.max(now + 20_000);
            if node.due.is_none_or(|at| due < at) {
                node.stamp += 1;
                node.due = Some(due);
                let (epoch, stamp) = (node.epoch, node.stamp);
                self.at(due, Ev::Due(n, epoch, stamp));
            }
        }
    }

    /// The client whose request a call is, if it is still that one.
    pub(super) fn client_of(&self, n: usize, call: &CallId) -> Option<u32> {
        let (c, tries) = call.0.strip_prefix('c')?.split_once('-')?;
        let (c, tries): (u32, u32) = (c.parse().ok()?, tries.parse().ok()?);
        let client = self.clients.get(c as usize)?;
        (client.tries == tries && client.node == n).then_some(c)
    }

    pub(super) fn do_one(&mut self, n: usize, action: Action) {
        match action {
            Action::Send { call, host, patience } => {
                let server = server_of(host);
                let crosses = self.nodes[n].zone != self.plan.servers[server].zone;
                self.counts.sends += 1;
                self.counts.crossings += u64::from(crosses);
                self.note(What::Sent { node: n, call: call.0.to_string(), server, crosses });
                let Some(c) = self.client_of(n, &call) else { return };
                let now = self.now;
                let client = &mut self.clients[c as usize];
                if client.phase == Phase::Stands || client.phase == Phase::Done || client.phase == Phase::Out
                {
                    return;
                }
                client.serial += 1;
                client.attempts += 1;
                (client.phase, client.server, client.sent_at) = (Phase::Sent, server, now);
                let job = (c, client.serial);
                let way = self.way(n, server);
                self.at(now + way, Ev::Reach(job));
                self.at(now.saturating_add(patience), Ev::Patience(job));
            }
            Action::Refuse { call, retry_after } => self.answered(n, &call, true, retry_after, false),
            Action::Fail { call } => self.answered(n, &call, false, None, false),
            Action::Move { call } => {
                let Some(c) = self.client_of(n, &call) else { return };
                if self.clients[c as usize].phase == Phase::Stands {
                    self.moved(c);
                }
            }
            Action::Timer { at, token } => {
                let epoch = self.nodes[n].epoch;
                self.at(at, Ev::Timer(n, epoch, token));
            }
            Action::Probe { host } => {
                self.counts.probes += 1;
                let (server, epoch) = (server_of(host), self.nodes[n].epoch);
                let way = 2 * self.way(n, server);
                let h = &self.hosts[server];
                let (after, outcome) = match () {
                    () if h.cut => (CONNECT, Outcome::ConnectFailed),
                    () if !h.up => (way, Outcome::ConnectFailed),
                    () if h.silent.is_some() => (CONNECT, Outcome::Timeout),
                    () => (way + 1_000, Outcome::Ok),
                };
                self.note(What::Probed { node: n, server });
                self.at(self.now + after, Ev::Probed(n, epoch, server, outcome));
            }
            Action::Watch => {
                let epoch = self.nodes[n].epoch;
                let called = self.discovery.call(self.now);
                self.note(What::Called { node: n, answered: called.is_ok() });
                match called {
                    Ok(at) => self.at(at, Ev::News(n, epoch, ListKind::Full, None)),
                    Err(at) => self.at(at, Ev::News(n, epoch, ListKind::Failed, None)),
                }
            }
        }
    }

    /// The balancer's own final answer.
    pub(super) fn answered(
        &mut self,
        n: usize,
        call: &CallId,
        refused: bool,
        after: Option<Micros>,
        contract: bool,
    ) {
        self.note(What::Answer { node: n, call: call.0.to_string(), refused, after, contract });
        let Some(c) = self.client_of(n, call) else { return };
        if matches!(self.clients[c as usize].phase, Phase::Asking | Phase::Sent) {
            self.again(c, after);
        }
    }

    /// A client was not served: it comes again, later each time, and not before it was told to.
    pub(super) fn again(&mut self, c: u32, told: Option<Micros>) {
        let chance = self.draw(c);
        let client = &mut self.clients[c as usize];
        client.phase = Phase::Out;
        client.failed += 1;
        let wait = retry_delay(client.failed, chance).max(told.unwrap_or(0));
        self.at(self.now + wait, Ev::Come(c));
    }

    /// A connection that stood has ended for its client, which comes again.
    pub(super) fn returns(&mut self, c: u32, within: (f64, f64)) {
        let wait = self.between(c, within);
        let client = &mut self.clients[c as usize];
        (client.phase, client.again) = (Phase::Out, true);
        self.at(self.now + wait, Ev::Come(c));
    }

    /// A standing connection ends: at its server, in the record and at its balancer.
    pub(super) fn over(&mut self, c: u32, outcome: Outcome) {
        let (server, node, serial) = {
            let client = &self.clients[c as usize];
            (client.server, client.node, client.serial)
        };
        self.off(c, server, (c, serial));
        let (call, broken) = (self.call(c), outcome == Outcome::Reset);
        self.note(What::Over { node, call: call.0.to_string(), broken });
        self.finished(c, outcome, true);
    }

    pub(super) fn off(&mut self, c: u32, server: usize, job: Job) {
        let cell = self.cell(c);
        let (now, node) = (self.now, self.clients[c as usize].node);
        let h = &mut self.hosts[server];
        h.model.leave(now, job);
        h.standing[cell] = h.standing[cell].saturating_sub(1);
        h.by_node[node] = h.by_node[node].saturating_sub(1);
        self.look(server);
    }

    pub(super) fn finished(&mut self, c: u32, outcome: Outcome, ended: bool) {
        let client = &self.clients[c as usize];
        let (n, attempt, host) = (client.node, client.attempts.saturating_sub(1), host_id(client.server));
        let elapsed = self.now - client.sent_at;
        let call = self.call(c);
        self.tell(n, Event::Finished { call, attempt, host, outcome, elapsed, ended });
    }

    pub(super) fn moved(&mut self, c: u32) {
        let (node, call) = (self.clients[c as usize].node, self.call(c));
        self.counts.moves += 1;
        self.note(What::Moved { node, call: call.0.to_string() });
        self.clients[c as usize].phase = Phase::Out;
        self.over(c, Outcome::Cancelled);
        self.returns(c, RECONNECT_AFTER_MOVE_US);
    }

    /// When a server's next set-up ends may have changed.
    pub(super) fn look(&mut self, server: usize) {
        let h = &mut self.hosts[server];
        h.stamp += 1;
        let (next, stamp) = (h.model.next(), h.stamp);
        if let Some(at) = next {
            self.at(at, Ev::Served(server, stamp));
        }
    }

    pub(super) fn step(&mut self, ev: Ev) {
        match ev {
            Ev::Come(c) => self.come(c),
            Ev::Reach(job) => self.reach(job),
            Ev::Served(server, stamp) => self.set_up(server, stamp),
            Ev::Answered(job, how) => self.result(job, how),
            Ev::Patience(job) => {
                if self.out(job) {
                    self.result(job, Attempt::Timeout);
                }
            }
            Ev::Deadline(c, tries) => self.deadline(c, tries, true),
            Ev::GiveUp(c, tries) => self.deadline(c, tries, false),
            Ev::LifeOver(c) => self.life_over(c),
            Ev::Change(job) => self.change(job),
            Ev::Silent((c, serial)) => {
                let client = &self.clients[c as usize];
                let silent = self.hosts[client.server].silent.is_some() || self.hosts[client.server].cut;
                if client.phase == Phase::Stands && client.serial == serial && silent {
                    self.moved(c);
                }
            }
            Ev::Broken((c, serial), moved) => {
                let client = &self.clients[c as usize];
                if client.phase != Phase::Stands || client.serial != serial {
                    return;
                }
                self.clients[c as usize].phase = Phase::Out;
                self.over(c, if moved { Outcome::Cancelled } else { Outcome::Reset });
                self.returns(c, if moved { RECONNECT_AFTER_MOVE_US } else { RECONNECT_AFTER_BREAK_US });
            }
            Ev::Timer(n, epoch, token) => {
                if self.nodes[n].up && self.nodes[n].epoch == epoch {
                    self.tell(n, Event::Timer { token });
                }
            }
            Ev::Due(n, epoch, stamp) => {
                let (now, node) = (self.now, &mut self.nodes[n]);
                if !node.up || node.epoch != epoch || node.stamp != stamp {
                    return;
                }
                node.due = None;
                let mut out = Vec::new();
                node.decider.turn(now, &mut out);
                self.act(n, out);
            }
            Ev::Probed(n, epoch, server, outcome) => {
                if self.nodes[n].up && self.nodes[n].epoch == epoch {
                    self.tell(n, Event::Probed { host: host_id(server), outcome, load: None });
                }
            }
            Ev::News(n, epoch, kind, changed) => self.news(n, epoch, kind, changed),
            Ev::Begin(i) => self.begin(i),
            Ev::End(i) => self.end(i),
            Ev::Stop(n, down) => {
                self.nodes[n].open = false;
                let (epoch, until) = (self.nodes[n].epoch, self.now + TERM.0);
                self.at(self.now + TERM.1, Ev::Leave(n, epoch, until));
                self.at(until, Ev::Kill(n, down));
            }
            Ev::Leave(n, epoch, until) => self.leave(n, epoch, until),
            Ev::Kill(n, down) => self.kill(n, down),
            Ev::Notice(n) => self.nodes[n].open &= self.nodes[n].up,
            Ev::Back(n) => self.back(n),
            Ev::Listen(n, epoch) => {
                if self.nodes[n].epoch == epoch {
                    self.nodes[n].waits_for_list = false;
                }
            }
            Ev::Notified(change) => self.notified(change),
            Ev::Tick => {
                self.in_common();
                self.tick();
            }
        }
    }
}
