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
use imbalance::LoadBalance;
use pace::MovePace;
use std::collections::BTreeMap;

/// Between two looks at the books: they are gone through whole.
const CHECK_INTERVAL_US: Micros = 1_000_000;
/// After trouble nothing is moved for so long.
const PAUSE_US: Micros = 5_000_000;

/// What an operator wrote on rebalancing.
#[derive(Clone, Debug, PartialEq)]
pub struct RebalanceSettings {
    /// Most moves a second, of all balancers together.
    pub moves_per_second: f64,
    /// The dead band: how far under its share a home must be before anyone is moved there, as a part.
    pub dead_band: f64,
    /// A connection is not moved before it has stood so long.
    pub min_age: Micros,
    /// Names of classes that are never moved.
    pub excluded_classes: Vec<String>,
}

impl Default for RebalanceSettings {
    fn default() -> RebalanceSettings {
        RebalanceSettings {
            moves_per_second: 6.0,
            dead_band: 0.1,
            min_age: 10_000_000,
            excluded_classes: Vec::new(),
        }
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
pub enum PlanEvent {
    /// A plan begins: so many connections may move, at this imbalance (the largest load over its share).
    Started(usize, f64),
    /// It rests, for this cause.
    Paused(&'static str),
    /// It has ended: so many were moved, at this imbalance.
    Finished(u64, f64),
}

/// The rebalancer of one balancer.
#[derive(Debug)]
pub struct Rebalancer {
    settings: RebalanceSettings,
    /// The ranks of classes by worth, and those that are never moved.
    class_ranks: Vec<u32>,
    excluded: Vec<bool>,
    pace: MovePace,
    established_at: BTreeMap<CallId, Micros>,
    last_check: Option<Micros>,
    paused_until: Option<Micros>,
    /// Moves of the plan that is under way.
    moved_in_plan: Option<u64>,
    events: Vec<PlanEvent>,
}

impl Rebalancer {
    /// One for these classes (name and worth), of so many balancers.
    pub fn new(
        now: Micros,
        settings: RebalanceSettings,
        classes: &[(String, f64)],
        balancers: u32,
    ) -> Rebalancer {
        let worths: Vec<f64> = classes.iter().map(|c| c.1).collect();
        Rebalancer {
            class_ranks: crate::contracts::reclaim::ranks(&worths),
            excluded: classes.iter().map(|(name, _)| settings.excluded_classes.contains(name)).collect(),
            pace: MovePace::new(now, settings.moves_per_second / f64::from(balancers.max(1))),
            settings,
            established_at: BTreeMap::new(),
            last_check: None,
            paused_until: None,
            moved_in_plan: None,
            events: Vec::new(),
        }
    }

    /// The terms in force.
    pub fn settings(&self) -> &RebalanceSettings {
        &self.settings
    }

    /// A connection stands.
    pub fn connection_established(&mut self, now: Micros, call: &CallId) {
        self.established_at.insert(call.clone(), now);
    }

    /// It is over.
    pub fn connection_ended(&mut self, call: &CallId) {
        self.established_at.remove(call);
    }

    /// Something went wrong, or moves are made for another cause: nothing is moved for a while.
    pub fn pause(&mut self, now: Micros, cause: &'static str) {
        let already_paused = self.paused_until.is_some_and(|until| now < until);
        self.paused_until = Some(now.saturating_add(PAUSE_US));
        if !already_paused {
            self.pace.slow_down(now);
            if self.moved_in_plan.is_some() {
                self.events.push(PlanEvent::Paused(cause));
            }
        }
    }

    /// When [`Rebalance::turn`] is wanted next.
    pub fn next_due(&self, now: Micros) -> Micros {
        let next_check = self.last_check.map_or(now, |at| at.saturating_add(CHECK_INTERVAL_US));
        next_check.max(self.paused_until.unwrap_or(0))
    }

    /// What is to be told since it was last asked.
    pub fn take_events(&mut self) -> Vec<PlanEvent> {
        std::mem::take(&mut self.events)
    }

    /// Looks at the books, if it is time: who is to be asked to come again now.
    pub fn plan_moves(&mut self, now: Micros, view: impl FnOnce() -> View) -> Vec<CallId> {
        if now < self.next_due(now) {
            return Vec::new();
        }
        self.last_check = Some(now);
        self.paused_until = None;
        let view = view();
        let mut balance = LoadBalance::new(now, &view.hosts, self.settings.dead_band);
        let load_ratio = balance.max_load_ratio();
        let mut candidates: Vec<&MisplacedConnection> = view
            .strays
            .iter()
            .filter(|s| !self.excluded.get(s.class).copied().unwrap_or(false))
            .filter(|s| {
                self.established_at
                    .get(&s.call)
                    .is_some_and(|&at| now >= at.saturating_add(self.settings.min_age))
            })
            .filter(|s| balance.move_helps(s.current_host, s.home_host, s.load))
            .collect();
        // Worth least first, then group by group; of one group the light ones first.
        let rank = |s: &MisplacedConnection| self.class_ranks.get(s.class).copied().unwrap_or(0);
        candidates.sort_by(|a, b| {
            (rank(a), a.current_host, a.ring_position)
                .cmp(&(rank(b), b.current_host, b.ring_position))
                .then(a.load.total_cmp(&b.load))
                .then(a.call.cmp(&b.call))
        });
        if candidates.is_empty() {
            self.pace.speed_up(now);
            if let Some(moved) = self.moved_in_plan.take() {
                self.events.push(PlanEvent::Finished(moved, load_ratio));
            }
            return Vec::new();
        }
        if self.moved_in_plan.is_none() {
            self.moved_in_plan = Some(0);
            self.events.push(PlanEvent::Started(candidates.len(), load_ratio));
        }
        let mut moves = Vec::new();
        for stray in candidates {
            if !balance.move_helps(stray.current_host, stray.home_host, stray.load) {
                continue;
            }
            if !self.pace.try_take(now, stray.home_host) {
                continue;
            }
            balance.apply_move(stray.current_host, stray.home_host, stray.load);
            moves.push(stray.call.clone());
        }
        self.pace.speed_up(now);
        if let Some(moved) = &mut self.moved_in_plan {
            *moved += moves.len() as u64;
        }
        moves
    }
}
