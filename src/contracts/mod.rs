//! Contracts between teams: what each may hold of the fleet, who may borrow what others leave idle, and who
//! gives back when an owner returns.
//!
//! Promised, for one balancer's part (fleet figures over the number of balancers):
//! - it never lets in more than the capacity, and refuses nobody within a contract while anything is free;
//! - who is over the contract is served from what is idle, by weight, and refused at once with a reason and a
//!   time of coming back otherwise;
//! - only connections over a contract are ever asked to move, at a bounded pace, of the least worth first;
//! - when the sum of the contracts is over the capacity, each is cut in proportion;
//! - connection seconds are integrated exactly.
//!
//! Not promised: which instance takes a connection, and whether one can: that is the decision module's. Not
//! known: other balancers, clocks, sockets. Times are arguments, and equal or earlier ones do no harm.
//!
//! Used through [`Contracts`] (events in, a verdict or moves out) and [`Terms`]; the broker is the only caller.

pub mod admission;
pub mod bucket;
pub mod capacity;
pub mod contract;
pub mod ledger;
pub mod reclaim;
pub mod row;

use crate::api::{CallId, HostId, Micros};
use admission::{Share, SharePool, TeamId, UNBOUNDED};
use bucket::{Meter, Tokens};
use capacity::Capacity;
pub use contract::{Contract, Terms, TermsChange, OTHERS};
use ledger::{ClassUse, Ledger, Reason};
use reclaim::{ranks, Movable, Pace};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How much longer than the longest time of coming back a team may be silent before it counts as idle.
const IDLE_AFTER: Micros = 1_000_000;
/// Room that is being made is there so much after the move that makes it was asked for.
const MARGIN: Micros = 50_000;
/// Before any connection has ended its life is taken for this long.
const LIFE: Micros = 30_000_000;
/// A learned capacity is looked at again after this long.
const LOOK: Micros = 1_000_000;
/// The golden ratio's part: its multiples, cut to their fractions, spread evenly however many there are.
const GOLDEN: f64 = 0.618_033_988_749_894_9;

/// What does not change while the program runs.
#[derive(Clone, Debug, Default)]
pub struct FixedSettings {
    /// The classes, as contracts name them, with the worth of each.
    pub classes: Vec<(String, f64)>,
    /// How many balancers share the contracts.
    pub balancers: u32,
    /// The longest that a client may be asked to stay away; none where no advice reaches clients.
    pub max_retry_after: Option<Micros>,
}

/// A request that was let in; to be given back once.
#[derive(Debug, PartialEq, Eq)]
pub struct Ticket(usize);

/// A request that was not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When it is worth coming again; none where no advice reaches clients.
    pub retry_after: Option<Micros>,
}

/// How one that was let in ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// No instance could take it.
    NoInstance,
    /// It failed, or its client left, before it stood.
    NotEstablished,
    /// It stood, and has ended.
    Closed,
}

/// A team's account at a time.
#[derive(Clone, Debug)]
pub struct Account {
    /// The team.
    pub team: Arc<str>,
    /// What it holds.
    pub held: u32,
    /// What its contract allows here now.
    pub contract: u32,
    /// What it would allow with nothing cut.
    pub stated: f64,
    /// The counts.
    pub ledger: Ledger,
    /// Connection-microseconds used, and by class.
    pub used_us: u64,
    /// By class.
    pub class_usage: Vec<ClassUse>,
    /// Connection seconds left of the budget, where there is one.
    pub budget_left_seconds: Option<f64>,
    /// How long until the budget is whole again if nothing draws on it.
    pub budget_full_in: Option<Micros>,
}

#[derive(Debug)]
struct Team {
    contract: Contract,
    /// Its contract was removed: what it holds goes, and nothing is let in under it.
    removed: bool,
    /// The classes that it may have; none for all.
    classes: Option<BTreeSet<usize>>,
    rate: Option<Tokens>,
    meter: Option<Meter>,
    ledger: Ledger,
    movable: Movable,
    /// When it is to be looked at again.
    due: Option<Micros>,
}

#[derive(Debug)]
struct Entry {
    call: CallId,
    team: TeamId,
    class: usize,
    number: u64,
    stands: bool,
    leaving: bool,
}

/// The contracts of all teams at one balancer.
#[derive(Debug)]
pub struct Contracts {
    settings: FixedSettings,
    terms: Terms,
    ranks: Vec<u32>,
    teams: Vec<Team>,
    by_name: BTreeMap<Arc<str>, TeamId>,
    /// The team whose contract alone names a class, by class.
    sole: Vec<Option<TeamId>>,
    others: TeamId,
    pool: SharePool,
    capacity: Capacity,
    pace: Pace,
    entries: Vec<Option<Entry>>,
    free: Vec<usize>,
    taken: u64,
    refused: u64,
    due: BTreeSet<(Micros, TeamId)>,
    looked: Micros,
    cut: f64,
}

impl Contracts {
    /// Contracts in force from now on. The terms must be valid.
    pub fn new(now: Micros, settings: FixedSettings, terms: Terms) -> Contracts {
        let worths: Vec<f64> = settings.classes.iter().map(|c| c.1).collect();
        let part = 1.0 / f64::from(settings.balancers.max(1));
        let mut all = Contracts {
            ranks: ranks(&worths),
            pace: Pace::new(now, terms.reclaim_rate, part),
            terms: Terms::default(),
            teams: Vec::new(),
            by_name: BTreeMap::new(),
            sole: vec![None; settings.classes.len()],
            others: 0,
            pool: SharePool::new(),
            capacity: Capacity::default(),
            entries: Vec::new(),
            free: Vec::new(),
            taken: 0,
            refused: 0,
            due: BTreeSet::new(),
            looked: now,
            cut: 1.0,
            settings,
        };
        all.others = all.team_of(now, &Contract::none(OTHERS));
        all.apply_terms(now, terms);
        all
    }

    /// This balancer's part of a fleet figure.
    fn part(&self) -> f64 {
        1.0 / f64::from(self.settings.balancers.max(1))
    }

    /// The terms in force.
    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// The names of all teams, by number. Numbers stay as long as the program runs.
    pub fn team_contracts(&self) -> impl Iterator<Item = &Contract> {
        self.teams.iter().map(|team| &team.contract)
    }

    /// Whose a request is: the team that it names, else the one whose contract alone names its class, else the
    /// others'.
    pub fn resolve_team(&self, name: Option<&str>, class: usize) -> TeamId {
        let named = name.and_then(|name| self.by_name.get(name)).copied();
        let named = named.filter(|&team| !self.teams[team].removed);
        named.or_else(|| self.sole.get(class).copied().flatten()).unwrap_or(self.others)
    }

    /// Its number, new or the one that it had before.
    fn team_of(&mut self, now: Micros, contract: &Contract) -> TeamId {
        if let Some(&team) = self.by_name.get(&contract.team) {
            return team;
        }
        let share = Share { weight: contract.weight, borrows: contract.borrow, ..Share::default() };
        let team = self.pool.add(share);
        self.teams.push(Team {
            contract: contract.clone(),
            removed: false,
            classes: None,
            rate: contract.rate.map(|rate| Tokens::new(now, self.parted(rate))),
            meter: contract.budget.map(|b| Meter::new(now, b, self.part())),
            ledger: Ledger::new(now),
            movable: Movable::default(),
            due: None,
        });
        self.by_name.insert(contract.team.clone(), team);
        team
    }

    fn parted(&self, rate: contract::Rate) -> contract::Rate {
        let part = self.part();
        contract::Rate { per_second: rate.per_second * part, burst: (rate.burst * part).max(1.0) }
    }

    /// Other terms are in force from now on: what changed. Ledgers, connections and what is left of budgets
    /// stay. The terms must be valid.
    pub fn apply_terms(&mut self, now: Micros, mut terms: Terms) -> Vec<TermsChange> {
        // Neither numbers nor sums may hang on the order in the file.
        terms.contracts.sort_by(|a, b| a.team.cmp(&b.team));
        (0..self.teams.len()).for_each(|team| self.flow(now, team));
        let changes = contract::diff_terms(&self.terms, &terms);
        let mut contracts = terms.contracts.clone();
        if !contracts.iter().any(|c| &*c.team == OTHERS) {
            contracts.push(Contract::none(OTHERS));
        }
        let mut named: Vec<Vec<TeamId>> = vec![Vec::new(); self.settings.classes.len()];
        let mut there = BTreeSet::new();
        for contract in contracts {
            let team = self.team_of(now, &contract);
            there.insert(team);
            let known = |name: &String| self.settings.classes.iter().position(|(n, _)| n == name);
            let classes: Option<BTreeSet<usize>> =
                contract.classes.as_ref().map(|all| all.iter().filter_map(known).collect());
            classes.iter().flatten().for_each(|&class| named[class].push(team));
            let (rate, part) = (contract.rate.map(|rate| self.parted(rate)), self.part());
            let drawn = self.drawn(team);
            let t = &mut self.teams[team];
            match (&mut t.rate, rate) {
                (Some(tokens), Some(rate)) => tokens.changed(now, rate),
                (tokens, rate) => *tokens = rate.map(|rate| Tokens::new(now, rate)),
            }
            match (&mut t.meter, contract.budget) {
                (Some(meter), Some(budget)) => meter.changed(now, drawn, budget, part),
                (meter, budget) => *meter = budget.map(|b| Meter::new(now, b, part)),
            }
            (t.classes, t.removed) = (classes, false);
            let (weight, borrows) = (contract.weight, contract.borrow);
            t.contract = contract;
            self.pool.edit(team, |s| (s.weight, s.borrows) = (weight, borrows));
        }
        for team in (0..self.teams.len()).filter(|team| !there.contains(team)) {
            let t = &mut self.teams[team];
            t.contract = Contract { borrow: false, ..Contract::none(&t.contract.team) };
            (t.removed, t.rate, t.meter) = (true, None, None);
            self.pool.edit(team, |s| (s.borrows, s.waiting) = (false, 0));
        }
        let sole = |teams: Vec<TeamId>| match teams[..] {
            [team] => Some(team),
            _ => None,
        };
        self.sole = named.into_iter().map(sole).collect();
        self.capacity.state(terms.capacity.map(|c| c * self.part()), terms.instances);
        self.terms = terms;
        self.resize(now);
        changes
    }

    /// The list names these instances as ready: their sizes, and when they were started.
    pub fn set_ready_instances(
        &mut self,
        now: Micros,
        ready: impl IntoIterator<Item = (HostId, f64, Micros)>,
    ) {
        self.capacity.listed(ready);
        self.resize(now);
    }

    /// An attempt at an instance was served, or could not connect or was not answered.
    pub fn record_attempt(&mut self, now: Micros, host: HostId, served: bool) {
        if self.capacity.seen(host, served) {
            self.resize(now);
        }
    }

    /// The capacity may have changed: all contracts follow.
    fn resize(&mut self, now: Micros) {
        self.looked = now;
        let capacity = self.capacity.now(now);
        // Down: to let in a part of a connection is to be over.
        self.pool.bears(capacity.map_or(UNBOUNDED, |c| c as u64));
        let sum: f64 = self.terms.contracts.iter().map(|c| c.connections).sum::<f64>() * self.part();
        self.cut = capacity.map_or(1.0, |c| (c.floor() / sum.max(f64::MIN_POSITIVE)).min(1.0));
        self.pace.changed(now, self.terms.reclaim_rate, capacity);
        for team in 0..self.teams.len() {
            self.settle(now, team);
        }
    }

    /// What of each contract stands while the room bears less than all of them: 1 for the whole.
    pub fn reduction_factor(&self) -> f64 {
        self.cut
    }

    /// What a team's contract allows now: its part, cut with all others, and no more than a used-up budget earns.
    fn allows(&self, team: TeamId) -> u32 {
        let t = &self.teams[team];
        let most = t.contract.connections * self.part() * self.cut;
        let earned =
            t.meter.as_ref().filter(|m| m.empty()).map_or(f64::INFINITY, Meter::sustained_connections);
        // Up, or contracts of less than one connection at each balancer would be nothing anywhere.
        (most.min(earned) - 1e-9).ceil().max(0.0) as u32
    }

    /// Connections that draw on its budget.
    fn drawn(&self, team: TeamId) -> u32 {
        let s = self.pool.share(team);
        s.held.min(s.contract)
    }

    /// Time passes for a team.
    fn flow(&mut self, now: Micros, team: TeamId) {
        let (held, contract) = (self.pool.share(team).held, self.pool.share(team).contract);
        let t = &mut self.teams[team];
        t.ledger.flow(now, held, contract);
        if let Some(meter) = &mut t.meter {
            meter.flow(now, held.min(contract));
        }
    }

    /// Brings a team's contract up to date, and sees when it is to be looked at again.
    fn settle(&mut self, now: Micros, team: TeamId) {
        self.flow(now, team);
        let contract = self.allows(team);
        if self.pool.share(team).contract != contract {
            self.pool.edit(team, |s| s.contract = contract);
        }
        let drawn = self.drawn(team);
        let turns = self.teams[team].meter.as_ref().and_then(|m| m.turns(drawn));
        let idle = self.pool.share(team).asked.saturating_add(self.idle_after());
        let lapse = self.pool.lapses(team).then_some(idle);
        let due = turns.into_iter().chain(lapse).min();
        let t = &mut self.teams[team];
        if t.due != due {
            t.due.take().map(|at| self.due.remove(&(at, team)));
            due.map(|at| self.due.insert((at, team)));
            t.due = due;
        }
    }

    fn idle_after(&self) -> Micros {
        self.settings.max_retry_after.unwrap_or(0) + IDLE_AFTER
    }

    /// A request asks to be let in.
    pub fn request_admission(
        &mut self,
        now: Micros,
        team: TeamId,
        class: usize,
        call: &CallId,
    ) -> Result<Ticket, Refusal> {
        self.flow(now, team);
        let t = &mut self.teams[team];
        t.ledger.asked += 1;
        let named = t.classes.as_ref().is_none_or(|all| all.contains(&class));
        let paced = t.rate.as_mut().is_none_or(|rate| rate.there(now));
        let verdict = match (named && !t.removed, paced) {
            (false, _) => Err(Reason::Class),
            (_, false) => Err(Reason::Rate),
            _ => self.pool.judge(team),
        };
        let empty = t.meter.as_ref().is_some_and(Meter::empty);
        let verdict = match verdict {
            Err(Reason::Contract) if empty => Err(Reason::Budget),
            other => other,
        };
        let result = match verdict {
            Ok(borrows) => {
                let t = &mut self.teams[team];
                t.rate.iter_mut().for_each(|rate| rate.take(now));
                *(if borrows { &mut t.ledger.borrowed } else { &mut t.ledger.within }) += 1;
                Ok(self.enter(now, team, class, call, true))
            }
            Err(reason) => {
                self.teams[team].ledger.refuse(reason);
                let waits = matches!(reason, Reason::Reclaim | Reason::Full | Reason::Idle | Reason::Share);
                self.pool.edit(team, |s| {
                    s.asked = now;
                    s.waiting = s.waiting.saturating_add(u32::from(waits));
                });
                Err(Refusal { reason, retry_after: self.retry_after(now, team, reason) })
            }
        };
        self.settle(now, team);
        result
    }

    /// A connection that stood before the program started: it is taken, whatever the contract.
    pub fn adopt(&mut self, now: Micros, team: TeamId, class: usize, call: &CallId) -> Ticket {
        self.flow(now, team);
        self.teams[team].ledger.asked += 1;
        self.teams[team].ledger.within += 1;
        let ticket = self.count_existing(now, team, class, call);
        self.mark_established(&ticket);
        ticket
    }

    /// One that was in hand before there were contracts: it counts from now on, and was never asked for.
    pub fn count_existing(&mut self, now: Micros, team: TeamId, class: usize, call: &CallId) -> Ticket {
        self.flow(now, team);
        let ticket = self.enter(now, team, class, call, false);
        self.settle(now, team);
        ticket
    }

    fn enter(&mut self, now: Micros, team: TeamId, class: usize, call: &CallId, asked: bool) -> Ticket {
        self.taken += 1;
        let number = self.taken;
        let entry = Entry { call: call.clone(), team, class, number, stands: false, leaving: false };
        let place = self.free.pop().unwrap_or_else(|| {
            self.entries.push(None);
            self.entries.len() - 1
        });
        self.entries[place] = Some(entry);
        self.teams[team].ledger.count(now, class, true);
        self.pool.edit(team, |s| {
            s.held += 1;
            if asked {
                (s.asked, s.waiting) = (now, s.waiting.saturating_sub(1));
            }
        });
        Ticket(place)
    }

    /// When it is worth coming again.
    fn retry_after(&mut self, now: Micros, team: TeamId, reason: Reason) -> Option<Micros> {
        let max_retry_after = self.settings.max_retry_after?;
        self.refused += 1;
        // Those that are refused together are not to come together: from a half of the time to one and a half.
        let spread = 0.5 + (self.refused as f64 * GOLDEN).fract();
        let turnover = |life: Option<Micros>, held: u64| {
            (life.unwrap_or(LIFE) as f64 / held.max(1) as f64 * spread) as Micros
        };
        let s = self.pool.share(team);
        let (held, all) = (u64::from(s.held), self.pool.held());
        let t = &mut self.teams[team];
        let life = t.ledger.mean_life(now);
        let after = match reason {
            Reason::Class => max_retry_after,
            Reason::Rate => t.rate.as_mut().map_or(max_retry_after, |rate| rate.wait(now)),
            Reason::Contract => turnover(life, held),
            Reason::Budget => {
                let whole = t.meter.as_ref().map_or(max_retry_after, Meter::whole_in);
                turnover(life, held).min(whole)
            }
            Reason::Reclaim => self.pace.span(self.pool.owed()) + MARGIN,
            Reason::Idle | Reason::Share | Reason::Full | Reason::Placement => turnover(life, all),
        };
        Some(after.clamp(1_000.min(max_retry_after), max_retry_after))
    }

    /// A connection that was let in stands.
    pub fn mark_established(&mut self, ticket: &Ticket) {
        let Some(Some(entry)) = self.entries.get_mut(ticket.0) else { return };
        if !std::mem::replace(&mut entry.stands, true) {
            let team = &mut self.teams[entry.team];
            team.ledger.served += 1;
            team.movable.insert(rank(&self.ranks, entry.class), entry.number, ticket.0);
        }
    }

    /// One that was let in is over.
    pub fn release(&mut self, now: Micros, ticket: Ticket, end: EndReason) {
        let Some(entry) = self.entries.get_mut(ticket.0).and_then(Option::take) else { return };
        self.free.push(ticket.0);
        let team = entry.team;
        self.flow(now, team);
        let t = &mut self.teams[team];
        t.movable.remove(rank(&self.ranks, entry.class), entry.number, ticket.0);
        t.ledger.count(now, entry.class, false);
        match end {
            EndReason::NoInstance => t.ledger.refuse(Reason::Placement),
            EndReason::NotEstablished => t.ledger.lost += 1,
            EndReason::Closed => t.ledger.ended += 1,
        }
        self.pool.edit(team, |s| {
            s.held -= 1;
            s.leaving -= u32::from(entry.leaving);
        });
        if end == EndReason::NoInstance {
            self.capacity.turned_away(now, self.pool.held() as u32);
            self.resize(now);
        }
        self.settle(now, team);
    }

    /// When [`Contracts::turn`] is to be called next, if nothing happens before.
    pub fn next_due(&mut self, now: Micros) -> Option<Micros> {
        // A mover whose connections are being set up still has nothing to move: its next event brings us here.
        let moves = self.pool.movers().iter().any(|&team| self.teams[team].movable.first().is_some());
        let moves = moves.then(|| now.saturating_add(self.pace.wait(now)));
        let looks = self.capacity.grows().then_some(self.looked.saturating_add(LOOK));
        let teams = self.due.first().map(|&(at, _)| at);
        moves.into_iter().chain(looks).chain(teams).min()
    }

    /// Does what is due: contracts follow their budgets, what nobody asks for is lent, and connections are to be
    /// asked to move.
    pub fn run_due(&mut self, now: Micros) -> Vec<CallId> {
        while let Some(&(at, team)) = self.due.first().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, team));
            self.teams[team].due = None;
            let silent = now.saturating_sub(self.pool.share(team).asked);
            if silent >= self.idle_after() {
                self.pool.lapse(team);
            }
            self.settle(now, team);
        }
        if self.capacity.grows() && now >= self.looked.saturating_add(LOOK) {
            self.resize(now);
        }
        let mut moves = Vec::new();
        loop {
            let movers = self.pool.movers();
            let first = |team: &TeamId| self.teams[*team].movable.first().map(|place| (*team, place));
            let Some((team, place)) = movers.iter().find_map(first) else { break };
            if !self.pace.go(now) {
                break;
            }
            let Some(Some(entry)) = self.entries.get_mut(place) else { break };
            entry.leaving = true;
            let t = &mut self.teams[team];
            t.movable.remove(rank(&self.ranks, entry.class), entry.number, place);
            t.ledger.moved += 1;
            self.pool.edit(team, |s| s.leaving += 1);
            moves.push(entry.call.clone());
        }
        moves
    }

    /// The accounts of all teams that have a contract, hold anything, or ever asked.
    pub fn accounts(&self, now: Micros) -> Vec<Account> {
        let all = self.teams.iter().enumerate();
        let told = all.filter(|(_, t)| t.ledger.asked > 0 || (!t.removed && t.contract.connections > 0.0));
        told.map(|(team, t)| {
            let s = self.pool.share(team);
            let mut ledger = t.ledger.clone();
            ledger.flow(now, s.held, s.contract);
            let mut meter = t.meter.clone();
            meter.iter_mut().for_each(|m| m.flow(now, s.held.min(s.contract)));
            Account {
                team: t.contract.team.clone(),
                held: s.held,
                contract: s.contract,
                stated: t.contract.connections * self.part(),
                used_us: ledger.used(now),
                class_usage: ledger.by_class(now).collect(),
                ledger,
                budget_left_seconds: meter.as_ref().map(Meter::left),
                budget_full_in: meter.as_ref().map(Meter::whole_in),
            }
        })
        .collect()
    }

    /// The room, for whoever looks.
    pub fn pool(&self) -> &SharePool {
        &self.pool
    }

    /// The accounts as they are told.
    pub fn account_rows(&self, now: Micros) -> Vec<row::Row> {
        let classes: Vec<String> = self.classes().map(Into::into).collect();
        self.accounts(now).iter().map(|account| row::Row::new(account, &classes)).collect()
    }

    /// The names of the classes.
    pub fn classes(&self) -> impl Iterator<Item = &str> {
        self.settings.classes.iter().map(|(name, _)| name.as_str())
    }
}

/// A class that the settings do not name is worth least.
fn rank(ranks: &[u32], class: usize) -> u32 {
    ranks.get(class).copied().unwrap_or(0)
}
