//! The placement policy: decides for one balancing node where each request is sent, when it is retried,
//! refused or failed, and which standing connections are moved. Interface (settings, events, actions, ids):
//! `src/api.rs`.
//!
//! Ordinary placement: the group key (or that of its piece, if the group is too large for one arc), else the
//! client key, else the request's id is hashed to a ring, and the first point clockwise names the server
//! (docs/DESIGN.md). Everything else is a reason to try the next server clockwise or to refuse: the rules on
//! attempts (`may_attempt`, the retry budget), expensive zone crossings (`candidates`), cold hosts
//! (`cold_host_admits`), bounded load and ceilings (`choose_host`), ejection of failing hosts
//! (`record_failure`), probes of hosts in doubt (`mark_unlisted`, `needs_probe`), and moves off overloaded
//! hosts (`move_excess`). `Call::admission_rank`, `group_cost`, `piece_count` and `hidden_share` bound the
//! combined effect of hundreds of nodes that decide independently.
//!
//! Guarantees: the same events with the same seed give the same actions; nodes with the same list hash a key
//! to the same point; an attempt that may have run is repeated only where its class allows it; the attempt
//! limits and the retry budgets hold. Not guaranteed: equal load on the servers, or that two nodes choose the
//! same server, because each node decides from its own view of load and failures.

mod server_list;

use crate::api::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::BuildHasherDefault;
use xxhash_rust::xxh64::{xxh64, Xxh64};

/// Hash seed of the ring. It must be the same at every node and in every version: a change moves every key.
const RING_HASH_SEED: u64 = 0x6569_6465_7268_6561;
/// Ring points of each host. The arcs of a host then sum to an even share within a tenth: the deviation is
/// one over the square root of the number of points (thesis, 2.2.3).
const POINTS_PER_HOST: u64 = 100;
/// Number of segments that the ring is kept in: with a few hundred hosts each holds about a hundred points,
/// so that a change of the list moves few of them.
const RING_SEGMENTS: usize = 256;
/// Capacity of a host as a multiple of the even share that it is asked to carry.
const CAPACITY_PER_EVEN_SHARE: f64 = 1.75;
/// Share of the steady traffic on its arcs that a cold host is sent, before it is multiplied by
/// `overload_factor` and the host's warmth.
const COLD_STEADY_SHARE: f64 = 0.35;
/// Multiple of a cold host's allowance that all nodes of a large fleet with a sparse view use together. It
/// may exceed 1 because the rule on cold hosts allows for chance as well.
const COLD_ALLOWANCE_SPARSE_VIEW: f64 = 1.4;
/// Multiple of a cold host's allowance that the nodes of a small fleet use together. It may exceed 1 for the
/// same reason.
const COLD_ALLOWANCE_SMALL_FLEET: f64 = 1.6;
/// Assumed lifetime of a connection, in microseconds: it converts the hosts' sizes into the rate at which new
/// connections may fill them.
const ASSUMED_LIFETIME_US: f64 = 60e6;
/// Share of the total size of all hosts (in cores) up to which nodes with a sparse view admit clients.
const SPARSE_VIEW_ADMISSION_SHARE: f64 = 0.2;
/// Token of the timer that asks for the list again.
const POLL_TIMER: u64 = 1;
/// Flag in the token of a timer that ends a probe; the host's id is in the low 32 bits.
const PROBE_TIMER: u64 = 1 << 32;
/// Time for which evidence that a host serves this node is valid: a host fails or fills up within seconds.
const LIVENESS_EVIDENCE_LIFETIME: Micros = 2_000_000;
/// Time after any failure or late message for which every placement is in doubt: most faults last longer.
const DOUBT_PERIOD: Micros = 10_000_000;
/// A probe's timeout is the shortest set-up target divided by this: several probes and a set-up then fit in
/// the target.
const PROBES_PER_SETUP_TARGET: u64 = 4;
/// Bounded load: multiple of its even share up to which a host is filled before the next one is tried. A
/// lower value splits groups that would fit; a higher one lets a single arc overload its host.
const BOUNDED_LOAD_FACTOR: f64 = 1.25;
/// Added to that bound, in mean connections: a node that holds few connections should keep a small group
/// together.
const BOUNDED_LOAD_SLACK_CONNECTIONS: f64 = 3.0;
/// Messages that are late for less than this show a pause rather than overload: reports come once a second.
const SUSTAINED_DELAY: Micros = 900_000;
/// Shortest time between two cuts of a host's ceiling, and between two moves of what is past it. Reports come
/// once a second: earlier, the last change cannot have shown its effect.
const MIN_ADJUSTMENT_INTERVAL: Micros = 900_000;
/// Reported load of a host, as a share of its capacity, above which late messages mean overload at once, and
/// a request that was held for a probe passes the host over.
const BUSY_UTILIZATION: f64 = 0.6;
/// Reported load of a host, as a share of its capacity, from which on it counts as full.
const FULL_UTILIZATION: f64 = 0.8;
/// Share of this node's load at a host that remains when the host's messages are past their target.
const OVERLOAD_KEEP_SHARE: f64 = 0.8;
/// Number of hosts that are tried for room, and the limit on a request's probes. With more hosts there would
/// be more copies of each group, and each copy costs.
const CANDIDATE_HOSTS: u32 = 3;
/// Largest number of nodes that counts as a small fleet. In a larger one, a node with a sparse view must do
/// by itself what is right if all nodes do it.
pub(crate) const SMALL_FLEET_NODES: u32 = 8;
/// Number of hosts that are tried in a small fleet while none of them has room: a copy of a group costs less
/// than a refusal while a host is idle.
const CANDIDATE_HOSTS_IN_SMALL_FLEET: u32 = 8;
/// Where message delays are not reported: share of its size (in cores) that a host is planned to carry,
/// divided evenly among nodes.
const PLANNED_UTILIZATION: f64 = 0.8;
/// Multiple of its ceiling at a host above which this node moves connections off.
const UNLOAD_CEILING_FACTOR: f64 = 1.1;
/// Message delay beyond which a host counts as stopped: nothing is kept there.
const STOPPED_HOST_DELAY: Micros = 10_000_000;
/// A message delay from the target divided by this up to the target freezes the ceiling at the present load.
const CAUTION_DELAY_DIVISOR: u64 = 3;
/// Smallest ceiling, in mean connections: a few clients still try the host, and show how it is.
const MIN_CEILING_CONNECTIONS: f64 = 0.1;
/// Time in which a ceiling grows by a factor of e, in microseconds; up to twice as long where a node has a
/// sparse view.
const CEILING_GROWTH_TIME_US: f64 = 20e6;
/// Outlier ejection: time for which a host is passed over after its first failure; each further failure
/// doubles it.
const EJECTION_TIME: Micros = 500_000;
/// Largest number of times that the ejection time is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// Hidden share of the traffic above which a node has a sparse view (see `hidden_share`).
const SPARSE_VIEW_THRESHOLD: f64 = 0.5;
/// Where a node has a sparse view, a host that drops a standing connection counts as one that failed this
/// many times before.
const FAILURES_FOR_DROPPED_CONNECTION: u32 = 3;
/// Price of a zone crossing, for each zone, from which on hosts of the own zone are tried first: a group then
/// has a home in each zone.
const MIN_LOCAL_ZONE_PRICE: f64 = 0.0125;
/// Successors searched for a host of the own zone, for each zone: more would fill a zone with few hosts.
const LOCAL_SUCCESSORS_PER_ZONE: usize = 3;
/// Cost to a host of holding any part of a group, in mean connections. A node is charged its part of it, at
/// most two connections.
const GROUP_COST_CONNECTIONS: f64 = 6.0;
/// Size of the pieces that a group is cut into, in even shares of a host: each further piece costs one more
/// host.
const PIECE_EVEN_SHARES: f64 = 2.0;
/// The same where a node has a sparse view: estimates of nodes that differ by one arrival scatter a group
/// over more pieces.
const PIECE_EVEN_SHARES_SPARSE_VIEW: f64 = 4.0;
/// Prior of group sizes: shape of a gamma distribution.
const GROUP_PRIOR_SHAPE: f64 = 2.0;
/// Number of groups whose requests are counted at most.
const MAX_TRACKED_GROUPS: usize = 65_536;
/// Prior of group sizes: number of request pairs that its mean is worth.
const GROUP_PRIOR_PAIRS: f64 = 50.0;
/// A tenant is over its share when it holds more than this multiple of its part of this node's connections:
/// nodes do not see equal parts.
const OVER_SHARE_TOLERANCE: f64 = 1.3;
/// Share of a learned ceiling that a tenant over its share may fill.
const OVER_SHARE_CEILING_PART: f64 = 0.6;
/// Greatest age of the totals over the ready hosts: shares change slowly.
const TOTALS_MAX_AGE: Micros = 500_000;
/// Horizon of this node's rate of new connections, in microseconds; also the lifetime assumed of connections
/// found at the start.
const RATE_HORIZON_US: f64 = 20e6;
/// Horizon over which a surge is distinguished from that rate, in microseconds.
const SURGE_HORIZON_US: f64 = 2e6;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// Connections and attempts of this node, at one host or at all hosts.
#[derive(Default)]
struct LoadTally {
    /// Connections whose load was reported: sum of the loads and number of connections.
    reported: (f64, u32),
    /// Number of connections without a reported load, by class.
    unreported: Vec<u32>,
    /// Number of groups with a connection there.
    groups: usize,
}

impl LoadTally {
    /// Adds a connection, or removes it.
    fn count(&mut self, class: usize, load: Option<f64>, add: bool) {
        let step = |n: u32| if add { n + 1 } else { n.saturating_sub(1) };
        let Some(load) = load else {
            if self.unreported.len() <= class {
                self.unreported.resize(class + 1, 0);
            }
            self.unreported[class] = step(self.unreported[class]);
            return;
        };
        let (sum, n) = self.reported;
        self.reported = (if add { sum + load } else { (sum - load).max(0.0) }, step(n));
    }
}

/// A listed server as this node sees it.
#[derive(Default)]
struct Host {
    entry: Entry,
    /// When its present state was first listed.
    state_since: Micros,
    /// Since when the list calls it gone or leaves it out, where that is not binding: it is in doubt.
    unlisted_since: Option<Micros>,
    tally: LoadTally,
    /// Number of connections and attempts there, by the group's ring position.
    groups: BTreeMap<u64, u32>,
    /// The calls that the tally counts, in a fixed order: `move_excess` must not depend on that of a hash
    /// table.
    calls: BTreeSet<CallId>,
    /// Cold budget: tokens in hand, as of this time.
    cold_tokens: (f64, Micros),
    /// Learned ceiling of this node's load there, as of this time.
    learned_ceiling: (f64, Micros),
    /// Time in which the learned ceiling grows by a factor of e, in microseconds.
    ceiling_growth_time: f64,
    /// Largest load that this node may plan to have there.
    planned_load: f64,
    /// When connections were last moved off because of the ceiling.
    unloaded_at: Micros,
    /// Failures since it last served, which set the next ejection time.
    failures: u32,
    ejected_until: Micros,
    /// When it last showed that it serves this node.
    last_seen: Option<Micros>,
    /// Load that it reported then, as a share of its capacity.
    reported_load: f64,
    /// First listed after the first list, where probes are allowed, and no connection was established yet.
    unproven: bool,
    /// Since when its messages are late, and the delay then.
    late: Option<(Micros, Micros)>,
}

impl Host {
    /// Returns a newly listed host. `tokens`: its cold budget in hand (see `initial_cold_tokens`).
    fn new(entry: Entry, now: Micros, tokens: f64) -> Host {
        Host {
            entry,
            state_since: now,
            cold_tokens: (tokens, now),
            learned_ceiling: (f64::INFINITY, 0),
            ceiling_growth_time: CEILING_GROWTH_TIME_US,
            planned_load: f64::INFINITY,
            ..Host::default()
        }
    }

    fn learned_ceiling_at(&self, now: Micros) -> f64 {
        self.learned_ceiling.0
            * (now.saturating_sub(self.learned_ceiling.1) as f64 / self.ceiling_growth_time).powi(2).exp()
    }

    /// Whether there is recent evidence that the host serves this node.
    fn recently_seen(&self, now: Micros) -> bool {
        self.last_seen.is_some_and(|at| now < at.saturating_add(LIVENESS_EVIDENCE_LIFETIME))
    }

    fn count(&mut self, c: &Call, add: bool) {
        self.tally.count(c.class, c.load, add);
        if c.grouped {
            let n = self.groups.entry(c.ring_position).or_insert(0);
            *n = if add { *n + 1 } else { n.saturating_sub(1) };
            if *n == 0 {
                self.groups.remove(&c.ring_position);
            }
            self.tally.groups = self.groups.len();
        }
    }
}

/// A request that is owed an answer, or a standing connection.
#[derive(Clone, Default)]
struct Call {
    class: usize,
    tenant: Option<usize>,
    /// Its load, where it is known.
    load: Option<f64>,
    /// Its place on the ring: that of its group's piece, where it has a group.
    ring_position: u64,
    /// Hash of the client itself: its rank among the clients when a host can take only some of them.
    client_hash: u64,
    /// Zone that the fleet's plan sends it to, and one where it may be retried.
    zones: Option<(usize, Option<usize>)>,
    grouped: bool,
    /// Back after a break or a move, or known to repeat.
    returned: bool,
    deadline: Micros,
    /// Time since the arrival before it.
    arrival_gap: Micros,
    /// Hosts that it was sent to.
    tried: Vec<HostId>,
    /// Host of the attempt under way or of the connection.
    host: Option<HostId>,
    /// A connection was established.
    established: bool,
    /// It was asked to move and has not closed yet.
    moving: bool,
    attempts: u32,
    probes: u32,
    mid_flow: bool,
    sent_at: Micros,
    /// Host of the first attempt that may have run, and when it was sent.
    maybe_ran: Option<(HostId, Micros)>,
}

impl Call {
    /// Returns the client's rank at a host among all clients, from 0 to 1: a host that can take a fraction of
    /// a connection from this node admits the clients ranked below that fraction. Clients at their home come
    /// first, except where nodes have a sparse view and most clients are away from home.
    fn admission_rank(&self, host: HostId, at_home: bool, sparse_view: bool) -> f64 {
        let (scale, offset) = if sparse_view { (1.0, 0.0) } else { (0.5, if at_home { 0.0 } else { 0.5 }) };
        host_fraction(host, self.client_hash) * scale + offset
    }
}

/// Totals over the ready hosts.
#[derive(Default)]
struct Totals {
    /// Number of ready hosts.
    hosts: usize,
    /// Sum of their sizes, where cold and ejected hosts count for what they can take: the others carry the
    /// rest.
    size: f64,
    /// When the totals were computed.
    at: Option<Micros>,
}

/// A retry budget, where there is one, with the requests and retries within its span.
#[derive(Default)]
struct RetryWindow {
    budget: Option<RetryBudget>,
    /// When requests were taken.
    requests: VecDeque<Micros>,
    /// When attempts beyond a request's first were sent.
    retries: VecDeque<Micros>,
}

impl RetryWindow {
    /// Returns the number of retries that it allows now. It holds for every window, so at the older edge of
    /// the span a retry still counts and a request no longer does.
    fn retries_left(&mut self, now: Micros) -> f64 {
        let Some(b) = self.budget else { return f64::INFINITY };
        while self.requests.front().is_some_and(|&at| at.saturating_add(b.span) <= now) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(|&at| at.saturating_add(b.span) < now) {
            self.retries.pop_front();
        }
        (b.free + b.share * self.requests.len() as f64).floor() - self.retries.len() as f64
    }
}

/// The placement decisions of one node.
#[derive(Default)]
pub struct PlacementPolicy {
    settings: Settings,
    rng_state: u64,
    hosts: BTreeMap<HostId, Host>,
    /// Points in clockwise order, in segments of equal length: a change of the list then moves few of them.
    ring: Vec<Vec<(u64, HostId)>>,
    /// Hosts whose points are on the ring.
    on_ring: BTreeSet<HostId>,
    /// The most hosts that the list named at a time. As many unlisted hosts are kept, the latest ones.
    most_listed: usize,
    tally: LoadTally,
    totals: Totals,
    /// Never iterated: its order is that of a hash table.
    calls: HashMap<CallId, Call, BuildHasherDefault<Xxh64>>,
    /// Probes under way, by host: when they time out, and the requests that wait for them.
    pending_probes: BTreeMap<HostId, (Micros, Vec<CallId>)>,
    /// When an attempt or a probe last failed, or a message was late.
    last_trouble: Option<Micros>,
    /// Whether a watch of the list was requested and discovery has not failed since.
    watch_requested: bool,
    /// Failures of discovery since the last list.
    poll_failures: u32,
    /// Loads reported so far, by class: sum and number. The last entry is over all classes.
    reported_loads: Vec<(f64, f64)>,
    /// Connections and attempts of this node, by tenant. The last entry is over all tenants.
    held: Vec<u32>,
    /// Rate of new connections a microsecond over `RATE_HORIZON_US`, as of this time.
    arrival_rate: (f64, Micros),
    /// The same over `SURGE_HORIZON_US`.
    recent_rate: (f64, Micros),
    /// Number of requests by group, without those of returning clients.
    group_requests: BTreeMap<u64, f64>,
    /// Sum of `group_requests`.
    grouped_requests: f64,
    /// Number of ordered pairs of those requests that fall into the same group.
    same_group_pairs: f64,
    /// Retry budgets by tenant; the last entry is over all tenants.
    retry_windows: Vec<RetryWindow>,
}

impl PlacementPolicy {
    /// Returns the policy of a node that knows no server yet. Refuses settings that no deployment can mean.
    pub fn new(settings: Settings, seed: u64) -> Result<PlacementPolicy, SettingsError> {
        settings.validate()?;
        let budgets = settings.tenants.iter().map(|t| t.budget).chain([settings.rules.budget]);
        Ok(PlacementPolicy {
            reported_loads: vec![(0.0, 0.0); settings.classes.len() + 1],
            held: vec![0; settings.tenants.len() + 1],
            retry_windows: budgets.map(|budget| RetryWindow { budget, ..RetryWindow::default() }).collect(),
            ring: vec![Vec::new(); RING_SEGMENTS],
            settings,
            rng_state: seed,
            ..PlacementPolicy::default()
        })
    }

    /// Processes one event and appends the actions that follow from it.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Members { kind, hosts } => self.update_members(now, kind, hosts, out),
            Event::Tenants(tenants) => self.update_tenants(tenants),
            Event::Demand(demand) => {
                self.binding_budgets(demand.tenant).for_each(|r| r.requests.push_back(now));
                let call = self.register(now, demand);
                self.record_arrival(now);
                self.send_or_answer(now, call, out);
            }
            Event::Adopted(demand, host) => {
                let call = self.register(now, demand);
                self.calls.entry(call.clone()).and_modify(|c| (c.established, c.attempts) = (true, 1));
                self.record_arrival(now);
                self.attach(&call, host);
            }
            Event::Opened { call, host, .. } => {
                if let Some(h) = self.hosts.get_mut(&host) {
                    (h.failures, h.ejected_until, h.last_seen, h.unproven) = (0, now, Some(now), false);
                }
                self.calls.entry(call).and_modify(|c| c.established = true);
            }
            Event::LoadNote { call, load } => {
                self.record_load(&call, load);
                self.unload(now, &call, out);
            }
            Event::DelayNote { host, delay } => self.record_delay(now, host, delay, out),
            Event::Finished { call, outcome, ended, host, .. } => {
                // A second host that returns an error is not blamed: the request itself may be faulty.
                let repeated_error = |c: &Call| outcome == Outcome::Error && c.maybe_ran.is_some();
                let excused = self.calls.get(&call).is_some_and(|c| c.established || repeated_error(c));
                self.detach(&call);
                // A host that drops a standing connection is overloaded or ending. A node with a sparse view
                // has no other sign of it, and would send that host's clients there again at once.
                let least = if outcome == Outcome::Reset && self.has_sparse_view() {
                    FAILURES_FOR_DROPPED_CONNECTION
                } else {
                    0
                };
                let passed = excused || matches!(outcome, Outcome::Ok | Outcome::Cancelled | Outcome::Moot);
                if least > 0 || !passed {
                    self.record_failure(now, host, least);
                }
                let Some(c) = self.calls.get_mut(&call) else { return };
                if ended {
                    return drop(self.calls.remove(&call));
                }
                if !outcome.never_ran() && c.maybe_ran.is_none() {
                    c.maybe_ran = Some((host, c.sent_at));
                }
                if outcome == Outcome::Moot && c.attempts > 1 {
                    // The retry was never sent, so it is returned to the retry budget.
                    let (at, tenant) = (c.sent_at, c.tenant);
                    for r in self.binding_budgets(tenant) {
                        let found = r.retries.iter().rposition(|&sent| sent == at);
                        found.map(|i| r.retries.remove(i));
                    }
                }
                self.send_or_answer(now, call, out);
            }
            Event::Probed { host, outcome, load } => {
                let late = self.hosts.get(&host).and_then(|h| h.late);
                let ok = outcome == Outcome::Ok;
                if let Some((_, delay)) = late.filter(|_| !ok || load > Some(BUSY_UTILIZATION)) {
                    self.relieve_overload(now, host, delay, out);
                }
                self.finish_probe(now, host, ok, load, out);
            }
            Event::Vanished { call } => {
                self.detach(&call);
                self.calls.remove(&call);
            }
            Event::Timer { token } => {
                if token == POLL_TIMER {
                    self.request_watch(out);
                } else if self.pending_probes.get(&(token as HostId)).is_some_and(|probe| now >= probe.0) {
                    self.finish_probe(now, token as HostId, false, None, out);
                }
            }
        }
    }

    /// Limits the deadlines of the requests that have no answer yet: none is sent again at or after this time.
    pub fn limit_deadlines(&mut self, limit: Micros) {
        self.calls.values_mut().filter(|c| !c.established).for_each(|c| c.deadline = c.deadline.min(limit));
    }

    /// Replaces the tenants. Those that stay keep their counts and retry budgets; new ones are inserted
    /// before the entries over all tenants.
    fn update_tenants(&mut self, mut tenants: Vec<Tenant>) {
        let old = self.settings.tenants.len();
        tenants.resize(old.max(tenants.len()), Tenant::default());
        self.held.splice(old..old, vec![0; tenants.len() - old]);
        self.retry_windows.splice(old..old, tenants[old..].iter().map(|_| RetryWindow::default()));
        self.retry_windows
            .iter_mut()
            .zip(&tenants)
            .for_each(|(window, tenant)| window.budget = tenant.budget);
        self.settings.tenants = tenants;
    }

    /// Returns the hosts as this node sees them, for the planning of moves. Changes nothing.
    pub fn hosts(&self, now: Micros) -> Vec<HostView> {
        let listed = self.hosts.iter().filter(|(_, h)| h.entry.state == HostState::Ready);
        let view = |(&host, h): (&HostId, &Host)| {
            let accepts_connections = h.unlisted_since.is_none() && !h.unproven && now >= h.ejected_until;
            let (load, size) = (self.total_load(&h.tally), self.size_of(h));
            HostView {
                host,
                load,
                size,
                warmth: self.warmth(now, h),
                ready_at: h.entry.ready_at,
                accepts_connections,
            }
        };
        listed.map(view).collect()
    }

    /// Returns the connections that are not at their home, the first of their candidates. Changes nothing.
    pub fn misplaced_connections(&self) -> Vec<MisplacedConnection> {
        let standing = self.hosts.iter().flat_map(|(&at, h)| h.calls.iter().map(move |call| (at, call)));
        let misplaced = |(current_host, call): (HostId, &CallId)| {
            let c = self.calls.get(call).filter(|c| c.established && !c.moving && !c.mid_flow)?;
            let home_host = self.candidates(c).next().filter(|&home| home != current_host)?;
            let (call, ring_position, class, load) =
                (call.clone(), c.ring_position, c.class, self.load_of(c));
            Some(MisplacedConnection { call, current_host, home_host, ring_position, class, load })
        };
        standing.filter_map(misplaced).collect()
    }

    /// Puts the points of hosts that joined on the ring. The points of hosts that left stay, are passed over
    /// by the search, and serve again if the host returns; they are removed once they are the majority.
    fn add_to_ring(&mut self, joined: &[HostId]) {
        let before = self.on_ring.len();
        let room = joined.len() * POINTS_PER_HOST as usize / RING_SEGMENTS;
        self.ring.iter_mut().for_each(|s| s.reserve(room + room / 4));
        for &host in joined.iter().filter(|&&host| self.on_ring.insert(host)) {
            let seed = xxh64(&host.to_le_bytes(), RING_HASH_SEED);
            for n in 1..=POINTS_PER_HOST {
                let point = ring_point(seed, n);
                self.ring[ring_segment(point)].push((point, host));
            }
        }
        if self.on_ring.len() > before {
            self.ring.iter_mut().filter(|s| !s.is_sorted()).for_each(|s| s.sort_unstable());
        }
        if self.on_ring.len() > 2 * self.hosts.len() + 1 {
            self.on_ring.retain(|host| self.hosts.contains_key(host));
            self.ring.iter_mut().for_each(|s| s.retain(|(_, host)| self.hosts.contains_key(host)));
        }
    }

    /// Enters a request, with its place on the ring, among the calls.
    fn register(&mut self, now: Micros, d: Demand) -> CallId {
        self.refresh_totals(now);
        let key = d.group.as_deref().or(d.key.as_deref()).unwrap_or(&d.call.0);
        let client_hash = xxh64(d.key.as_deref().unwrap_or(&d.call.0).as_bytes(), RING_HASH_SEED);
        let mut ring_position = xxh64(key.as_bytes(), RING_HASH_SEED);
        if d.group.is_some() {
            if !d.returned {
                if self.group_requests.len() >= MAX_TRACKED_GROUPS {
                    self.forget_small_groups();
                }
                let seen = self.group_requests.entry(ring_position).or_insert(0.0);
                self.same_group_pairs += 2.0 * *seen;
                *seen += 1.0;
                self.grouped_requests += 1.0;
            }
            let piece = jump_hash(client_hash, self.piece_count(ring_position));
            if piece > 0 {
                ring_position = xxh64(&piece.to_le_bytes(), ring_position);
            }
        }
        let call = Call {
            class: d.class.min(self.settings.classes.len()),
            tenant: d.tenant.filter(|&t| t < self.settings.tenants.len()),
            load: d.hint,
            ring_position,
            client_hash,
            zones: d.zones,
            grouped: d.group.is_some(),
            returned: d.returned || d.repeat,
            deadline: now.saturating_add(d.left),
            arrival_gap: now.saturating_sub(self.recent_rate.1),
            mid_flow: d.mid_flow,
            ..Call::default()
        };
        self.calls.insert(d.call.clone(), call);
        d.call
    }

    /// Halves the counts of all groups and drops those of which less than one request is left, so that clients that name
    /// ever new groups take bounded memory and large groups stay known.
    fn forget_small_groups(&mut self) {
        self.group_requests.retain(|_, seen| {
            *seen /= 2.0;
            *seen >= 1.0
        });
        let counts = self.group_requests.values();
        self.grouped_requests = counts.clone().sum();
        self.same_group_pairs = counts.map(|seen| seen * (seen - 1.0)).sum();
    }

    /// Returns the number of groups whose requests are counted.
    pub fn tracked_groups(&self) -> usize {
        self.group_requests.len()
    }

    /// Returns the number of pieces that a group is cut into, from its estimated part of all connections
    /// compared with an even share of a host. The requests that this node saw of the group are weighed
    /// against the mean group size, which follows from how often two requests fall into the same group.
    fn piece_count(&self, group: u64) -> u32 {
        let hosts = self.totals.hosts as f64;
        let (n, k) = (self.grouped_requests, self.group_requests.get(&group).copied().unwrap_or(0.0));
        if hosts < 1.0 || k < 1.0 {
            return 1;
        }
        let mean = (self.same_group_pairs + GROUP_PRIOR_PAIRS / hosts) / (n * (n - 1.0) + GROUP_PRIOR_PAIRS);
        let part = (k - 1.0 + GROUP_PRIOR_SHAPE) / (n - 1.0 + GROUP_PRIOR_SHAPE / mean);
        (part * hosts
            / if self.has_sparse_view() { PIECE_EVEN_SHARES_SPARSE_VIEW } else { PIECE_EVEN_SHARES })
        .round()
        .clamp(1.0, hosts) as u32
    }

    /// Returns the listed hosts in clockwise order from a place on the ring, each once.
    fn successors(&self, ring_position: u64) -> impl Iterator<Item = HostId> + '_ {
        let at = ring_segment(ring_position);
        let i = self.ring[at].partition_point(|&(p, _)| p < ring_position);
        let rest = self.ring[at + 1..].iter().chain(&self.ring[..at]).flatten();
        let points = self.ring[at][i..].iter().chain(rest).chain(&self.ring[at][..i]);
        let (mut seen, all) = (BTreeSet::new(), self.hosts.len());
        let listed = points.map(|&(_, host)| host).filter(|host| self.hosts.contains_key(host));
        listed.filter(move |&host| seen.insert(host)).take(all)
    }

    /// Returns the hosts to try for a request, in order; the first is its home. Where a fleet's plan names
    /// zones, these are the hosts of the first zone, and after a failure there those of the second.
    fn candidates(&self, c: &Call) -> impl Iterator<Item = HostId> + '_ {
        let (first_zone, second_zone) = (c.zones.map(|zones| zones.0), c.zones.and_then(|zones| zones.1));
        let failed = || self.ready().all(|h| h.entry.zone != first_zone || h.failures > 0);
        let second_zone = second_zone.filter(|_| c.attempts > 0 || failed());
        let zone = |id| self.hosts.get(&id).and_then(|h: &Host| h.entry.zone);
        let first = self
            .preference_order(c.ring_position)
            .filter(move |&id| first_zone.is_none() || zone(id) == first_zone);
        let second = second_zone
            .map(|_| self.preference_order(c.ring_position).filter(move |&id| zone(id) == second_zone));
        first.chain(second.into_iter().flatten())
    }

    /// Returns the successors of a place on the ring; where zone crossings are expensive, the nearest ones in
    /// the own zone come first.
    fn preference_order(&self, ring_position: u64) -> impl Iterator<Item = HostId> + '_ {
        let zones = self.settings.zones;
        let own = self
            .settings
            .zone
            .filter(|_| self.settings.cross_zone_price >= MIN_LOCAL_ZONE_PRICE * zones as f64);
        let is_local = move |id| own.is_some() && self.hosts.get(&id).map(|h| h.entry.zone) == Some(own);
        let searched = own.map_or(0, |_| LOCAL_SUCCESSORS_PER_ZONE * zones);
        let local = self.successors(ring_position).take(searched).filter(move |&id| is_local(id));
        let rest = self.successors(ring_position).enumerate();
        local.chain(rest.filter(move |&(i, id)| i >= searched || !is_local(id)).map(|(_, id)| id))
    }

    /// Sends a request to its next candidate, or answers it when none may have it.
    fn send_or_answer(&mut self, now: Micros, id: CallId, out: &mut Vec<Action>) {
        self.refresh_totals(now);
        let tenant = self.calls.get(&id).and_then(|c| c.tenant);
        let retries_left =
            self.binding_budgets(tenant).map(|r| r.retries_left(now)).fold(f64::INFINITY, f64::min);
        let Some(c) = self.calls.get(&id).filter(|c| c.host.is_none()) else { return };
        let pick =
            Some(c).filter(|c| c.attempts == 0 || retries_left >= 1.0).and_then(|c| self.choose_host(now, c));
        let max_attempts = self.max_attempts(c);
        let Some(host) = pick else { return self.give_up(id, out) };
        let needs_probe = self.needs_probe(now, c, host);
        let Some(c) = self.calls.get_mut(&id) else { return };
        if needs_probe {
            // Held until the probe is answered, which does not count as an attempt.
            c.probes += 1;
            return self.probe(now, host, out).push(id);
        }
        let is_retry = c.attempts > 0;
        let retries_left = if is_retry { retries_left - 1.0 } else { retries_left };
        (c.attempts, c.sent_at) = (c.attempts + 1, now);
        c.tried.push(host);
        // A set-up that misses its target is late anyway: the next candidate is more likely to succeed, if
        // one more attempt is allowed.
        let left = c.deadline - now;
        let target = self.settings.classes.get(c.class).map_or(left, |class| class.setup_target);
        let patience = if c.attempts < max_attempts && retries_left >= 1.0 && target > 0 {
            target.min(left)
        } else {
            left
        };
        if let Some(h) = self.hosts.get_mut(&host).filter(|h| h.failures > 0) {
            // Half-open: one attempt at a time until it is answered.
            h.ejected_until = now + EJECTION_TIME;
        }
        if is_retry {
            self.binding_budgets(tenant).for_each(|r| r.retries.push_back(now));
        }
        self.spend_cold_tokens(now, host, &id);
        self.attach(&id, host);
        out.push(Action::Send { call: id, host, patience });
    }

    /// Whether a host is probed before a request is sent there: this node has no recent evidence that the
    /// host serves, and there is cause for doubt. Without trouble no host is probed.
    fn needs_probe(&self, now: Micros, c: &Call, id: HostId) -> bool {
        let Some(h) = self.hosts.get(&id).filter(|_| self.settings.limits.probes) else { return false };
        let trouble = self.last_trouble.is_some_and(|at| now < at.saturating_add(DOUBT_PERIOD));
        let cause = c.returned || c.attempts > 0 || h.unlisted_since.is_some() || h.unproven || trouble;
        cause
            && !h.recently_seen(now)
            && c.probes <= CANDIDATE_HOSTS
            && now + self.probe_timeout() < c.deadline
    }

    fn probe_timeout(&self) -> Micros {
        self.settings.classes.iter().map(|c| c.setup_target).min().unwrap_or(0) / PROBES_PER_SETUP_TARGET
    }

    /// Probes a host unless a probe is under way there; returns the list of requests that wait for it.
    fn probe(&mut self, now: Micros, host: HostId, out: &mut Vec<Action>) -> &mut Vec<CallId> {
        let at = now + self.probe_timeout();
        let probe = self.pending_probes.entry(host).or_insert_with(|| {
            out.extend([Action::Probe { host }, Action::Timer { at, token: PROBE_TIMER | u64::from(host) }]);
            (at, Vec::new())
        });
        &mut probe.1
    }

    /// Handles a probe's answer or timeout, and continues with the requests that waited for it. A positive
    /// answer permits an attempt and proves no more.
    fn finish_probe(&mut self, now: Micros, id: HostId, ok: bool, load: Option<f64>, out: &mut Vec<Action>) {
        let Some((_, calls)) = self.pending_probes.remove(&id) else { return };
        if !ok {
            self.record_failure(now, id, 0);
        } else if let Some(h) = self.hosts.get_mut(&id) {
            (h.last_seen, h.reported_load) = (Some(now), load.unwrap_or(0.0));
            if let Some(load) = load.filter(|&load| load >= FULL_UTILIZATION) {
                self.lower_ceiling(now, id, OVERLOAD_KEEP_SHARE / load);
            }
        }
        calls.into_iter().for_each(|call| self.send_or_answer(now, call, out));
    }

    /// Returns the retry budgets that bind a tenant's requests: its own and the one over all tenants.
    fn binding_budgets(&mut self, tenant: Option<usize>) -> impl Iterator<Item = &mut RetryWindow> {
        let last = self.retry_windows.len() - 1;
        let binds = move |i: usize| i == last || Some(i) == tenant;
        let all = self.retry_windows.iter_mut().enumerate();
        all.filter(move |(i, r)| binds(*i) && r.budget.is_some()).map(|(_, r)| r)
    }

    /// Returns the most attempts for a request that both the deployment and its tenant's contract allow.
    fn max_attempts(&self, c: &Call) -> u32 {
        let own = c.tenant.and_then(|t| self.settings.tenants[t].sends);
        own.unwrap_or(u32::MAX).min(self.settings.limits.max_attempts)
    }

    /// Returns the first candidate that may have a request and has room for it: under its bounded share of
    /// this node's load and under its ceiling. Room is looked for at `CANDIDATE_HOSTS` hosts; if all that
    /// they lack is a share of this node's load, the first of them is returned. An ejected host is the last
    /// resort, and only when more than half of the hosts are ejected: then this node's own view is suspect.
    fn choose_host(&self, now: Micros, c: &Call) -> Option<HostId> {
        if c.attempts >= self.max_attempts(c) || now >= c.deadline || !self.fleet_has_room(c) {
            return None;
        }
        let mean = self.mean_load(self.settings.classes.len());
        let all = self.total_load(&self.tally) + self.load_of(c);
        let share = BOUNDED_LOAD_FACTOR * all / self.totals.size.max(f64::MIN_POSITIVE);
        let part = if self.over_share(c) { OVER_SHARE_CEILING_PART } else { 1.0 };
        // Where nodes have a sparse view, hosts are filled by size only if each admits a part of its clients
        // that depends on its size. The part grows with the square of the size, because a group or a heavy
        // connection costs a host the same whatever its size.
        let sparse_view = self.has_sparse_view();
        let largest = self.ready().filter(|_| sparse_view).map(|h| self.size_of(h)).fold(0.0, f64::max);
        let (mut ejected, mut spare, mut home, mut considered) = (None, None, None, 0);
        for id in self.candidates(c) {
            let Some(h) = self.hosts.get(&id) else { continue };
            let at_home = *home.get_or_insert(id) == id;
            if !self.may_attempt(now, c, id) {
                continue;
            }
            if now < h.ejected_until {
                ejected.get_or_insert(id);
                continue;
            }
            let joins = c.grouped && !h.groups.contains_key(&c.ring_position);
            let load = self.total_load(&h.tally) + if joins { self.group_cost() * mean } else { 0.0 };
            let too_small = host_fraction(!id, c.client_hash).sqrt() * largest >= self.size_of(h);
            let fits = load + c.admission_rank(id, at_home, sparse_view) * self.load_of(c)
                < part * self.ceiling(now, h);
            let busy = c.probes > 0 && h.recently_seen(now) && h.reported_load > BUSY_UTILIZATION;
            if fits
                && !too_small
                && !busy
                && load < share * self.size_of(h) + BOUNDED_LOAD_SLACK_CONNECTIONS * mean
            {
                return Some(id);
            }
            if fits {
                spare.get_or_insert(id);
            }
            considered += u32::from(!too_small);
            let search_on = spare.is_none() && self.settings.peers_total <= SMALL_FLEET_NODES;
            if considered >= if search_on { CANDIDATE_HOSTS_IN_SMALL_FLEET } else { CANDIDATE_HOSTS } {
                break;
            }
        }
        let ejected_hosts = || self.ready().filter(|h| now < h.ejected_until).count();
        spare.or(ejected.filter(|_| 2 * ejected_hosts() > self.ready().count()))
    }

    /// Whether a request's tenant is over its share at this node, where that share counts.
    fn over_share(&self, c: &Call) -> bool {
        let Some((t, tenant)) = c.tenant.and_then(|t| Some((t, self.settings.tenants.get(t)?))) else {
            return false;
        };
        let all = self.held[self.settings.tenants.len()];
        let quota = tenant.quota.unwrap_or(0.0) / f64::from(self.settings.peers_total.max(1));
        let part = quota.max(tenant.fraction * f64::from(all));
        self.settings.over_share_worth < 1.0 && f64::from(self.held[t]) > OVER_SHARE_TOLERANCE * part
    }

    /// Computes the totals over the ready hosts, unless they are recent: shares change slowly.
    fn refresh_totals(&mut self, now: Micros) {
        if self.totals.at.is_some_and(|at| now < at.saturating_add(TOTALS_MAX_AGE)) && self.totals.size > 0.0
        {
            return;
        }
        let usable_size =
            |h: &Host| if now >= h.ejected_until { self.warmth(now, h) * self.size_of(h) } else { 0.0 };
        let (hosts, size) = self.ready().fold((0, 0.0), |(n, size), h| (n + 1, size + usable_size(h)));
        self.totals = Totals { hosts, size, at: Some(now) };
    }

    /// Handles the report that a message takes this long at a host. Protects clients from a host that is slow
    /// for any reason. Makes things worse where all hosts are slow.
    fn record_delay(&mut self, now: Micros, id: HostId, delay: Micros, out: &mut Vec<Action>) {
        let target = self.shortest_delay_target();
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if delay < target {
            host.late = None;
        }
        if delay < target / CAUTION_DELAY_DIVISOR {
            return;
        }
        if delay < target {
            return self.lower_ceiling(now, id, 1.0);
        }
        let first = host.late.is_none();
        let (since, _) = *host.late.get_or_insert((now, delay));
        if self.settings.limits.probes_report_load && now < since + SUSTAINED_DELAY {
            // It may be a pause or a single late message. A probe shows whether the host is busy; if it is
            // not, the pause may end before any connection has moved.
            if first {
                self.probe(now, id, out);
            }
            return;
        }
        self.relieve_overload(now, id, delay, out);
    }

    /// Returns the largest load that this node may have at a host: at most the learned ceiling, and at most
    /// the planned load or a bounded share of this node's load, whichever is more, because nodes do not see
    /// equal parts of the traffic.
    fn ceiling(&self, now: Micros, h: &Host) -> f64 {
        let share =
            BOUNDED_LOAD_FACTOR * self.total_load(&self.tally) / self.totals.size.max(f64::MIN_POSITIVE);
        h.learned_ceiling_at(now).min(h.planned_load.max(share * self.size_of(h)))
    }

    /// After a load report: moves off the connection's host what is past the ceiling there, once a second at
    /// most.
    fn unload(&mut self, now: Micros, call: &CallId, out: &mut Vec<Action>) {
        let Some(id) = self.calls.get(call).and_then(|c| c.host) else { return };
        let past_ceiling = |h: &Host| {
            self.total_load(&h.tally) > UNLOAD_CEILING_FACTOR * self.ceiling(now, h)
                && now >= h.unloaded_at + MIN_ADJUSTMENT_INTERVAL
        };
        if self.hosts.get(&id).is_some_and(past_ceiling) {
            self.hosts.entry(id).and_modify(|h| h.unloaded_at = now);
            self.move_excess(now, id, out);
        }
    }

    /// Handles late messages at a host that are not a mere pause: lowers its ceiling and moves the
    /// connections that no longer fit under it.
    fn relieve_overload(&mut self, now: Micros, id: HostId, delay: Micros, out: &mut Vec<Action>) {
        let target = self.shortest_delay_target();
        self.last_trouble = Some(now);
        let late = (2.0 * target as f64 / delay as f64).min(1.0);
        let keep = if delay > STOPPED_HOST_DELAY {
            0.0
        } else {
            OVERLOAD_KEEP_SHARE * late.powf(self.hidden_share())
        };
        self.lower_ceiling(now, id, keep);
        self.move_excess(now, id, out);
    }

    fn shortest_delay_target(&self) -> Micros {
        let targets = self.settings.classes.iter().map(|c| c.message_delay_target).filter(|&a| a > 0);
        targets.min().unwrap_or(Micros::MAX)
    }

    /// Returns the share of the fleet's traffic that is hidden from this node: 0 where it holds a mean
    /// connection or more for every host, near 1 where it holds almost nothing. To a node with a sparse view
    /// each overload is new, so the later the messages, the deeper its first cut and the longer it lasts.
    fn hidden_share(&self) -> f64 {
        let mean = self.mean_load(self.settings.classes.len()) * self.totals.hosts as f64;
        (1.0 - self.total_load(&self.tally) / mean.max(f64::MIN_POSITIVE)).max(0.0)
    }

    /// Whether this node is one of many and sees little of the traffic: it must then do by itself what is
    /// right if all nodes do it.
    fn has_sparse_view(&self) -> bool {
        self.in_large_fleet() && self.hidden_share() > SPARSE_VIEW_THRESHOLD
    }

    fn in_large_fleet(&self) -> bool {
        self.settings.peers_total > SMALL_FLEET_NODES
    }

    /// Counts a failure and ejects the host for a while. Protects requests from hosts that do not answer,
    /// fail fast or break connections. `least`: number of earlier failures that it counts for at least.
    fn record_failure(&mut self, now: Micros, id: HostId, least: u32) {
        self.last_trouble = Some(now);
        if let Some(host) = self.hosts.get_mut(&id) {
            // For an unlisted host two independent sources agree that it is gone; for a host that never
            // served only the list says that it exists.
            host.failures = host.failures.max(if host.unlisted_since.is_some() || host.unproven {
                MAX_EJECTION_DOUBLINGS
            } else {
                least
            });
            host.ejected_until = now + (EJECTION_TIME << host.failures.min(MAX_EJECTION_DOUBLINGS));
            host.failures = host.failures.saturating_add(1);
        }
    }

    /// Lowers a host's ceiling to a share of what this node has there, once a second at most: earlier, the
    /// last cut cannot have shown its effect. The ceiling may fall below one connection: see
    /// `Call::admission_rank`.
    fn lower_ceiling(&mut self, now: Micros, id: HostId, keep: f64) {
        let (hidden_share, least) =
            (self.hidden_share(), MIN_CEILING_CONNECTIONS * self.mean_load(self.settings.classes.len()));
        let load = self.hosts.get(&id).map_or(0.0, |h| self.total_load(&h.tally));
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if now >= host.learned_ceiling.1 + MIN_ADJUSTMENT_INTERVAL || host.learned_ceiling.0.is_infinite() {
            host.learned_ceiling = ((load.min(host.learned_ceiling_at(now)) * keep).max(least), now);
            host.ceiling_growth_time = CEILING_GROWTH_TIME_US * (1.0 + hidden_share);
        }
    }

    /// Moves connections off a host until this node is under its ceiling there: those that would not be
    /// admitted if they came now, and only where another candidate has room. The smallest parts of groups go
    /// first, then heavy connections. A connection that is half of the load or more goes last, since the
    /// others make way for it.
    fn move_excess(&mut self, now: Micros, id: HostId, out: &mut Vec<Action>) {
        let Some(host) = self.hosts.get(&id) else { return };
        let load = self.total_load(&host.tally);
        let group_part = |c: &Call| host.groups.get(&c.ring_position).copied().unwrap_or(0);
        let is_standing = |c: &Call| c.established && !c.moving;
        let standing =
            host.calls.iter().filter_map(|k| Some((k, self.calls.get(k).filter(|c| is_standing(c))?)));
        let mut list: Vec<(bool, u32, f64, CallId)> = standing
            .map(|(k, c)| (self.load_of(c) >= load / 2.0, group_part(c), self.load_of(c), k.clone()))
            .collect();
        list.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(b.2.total_cmp(&a.2)));
        for (_, _, weight, call) in list {
            let Some((h, c)) = self.hosts.get(&id).zip(self.calls.get(&call)) else { continue };
            let at_home = self.candidates(c).next() == Some(id);
            let fits = self.total_load(&h.tally)
                - (1.0 - c.admission_rank(id, at_home, self.has_sparse_view())) * weight
                < self.ceiling(now, h);
            let anew =
                Call { attempts: 0, deadline: Micros::MAX, tried: vec![id], maybe_ran: None, ..c.clone() };
            let to = if fits { None } else { self.choose_host(now, &anew) };
            let Some(to) = to else { continue };
            self.detach(&call);
            self.attach(&call, to);
            self.calls.entry(call.clone()).and_modify(|c| c.moving = true);
            out.push(Action::Move { call });
        }
    }

    /// Returns the hosts that are listed as ready, without those that failed while unlisted and those that
    /// are not proven yet.
    fn ready(&self) -> impl Iterator<Item = &Host> {
        let present = |h: &&Host| (h.unlisted_since.is_none() || h.failures == 0) && !h.unproven;
        self.hosts.values().filter(|h| h.entry.state == HostState::Ready).filter(present)
    }

    fn size_of(&self, host: &Host) -> f64 {
        let is_size = |weight: &f64| self.settings.weights_are_sizes && weight.is_finite() && *weight > 0.0;
        Some(host.entry.weight).filter(is_size).unwrap_or(1.0)
    }

    /// Returns this node's part of what a group costs a host, in mean connections.
    fn group_cost(&self) -> f64 {
        (GROUP_COST_CONNECTIONS / f64::from(self.settings.peers_total.max(1)))
            .min(GROUP_COST_CONNECTIONS / 3.0)
    }

    /// Returns the load of all that a tally counts, with the cost of its groups; a connection without a
    /// reported load counts with the mean of its class.
    fn total_load(&self, tally: &LoadTally) -> f64 {
        let unreported = tally.unreported.iter().enumerate().filter(|(_, &n)| n > 0);
        let groups = self.group_cost() * tally.groups as f64 * self.mean_load(self.settings.classes.len());
        tally.reported.0
            + groups
            + unreported.map(|(class, &n)| f64::from(n) * self.mean_load(class)).sum::<f64>()
    }

    /// Whether an attempt at a host is allowed: the host takes connections, was not tried for this request,
    /// an effect cannot happen twice, and a cold host has room.
    fn may_attempt(&self, now: Micros, c: &Call, id: HostId) -> bool {
        let Some(host) = self.hosts.get(&id) else { return false };
        let in_grace =
            || c.mid_flow && now < host.state_since.saturating_add(self.settings.rules.drain_grace);
        let open =
            host.entry.state == HostState::Ready || host.entry.state == HostState::Draining && in_grace();
        open && !c.tried.contains(&id)
            && self.may_repeat(now, c, id)
            && self.cold_host_admits(now, id, host, c)
    }

    /// Returns the share of its capacity that a host has reached since its start.
    fn warmth(&self, now: Micros, host: &Host) -> f64 {
        let rules = &self.settings.rules;
        let age = now.saturating_sub(host.entry.ready_at);
        if host.entry.ready_at == 0 || age >= rules.warmup_time {
            return 1.0;
        }
        rules.cold_share + (1.0 - rules.cold_share) * age as f64 / rules.warmup_time as f64
    }

    /// Returns the cold budget in hand at a host: the number of mean connections that it may be sent now. The
    /// budget grows with this node's even share of its own arrivals, which stands for its part of the host's
    /// capacity and may be far below one connection. A node of a large fleet saves up to one whole token,
    /// since it seldom meets the host. The nodes of a small fleet meet it all the time and would spend their
    /// savings together, so each saves no more than its part.
    fn cold_tokens(&self, now: Micros, host: &Host, warmth: f64) -> f64 {
        let rules = &self.settings.rules;
        let even_share = self.steady_rate(now) / self.hosts.len().max(1) as f64;
        let rate = rules.overload_factor * warmth * even_share * CAPACITY_PER_EVEN_SHARE;
        let most = (rate * rules.overload_failure_time as f64 / 2.0).max(if self.in_large_fleet() {
            1.0
        } else {
            0.0
        });
        (host.cold_tokens.0 + rate * now.saturating_sub(host.cold_tokens.1) as f64).min(most)
    }

    /// Returns a random cold budget for a host that starts, so that the first sends of all nodes are far
    /// apart.
    fn initial_cold_tokens(&mut self) -> f64 {
        self.random_fraction() - if self.in_large_fleet() { 0.0 } else { 1.0 }
    }

    /// Whether a cold host has room for a request. Rule four: limits all that this node sends to a cold host,
    /// refused and repeated requests included. First attempts of new clients, the steady traffic, are a known
    /// part and are admitted by the client's hash, because tokens would come too late for them, but not while
    /// the budget is overdrawn. Of traffic that may come in waves (returning clients, retries) a smaller part
    /// is admitted so; the rest needs a token or chance.
    fn cold_host_admits(&self, now: Micros, id: HostId, host: &Host, c: &Call) -> bool {
        let warmth = self.warmth(now, host);
        let part = self.settings.rules.overload_factor * warmth * COLD_STEADY_SHARE * self.steadiness(now);
        let wave_factor =
            if c.returned || c.attempts > 0 { warmth * (1.0 - self.hidden_share()) } else { 1.0 };
        let load = if self.in_large_fleet() { 1.0 } else { self.load_of(c) / self.mean_connection_load() };
        let tokens = self.cold_tokens(now, host, warmth);
        let steady = tokens >= 0.0 && host_fraction(id, c.client_hash) * load < part * wave_factor;
        warmth >= 1.0
            || tokens >= 1.0
            || steady
            || self.cold_host_admits_by_chance(now, id, c, warmth, tokens)
    }

    /// Whether a cold host admits a request by chance, where no whole token is in hand. The chance covers
    /// what all nodes may send there since this node's previous arrival, and is the higher the fewer searches
    /// reach the host. A search passes `CANDIDATE_HOSTS` hosts that have room, each as often as it is large,
    /// and the cold ones between them: a host is reached in proportion to its size, so its own size cancels
    /// out.
    fn cold_host_admits_by_chance(
        &self,
        now: Micros,
        id: HostId,
        c: &Call,
        warmth: f64,
        tokens: f64,
    ) -> bool {
        let rules = &self.settings.rules;
        let gap = (c.arrival_gap as f64).min(rules.overload_failure_time as f64);
        let fill_rate = if self.knows_loads_in_sparse_view() {
            COLD_ALLOWANCE_SPARSE_VIEW * self.totals.size * MICROS_PER_SECOND
                / ASSUMED_LIFETIME_US
                / f64::from(self.settings.peers_total)
        } else {
            COLD_ALLOWANCE_SMALL_FLEET
                * self.steady_rate(now)
                * CAPACITY_PER_EVEN_SHARE
                * self.mean_connection_load()
        };
        let room = rules.overload_factor * warmth * fill_rate / f64::from(CANDIDATE_HOSTS) * gap;
        (self.knows_loads_in_sparse_view() || !self.in_large_fleet() && tokens >= 0.0)
            && host_fraction(id, c.client_hash ^ c.deadline) * self.load_of(c) < room
    }

    /// Whether the hosts in their present state can take one more client at each node that holds as much as
    /// this one. Decided by chance, for otherwise all clients would be left on late hosts. Refused clients
    /// return spread over time.
    fn fleet_has_room(&self, c: &Call) -> bool {
        let part = SPARSE_VIEW_ADMISSION_SHARE * self.totals.size * MICROS_PER_SECOND
            / f64::from(self.settings.peers_total);
        let (tenants, classes) = (self.settings.tenants.len(), self.settings.classes.len());
        let asked = f64::from(self.held[tenants] + 1) * self.mean_load(classes);
        c.established
            || c.attempts > 0
            || !self.knows_loads_in_sparse_view()
            || host_fraction(0, c.client_hash ^ c.deadline) * asked < part
    }

    /// Whether this node has a sparse view, but knows loads and sizes in the same unit.
    fn knows_loads_in_sparse_view(&self) -> bool {
        self.settings.weights_are_sizes
            && self.reported_loads.last().is_some_and(|loads| loads.1 > 0.0)
            && self.has_sparse_view()
    }

    /// Takes a call's load out of the cold budget of a host.
    fn spend_cold_tokens(&mut self, now: Micros, id: HostId, call: &CallId) {
        let Some((host, c)) = self.hosts.get(&id).zip(self.calls.get(call)) else { return };
        let warmth = self.warmth(now, host);
        let left = self.cold_tokens(now, host, warmth) - self.load_of(c) / self.mean_connection_load();
        self.hosts.entry(id).and_modify(|h| h.cold_tokens = (left, now));
    }

    /// Returns the usual rate of new connections a microsecond. Clients that return repeatedly raise the
    /// arrivals but not the connections held, so those limit the rate.
    fn steady_rate(&self, now: Micros) -> f64 {
        decayed(self.arrival_rate, now, RATE_HORIZON_US).min(self.calls.len() as f64 / RATE_HORIZON_US)
    }

    /// Returns the steady rate as a share of the recent one: 1 in steady traffic, near 0 in a surge.
    fn steadiness(&self, now: Micros) -> f64 {
        let recent = (decayed(self.recent_rate, now, SURGE_HORIZON_US) - 1.0 / SURGE_HORIZON_US).max(0.0);
        (self.steady_rate(now) / recent.max(f64::MIN_POSITIVE)).min(1.0)
    }

    fn record_arrival(&mut self, now: Micros) {
        self.arrival_rate = (decayed(self.arrival_rate, now, RATE_HORIZON_US) + 1.0 / RATE_HORIZON_US, now);
        self.recent_rate = (decayed(self.recent_rate, now, SURGE_HORIZON_US) + 1.0 / SURGE_HORIZON_US, now);
    }

    /// Returns the mean load reported for a class, for all classes where it has none, or else 1.
    fn mean_load(&self, class: usize) -> f64 {
        let all = self.reported_loads.last().copied().unwrap_or_default();
        let own = self.reported_loads.get(class).copied().unwrap_or_default();
        match (own.1 > 0.0, all.1 > 0.0) {
            (true, _) => own.0 / own.1,
            (_, true) => all.0 / all.1,
            _ => 1.0,
        }
    }

    /// Returns the mean load over all classes; never 0, so that it can be divided by.
    fn mean_connection_load(&self) -> f64 {
        self.mean_load(self.settings.classes.len()).max(f64::MIN_POSITIVE)
    }

    fn load_of(&self, c: &Call) -> f64 {
        c.load.unwrap_or_else(|| self.mean_load(c.class))
    }

    /// Records a connection's reported load: counts it at its host and towards its class.
    fn record_load(&mut self, id: &CallId, load: f64) {
        let Some(c) = self.calls.get(id).filter(|_| load.is_finite() && load >= 0.0) else { return };
        let (class, at, last) = (c.class, c.host, self.reported_loads.len() - 1);
        for i in BTreeSet::from([class.min(last), last]) {
            self.reported_loads[i] = (self.reported_loads[i].0 + load, self.reported_loads[i].1 + 1.0);
        }
        self.detach(id);
        self.calls.entry(id.clone()).and_modify(|c| c.load = Some(load));
        at.into_iter().for_each(|host| self.attach(id, host));
    }

    /// Counts a call at a host.
    fn attach(&mut self, id: &CallId, host: HostId) {
        if let Some(c) = self.calls.get_mut(id) {
            c.host = Some(host);
            self.count(id, host, true);
        }
    }

    /// Counts a call no longer at its host, if it has one.
    fn detach(&mut self, id: &CallId) {
        if let Some(host) = self.calls.get_mut(id).and_then(|c| c.host.take()) {
            self.count(id, host, false);
        }
    }

    fn count(&mut self, id: &CallId, host: HostId, add: bool) {
        let Some(c) = self.calls.get(id) else { return };
        for i in c.tenant.into_iter().chain([self.settings.tenants.len()]) {
            self.held[i] = if add { self.held[i] + 1 } else { self.held[i].saturating_sub(1) };
        }
        if let Some(h) = self.hosts.get_mut(&host) {
            let groups = h.tally.groups;
            h.count(c, add);
            if add {
                h.calls.insert(id.clone());
            } else {
                h.calls.remove(id);
            }
            self.tally.groups = self.tally.groups + h.tally.groups - groups;
        }
        self.tally.count(c.class, c.load, add);
    }

    /// Whether an attempt may still be sent: the time in which it may be repeated may have passed since the
    /// decision.
    pub fn attempt_still_allowed(&self, now: Micros, call: &CallId, id: HostId) -> bool {
        self.calls.get(call).is_none_or(|c| self.may_repeat(now, c, id))
    }

    /// Whether an attempt at a host cannot cause an effect twice.
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

    /// Gives the final answer when no further attempt is made: a refusal where it is certain that a repeat
    /// does no harm, else a failure.
    fn give_up(&mut self, id: CallId, out: &mut Vec<Action>) {
        let Some(c) = self.calls.remove(&id) else { return };
        let class = self.settings.classes.get(c.class).map(|class| (class.repeat_safety, class.dedup_scope));
        let repeatable = matches!(
            class,
            Some((RepeatSafety::Idempotent, _) | (RepeatSafety::Deduplicated, DedupScope::All))
        );
        let harmless = c.maybe_ran.is_none() || repeatable;
        // Full jitter: spread over all of the allowed time, so that refused clients do not return at once.
        let fraction = self.random_fraction();
        let retry_after = self.settings.limits.max_retry_after.map(|most| (most as f64 * fraction) as Micros);
        out.push(if harmless { Action::Refuse { call: id, retry_after } } else { Action::Fail { call: id } });
    }

    /// Returns a random number from 0 to 1.
    fn random_fraction(&mut self) -> f64 {
        self.random() as f64 / u64::MAX as f64
    }

    fn random(&mut self) -> u64 {
        self.rng_state = self.rng_state.wrapping_add(1);
        xxh64(&self.rng_state.to_le_bytes(), RING_HASH_SEED)
    }
}

/// Returns which of `n` pieces a key belongs to (Lamping and Veach, jump consistent hash).
fn jump_hash(mut key: u64, n: u32) -> u32 {
    let (mut b, mut j) = (0u64, 0u64);
    while j < u64::from(n) {
        b = j;
        key = key.wrapping_mul(2_862_933_555_777_941_757).wrapping_add(1);
        j = ((b + 1) as f64 * ((1u64 << 31) as f64 / ((key >> 33) + 1) as f64)) as u64;
    }
    b as u32
}

/// Returns a host's hash under a seed as a number from 0 to 1, the same at every node.
fn host_fraction(host: HostId, seed: u64) -> f64 {
    xxh64(&host.to_le_bytes(), seed) as f64 / u64::MAX as f64
}

/// Returns the segment that holds a place on the ring.
fn ring_segment(place: u64) -> usize {
    (place >> 56) as usize % RING_SEGMENTS
}

/// Returns the place of a host's point `n`, from the host's own hash: the n-th output of SplitMix64 (Steele
/// et al).
fn ring_point(seed: u64, n: u64) -> u64 {
    let z = seed.wrapping_add(n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Returns a rate that decays exponentially over `horizon`, as of `now`.
fn decayed((rate, at): (f64, Micros), now: Micros, horizon: f64) -> f64 {
    rate * (-(now.saturating_sub(at) as f64) / horizon).exp()
}
