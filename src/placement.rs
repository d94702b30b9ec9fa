//! Every decision of a node. Interface (settings, events, actions, ids): `src/api.rs`.
//!
//! Ordinary placement: the group key (or its piece, if the group is too large for one arc), else the client
//! key, else the request's id is hashed to a circle and the first point clockwise names the server
//! (docs/DESIGN.md). All else is a reason to walk on clockwise or to turn away: the rules (`may_send`, the
//! retry budget), dear crossings (`walk`), cold hosts (`cold_room`), bounded load and ceilings (`choose`),
//! ejection (`failed`), doubt (`dropped`, `doubtful`), and moves off what is overloaded (`shed`).
//! `Call::turn`, `group_cost`, `pieces` and `sparse` keep what hundreds of nodes do together in measure.

use crate::api::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::BuildHasherDefault;
use xxhash_rust::xxh64::{xxh64, Xxh64};

/// Seed of the circle, the same at every node for ever: changing it moves every key.
const CIRCLE: u64 = 0x6569_6465_7268_6561;
/// Points of a server: arcs sum to an even share within a tenth (one over the root of m; thesis, 2.2.3).
const POINTS: u64 = 100;
/// Segments that the circle is kept in: some hundred servers then have about a hundred points in each.
const SEGMENTS: usize = 256;
/// A server's capacity beside the even share that it is asked to carry.
const HEADROOM: f64 = 1.75;
/// Part of the steady traffic on its arcs that a cold host is let in, times `overload_factor` and its warmth.
const STEADY: f64 = 0.35;
/// Part of a cold host's allowance that nodes which see little use together, and that few nodes use; over 1,
/// for the rule allows for chance besides. And the assumed life of a connection, in microseconds.
const SAFE: (f64, f64) = (1.4, 1.6);
const LIFE: f64 = 60e6;
/// Part of the sizes of all hosts up to which nodes that see little let clients in; for sizes in cores.
const FULL: f64 = 0.2;
/// Token of the timer that asks for the list again, and of those that end a probe: the host is added.
const T_ASK: u64 = 1;
const T_PROBE: u64 = 1 << 32;
/// How long a call keeps discovery busy. One that waits too long fails, but is worked through all the same.
const CALL: Micros = 60_000;
/// A fleet's calls are spread over this long at most: 6 s after discovery had it a change counts as notified,
/// whether or not it arrived, and the call itself takes its time. And the least step between two calls.
const ASK_WINDOW: Micros = 5_000_000;
const RETRY: Micros = 250_000;
/// A sign that a host serves this node is good for so long: in a few seconds a host fails or fills.
const SEEN: Micros = 2_000_000;
/// For so long a failure or a late message anywhere makes every placement doubtful: most faults last longer.
const TROUBLE: Micros = 10_000_000;
/// A probe is waited for this part of the shortest aim: some of them, and a set-up, fit in the aim.
const PROBE_PART: u64 = 4;
/// Bounded load: how far above its even share a server is filled before the walk passes it. Lower splits
/// groups that would fit, higher lets one arc drown its server.
const BOUND: f64 = 1.25;
/// And this many mean connections more: a node that holds few should keep a small group together.
const SLACK: f64 = 3.0;
/// Messages late for less than this show a pause, not overload: reports come once a second.
const LASTING: Micros = 900_000;
/// Unless the host reports the first part of its capacity; from the second on it counts as full.
const BUSY: (f64, f64) = (0.6, 0.8);
/// What a host whose messages are past their aim may keep of this node's load there.
const CUT: f64 = 0.8;
/// Hosts that a walk passes, and passes if none has room and at most so many nodes share them. Each copy of a
/// group costs, but less than to refuse while a host is idle. The first holds for probes too.
const CANDIDATE_HOSTS: u32 = 3;
pub(crate) const SMALL_FLEET_NODES: u32 = 8;
const CANDIDATE_HOSTS_IN_SMALL_FLEET: u32 = 8;
/// Where message delays are not told: the part of its size (in cores) that a host is held to carry, divided
/// evenly among nodes, and the multiple of that above which connections are moved off.
const PLANNED: (f64, f64) = (0.8, 1.1);
/// Messages later than this are answered by nobody: the host has stopped, and keeps nothing.
const DEAD: Micros = 10_000_000;
/// A ceiling is never lower than this part of a mean connection: some try again, and tell how the host is.
const LEAST: f64 = 0.1;
/// In this time a ceiling grows by a factor of e; up to twice as long where a node sees little.
const CEILING_GROWTH: f64 = 20e6;
/// Outlier ejection: the first failure passes a host over for this long, each further one for twice as long,
/// up to 2^5 times.
const EJECT: Micros = 500_000;
/// From this hidden part of the traffic on a node sees little (see `sparse`): there, a host that drops a
/// standing connection counts as one that failed so often.
const LITTLE: f64 = 0.5;
const DROPPED: u32 = 3;
/// Own zones first from this price of a crossing on, for each zone: a group then has a home in each.
const NEAR_PRICE: f64 = 0.0125;
/// Successors looked at for one in the own zone, for each zone: more would fill a zone with few servers.
const NEAR: usize = 3;
/// Cost of any part of a group to a server, in mean connections; a node is charged its part, at most two.
const GROUP: f64 = 6.0;
/// A group is cut into pieces of this many servers' even share: each further piece costs one more server. The
/// second where a node sees little: nodes' guesses, one arrival apart, scatter a group over more pieces.
const PIECE: (f64, f64) = (2.0, 4.0);
/// Prior of group sizes: shape of a gamma distribution, and the pairs of requests that its mean is worth.
const ALIKE: f64 = 2.0;
const PAIRS: f64 = 50.0;
/// A tenant is over its share when it holds this much more than its part of this node's connections: nodes do
/// not see equal parts. Of a learned ceiling it may then fill only the second figure.
const OVER_SHARE: (f64, f64) = (1.3, 0.6);
/// How old the sum over the ready hosts may be.
const FRESH: Micros = 500_000;
/// Horizon of this node's rate of new connections, also the life assumed of connections found at the start;
/// and that over which a surge is told from it.
const RATE_HORIZON: f64 = 20e6;
const SURGE_HORIZON: f64 = 2e6;

/// Connections and attempts of this node, at one host or in all.
#[derive(Default)]
struct Book {
    /// Those whose load was told: their sum and number.
    known: (f64, u32),
    unknown: Vec<u32>,
    groups: usize,
}

impl Book {
    fn count(&mut self, class: usize, load: Option<f64>, into: bool) {
        let step = |n: u32| if into { n + 1 } else { n.saturating_sub(1) };
        let Some(load) = load else {
            if self.unknown.len() <= class {
                self.unknown.resize(class + 1, 0);
            }
            self.unknown[class] = step(self.unknown[class]);
            return;
        };
        let (sum, n) = self.known;
        self.known = (if into { sum + load } else { (sum - load).max(0.0) }, step(n));
    }
}

/// A listed server as this node sees it.
#[derive(Default)]
struct Host {
    entry: Entry,
    told_at: Micros,
    /// Since when the list calls it gone or leaves it out, where that does not bind: it is in doubt.
    unlisted: Option<Micros>,
    book: Book,
    groups: BTreeMap<u64, u32>,
    /// What the book counts, in an order of its own: `shed` must not hang on that of a hash table.
    calls: BTreeSet<CallId>,
    /// Cold budget: sends in hand, as of this time.
    tokens: (f64, Micros),
    /// Learned ceiling of this node's load there, as of this time.
    ceiling: (f64, Micros),
    growth: f64,
    /// What this node may plan to have there at most, and when connections were last moved off for it.
    planned: f64,
    unloaded_at: Micros,
    fails: u32,
    ejected_until: Micros,
    /// When it last showed that it serves this node, and the load that it then reported.
    seen: Option<Micros>,
    load: f64,
    /// Named after the first list, where probes can tell, and nothing has stood there yet.
    unproven: bool,
    late: Option<(Micros, Micros)>,
}

impl Host {
    /// `turn`: the budget in hand where it is cold (see `cold_turn`).
    fn new(entry: Entry, now: Micros, turn: f64) -> Host {
        Host {
            entry,
            told_at: now,
            tokens: (turn, now),
            ceiling: (f64::INFINITY, 0),
            growth: CEILING_GROWTH,
            planned: f64::INFINITY,
            ..Host::default()
        }
    }

    fn ceiling_at(&self, now: Micros) -> f64 {
        self.ceiling.0 * (now.saturating_sub(self.ceiling.1) as f64 / self.growth).powi(2).exp()
    }

    fn fresh(&self, now: Micros) -> bool {
        self.seen.is_some_and(|at| now < at.saturating_add(SEEN))
    }

    fn count(&mut self, c: &Call, into: bool) {
        self.book.count(c.class, c.load, into);
        if c.grouped {
            let n = self.groups.entry(c.point).or_insert(0);
            *n = if into { *n + 1 } else { n.saturating_sub(1) };
            if *n == 0 {
                self.groups.remove(&c.point);
            }
            self.book.groups = self.groups.len();
        }
    }
}

/// A request that is owed an answer, or a standing connection.
#[derive(Clone, Default)]
struct Call {
    class: usize,
    tenant: Option<usize>,
    load: Option<f64>,
    point: u64,
    /// The client's own hash: where it stands among those that a host can take a part of.
    own: u64,
    zones: Option<(usize, Option<usize>)>,
    grouped: bool,
    /// Back after a break or a move, or known to repeat.
    returned: bool,
    deadline: Micros,
    /// Time since the arrival before it.
    gap: Micros,
    tried: Vec<HostId>,
    out: Option<HostId>,
    begun: bool,
    leaving: bool,
    sends: u32,
    probes: u32,
    mid_flow: bool,
    sent_at: Micros,
    /// First attempt that may have run, and when it was sent.
    maybe_ran: Option<(HostId, Micros)>,
}

impl Call {
    /// Where a client stands at a host among all clients: one that can take a part of a connection from this
    /// node takes those below that part. Residents first, but not where nodes see little and most are guests.
    fn turn(&self, host: HostId, home: bool, little: bool) -> f64 {
        let (half, guest) = if little { (1.0, 0.0) } else { (0.5, if home { 0.0 } else { 0.5 }) };
        draw(host, self.own) * half + guest
    }
}

/// What the ready hosts are together.
#[derive(Default)]
struct Totals {
    ready: usize,
    /// Their size, cold and ejected ones for what they can take: the others carry the rest.
    size: f64,
    at: Option<Micros>,
}

/// A retry budget, where there is one, with what was taken and tried further within its span.
#[derive(Default)]
struct Ration {
    budget: Option<RetryBudget>,
    taken: VecDeque<Micros>,
    further: VecDeque<Micros>,
}

impl Ration {
    /// Further attempts that it allows now. It holds for every window, so at its older edge an attempt counts
    /// still and a request no more.
    fn left(&mut self, now: Micros) -> f64 {
        let Some(b) = self.budget else { return f64::INFINITY };
        while self.taken.front().is_some_and(|&at| at.saturating_add(b.span) <= now) {
            self.taken.pop_front();
        }
        while self.further.front().is_some_and(|&at| at.saturating_add(b.span) < now) {
            self.further.pop_front();
        }
        (b.free + b.share * self.taken.len() as f64).floor() - self.further.len() as f64
    }
}

/// The decisions of one node.
#[derive(Default)]
pub struct PlacementPolicy {
    settings: Settings,
    rng: u64,
    hosts: BTreeMap<HostId, Host>,
    /// Points in clockwise order, in segments of equal length: a change of the list then moves few of them.
    ring: Vec<Vec<(u64, HostId)>>,
    placed: BTreeSet<HostId>,
    /// The most hosts that the list named at a time: so many that it left out are kept, the latest.
    most_listed: usize,
    book: Book,
    totals: Totals,
    /// Never gone through: its order is that of a hash table.
    calls: HashMap<CallId, Call, BuildHasherDefault<Xxh64>>,
    /// Probes out, by host: until when they are waited for, and the requests that wait.
    waiting: BTreeMap<HostId, (Micros, Vec<CallId>)>,
    /// When an attempt or a probe last failed, or a message was late.
    trouble: Option<Micros>,
    subscribed: bool,
    ask_failures: u32,
    /// Loads told so far, by class: their sum and number; the last one is over all classes.
    told: Vec<(f64, f64)>,
    /// Connections and attempts of this node by tenant; the last one is over all.
    held: Vec<u32>,
    rate: (f64, Micros),
    surge: (f64, Micros),
    /// Requests by group, those of returning clients left out.
    groups: BTreeMap<u64, f64>,
    /// Their sum, and how many ordered pairs of them fall into one group.
    grouped: f64,
    pairs: f64,
    /// Retry budgets: by tenant, and the last one over all.
    rations: Vec<Ration>,
}

impl PlacementPolicy {
    /// A node that knows no server yet. Refuses settings that no deployment can mean.
    pub fn new(settings: Settings, seed: u64) -> Result<PlacementPolicy, SettingsError> {
        settings.validate()?;
        let budgets = settings.tenants.iter().map(|t| t.budget).chain([settings.rules.budget]);
        Ok(PlacementPolicy {
            told: vec![(0.0, 0.0); settings.classes.len() + 1],
            held: vec![0; settings.tenants.len() + 1],
            rations: budgets.map(|budget| Ration { budget, ..Ration::default() }).collect(),
            ring: vec![Vec::new(); SEGMENTS],
            settings,
            rng: seed,
            ..PlacementPolicy::default()
        })
    }

    /// Takes in one event.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Members { kind, hosts } => self.members(now, kind, hosts, out),
            Event::Tenants(tenants) => self.tenants(tenants),
            Event::Demand(demand) => {
                self.rations(demand.tenant).for_each(|r| r.taken.push_back(now));
                let call = self.admit(now, demand);
                self.arrived(now);
                self.advance(now, call, out);
            }
            Event::Adopted(demand, host) => {
                let call = self.admit(now, demand);
                self.calls.entry(call.clone()).and_modify(|c| (c.begun, c.sends) = (true, 1));
                self.arrived(now);
                self.attach(&call, host);
            }
            Event::Opened { call, host, .. } => {
                if let Some(h) = self.hosts.get_mut(&host) {
                    (h.fails, h.ejected_until, h.seen, h.unproven) = (0, now, Some(now), false);
                }
                self.calls.entry(call).and_modify(|c| c.begun = true);
            }
            Event::LoadNote { call, load } => {
                self.load_told(&call, load);
                self.unload(now, &call, out);
            }
            Event::DelayNote { host, delay } => self.delay_told(now, host, delay, out),
            Event::Finished { call, outcome, ended, host, .. } => {
                // A second host that sends it back is not blamed: the request may be one that nobody can use.
                let again = |c: &Call| outcome == Outcome::Error && c.maybe_ran.is_some();
                let excused = self.calls.get(&call).is_some_and(|c| c.begun || again(c));
                self.detach(&call);
                // A host that drops what stands is overloaded or ends. Who sees little learns that by nothing
                // else, and its clients would be sent there again at once.
                let least = if outcome == Outcome::Reset && self.little() { DROPPED } else { 0 };
                let passed = excused || matches!(outcome, Outcome::Ok | Outcome::Cancelled | Outcome::Moot);
                if least > 0 || !passed {
                    self.failed(now, host, least);
                }
                let Some(c) = self.calls.get_mut(&call) else { return };
                if ended {
                    return drop(self.calls.remove(&call));
                }
                if !outcome.never_ran() && c.maybe_ran.is_none() {
                    c.maybe_ran = Some((host, c.sent_at));
                }
                if outcome == Outcome::Moot && c.sends > 1 {
                    // It was never sent: the retry budget gets it back.
                    let (at, tenant) = (c.sent_at, c.tenant);
                    for r in self.rations(tenant) {
                        let found = r.further.iter().rposition(|&sent| sent == at);
                        found.map(|i| r.further.remove(i));
                    }
                }
                self.advance(now, call, out);
            }
            Event::Probed { host, outcome, load } => {
                let late = self.hosts.get(&host).and_then(|h| h.late);
                let ok = outcome == Outcome::Ok;
                if let Some((_, delay)) = late.filter(|_| !ok || load > Some(BUSY.0)) {
                    self.relieve(now, host, delay, out);
                }
                self.probed(now, host, ok, load, out);
            }
            Event::Vanished { call } => {
                self.detach(&call);
                self.calls.remove(&call);
            }
            Event::Timer { token } => {
                if token == T_ASK {
                    self.ask(out);
                } else if self.waiting.get(&(token as HostId)).is_some_and(|probe| now >= probe.0) {
                    self.probed(now, token as HostId, false, None, out);
                }
            }
        }
    }

    /// Other tenants: the books and retry budgets of those that stay go on, behind them are those over all.
    fn tenants(&mut self, mut tenants: Vec<Tenant>) {
        let old = self.settings.tenants.len();
        tenants.resize(old.max(tenants.len()), Tenant::default());
        self.held.splice(old..old, vec![0; tenants.len() - old]);
        self.rations.splice(old..old, tenants[old..].iter().map(|_| Ration::default()));
        self.rations.iter_mut().zip(&tenants).for_each(|(ration, tenant)| ration.budget = tenant.budget);
        self.settings.tenants = tenants;
    }

    /// Takes in news of the list; asks for more where the site must be asked.
    fn members(&mut self, now: Micros, kind: ListKind, entries: Vec<Entry>, out: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            self.subscribed = false;
            self.ask_failures += 1;
            let wait = self.step().min(RETRY) / 2 + self.random() % self.step().max(self.ask_window());
            let at = now + wait.min(self.longest_unasked());
            return out.push(Action::Timer { at, token: T_ASK });
        }
        let (mut joined, stays) = (Vec::new(), self.settings.rules.unlisted_hosts_usable);
        let known = self.settings.limits.probes && !self.hosts.is_empty();
        let blind = self.settings.weights_are_sizes && !self.settings.message_delays_reported;
        let peers = f64::from(self.settings.peers_total.max(1));
        if kind != ListKind::Changes {
            let keep: BTreeSet<HostId> = entries.iter().map(|e| e.host).collect();
            let left: Vec<HostId> = self.hosts.keys().copied().filter(|h| !keep.contains(h)).collect();
            left.into_iter().for_each(|host| self.dropped(now, host));
        }
        for mut entry in entries {
            let turn = self.cold_turn();
            if entry.state == HostState::Gone {
                self.dropped(now, entry.host);
                continue;
            }
            let host = self.hosts.entry(entry.host).or_insert_with(|| {
                joined.push(entry.host);
                Host { unproven: known, ..Host::new(entry.clone(), now, turn) }
            });
            let restarted = host.entry.ready_at != entry.ready_at;
            if stays && host.entry.state == HostState::Draining && !restarted {
                // It drained, and no restart undid that: a list that now says otherwise is in error.
                entry.state = HostState::Draining;
            }
            if host.entry.state != entry.state {
                host.told_at = now;
            }
            host.unlisted = None;
            if restarted {
                // Restarted under its old id: what was learned of the old process is void.
                (host.fails, host.ejected_until) = (0, now);
                (host.ceiling, host.tokens) = ((f64::INFINITY, now), (turn, now));
            }
            host.entry = entry;
            if blind && host.entry.weight > 0.0 {
                host.planned = PLANNED.0 * host.entry.weight * 1e6 / peers;
            }
        }
        if stays {
            self.bound_unlisted();
        }
        self.place(&joined);
        self.totals.at = None;
        if kind != ListKind::Cached {
            (self.subscribed, self.ask_failures) = (true, 0);
        } else if self.settings.discovery == Discovery::Asked {
            // All may have started at once.
            match self.random() % (self.ask_window() + 1) {
                0 => self.ask(out),
                wait => out.push(Action::Timer { at: now + wait, token: T_ASK }),
            }
        }
    }

    /// Between two calls. An agent of this node's own counts as having told it all: in time for a drain.
    fn step(&self) -> Micros {
        match self.settings.discovery {
            Discovery::Asked => RETRY << self.ask_failures.min(2),
            Discovery::Pushed => (self.settings.rules.drain_grace / 4).clamp(20_000, RETRY),
        }
    }

    /// How long the fleet spreads its calls over: as long as discovery, one service for all, takes to answer
    /// every other node once, up to `ASK_WINDOW`.
    fn ask_window(&self) -> Micros {
        let all = if self.settings.discovery == Discovery::Pushed { 1 } else { self.settings.peers_total };
        u64::from(all.saturating_sub(1)).saturating_mul(CALL).min(ASK_WINDOW).min(self.longest_unasked())
    }

    /// A node that asks this late asks in time still.
    fn longest_unasked(&self) -> Micros {
        self.settings.max_poll_interval.map_or(Micros::MAX / 4, |most| most / 10 * 8)
    }

    fn ask(&self, out: &mut Vec<Action>) {
        if !self.subscribed {
            out.push(Action::Watch);
        }
    }

    /// The list calls a host gone or leaves it out. Where only draining binds, that is a claim like any
    /// other: the host keeps its points, books and ceiling, and this node's own attempts tell (`failed`).
    fn dropped(&mut self, now: Micros, host: HostId) {
        if !self.settings.rules.unlisted_hosts_usable {
            return self.forget(host);
        }
        if let Some(h) = self.hosts.get_mut(&host) {
            h.unlisted.get_or_insert(now);
        }
    }

    fn bound_unlisted(&mut self) {
        let left = self.hosts.iter().filter_map(|(&id, h)| h.unlisted.map(|at| (at, id)));
        let mut left: Vec<(Micros, HostId)> = left.collect();
        self.most_listed = self.most_listed.max(self.hosts.len() - left.len());
        left.sort_unstable();
        let over = left.len().saturating_sub(self.most_listed);
        left[..over].iter().for_each(|&(_, host)| self.forget(host));
    }

    fn forget(&mut self, host: HostId) {
        if let Some(gone) = self.hosts.remove(&host) {
            self.book.groups -= gone.book.groups;
        }
    }

    /// The hosts as this node sees them, for whoever plans moves. Decides nothing.
    pub fn hosts(&self, now: Micros) -> Vec<HostView> {
        let listed = self.hosts.iter().filter(|(_, h)| h.entry.state == HostState::Ready);
        let view = |(&host, h): (&HostId, &Host)| {
            let takes = h.unlisted.is_none() && !h.unproven && now >= h.ejected_until;
            let (load, size) = (self.load_in(&h.book), self.size_of(h));
            HostView {
                host,
                load,
                size,
                warmth: self.warmth(now, h),
                ready_at: h.entry.ready_at,
                accepts_connections: takes,
            }
        };
        listed.map(view).collect()
    }

    /// The connections that stand elsewhere than at the first host of their walk. Decides nothing.
    pub fn misplaced_connections(&self) -> Vec<MisplacedConnection> {
        let there = self.hosts.iter().flat_map(|(&at, h)| h.calls.iter().map(move |call| (at, call)));
        let stray = |(at, call): (HostId, &CallId)| {
            let c = self.calls.get(call).filter(|c| c.begun && !c.leaving && !c.mid_flow)?;
            let home = self.walk(c).next().filter(|&home| home != at)?;
            let (call, point, class, load) = (call.clone(), c.point, c.class, self.load(c));
            Some(MisplacedConnection {
                call,
                current_host: at,
                home_host: home,
                ring_position: point,
                class,
                load,
            })
        };
        there.filter_map(stray).collect()
    }

    /// Puts the points of hosts that joined on the circle. Those of hosts that left are passed by the walk,
    /// serve again if the host comes back, and are cleared away when they are the greater part.
    fn place(&mut self, joined: &[HostId]) {
        let before = self.placed.len();
        let room = joined.len() * POINTS as usize / SEGMENTS;
        self.ring.iter_mut().for_each(|s| s.reserve(room + room / 4));
        for &host in joined.iter().filter(|&&host| self.placed.insert(host)) {
            let seed = xxh64(&host.to_le_bytes(), CIRCLE);
            for n in 1..=POINTS {
                let point = mix(seed, n);
                self.ring[segment(point)].push((point, host));
            }
        }
        if self.placed.len() > before {
            self.ring.iter_mut().filter(|s| !s.is_sorted()).for_each(|s| s.sort_unstable());
        }
        if self.placed.len() > 2 * self.hosts.len() + 1 {
            self.placed.retain(|host| self.hosts.contains_key(host));
            self.ring.iter_mut().for_each(|s| s.retain(|(_, host)| self.hosts.contains_key(host)));
        }
    }

    fn admit(&mut self, now: Micros, d: Demand) -> CallId {
        self.sum_up(now);
        let key = d.group.as_deref().or(d.key.as_deref()).unwrap_or(&d.call.0);
        let own = xxh64(d.key.as_deref().unwrap_or(&d.call.0).as_bytes(), CIRCLE);
        let mut point = xxh64(key.as_bytes(), CIRCLE);
        if d.group.is_some() {
            if !d.returned {
                let seen = self.groups.entry(point).or_insert(0.0);
                self.pairs += 2.0 * *seen;
                *seen += 1.0;
                self.grouped += 1.0;
            }
            let piece = jump(own, self.pieces(point));
            if piece > 0 {
                point = xxh64(&piece.to_le_bytes(), point);
            }
        }
        let call = Call {
            class: d.class.min(self.settings.classes.len()),
            tenant: d.tenant.filter(|&t| t < self.settings.tenants.len()),
            load: d.hint,
            point,
            own,
            zones: d.zones,
            grouped: d.group.is_some(),
            returned: d.returned || d.repeat,
            deadline: now.saturating_add(d.left),
            gap: now.saturating_sub(self.surge.1),
            mid_flow: d.mid_flow,
            ..Call::default()
        };
        self.calls.insert(d.call.clone(), call);
        d.call
    }

    /// Into how many pieces a group is cut: by the part of all connections that it is held to have, beside an
    /// even share of a server. What a node saw of this one is weighed against the mean size of groups, and
    /// that is told by how often any two requests fall into one group.
    fn pieces(&self, group: u64) -> u32 {
        let hosts = self.totals.ready as f64;
        let (n, k) = (self.grouped, self.groups.get(&group).copied().unwrap_or(0.0));
        if hosts < 1.0 || k < 1.0 {
            return 1;
        }
        let mean = (self.pairs + PAIRS / hosts) / (n * (n - 1.0) + PAIRS);
        let part = (k - 1.0 + ALIKE) / (n - 1.0 + ALIKE / mean);
        (part * hosts / if self.little() { PIECE.1 } else { PIECE.0 }).round().clamp(1.0, hosts) as u32
    }

    fn successors(&self, point: u64) -> impl Iterator<Item = HostId> + '_ {
        let at = segment(point);
        let i = self.ring[at].partition_point(|&(p, _)| p < point);
        let rest = self.ring[at + 1..].iter().chain(&self.ring[..at]).flatten();
        let points = self.ring[at][i..].iter().chain(rest).chain(&self.ring[at][..i]);
        let (mut seen, all) = (BTreeSet::new(), self.hosts.len());
        let listed = points.map(|&(_, host)| host).filter(|host| self.hosts.contains_key(host));
        listed.filter(move |&host| seen.insert(host)).take(all)
    }

    /// The walk of a placement. A fleet's plan leaves but one zone's hosts, and where that failed a second's.
    fn walk(&self, c: &Call) -> impl Iterator<Item = HostId> + '_ {
        let (one, then) = (c.zones.map(|zones| zones.0), c.zones.and_then(|zones| zones.1));
        let failed = || self.ready().all(|h| h.entry.zone != one || h.fails > 0);
        let then = then.filter(|_| c.sends > 0 || failed());
        let zone = |id| self.hosts.get(&id).and_then(|h: &Host| h.entry.zone);
        let first = self.order(c.point).filter(move |&id| one.is_none() || zone(id) == one);
        let second = then.map(|_| self.order(c.point).filter(move |&id| zone(id) == then));
        first.chain(second.into_iter().flatten())
    }

    fn order(&self, point: u64) -> impl Iterator<Item = HostId> + '_ {
        let zones = self.settings.zones;
        let own = self.settings.zone.filter(|_| self.settings.cross_zone_price >= NEAR_PRICE * zones as f64);
        let stands = move |id| own.is_some() && self.hosts.get(&id).map(|h| h.entry.zone) == Some(own);
        let first = own.map_or(0, |_| NEAR * zones);
        let near = self.successors(point).take(first).filter(move |&id| stands(id));
        let rest = self.successors(point).enumerate();
        near.chain(rest.filter(move |&(i, id)| i >= first || !stands(id)).map(|(_, id)| id))
    }

    /// Sends a request to its next successor, or answers it when none may have it.
    fn advance(&mut self, now: Micros, id: CallId, out: &mut Vec<Action>) {
        self.sum_up(now);
        let tenant = self.calls.get(&id).and_then(|c| c.tenant);
        let tries = self.rations(tenant).map(|r| r.left(now)).fold(f64::INFINITY, f64::min);
        let Some(c) = self.calls.get(&id).filter(|c| c.out.is_none()) else { return };
        let pick = Some(c).filter(|c| c.sends == 0 || tries >= 1.0).and_then(|c| self.choose(now, c));
        let most = self.sends(c);
        let Some(host) = pick else { return self.give_up(id, out) };
        let doubtful = self.doubtful(now, c, host);
        let Some(c) = self.calls.get_mut(&id) else { return };
        if doubtful {
            // Held for a probe, which costs no attempt of its budget.
            c.probes += 1;
            return self.ask_host(now, host, out).push(id);
        }
        let further = c.sends > 0;
        let tries = if further { tries - 1.0 } else { tries };
        (c.sends, c.sent_at) = (c.sends + 1, now);
        c.tried.push(host);
        // Set up after its aim it is late anyway: the next successor is the better bet, if there is one more.
        let left = c.deadline - now;
        let aim = self.settings.classes.get(c.class).map_or(left, |class| class.setup_target);
        let patience = if c.sends < most && tries >= 1.0 && aim > 0 { aim.min(left) } else { left };
        if let Some(h) = self.hosts.get_mut(&host).filter(|h| h.fails > 0) {
            // Half-open: one trial at a time, until it is answered.
            h.ejected_until = now + EJECT;
        }
        if further {
            self.rations(tenant).for_each(|r| r.further.push_back(now));
        }
        self.spend(now, host, &id);
        self.attach(&id, host);
        out.push(Action::Send { call: id, host, patience });
    }

    /// Whether a host is probed before a request is sent there: this node has seen no sign of it for a while,
    /// and there is cause for doubt. In calm times nothing is probed.
    fn doubtful(&self, now: Micros, c: &Call, id: HostId) -> bool {
        let Some(h) = self.hosts.get(&id).filter(|_| self.settings.limits.probes) else { return false };
        let trouble = self.trouble.is_some_and(|at| now < at.saturating_add(TROUBLE));
        let cause = c.returned || c.sends > 0 || h.unlisted.is_some() || h.unproven || trouble;
        cause && !h.fresh(now) && c.probes <= CANDIDATE_HOSTS && now + self.probe_wait() < c.deadline
    }

    fn probe_wait(&self) -> Micros {
        self.settings.classes.iter().map(|c| c.setup_target).min().unwrap_or(0) / PROBE_PART
    }

    fn ask_host(&mut self, now: Micros, host: HostId, out: &mut Vec<Action>) -> &mut Vec<CallId> {
        let at = now + self.probe_wait();
        let probe = self.waiting.entry(host).or_insert_with(|| {
            out.extend([Action::Probe { host }, Action::Timer { at, token: T_PROBE | u64::from(host) }]);
            (at, Vec::new())
        });
        &mut probe.1
    }

    /// A probe's answer, or the end of its time: leave for a trial and no more.
    fn probed(&mut self, now: Micros, id: HostId, ok: bool, load: Option<f64>, out: &mut Vec<Action>) {
        let Some((_, calls)) = self.waiting.remove(&id) else { return };
        if !ok {
            self.failed(now, id, 0);
        } else if let Some(h) = self.hosts.get_mut(&id) {
            (h.seen, h.load) = (Some(now), load.unwrap_or(0.0));
            if let Some(load) = load.filter(|&load| load >= BUSY.1) {
                self.overloaded(now, id, CUT / load);
            }
        }
        calls.into_iter().for_each(|call| self.advance(now, call, out));
    }

    /// The retry budgets that bind a tenant's requests: its own and that over all.
    fn rations(&mut self, tenant: Option<usize>) -> impl Iterator<Item = &mut Ration> {
        let last = self.rations.len() - 1;
        let bind = move |i: usize| i == last || Some(i) == tenant;
        let all = self.rations.iter_mut().enumerate();
        all.filter(move |(i, r)| bind(*i) && r.budget.is_some()).map(|(_, r)| r)
    }

    /// Most attempts for a request: the least of what the deployment and its tenant's contract allow.
    fn sends(&self, c: &Call) -> u32 {
        let own = c.tenant.and_then(|t| self.settings.tenants[t].sends);
        own.unwrap_or(u32::MAX).min(self.settings.limits.max_attempts)
    }

    /// The first successor that may have a request and has room for it: under its bounded share of this
    /// node's load and under its ceiling. Room is looked for at `SPREAD` hosts; if all that they lack is a
    /// share of this node's load, the first of them has it. One that is ejected is the last resort, and is
    /// tried only when more than half of the hosts are ejected: then the own view is suspect.
    fn choose(&self, now: Micros, c: &Call) -> Option<HostId> {
        if c.sends >= self.sends(c) || now >= c.deadline || !self.bears(c) {
            return None;
        }
        let mean = self.mean_load(self.settings.classes.len());
        let all = self.load_in(&self.book) + self.load(c);
        let share = BOUND * all / self.totals.size.max(f64::MIN_POSITIVE);
        let part = if self.over_share(c) { OVER_SHARE.1 } else { 1.0 };
        // Nodes that see little fill hosts by size only if each lets in so many of its clients. By the
        // square: a host pays the same for a group or a heavy connection whatever its size.
        let little = self.little();
        let largest = self.ready().filter(|_| little).map(|h| self.size_of(h)).fold(0.0, f64::max);
        let (mut ejected, mut spare, mut home, mut full) = (None, None, None, 0);
        for id in self.walk(c) {
            let Some(h) = self.hosts.get(&id) else { continue };
            let home = *home.get_or_insert(id) == id;
            if !self.may_send(now, c, id) {
                continue;
            }
            if now < h.ejected_until {
                ejected.get_or_insert(id);
                continue;
            }
            let joins = c.grouped && !h.groups.contains_key(&c.point);
            let load = self.load_in(&h.book) + if joins { self.group_cost() * mean } else { 0.0 };
            let small = draw(!id, c.own).sqrt() * largest >= self.size_of(h);
            let fits = load + c.turn(id, home, little) * self.load(c) < part * self.ceiling(now, h);
            let busy = c.probes > 0 && h.fresh(now) && h.load > BUSY.0;
            if fits && !small && !busy && load < share * self.size_of(h) + SLACK * mean {
                return Some(id);
            }
            if fits {
                spare.get_or_insert(id);
            }
            full += u32::from(!small);
            let far = spare.is_none() && self.settings.peers_total <= SMALL_FLEET_NODES;
            if full >= if far { CANDIDATE_HOSTS_IN_SMALL_FLEET } else { CANDIDATE_HOSTS } {
                break;
            }
        }
        let out = || self.ready().filter(|h| now < h.ejected_until).count();
        spare.or(ejected.filter(|_| 2 * out() > self.ready().count()))
    }

    fn over_share(&self, c: &Call) -> bool {
        let Some((t, tenant)) = c.tenant.and_then(|t| Some((t, self.settings.tenants.get(t)?))) else {
            return false;
        };
        let all = self.held[self.settings.tenants.len()];
        let quota = tenant.quota.unwrap_or(0.0) / f64::from(self.settings.peers_total.max(1));
        let part = quota.max(tenant.fraction * f64::from(all));
        self.settings.over_share_worth < 1.0 && f64::from(self.held[t]) > OVER_SHARE.0 * part
    }

    /// Sums up the ready hosts; what is under a second old will do, for shares move slowly.
    fn sum_up(&mut self, now: Micros) {
        if self.totals.at.is_some_and(|at| now < at.saturating_add(FRESH)) && self.totals.size > 0.0 {
            return;
        }
        let able =
            |h: &Host| if now >= h.ejected_until { self.warmth(now, h) * self.size_of(h) } else { 0.0 };
        let (ready, size) = self.ready().fold((0, 0.0), |(n, size), h| (n + 1, size + able(h)));
        self.totals = Totals { ready, size, at: Some(now) };
    }

    /// A message takes this long at a host. Guards against whatever makes it slow. Hurts where all are slow.
    fn delay_told(&mut self, now: Micros, id: HostId, delay: Micros, out: &mut Vec<Action>) {
        let aim = self.shortest_aim();
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if delay < aim {
            host.late = None;
        }
        if delay < aim / 3 {
            return;
        }
        if delay < aim {
            return self.overloaded(now, id, 1.0);
        }
        let first = host.late.is_none();
        let (since, _) = *host.late.get_or_insert((now, delay));
        if self.settings.limits.probes_report_load && now < since + LASTING {
            // A pause, or one late message? A probe tells whether the host is busy; if it is not, it may be
            // over before anyone has moved.
            if first {
                self.ask_host(now, id, out);
            }
            return;
        }
        self.relieve(now, id, delay, out);
    }

    /// What this node may have at a host: under the learned ceiling, and under the plan or a bounded share of
    /// this node's load if that is more: nodes do not see equal parts of the traffic.
    fn ceiling(&self, now: Micros, h: &Host) -> f64 {
        let share = BOUND * self.load_in(&self.book) / self.totals.size.max(f64::MIN_POSITIVE);
        h.ceiling_at(now).min(h.planned.max(share * self.size_of(h)))
    }

    /// A load was told: moves off its host what is past the ceiling there, once a second at most.
    fn unload(&mut self, now: Micros, call: &CallId, out: &mut Vec<Action>) {
        let Some(id) = self.calls.get(call).and_then(|c| c.out) else { return };
        let past = |h: &Host| {
            self.load_in(&h.book) > PLANNED.1 * self.ceiling(now, h) && now >= h.unloaded_at + 900_000
        };
        if self.hosts.get(&id).is_some_and(past) {
            self.hosts.entry(id).and_modify(|h| h.unloaded_at = now);
            self.shed(now, id, out);
        }
    }

    /// Messages at a host are late, and it is no pause: cuts its ceiling and moves who suffers.
    fn relieve(&mut self, now: Micros, id: HostId, delay: Micros, out: &mut Vec<Action>) {
        let aim = self.shortest_aim();
        self.trouble = Some(now);
        let late = (2.0 * aim as f64 / delay as f64).min(1.0);
        let keep = if delay > DEAD { 0.0 } else { CUT * late.powf(self.sparse()) };
        self.overloaded(now, id, keep);
        self.shed(now, id, out);
    }

    fn shortest_aim(&self) -> Micros {
        let aims = self.settings.classes.iter().map(|c| c.message_delay_target).filter(|&a| a > 0);
        aims.min().unwrap_or(Micros::MAX)
    }

    /// How much of the fleet's traffic is hidden from this node: 0 where it holds a mean connection at every
    /// host or more, towards 1 where it holds next to nothing. A node that sees little meets each overload
    /// anew, so the later the messages, the deeper it cuts at once, and for longer.
    fn sparse(&self) -> f64 {
        let mean = self.mean_load(self.settings.classes.len()) * self.totals.ready as f64;
        (1.0 - self.load_in(&self.book) / mean.max(f64::MIN_POSITIVE)).max(0.0)
    }

    /// This node is one of many and sees little: it must do alone what is right if all do it.
    fn little(&self) -> bool {
        self.many() && self.sparse() > LITTLE
    }

    fn many(&self) -> bool {
        self.settings.peers_total > SMALL_FLEET_NODES
    }

    /// An attempt failed there. Guards against hosts that are silent, fail fast or break what they are sent.
    fn failed(&mut self, now: Micros, id: HostId, least: u32) {
        self.trouble = Some(now);
        if let Some(host) = self.hosts.get_mut(&id) {
            // If it is also unlisted, two that do not know of each other say so; if it never served, nothing
            // speaks for it but the list.
            host.fails = host.fails.max(if host.unlisted.is_some() || host.unproven { 5 } else { least });
            host.ejected_until = now + (EJECT << host.fails.min(5));
            host.fails = host.fails.saturating_add(1);
        }
    }

    /// Lowers a host's ceiling to a part of what this node has there, once a second at most: sooner the last
    /// cut cannot have shown. It may fall under one connection: see `Call::turn`.
    fn overloaded(&mut self, now: Micros, id: HostId, keep: f64) {
        let (sparse, least) = (self.sparse(), LEAST * self.mean_load(self.settings.classes.len()));
        let load = self.hosts.get(&id).map_or(0.0, |h| self.load_in(&h.book));
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if now >= host.ceiling.1 + 900_000 || host.ceiling.0.is_infinite() {
            host.ceiling = ((load.min(host.ceiling_at(now)) * keep).max(least), now);
            host.growth = CEILING_GROWTH * (1.0 + sparse);
        }
    }

    /// Moves connections off a host until this node is under its ceiling there: whoever would not be let in
    /// if it came now, and only where its walk finds room. The smallest parts of groups go first, then heavy
    /// ones, and what is half of the load or more last: the others leave it.
    fn shed(&mut self, now: Micros, id: HostId, out: &mut Vec<Action>) {
        let Some(host) = self.hosts.get(&id) else { return };
        let load = self.load_in(&host.book);
        let part = |c: &Call| host.groups.get(&c.point).copied().unwrap_or(0);
        let there = |c: &Call| c.begun && !c.leaving;
        let standing = host.calls.iter().filter_map(|k| Some((k, self.calls.get(k).filter(|c| there(c))?)));
        let mut list: Vec<(bool, u32, f64, CallId)> =
            standing.map(|(k, c)| (self.load(c) >= load / 2.0, part(c), self.load(c), k.clone())).collect();
        list.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(b.2.total_cmp(&a.2)));
        for (_, _, weight, call) in list {
            let Some((h, c)) = self.hosts.get(&id).zip(self.calls.get(&call)) else { continue };
            let home = self.walk(c).next() == Some(id);
            let fits = self.load_in(&h.book) - (1.0 - c.turn(id, home, self.little())) * weight
                < self.ceiling(now, h);
            let again =
                Call { sends: 0, deadline: Micros::MAX, tried: vec![id], maybe_ran: None, ..c.clone() };
            let to = if fits { None } else { self.choose(now, &again) };
            let Some(to) = to else { continue };
            self.detach(&call);
            self.attach(&call, to);
            self.calls.entry(call.clone()).and_modify(|c| c.leaving = true);
            out.push(Action::Move { call });
        }
    }

    fn ready(&self) -> impl Iterator<Item = &Host> {
        let there = |h: &&Host| (h.unlisted.is_none() || h.fails == 0) && !h.unproven;
        self.hosts.values().filter(|h| h.entry.state == HostState::Ready).filter(there)
    }

    fn size_of(&self, host: &Host) -> f64 {
        let told = |weight: &f64| self.settings.weights_are_sizes && weight.is_finite() && *weight > 0.0;
        Some(host.entry.weight).filter(told).unwrap_or(1.0)
    }

    /// What a group costs a host as this node's part of it.
    fn group_cost(&self) -> f64 {
        (GROUP / f64::from(self.settings.peers_total.max(1))).min(GROUP / 3.0)
    }

    fn load_in(&self, book: &Book) -> f64 {
        let unknown = book.unknown.iter().enumerate().filter(|(_, &n)| n > 0);
        let groups = self.group_cost() * book.groups as f64 * self.mean_load(self.settings.classes.len());
        book.known.0 + groups + unknown.map(|(class, &n)| f64::from(n) * self.mean_load(class)).sum::<f64>()
    }

    /// The rules on one attempt: drains, and no effect twice.
    fn may_send(&self, now: Micros, c: &Call, id: HostId) -> bool {
        let Some(host) = self.hosts.get(&id) else { return false };
        let grace = || c.mid_flow && now < host.told_at.saturating_add(self.settings.rules.drain_grace);
        let open = host.entry.state == HostState::Ready || host.entry.state == HostState::Draining && grace();
        open && !c.tried.contains(&id) && self.may_repeat(now, c, id) && self.cold_room(now, id, host, c)
    }

    fn warmth(&self, now: Micros, host: &Host) -> f64 {
        let rules = &self.settings.rules;
        let age = now.saturating_sub(host.entry.ready_at);
        if host.entry.ready_at == 0 || age >= rules.warmup_time {
            return 1.0;
        }
        rules.cold_share + (1.0 - rules.cold_share) * age as f64 / rules.warmup_time as f64
    }

    /// Cold budget in hand at a host: how many mean connections it may be sent now, and how fast that grows.
    /// This node's even share of its own arrivals stands for its part of a host's capacity, which may be far
    /// under one connection. One of many nodes saves up a whole one: it seldom meets the host. Few nodes meet
    /// it all the time, and would spend what each had saved together: they save no more than their part.
    fn cold_tokens(&self, now: Micros, host: &Host, warmth: f64) -> f64 {
        let rules = &self.settings.rules;
        let even = self.steady_rate(now) / self.hosts.len().max(1) as f64;
        let pace = rules.overload_factor * warmth * even * HEADROOM;
        let most = (pace * rules.overload_failure_time as f64 / 2.0).max(if self.many() { 1.0 } else { 0.0 });
        (host.tokens.0 + pace * now.saturating_sub(host.tokens.1) as f64).min(most)
    }

    /// The budget at a host that starts, by chance: the first sends of all nodes are then far apart.
    fn cold_turn(&mut self) -> f64 {
        self.chance() - if self.many() { 0.0 } else { 1.0 }
    }

    /// Rule four: guards a cold host against all sends of this node, refused and retried ones too. Of first
    /// tries of new clients, the steady traffic, it takes a known part: that is let in by the client's turn,
    /// for tokens would come too late, but not while the budget is overdrawn. Of what may come in waves
    /// (returning clients, further tries) a smaller part is; the rest needs a token or chance.
    fn cold_room(&self, now: Micros, id: HostId, host: &Host, c: &Call) -> bool {
        let warmth = self.warmth(now, host);
        let part = self.settings.rules.overload_factor * warmth * STEADY * self.steadiness(now);
        let wave = if c.returned || c.sends > 0 { warmth * (1.0 - self.sparse()) } else { 1.0 };
        let load = if self.many() { 1.0 } else { self.load(c) / self.mean() };
        let tokens = self.cold_tokens(now, host, warmth);
        let steady = tokens >= 0.0 && draw(id, c.own) * load < part * wave;
        warmth >= 1.0 || tokens >= 1.0 || steady || self.cold_part(now, id, c, warmth, tokens)
    }

    /// Where no whole token is in hand: by chance, what all may send there since this node's arrival before
    /// this one, the more the fewer walks meet the host. A walk passes so many that have room, each as often
    /// as it is large, and the cold ones between: a host is met by its part of all: its own size cancels out.
    fn cold_part(&self, now: Micros, id: HostId, c: &Call, warmth: f64, tokens: f64) -> bool {
        let rules = &self.settings.rules;
        let gap = (c.gap as f64).min(rules.overload_failure_time as f64);
        let fills = if self.measures() {
            SAFE.0 * self.totals.size * 1e6 / LIFE / f64::from(self.settings.peers_total)
        } else {
            SAFE.1 * self.steady_rate(now) * HEADROOM * self.mean()
        };
        let room = rules.overload_factor * warmth * fills / f64::from(CANDIDATE_HOSTS) * gap;
        (self.measures() || !self.many() && tokens >= 0.0)
            && draw(id, c.own ^ c.deadline) * self.load(c) < room
    }

    /// Whether the hosts as they are bear one client more at each node that holds as much: by chance, else
    /// all would stand on late hosts. Who is refused comes back spread out.
    fn bears(&self, c: &Call) -> bool {
        let part = FULL * self.totals.size * 1e6 / f64::from(self.settings.peers_total);
        let (tenants, classes) = (self.settings.tenants.len(), self.settings.classes.len());
        let asked = f64::from(self.held[tenants] + 1) * self.mean_load(classes);
        c.begun || c.sends > 0 || !self.measures() || draw(0, c.own ^ c.deadline) * asked < part
    }

    /// A node that sees little, but knows loads and sizes in the same unit.
    fn measures(&self) -> bool {
        self.settings.weights_are_sizes && self.told.last().is_some_and(|told| told.1 > 0.0) && self.little()
    }

    fn spend(&mut self, now: Micros, id: HostId, call: &CallId) {
        let Some((host, c)) = self.hosts.get(&id).zip(self.calls.get(call)) else { return };
        let warmth = self.warmth(now, host);
        let left = self.cold_tokens(now, host, warmth) - self.load(c) / self.mean();
        self.hosts.entry(id).and_modify(|h| h.tokens = (left, now));
    }

    /// The usual rate: clients that come again and again swell the arrivals, not the connections held.
    fn steady_rate(&self, now: Micros) -> f64 {
        decayed(self.rate, now, RATE_HORIZON).min(self.calls.len() as f64 / RATE_HORIZON)
    }

    fn steadiness(&self, now: Micros) -> f64 {
        let recent = (decayed(self.surge, now, SURGE_HORIZON) - 1.0 / SURGE_HORIZON).max(0.0);
        (self.steady_rate(now) / recent.max(f64::MIN_POSITIVE)).min(1.0)
    }

    fn arrived(&mut self, now: Micros) {
        self.rate = (decayed(self.rate, now, RATE_HORIZON) + 1.0 / RATE_HORIZON, now);
        self.surge = (decayed(self.surge, now, SURGE_HORIZON) + 1.0 / SURGE_HORIZON, now);
    }

    fn mean_load(&self, class: usize) -> f64 {
        let all = self.told.last().copied().unwrap_or_default();
        let own = self.told.get(class).copied().unwrap_or_default();
        match (own.1 > 0.0, all.1 > 0.0) {
            (true, _) => own.0 / own.1,
            (_, true) => all.0 / all.1,
            _ => 1.0,
        }
    }

    fn mean(&self) -> f64 {
        self.mean_load(self.settings.classes.len()).max(f64::MIN_POSITIVE)
    }

    fn load(&self, c: &Call) -> f64 {
        c.load.unwrap_or_else(|| self.mean_load(c.class))
    }

    /// A connection's load was told: counts it there and towards its class.
    fn load_told(&mut self, id: &CallId, load: f64) {
        let Some(c) = self.calls.get(id).filter(|_| load.is_finite() && load >= 0.0) else { return };
        let (class, at, last) = (c.class, c.out, self.told.len() - 1);
        for i in BTreeSet::from([class.min(last), last]) {
            self.told[i] = (self.told[i].0 + load, self.told[i].1 + 1.0);
        }
        self.detach(id);
        self.calls.entry(id.clone()).and_modify(|c| c.load = Some(load));
        at.into_iter().for_each(|host| self.attach(id, host));
    }

    fn attach(&mut self, id: &CallId, host: HostId) {
        if let Some(c) = self.calls.get_mut(id) {
            c.out = Some(host);
            self.count(id, host, true);
        }
    }

    fn detach(&mut self, id: &CallId) {
        if let Some(host) = self.calls.get_mut(id).and_then(|c| c.out.take()) {
            self.count(id, host, false);
        }
    }

    fn count(&mut self, id: &CallId, host: HostId, into: bool) {
        let Some(c) = self.calls.get(id) else { return };
        for i in c.tenant.into_iter().chain([self.settings.tenants.len()]) {
            self.held[i] = if into { self.held[i] + 1 } else { self.held[i].saturating_sub(1) };
        }
        if let Some(h) = self.hosts.get_mut(&host) {
            let groups = h.book.groups;
            h.count(c, into);
            if into {
                h.calls.insert(id.clone());
            } else {
                h.calls.remove(id);
            }
            self.book.groups = self.book.groups + h.book.groups - groups;
        }
        self.book.count(c.class, c.load, into);
    }

    /// Whether an attempt may still be sent: its window may have closed since it was decided on.
    pub fn attempt_still_allowed(&self, now: Micros, call: &CallId, id: HostId) -> bool {
        self.calls.get(call).is_none_or(|c| self.may_repeat(now, c, id))
    }

    fn may_repeat(&self, now: Micros, c: &Call, id: HostId) -> bool {
        let Some((first, sent)) = c.maybe_ran else { return true };
        let Some(class) = self.settings.classes.get(c.class) else { return false };
        match class.repeat_safety {
            RepeatSafety::Idempotent => true,
            RepeatSafety::AtMostOnce => false,
            RepeatSafety::Deduplicated => {
                let place = |h: HostId| self.hosts.get(&h).map(|h| (h.entry.zone, h.entry.cell));
                let same = match (class.dedup_scope, place(first), place(id)) {
                    (DedupScope::All, _, _) => true,
                    (DedupScope::Zone, Some(a), Some(b)) => a.0.is_some() && a.0 == b.0,
                    (DedupScope::Cell, Some(a), Some(b)) => a.1 == b.1,
                    _ => false,
                };
                same && now < sent.saturating_add(class.dedup_window)
            }
        }
    }

    /// The final answer when nothing more is tried: a refusal where that is honest, else a failure.
    fn give_up(&mut self, id: CallId, out: &mut Vec<Action>) {
        let Some(c) = self.calls.remove(&id) else { return };
        let class = self.settings.classes.get(c.class).map(|class| (class.repeat_safety, class.dedup_scope));
        let repeatable = matches!(
            class,
            Some((RepeatSafety::Idempotent, _) | (RepeatSafety::Deduplicated, DedupScope::All))
        );
        let honest = c.maybe_ran.is_none() || repeatable;
        // Spread by chance over all that is allowed (full jitter): those turned away now do not come at once.
        let chance = self.chance();
        let retry_after = self.settings.limits.max_retry_after.map(|most| (most as f64 * chance) as Micros);
        out.push(if honest { Action::Refuse { call: id, retry_after } } else { Action::Fail { call: id } });
    }

    fn chance(&mut self) -> f64 {
        self.random() as f64 / u64::MAX as f64
    }

    fn random(&mut self) -> u64 {
        self.rng = self.rng.wrapping_add(1);
        xxh64(&self.rng.to_le_bytes(), CIRCLE)
    }
}

/// Which of `n` pieces a key belongs to (Lamping and Veach, jump consistent hash).
fn jump(mut key: u64, n: u32) -> u32 {
    let (mut b, mut j) = (0u64, 0u64);
    while j < u64::from(n) {
        b = j;
        key = key.wrapping_mul(2_862_933_555_777_941_757).wrapping_add(1);
        j = ((b + 1) as f64 * ((1u64 << 31) as f64 / ((key >> 33) + 1) as f64)) as u64;
    }
    b as u32
}

/// A host's draw, from 0 to 1, the same at every node.
fn draw(host: HostId, seed: u64) -> f64 {
    xxh64(&host.to_le_bytes(), seed) as f64 / u64::MAX as f64
}

fn segment(place: u64) -> usize {
    (place >> 56) as usize % SEGMENTS
}

/// The place of a host's point n, from the host's own hash: the n-th output of SplitMix64 (Steele et al).
fn mix(seed: u64, n: u64) -> u64 {
    let z = seed.wrapping_add(n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

fn decayed((rate, at): (f64, Micros), now: Micros, horizon: f64) -> f64 {
    rate * (-(now.saturating_sub(at) as f64) / horizon).exp()
}
