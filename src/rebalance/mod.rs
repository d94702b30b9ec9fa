//! Slow rebalancing: established connections on a server other than their home on the ring are asked to reconnect, once
//! the home is back and warm, at a rate and in an order that the fleet can absorb.
//!
//! Guarantees, for this balancer's part:
//! - connections are moved only to their home on the ring, and only while the home was started in the last ten minutes
//!   and holds less than its share by the dead band, the server that they leave holds its share or more, and the home
//!   still holds no more than that server afterwards, relative to size, so no move increases the imbalance;
//! - moves never exceed the rate in any window, nor a fifth of it to one home;
//! - groups are moved one after another as a whole, the class with the lowest worth first;
//! - a connection younger than the minimum age is not moved, so none is moved twice within that time;
//! - no connection is moved for a while after a failure, and moves start slowly again.
//!
//! A plan ends by itself, because each move makes it shorter.
//!
//! Not guaranteed: that the client reconnects (the decision module then places it like any other), and balance where
//! the ring itself is uneven, because connections at home are never moved.
//!
//! The interface is [`Rebalancer`]: events and a [`View`] in, calls and [`PlanEvent`]s out. The module does no I/O and
//! reads no clock. Only the core of the broker calls it.

pub mod imbalance;
pub mod pace;

use crate::api::{CallId, HostView, Micros, MisplacedConnection};
use imbalance::LoadBalance;
use pace::MovePace;
use std::collections::BTreeMap;

/// Interval between two checks. Each check visits every displaced connection.
const CHECK_INTERVAL_US: Micros = 1_000_000;
/// Time after a failure during which no connection is moved.
const PAUSE_US: Micros = 5_000_000;

/// Settings of the operator for rebalancing.
#[derive(Clone, Debug, PartialEq)]
pub struct RebalanceSettings {
    /// Maximum number of moves a second, over all balancers together.
    pub moves_per_second: f64,
    /// How far below its share a home must be before connections are moved to it, as a part of the share.
    pub dead_band: f64,
    /// Minimum time since a connection was established before it may be moved.
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

/// State of the servers and connections at a check.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The hosts.
    pub hosts: Vec<HostView>,
    /// Connections on a server other than their home.
    pub strays: Vec<MisplacedConnection>,
}

/// Event of a rebalancing plan, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanEvent {
    /// A plan has started: the number of connections that may move, and the largest ratio of a load to its share.
    Started(usize, f64),
    /// Moves are paused, for this cause.
    Paused(&'static str),
    /// The plan has ended: the number of connections moved, and the largest ratio of a load to its share.
    Finished(u64, f64),
}

/// The rebalancer of one balancer.
#[derive(Debug)]
pub struct Rebalancer {
    settings: RebalanceSettings,
    /// Ranks of the classes by worth.
    class_ranks: Vec<u32>,
    /// By class: whether its connections are never moved.
    excluded: Vec<bool>,
    pace: MovePace,
    established_at: BTreeMap<CallId, Micros>,
    last_check: Option<Micros>,
    paused_until: Option<Micros>,
    /// Number of moves in the plan that is in progress; none without a plan.
    moved_in_plan: Option<u64>,
    events: Vec<PlanEvent>,
}

impl Rebalancer {
    /// Creates a rebalancer for these classes (name and worth), one of `balancers` that share the rate.
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

    /// Returns the settings in force.
    pub fn settings(&self) -> &RebalanceSettings {
        &self.settings
    }

    /// Records that a connection was established.
    pub fn connection_established(&mut self, now: Micros, call: &CallId) {
        self.established_at.insert(call.clone(), now);
    }

    /// Records that a connection has ended.
    pub fn connection_ended(&mut self, call: &CallId) {
        self.established_at.remove(call);
    }

    /// Stops moves for [`PAUSE_US`] after a failure, or while connections are moved for another cause.
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

    /// Returns when [`Rebalancer::plan_moves`] should be called next.
    pub fn next_due(&self, now: Micros) -> Micros {
        let next_check = self.last_check.map_or(now, |at| at.saturating_add(CHECK_INTERVAL_US));
        next_check.max(self.paused_until.unwrap_or(0))
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<PlanEvent> {
        std::mem::take(&mut self.events)
    }

    /// Runs a check if it is due, and returns the connections to be asked to reconnect now.
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
        // Lowest worth first, then group by group; within a group the lightest first.
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
