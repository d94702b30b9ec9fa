//! Limits the rate of moves: a token bucket for all moves and one for each home, and a factor on both rates that halves
//! after a failure and grows by a twentieth at each check without one (additive increase, multiplicative decrease: Chiu
//! and Jain, 1989).

use crate::api::{HostId, Micros};
use crate::contracts::bucket::TokenBucket;
use crate::contracts::contract::Rate;
use std::collections::BTreeMap;

/// Part of all moves that go to one home at most (unitless): a server that has just warmed up is filled slowly.
const MAX_PART_PER_HOME: f64 = 0.2;
/// Added to the factor at each check without a failure (unitless).
const FACTOR_STEP: f64 = 0.05;
/// Lowest value of the factor, at the start and after failures (unitless).
const MIN_FACTOR: f64 = 0.1;

/// The limit on the moves of one balancer.
#[derive(Debug)]
pub struct MovePace {
    moves_per_second: f64,
    factor: f64,
    total: TokenBucket,
    by_home: BTreeMap<HostId, TokenBucket>,
}

fn bucket_rate(per_second: f64) -> Rate {
    // The burst is one second of moves, because moves are planned once a second.
    Rate { per_second, burst: per_second.max(1.0) }
}

impl MovePace {
    /// Creates a limit of `per_second` moves a second, which starts at [`MIN_FACTOR`] of that.
    pub fn new(now: Micros, per_second: f64) -> MovePace {
        let factor = MIN_FACTOR;
        let total = TokenBucket::new(now, bucket_rate(per_second * factor));
        MovePace { moves_per_second: per_second, factor, total, by_home: BTreeMap::new() }
    }

    /// Halves the rate after a failure, down to [`MIN_FACTOR`] of the limit.
    pub fn slow_down(&mut self, now: Micros) {
        self.set_factor(now, (self.factor / 2.0).max(MIN_FACTOR));
    }

    /// Raises the rate by [`FACTOR_STEP`] of the limit after a check without a failure.
    pub fn speed_up(&mut self, now: Micros) {
        self.set_factor(now, (self.factor + FACTOR_STEP).min(1.0));
    }

    fn set_factor(&mut self, now: Micros, factor: f64) {
        self.factor = factor;
        self.total.set_rate(now, bucket_rate(self.moves_per_second * factor));
        let home = bucket_rate(self.moves_per_second * factor * MAX_PART_PER_HOME);
        self.by_home.values_mut().for_each(|tokens| tokens.set_rate(now, home));
    }

    /// Returns whether a move to this home may be asked for now, and counts it if so.
    pub fn try_take(&mut self, now: Micros, home: HostId) -> bool {
        let own = bucket_rate(self.moves_per_second * self.factor * MAX_PART_PER_HOME);
        let tokens = self.by_home.entry(home).or_insert_with(|| TokenBucket::new(now, own));
        let available = self.total.has_token(now) && tokens.has_token(now);
        if available {
            self.total.take(now);
            tokens.take(now);
        }
        available
    }
}
