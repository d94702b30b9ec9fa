//! How fast moves go: a bucket for all and one for each home, and a factor that halves with trouble and grows by a
//! twentieth at each look without (additive increase, multiplicative decrease: Chiu and Jain, 1989).

use crate::api::{HostId, Micros};
use crate::contracts::bucket::Tokens;
use crate::contracts::contract::Rate;
use std::collections::BTreeMap;

/// One home takes at most this part of all moves: a server that has just warmed up is filled slowly.
const MAX_PART_PER_HOME: f64 = 0.2;
/// What a quiet look adds to the factor, and the least that trouble leaves.
const FACTOR_STEP: f64 = 0.05;
const MIN_FACTOR: f64 = 0.1;

/// The pace of one balancer.
#[derive(Debug)]
pub struct MovePace {
    moves_per_second: f64,
    factor: f64,
    total: Tokens,
    by_home: BTreeMap<HostId, Tokens>,
}

fn bucket_rate(per_second: f64) -> Rate {
    // A second's worth at once: looks come once a second.
    Rate { per_second, burst: per_second.max(1.0) }
}

impl MovePace {
    /// So many moves a second at most. It begins slowly.
    pub fn new(now: Micros, per_second: f64) -> MovePace {
        let factor = MIN_FACTOR;
        let total = Tokens::new(now, bucket_rate(per_second * factor));
        MovePace { moves_per_second: per_second, factor, total, by_home: BTreeMap::new() }
    }

    /// Trouble.
    pub fn slow_down(&mut self, now: Micros) {
        self.set_factor(now, (self.factor / 2.0).max(MIN_FACTOR));
    }

    /// A look without trouble.
    pub fn speed_up(&mut self, now: Micros) {
        self.set_factor(now, (self.factor + FACTOR_STEP).min(1.0));
    }

    fn set_factor(&mut self, now: Micros, factor: f64) {
        self.factor = factor;
        self.total.changed(now, bucket_rate(self.moves_per_second * factor));
        let home = bucket_rate(self.moves_per_second * factor * MAX_PART_PER_HOME);
        self.by_home.values_mut().for_each(|tokens| tokens.changed(now, home));
    }

    /// Whether a move to this home may go now; it is counted.
    pub fn try_take(&mut self, now: Micros, home: HostId) -> bool {
        let own = bucket_rate(self.moves_per_second * self.factor * MAX_PART_PER_HOME);
        let tokens = self.by_home.entry(home).or_insert_with(|| Tokens::new(now, own));
        let available = self.total.there(now) && tokens.there(now);
        if available {
            self.total.take(now);
            tokens.take(now);
        }
        available
    }
}
