//! Slow rebalancing: standing connections that stand away from their home on the ring are asked to come again, at a
//! rate and in an order that the fleet bears, once their home is back and warm.
//!
//! Promised, for one balancer's part: nobody is moved but to its home on the ring, and only while that home came back
//! in the last ten minutes and holds less than its share by the dead band, the server left holds its share or more,
//! and the home would still hold no more than that server afterwards, so no move makes the imbalance larger; never faster than the pace, in any window, and not to one home more than a fifth of
//! it; whole groups after one another, the class that is worth least first; nobody young, so nobody twice in that
//! span; nothing for a while after any trouble, then slowly again. The plan ends by itself: each move takes one away.
//!
//! Not promised: that the client comes back (the module places it then like any other), and balance of what the
//! ring itself spreads unevenly: who is at home stays there.
//!
//! Used through [`Rebalance`]: events and a [`View`] in, calls and [`Note`]s out. No I/O, no clock. The broker's core
//! is the only caller.

pub mod imbalance;
pub mod pace;

use crate::api::{CallId, HostView, Micros, MisplacedConnection};
use imbalance::Balance;
use pace::Pace;
use std::collections::BTreeMap;

/// Between two looks at the books: they are gone through whole.
const LOOK: Micros = 1_000_000;
/// After trouble nothing is moved for so long.
const REST: Micros = 5_000_000;

/// What an operator wrote on rebalancing.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// Most moves a second, of all balancers together.
    pub rate: f64,
    /// The dead band: how far under its share a home must be before anyone is moved there, as a part.
    pub band: f64,
    /// A connection is not moved before it has stood so long.
    pub young: Micros,
    /// Names of classes that are never moved.
    pub never: Vec<String>,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms { rate: 6.0, band: 0.1, young: 10_000_000, never: Vec::new() }
    }
}

/// What the module knows at a look.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The hosts.
    pub hosts: Vec<HostView>,
    /// The connections that stand away from home.
    pub strays: Vec<MisplacedConnection>,
}

/// What is worth telling the operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A plan begins: so many connections may move, at this imbalance (the largest load over its share).
    Begins(usize, f64),
    /// It rests, for this cause.
    Rests(&'static str),
    /// It has ended: so many were moved, at this imbalance.
    Ended(u64, f64),
}

/// The rebalancer of one balancer.
#[derive(Debug)]
pub struct Rebalance {
    terms: Terms,
    /// The ranks of classes by worth, and those that are never moved.
    ranks: Vec<u32>,
    never: Vec<bool>,
    pace: Pace,
    since: BTreeMap<CallId, Micros>,
    looked: Option<Micros>,
    rests: Option<Micros>,
    /// Moves of the plan that is under way.
    plan: Option<u64>,
    notes: Vec<Note>,
}

impl Rebalance {
    /// One for these classes (name and worth), of so many balancers.
    pub fn new(now: Micros, terms: Terms, classes: &[(String, f64)], balancers: u32) -> Rebalance {
        let worths: Vec<f64> = classes.iter().map(|c| c.1).collect();
        Rebalance {
            ranks: crate::contracts::reclaim::ranks(&worths),
            never: classes.iter().map(|(name, _)| terms.never.contains(name)).collect(),
            pace: Pace::new(now, terms.rate / f64::from(balancers.max(1))),
            terms,
            since: BTreeMap::new(),
            looked: None,
            rests: None,
            plan: None,
            notes: Vec::new(),
        }
    }

    /// The terms in force.
    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// A connection stands.
    pub fn stands(&mut self, now: Micros, call: &CallId) {
        self.since.insert(call.clone(), now);
    }

    /// It is over.
    pub fn over(&mut self, call: &CallId) {
        self.since.remove(call);
    }

    /// Something went wrong, or moves are made for another cause: nothing is moved for a while.
    pub fn trouble(&mut self, now: Micros, cause: &'static str) {
        let resting = self.rests.is_some_and(|until| now < until);
        self.rests = Some(now.saturating_add(REST));
        if !resting {
            self.pace.slower(now);
            if self.plan.is_some() {
                self.notes.push(Note::Rests(cause));
            }
        }
    }

    /// When [`Rebalance::turn`] is wanted next.
    pub fn due(&self, now: Micros) -> Micros {
        let look = self.looked.map_or(now, |at| at.saturating_add(LOOK));
        look.max(self.rests.unwrap_or(0))
    }

    /// What is to be told since it was last asked.
    pub fn notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Looks at the books, if it is time: who is to be asked to come again now.
    pub fn turn(&mut self, now: Micros, view: impl FnOnce() -> View) -> Vec<CallId> {
        if now < self.due(now) {
            return Vec::new();
        }
        self.looked = Some(now);
        self.rests = None;
        let view = view();
        let mut balance = Balance::new(now, &view.hosts, self.terms.band);
        let before = balance.worst();
        let mut order: Vec<&MisplacedConnection> = view
            .strays
            .iter()
            .filter(|s| !self.never.get(s.class).copied().unwrap_or(false))
            .filter(|s| self.since.get(&s.call).is_some_and(|&at| now >= at.saturating_add(self.terms.young)))
            .filter(|s| balance.would(s.current_host, s.home_host, s.load))
            .collect();
        // Worth least first, then group by group; of one group the light ones first.
        let rank = |s: &MisplacedConnection| self.ranks.get(s.class).copied().unwrap_or(0);
        order.sort_by(|a, b| {
            (rank(a), a.current_host, a.ring_position)
                .cmp(&(rank(b), b.current_host, b.ring_position))
                .then(a.load.total_cmp(&b.load))
                .then(a.call.cmp(&b.call))
        });
        if order.is_empty() {
            self.pace.faster(now);
            if let Some(moved) = self.plan.take() {
                self.notes.push(Note::Ended(moved, before));
            }
            return Vec::new();
        }
        if self.plan.is_none() {
            self.plan = Some(0);
            self.notes.push(Note::Begins(order.len(), before));
        }
        let mut moves = Vec::new();
        for stray in order {
            if !balance.would(stray.current_host, stray.home_host, stray.load) {
                continue;
            }
            if !self.pace.go(now, stray.home_host) {
                continue;
            }
            balance.shift(stray.current_host, stray.home_host, stray.load);
            moves.push(stray.call.clone());
        }
        self.pace.faster(now);
        if let Some(moved) = &mut self.plan {
            *moved += moves.len() as u64;
        }
        moves
    }
}
