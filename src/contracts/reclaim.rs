//! Selects which connections of a team are asked to move, and limits how fast. No connection is closed by force: the
//! client is asked to move between two messages, in the way of each front end, and the connection counts as leaving
//! until it has ended.

use super::bucket::TokenBucket;
use super::contract::Rate;
use super::MICROS_PER_SECOND;
use crate::api::Micros;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Moves a second where the operator states no rate, as a part of the capacity in connections (unitless).
const DEFAULT_MOVES_PER_CAPACITY: f64 = 0.25;
/// The least moves a second of the whole fleet where the operator states no rate.
const MIN_DEFAULT_MOVES_PER_SECOND: f64 = 10.0;
/// The burst of moves, as seconds' worth of the rate. It is short because each move is a reconnect, and the limit is
/// there to prevent a reconnect storm.
const BURST_SECONDS: f64 = 0.1;

/// Limits the rate of moves.
#[derive(Clone, Debug)]
pub struct ReclaimPace {
    stated_rate: Option<f64>,
    part: f64,
    rate: f64,
    bucket: TokenBucket,
}

impl ReclaimPace {
    /// Creates a limit from the fleet's stated rate, of which this balancer has `part`.
    pub fn new(now: Micros, stated_rate: Option<f64>, part: f64) -> ReclaimPace {
        let rate = stated_rate.unwrap_or(MIN_DEFAULT_MOVES_PER_SECOND) * part;
        ReclaimPace { stated_rate, part, rate, bucket: TokenBucket::new(now, bucket_rate(rate)) }
    }

    /// Updates the fleet's stated rate and the capacity of this balancer.
    pub fn update(&mut self, now: Micros, stated_rate: Option<f64>, capacity: Option<f64>) {
        self.stated_rate = stated_rate;
        let default_rate = capacity
            .map_or(0.0, |c| c * DEFAULT_MOVES_PER_CAPACITY)
            .max(MIN_DEFAULT_MOVES_PER_SECOND * self.part);
        self.rate = self.stated_rate.map_or(default_rate, |rate| rate * self.part);
        self.bucket.set_rate(now, bucket_rate(self.rate));
    }

    /// Returns whether a move may be asked for now, and counts it if so.
    pub fn try_take(&mut self, now: Micros) -> bool {
        let available = self.bucket.has_token(now);
        if available {
            self.bucket.take(now);
        }
        available
    }

    /// Returns the time until the next move may be asked for.
    pub fn time_until_next(&mut self, now: Micros) -> Micros {
        self.bucket.time_until_token(now)
    }

    /// Returns how long `moves` moves take at this rate.
    pub fn duration_of(&self, moves: u64) -> Micros {
        (moves as f64 / self.rate * MICROS_PER_SECOND) as Micros
    }
}

fn bucket_rate(rate: f64) -> Rate {
    Rate { per_second: rate, burst: (rate * BURST_SECONDS).max(1.0) }
}

/// The established connections of a team in the order in which they are asked to move: those of the class with the
/// lowest worth first, and within a class the newest first, because it loses the least state.
#[derive(Debug, Default)]
pub struct MoveQueue(BTreeSet<(u32, Reverse<u64>, usize)>);

impl MoveQueue {
    /// Adds an established connection: the rank of its class by worth, its sequence number, and its slot among the
    /// entries of [`Contracts`](super::Contracts).
    pub fn insert(&mut self, rank: u32, number: u64, slot: usize) {
        self.0.insert((rank, Reverse(number), slot));
    }

    /// Removes a connection that was asked to move or has ended.
    pub fn remove(&mut self, rank: u32, number: u64, slot: usize) {
        self.0.remove(&(rank, Reverse(number), slot));
    }

    /// Returns the slot of the connection to move next.
    pub fn first(&self) -> Option<usize> {
        self.0.first().map(|&(_, _, slot)| slot)
    }
}

/// Returns the ranks of classes by worth: the lowest worth has rank 0, and equal worths share a rank.
pub fn ranks(worths: &[f64]) -> Vec<u32> {
    let mut order: Vec<f64> = worths.to_vec();
    order.sort_by(f64::total_cmp);
    order.dedup();
    worths.iter().map(|worth| order.iter().position(|w| w == worth).unwrap_or(0) as u32).collect()
}
