//! Contracts between teams: what each team may hold of the fleet's capacity, which team may borrow capacity that
//! others leave idle, and which connections are moved when a team needs its contract again.
//!
//! Guarantees, for this balancer's part (fleet figures divided by the number of balancers):
//! - it never admits more than the capacity, and refuses no team within its contract while capacity is free;
//! - a team over its contract is served from idle capacity, by weight, and otherwise refused at once with a reason
//!   and a time to retry after;
//! - only connections of teams over their contract are asked to move, at a bounded rate, those of the lowest worth
//!   first;
//! - when the sum of the contracts exceeds the capacity, each is reduced in proportion;
//! - connection seconds are integrated exactly.
//!
//! Not guaranteed: which instance takes a connection, and whether one can: the decision module decides that. The
//! module knows nothing of other balancers, clocks and sockets. Times are arguments; a time that is equal to or
//! earlier than the last one is harmless.
//!
//! The interface is [`Contracts`] (events in, admissions, refusals and moves out) and [`Terms`]. Only the broker
//! calls it.

pub mod admission;
pub mod bucket;
pub mod capacity;
pub mod contract;
pub mod ledger;
pub mod reclaim;
pub mod row;

use crate::api::{CallId, HostId, Micros};
use admission::{Share, SharePool, TeamId, UNBOUNDED_CAPACITY};
use bucket::{BudgetMeter, TokenBucket};
use capacity::Capacity;
pub use contract::{Contract, Terms, TermsChange, OTHERS};
use ledger::{ClassUsage, Ledger, Reason};
use reclaim::{ranks, MoveQueue, ReclaimPace};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Microseconds in a second, for arithmetic in floating point.
const MICROS_PER_SECOND: f64 = 1e6;
/// Shortest retry-after that a client is given, where the longest is not shorter still.
const MIN_RETRY_AFTER_US: Micros = 1_000;
/// Connections by which a computed contract may exceed a whole number and still be rounded down to it: rounding errors
/// must not add a connection.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// How much longer than the longest retry-after a team may make no request before it counts as idle.
const IDLE_GRACE_US: Micros = 1_000_000;
/// Time allowed for the last of the needed moves to take effect, added to the retry-after of a request that waits
/// for them.
const RECLAIM_MARGIN_US: Micros = 50_000;
/// Assumed mean lifetime of a connection before any has ended.
const DEFAULT_LIFETIME_US: Micros = 30_000_000;
/// Interval at which a learned capacity, which grows with time, is applied again.
const CAPACITY_CHECK_INTERVAL_US: Micros = 1_000_000;
/// Fractional part of the golden ratio (unitless). The fractional parts of its multiples are spread evenly over 0 to 1,
/// whatever their number.
const GOLDEN_RATIO_PART: f64 = 0.618_033_988_749_894_9;

/// Settings that do not change while the program runs.
#[derive(Clone, Debug, Default)]
pub struct FixedSettings {
    /// The classes by the names that contracts use, with the worth of each.
    pub classes: Vec<(String, f64)>,
    /// Number of balancers that share the contracts.
    pub balancers: u32,
    /// Longest retry-after that a client may be given; none where clients cannot be given one.
    pub max_retry_after: Option<Micros>,
}

/// Identifies an admitted request. It must be passed to [`Contracts::release`] exactly once.
#[derive(Debug, PartialEq, Eq)]
pub struct Ticket(usize);

/// The answer to a request that was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// How long the client should wait before a retry; none where clients cannot be given one.
    pub retry_after: Option<Micros>,
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// No instance could take the request.
    NoInstance,
    /// The request failed, or its client left, before the connection was established.
    NotEstablished,
    /// The connection was established and has ended.
    Closed,
}

/// The account of a team at a point in time.
#[derive(Clone, Debug)]
pub struct Account {
    /// The team.
    pub team: Arc<str>,
    /// Connections and attempts that the team holds.
    pub held: u32,
    /// Connections that the contract allows at this balancer now.
    pub contract: u32,
    /// Connections that the contract allows when contracts are not reduced.
    pub stated: f64,
    /// Counts of requests and connections.
    pub ledger: Ledger,
    /// Connection-microseconds used.
    pub used_us: u64,
    /// Connections and usage by class.
    pub class_usage: Vec<ClassUsage>,
    /// Connection seconds left of the budget, where there is one.
    pub budget_left_seconds: Option<f64>,
    /// Time until the budget is full again if no connection uses it.
    pub budget_full_in: Option<Micros>,
}

#[derive(Debug)]
struct Team {
    contract: Contract,
    /// The contract was removed: the connections of the team are moved, and no request is admitted under its name.
    removed: bool,
    /// The classes that the contract includes; none for all.
    classes: Option<BTreeSet<usize>>,
    rate: Option<TokenBucket>,
    meter: Option<BudgetMeter>,
    ledger: Ledger,
    move_queue: MoveQueue,
    /// When the contract is to be refreshed next.
    due: Option<Micros>,
}

#[derive(Debug)]
struct Entry {
    call: CallId,
    team: TeamId,
    class: usize,
    number: u64,
    established: bool,
    leaving: bool,
}

/// The contracts of all teams at this balancer.
#[derive(Debug)]
pub struct Contracts {
    settings: FixedSettings,
    terms: Terms,
    class_ranks: Vec<u32>,
    teams: Vec<Team>,
    by_name: BTreeMap<Arc<str>, TeamId>,
    /// By class: the team whose contract is the only one that names it.
    sole_team_by_class: Vec<Option<TeamId>>,
    others_team: TeamId,
    pool: SharePool,
    capacity: Capacity,
    reclaim_pace: ReclaimPace,
    entries: Vec<Option<Entry>>,
    free_slots: Vec<usize>,
    entries_added: u64,
    refused_total: u64,
    /// When each team is to be refreshed next, earliest first.
    due: BTreeSet<(Micros, TeamId)>,
    last_capacity_check: Micros,
    /// The part of each contract that applies: less than 1 while the capacity is less than their sum.
    reduction: f64,
}

impl Contracts {
    /// Creates contracts that are in force from `now` on. The terms must be valid.
    pub fn new(now: Micros, settings: FixedSettings, terms: Terms) -> Contracts {
        let worths: Vec<f64> = settings.classes.iter().map(|c| c.1).collect();
        let part = 1.0 / f64::from(settings.balancers.max(1));
        let mut contracts = Contracts {
            class_ranks: ranks(&worths),
            reclaim_pace: ReclaimPace::new(now, terms.reclaim_rate, part),
            terms: Terms::default(),
            teams: Vec::new(),
            by_name: BTreeMap::new(),
            sole_team_by_class: vec![None; settings.classes.len()],
            others_team: 0,
            pool: SharePool::new(),
            capacity: Capacity::default(),
            entries: Vec::new(),
            free_slots: Vec::new(),
            entries_added: 0,
            refused_total: 0,
            due: BTreeSet::new(),
            last_capacity_check: now,
            reduction: 1.0,
            settings,
        };
        contracts.others_team = contracts.add_or_find_team(now, &Contract::none(OTHERS));
        contracts.apply_terms(now, terms);
        contracts
    }

    /// Returns this balancer's part of a fleet figure.
    fn part(&self) -> f64 {
        1.0 / f64::from(self.settings.balancers.max(1))
    }

    /// Returns the terms in force.
    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// Returns the contracts of all teams, in the order of their numbers. A team keeps its number while the program
    /// runs.
    pub fn team_contracts(&self) -> impl Iterator<Item = &Contract> {
        self.teams.iter().map(|team| &team.contract)
    }

    /// Returns the team of a request: the one that it names, else the one whose contract is the only one that names
    /// the class, else [`OTHERS`].
    pub fn resolve_team(&self, name: Option<&str>, class: usize) -> TeamId {
        let named = name.and_then(|name| self.by_name.get(name)).copied();
        let named = named.filter(|&team| !self.teams[team].removed);
        named.or_else(|| self.sole_team_by_class.get(class).copied().flatten()).unwrap_or(self.others_team)
    }

    /// Returns the number of the team, and adds the team if it is new.
    fn add_or_find_team(&mut self, now: Micros, contract: &Contract) -> TeamId {
        if let Some(&team) = self.by_name.get(&contract.team) {
            return team;
        }
        let share = Share { weight: contract.weight, may_borrow: contract.borrow, ..Share::default() };
        let team = self.pool.add(share);
        self.teams.push(Team {
            contract: contract.clone(),
            removed: false,
            classes: None,
            rate: contract.rate.map(|rate| TokenBucket::new(now, self.local_rate(rate))),
            meter: contract.budget.map(|b| BudgetMeter::new(now, b, self.part())),
            ledger: Ledger::new(now),
            move_queue: MoveQueue::default(),
            due: None,
        });
        self.by_name.insert(contract.team.clone(), team);
        team
    }

    fn local_rate(&self, rate: contract::Rate) -> contract::Rate {
        let part = self.part();
        contract::Rate { per_second: rate.per_second * part, burst: (rate.burst * part).max(1.0) }
    }

    /// Puts other terms in force and returns what changed. Ledgers, connections and the rest of budgets are kept.
    /// The terms must be valid.
    pub fn apply_terms(&mut self, now: Micros, mut terms: Terms) -> Vec<TermsChange> {
        // Neither team numbers nor sums may depend on the order of contracts in the file.
        terms.contracts.sort_by(|a, b| a.team.cmp(&b.team));
        (0..self.teams.len()).for_each(|team| self.advance_team(now, team));
        let changes = contract::diff_terms(&self.terms, &terms);
        let mut contracts = terms.contracts.clone();
        if !contracts.iter().any(|c| &*c.team == OTHERS) {
            contracts.push(Contract::none(OTHERS));
        }
        let mut teams_naming_class: Vec<Vec<TeamId>> = vec![Vec::new(); self.settings.classes.len()];
        let mut in_terms = BTreeSet::new();
        for contract in contracts {
            let team = self.add_or_find_team(now, &contract);
            in_terms.insert(team);
            let known = |name: &String| self.settings.classes.iter().position(|(n, _)| n == name);
            let classes: Option<BTreeSet<usize>> =
                contract.classes.as_ref().map(|all| all.iter().filter_map(known).collect());
            classes.iter().flatten().for_each(|&class| teams_naming_class[class].push(team));
            let (rate, part) = (contract.rate.map(|rate| self.local_rate(rate)), self.part());
            let drawing = self.drawing_connections(team);
            let state = &mut self.teams[team];
            match (&mut state.rate, rate) {
                (Some(tokens), Some(rate)) => tokens.set_rate(now, rate),
                (tokens, rate) => *tokens = rate.map(|rate| TokenBucket::new(now, rate)),
            }
            match (&mut state.meter, contract.budget) {
                (Some(meter), Some(budget)) => meter.set_budget(now, drawing, budget, part),
                (meter, budget) => *meter = budget.map(|b| BudgetMeter::new(now, b, part)),
            }
            (state.classes, state.removed) = (classes, false);
            let (weight, may_borrow) = (contract.weight, contract.borrow);
            state.contract = contract;
            self.pool.update(team, |share| (share.weight, share.may_borrow) = (weight, may_borrow));
        }
        for team in (0..self.teams.len()).filter(|team| !in_terms.contains(team)) {
            let state = &mut self.teams[team];
            state.contract = Contract { borrow: false, ..Contract::none(&state.contract.team) };
            (state.removed, state.rate, state.meter) = (true, None, None);
            self.pool.update(team, |share| (share.may_borrow, share.waiting) = (false, 0));
        }
        let sole_team = |teams: Vec<TeamId>| match teams[..] {
            [team] => Some(team),
            _ => None,
        };
        self.sole_team_by_class = teams_naming_class.into_iter().map(sole_team).collect();
        self.capacity.set_stated(terms.capacity.map(|c| c * self.part()), terms.instances);
        self.terms = terms;
        self.refresh_capacity(now);
        changes
    }

    /// Sets the instances that the list names as ready: their sizes, and when they were started.
    pub fn set_ready_instances(
        &mut self,
        now: Micros,
        ready: impl IntoIterator<Item = (HostId, f64, Micros)>,
    ) {
        self.capacity.set_ready(ready);
        self.refresh_capacity(now);
    }

    /// Records that an attempt at an instance was served, or that it could not connect or was not answered.
    pub fn record_attempt(&mut self, now: Micros, host: HostId, served: bool) {
        if self.capacity.record_attempt(host, served) {
            self.refresh_capacity(now);
        }
    }

    /// Applies the current capacity to the pool, the reclaim rate and all contracts.
    fn refresh_capacity(&mut self, now: Micros) {
        self.last_capacity_check = now;
        let capacity = self.capacity.current(now);
        // Rounded down: admitting a fraction of a connection would exceed the capacity.
        self.pool.set_capacity(capacity.map_or(UNBOUNDED_CAPACITY, |c| c as u64));
        let sum: f64 = self.terms.contracts.iter().map(|c| c.connections).sum::<f64>() * self.part();
        self.reduction = capacity.map_or(1.0, |c| (c.floor() / sum.max(f64::MIN_POSITIVE)).min(1.0));
        self.reclaim_pace.update(now, self.terms.reclaim_rate, capacity);
        for team in 0..self.teams.len() {
            self.refresh_team(now, team);
        }
    }

    /// Returns the part of each contract that applies while the capacity is less than their sum: 1 for all of it.
    pub fn reduction_factor(&self) -> f64 {
        self.reduction
    }

    /// Returns the connections that the contract of a team allows now: its part at this balancer, reduced in
    /// proportion with all others, and no more than a used-up budget earns.
    fn allowed_connections(&self, team: TeamId) -> u32 {
        let state = &self.teams[team];
        let full_contract = state.contract.connections * self.part() * self.reduction;
        let earned = state
            .meter
            .as_ref()
            .filter(|m| m.is_exhausted())
            .map_or(f64::INFINITY, BudgetMeter::sustained_connections);
        // Rounded up: a contract of less than one connection for each balancer would otherwise be 0 at all of them.
        (full_contract.min(earned) - ROUNDING_TOLERANCE).ceil().max(0.0) as u32
    }

    /// Returns the number of connections that use the budget of a team.
    fn drawing_connections(&self, team: TeamId) -> u32 {
        let share = self.pool.share(team);
        share.held.min(share.contract)
    }

    /// Advances the ledger and the budget of a team to `now`.
    fn advance_team(&mut self, now: Micros, team: TeamId) {
        let (held, contract) = (self.pool.share(team).held, self.pool.share(team).contract);
        let state = &mut self.teams[team];
        state.ledger.advance(now, held, contract);
        if let Some(meter) = &mut state.meter {
            meter.advance(now, held.min(contract));
        }
    }

    /// Updates the contract of a team, and schedules the next update.
    fn refresh_team(&mut self, now: Micros, team: TeamId) {
        self.advance_team(now, team);
        let contract = self.allowed_connections(team);
        if self.pool.share(team).contract != contract {
            self.pool.update(team, |share| share.contract = contract);
        }
        let drawing = self.drawing_connections(team);
        let transition = self.teams[team].meter.as_ref().and_then(|m| m.next_transition(drawing));
        let idle_at = self.pool.share(team).last_request.saturating_add(self.idle_after());
        let reserve_expiry = self.pool.has_releasable_reserve(team).then_some(idle_at);
        let due = transition.into_iter().chain(reserve_expiry).min();
        let state = &mut self.teams[team];
        if state.due != due {
            state.due.take().map(|at| self.due.remove(&(at, team)));
            due.map(|at| self.due.insert((at, team)));
            state.due = due;
        }
    }

    fn idle_after(&self) -> Micros {
        self.settings.max_retry_after.unwrap_or(0) + IDLE_GRACE_US
    }

    /// Admits or refuses a request of a team.
    pub fn request_admission(
        &mut self,
        now: Micros,
        team: TeamId,
        class: usize,
        call: &CallId,
    ) -> Result<Ticket, Refusal> {
        self.advance_team(now, team);
        let state = &mut self.teams[team];
        state.ledger.asked += 1;
        let class_included = state.classes.as_ref().is_none_or(|all| all.contains(&class));
        let within_rate = state.rate.as_mut().is_none_or(|rate| rate.has_token(now));
        let verdict = match (class_included && !state.removed, within_rate) {
            (false, _) => Err(Reason::Class),
            (_, false) => Err(Reason::Rate),
            _ => self.pool.check_admission(team),
        };
        let exhausted = state.meter.as_ref().is_some_and(BudgetMeter::is_exhausted);
        let verdict = match verdict {
            Err(Reason::Contract) if exhausted => Err(Reason::Budget),
            other => other,
        };
        let result = match verdict {
            Ok(borrows) => {
                let state = &mut self.teams[team];
                state.rate.iter_mut().for_each(|rate| rate.take(now));
                *(if borrows { &mut state.ledger.borrowed } else { &mut state.ledger.within }) += 1;
                Ok(self.add_entry(now, team, class, call, true))
            }
            Err(reason) => {
                self.teams[team].ledger.record_refusal(reason);
                let may_retry =
                    matches!(reason, Reason::Reclaim | Reason::Full | Reason::Idle | Reason::Share);
                self.pool.update(team, |share| {
                    share.last_request = now;
                    share.waiting = share.waiting.saturating_add(u32::from(may_retry));
                });
                Err(Refusal { reason, retry_after: self.retry_after(now, team, reason) })
            }
        };
        self.refresh_team(now, team);
        result
    }

    /// Admits a connection that was established before the program started, whatever the contract allows.
    pub fn adopt(&mut self, now: Micros, team: TeamId, class: usize, call: &CallId) -> Ticket {
        self.advance_team(now, team);
        self.teams[team].ledger.asked += 1;
        self.teams[team].ledger.within += 1;
        let ticket = self.count_existing(now, team, class, call);
        self.mark_established(&ticket);
        ticket
    }

    /// Counts a connection or attempt that was there before the contracts were in force. It adds nothing to the count
    /// of requests.
    pub fn count_existing(&mut self, now: Micros, team: TeamId, class: usize, call: &CallId) -> Ticket {
        self.advance_team(now, team);
        let ticket = self.add_entry(now, team, class, call, false);
        self.refresh_team(now, team);
        ticket
    }

    fn add_entry(
        &mut self,
        now: Micros,
        team: TeamId,
        class: usize,
        call: &CallId,
        is_new_request: bool,
    ) -> Ticket {
        self.entries_added += 1;
        let number = self.entries_added;
        let entry = Entry { call: call.clone(), team, class, number, established: false, leaving: false };
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.entries.push(None);
            self.entries.len() - 1
        });
        self.entries[slot] = Some(entry);
        self.teams[team].ledger.count_connection(now, class, true);
        self.pool.update(team, |share| {
            share.held += 1;
            if is_new_request {
                (share.last_request, share.waiting) = (now, share.waiting.saturating_sub(1));
            }
        });
        Ticket(slot)
    }

    /// Returns how long the client should wait before a retry.
    fn retry_after(&mut self, now: Micros, team: TeamId, reason: Reason) -> Option<Micros> {
        let max_retry_after = self.settings.max_retry_after?;
        self.refused_total += 1;
        // Clients that are refused together must not retry together: the factor is between 0.5 and 1.5.
        let spread = 0.5 + (self.refused_total as f64 * GOLDEN_RATIO_PART).fract();
        // The expected time until one of the held connections ends, spread as above.
        let turnover = |lifetime: Option<Micros>, held: u64| {
            (lifetime.unwrap_or(DEFAULT_LIFETIME_US) as f64 / held.max(1) as f64 * spread) as Micros
        };
        let share = self.pool.share(team);
        let (team_held, total_held) = (u64::from(share.held), self.pool.held());
        let state = &mut self.teams[team];
        let lifetime = state.ledger.mean_lifetime(now);
        let after = match reason {
            Reason::Class => max_retry_after,
            Reason::Rate => state.rate.as_mut().map_or(max_retry_after, |rate| rate.time_until_token(now)),
            Reason::Contract => turnover(lifetime, team_held),
            Reason::Budget => {
                let budget_full_in =
                    state.meter.as_ref().map_or(max_retry_after, BudgetMeter::time_until_full);
                turnover(lifetime, team_held).min(budget_full_in)
            }
            Reason::Reclaim => self.reclaim_pace.duration_of(self.pool.moves_needed()) + RECLAIM_MARGIN_US,
            Reason::Idle | Reason::Share | Reason::Full | Reason::Placement => turnover(lifetime, total_held),
        };
        Some(after.clamp(MIN_RETRY_AFTER_US.min(max_retry_after), max_retry_after))
    }

    /// Marks the connection of an admitted request as established.
    pub fn mark_established(&mut self, ticket: &Ticket) {
        let Some(Some(entry)) = self.entries.get_mut(ticket.0) else { return };
        if !std::mem::replace(&mut entry.established, true) {
            let team = &mut self.teams[entry.team];
            team.ledger.served += 1;
            team.move_queue.insert(rank(&self.class_ranks, entry.class), entry.number, ticket.0);
        }
    }

    /// Releases an admitted request that has ended.
    pub fn release(&mut self, now: Micros, ticket: Ticket, end: EndReason) {
        let Some(entry) = self.entries.get_mut(ticket.0).and_then(Option::take) else { return };
        self.free_slots.push(ticket.0);
        let team = entry.team;
        self.advance_team(now, team);
        let state = &mut self.teams[team];
        state.move_queue.remove(rank(&self.class_ranks, entry.class), entry.number, ticket.0);
        state.ledger.count_connection(now, entry.class, false);
        match end {
            EndReason::NoInstance => state.ledger.record_refusal(Reason::Placement),
            EndReason::NotEstablished => state.ledger.lost += 1,
            EndReason::Closed => state.ledger.ended += 1,
        }
        self.pool.update(team, |share| {
            share.held -= 1;
            share.leaving -= u32::from(entry.leaving);
        });
        if end == EndReason::NoInstance {
            self.capacity.record_unplaced(now, self.pool.held() as u32);
            self.refresh_capacity(now);
        }
        self.refresh_team(now, team);
    }

    /// Returns when [`Contracts::run_due`] should be called next if no event occurs before.
    pub fn next_due(&mut self, now: Micros) -> Option<Micros> {
        // A candidate whose connections are still being set up has none to move. Its next event leads here again.
        let moves =
            self.pool.move_candidates().iter().any(|&team| self.teams[team].move_queue.first().is_some());
        let moves = moves.then(|| now.saturating_add(self.reclaim_pace.time_until_next(now)));
        let next_capacity_check = self
            .capacity
            .is_growing()
            .then_some(self.last_capacity_check.saturating_add(CAPACITY_CHECK_INTERVAL_US));
        let teams = self.due.first().map(|&(at, _)| at);
        moves.into_iter().chain(next_capacity_check).chain(teams).min()
    }

    /// Runs what is due: updates contracts to their budgets, releases reservations of idle teams, and returns the
    /// connections to be asked to move.
    pub fn run_due(&mut self, now: Micros) -> Vec<CallId> {
        while let Some(&(at, team)) = self.due.first().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, team));
            self.teams[team].due = None;
            let silent = now.saturating_sub(self.pool.share(team).last_request);
            if silent >= self.idle_after() {
                self.pool.release_reserve(team);
            }
            self.refresh_team(now, team);
        }
        if self.capacity.is_growing()
            && now >= self.last_capacity_check.saturating_add(CAPACITY_CHECK_INTERVAL_US)
        {
            self.refresh_capacity(now);
        }
        let mut moves = Vec::new();
        loop {
            let candidates = self.pool.move_candidates();
            let first = |team: &TeamId| self.teams[*team].move_queue.first().map(|slot| (*team, slot));
            let Some((team, slot)) = candidates.iter().find_map(first) else { break };
            if !self.reclaim_pace.try_take(now) {
                break;
            }
            let Some(Some(entry)) = self.entries.get_mut(slot) else { break };
            entry.leaving = true;
            let state = &mut self.teams[team];
            state.move_queue.remove(rank(&self.class_ranks, entry.class), entry.number, slot);
            state.ledger.moved += 1;
            self.pool.update(team, |share| share.leaving += 1);
            moves.push(entry.call.clone());
        }
        moves
    }

    /// Returns the accounts of all teams that have a contract or have ever made a request.
    pub fn accounts(&self, now: Micros) -> Vec<Account> {
        let all = self.teams.iter().enumerate();
        let reported = all.filter(|(_, state)| {
            state.ledger.asked > 0 || (!state.removed && state.contract.connections > 0.0)
        });
        reported
            .map(|(team, state)| {
                let share = self.pool.share(team);
                let mut ledger = state.ledger.clone();
                ledger.advance(now, share.held, share.contract);
                let mut meter = state.meter.clone();
                meter.iter_mut().for_each(|m| m.advance(now, share.held.min(share.contract)));
                Account {
                    team: state.contract.team.clone(),
                    held: share.held,
                    contract: share.contract,
                    stated: state.contract.connections * self.part(),
                    used_us: ledger.total_used_us(now),
                    class_usage: ledger.usage_by_class(now).collect(),
                    ledger,
                    budget_left_seconds: meter.as_ref().map(BudgetMeter::seconds_left),
                    budget_full_in: meter.as_ref().map(BudgetMeter::time_until_full),
                }
            })
            .collect()
    }

    /// Returns the shares of all teams.
    pub fn pool(&self) -> &SharePool {
        &self.pool
    }

    /// Returns the accounts as rows for the log and for datagrams.
    pub fn account_rows(&self, now: Micros) -> Vec<row::Row> {
        let classes: Vec<String> = self.classes().map(Into::into).collect();
        self.accounts(now).iter().map(|account| row::Row::new(account, &classes)).collect()
    }

    /// Returns the names of the classes.
    pub fn classes(&self) -> impl Iterator<Item = &str> {
        self.settings.classes.iter().map(|(name, _)| name.as_str())
    }
}

/// Returns the rank of a class. One that the settings do not name has the lowest.
fn rank(ranks: &[u32], class: usize) -> u32 {
    ranks.get(class).copied().unwrap_or(0)
}
