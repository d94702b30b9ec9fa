//! Two meters that refill with time: a token bucket for the rate of new connections, and a meter for a budget of
//! connection seconds. Both compute the elapsed time from whole microseconds, so many small updates give the same
//! result as one large update, up to floating-point rounding.

use super::contract::{Budget, Rate};
use super::MICROS_PER_SECOND;
use crate::api::Micros;

/// How far below a whole token the level may be and still count as one, in tokens. Without it, rounding leaves the
/// bucket short at the very time that [`TokenBucket::time_until_token`] returned.
const TOKEN_TOLERANCE: f64 = 1e-9;

/// A token bucket used as a meter (J. Turner, "New directions in communications", 1986, describes it as the leaky
/// bucket).
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens_per_us: f64,
    burst: f64,
    tokens: f64,
    updated_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(now: Micros, rate: Rate) -> TokenBucket {
        TokenBucket {
            tokens_per_us: rate.per_second / MICROS_PER_SECOND,
            burst: rate.burst,
            tokens: rate.burst,
            updated_at: now,
        }
    }

    /// Changes the rate and the burst. Tokens in the bucket stay, up to the new burst.
    pub fn set_rate(&mut self, now: Micros, rate: Rate) {
        self.refill(now);
        (self.tokens_per_us, self.burst) = (rate.per_second / MICROS_PER_SECOND, rate.burst);
        self.tokens = self.tokens.min(self.burst);
    }

    fn refill(&mut self, now: Micros) {
        // A clock that does not advance, or goes back, adds no tokens.
        self.tokens =
            (self.tokens + self.tokens_per_us * now.saturating_sub(self.updated_at) as f64).min(self.burst);
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns whether a whole token is available.
    pub fn has_token(&mut self, now: Micros) -> bool {
        self.refill(now);
        self.tokens >= 1.0 - TOKEN_TOLERANCE
    }

    /// Takes a token. The level may become negative, by one token at most.
    pub fn take(&mut self, now: Micros) {
        self.refill(now);
        self.tokens = (self.tokens - 1.0).max(-1.0);
    }

    /// Returns the time until a whole token is available.
    pub fn time_until_token(&mut self, now: Micros) -> Micros {
        self.refill(now);
        ((1.0 - self.tokens).max(0.0) / self.tokens_per_us).ceil().min(Micros::MAX as f64) as Micros
    }
}

/// A budget of connection seconds: the level rises as time passes and falls with the connections that are held
/// within the contract.
///
/// While anything is left, the contract is its `connections`. Once the budget is used up, the contract is what the
/// budget earns as time passes (`seconds` over `period`, in connections), until [`RECOVERED_PART`] of it is
/// available again. Borrowed connections use none of it.
#[derive(Clone, Debug)]
pub struct BudgetMeter {
    budget: Budget,
    /// This balancer's part of the fleet's budget.
    part: f64,
    /// Connection-microseconds left.
    level: f64,
    updated_at: Micros,
    exhausted: bool,
}

/// The part of a used-up budget that must be available again before the whole contract applies (unitless): the
/// hysteresis that keeps the contract from switching to and fro.
pub const RECOVERED_PART: f64 = 0.1;

impl BudgetMeter {
    /// Creates a meter whose budget is unused.
    pub fn new(now: Micros, budget: Budget, part: f64) -> BudgetMeter {
        let level = budget.seconds * MICROS_PER_SECOND * part;
        BudgetMeter { budget, part, level, updated_at: now, exhausted: false }
    }

    /// Changes the budget. What was used of the old budget counts as used of the new one.
    pub fn set_budget(&mut self, now: Micros, drawing: u32, budget: Budget, part: f64) {
        self.advance(now, drawing);
        let used = self.size() - self.level;
        (self.budget, self.part) = (budget, part);
        self.level = (self.size() - used).clamp(0.0, self.size());
        self.exhausted = self.level <= 0.0 || (self.exhausted && self.level < self.size() * RECOVERED_PART);
    }

    /// Returns the whole budget of this balancer, in connection-microseconds.
    fn size(&self) -> f64 {
        self.budget.seconds * MICROS_PER_SECOND * self.part
    }

    /// Returns the number of connections at this balancer that the budget pays for indefinitely.
    pub fn sustained_connections(&self) -> f64 {
        self.budget.sustained_connections() * self.part
    }

    /// Advances to `now`, with `drawing` connections using the budget since the last update.
    pub fn advance(&mut self, now: Micros, drawing: u32) {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        self.updated_at = self.updated_at.max(now);
        self.level = (self.level + (self.sustained_connections() - f64::from(drawing)) * elapsed)
            .clamp(0.0, self.size());
        // Less than one connection-microsecond counts as used up: `next_transition` rounds to whole microseconds.
        if self.level < 1.0 {
            self.exhausted = true;
        } else if self.level >= self.size() * RECOVERED_PART {
            self.exhausted = false;
        }
    }

    /// Returns whether the budget was used up and too little of it is available again.
    pub fn is_exhausted(&self) -> bool {
        self.exhausted
    }

    /// Returns the connection seconds that are left.
    pub fn seconds_left(&self) -> f64 {
        self.level / MICROS_PER_SECOND
    }

    /// Returns when the budget will be used up, or enough of it available again, if `drawing` connections keep
    /// using it.
    pub fn next_transition(&self, drawing: u32) -> Option<Micros> {
        let net_rate = self.sustained_connections() - f64::from(drawing);
        let remaining = match self.exhausted {
            true if net_rate > 0.0 => (self.size() * RECOVERED_PART - self.level).max(0.0) / net_rate,
            false if net_rate < 0.0 => self.level / -net_rate,
            _ => return None,
        };
        Some(self.updated_at.saturating_add(remaining.ceil() as Micros + 1))
    }

    /// Returns the time until the budget is full again if no connection uses it.
    pub fn time_until_full(&self) -> Micros {
        ((self.size() - self.level) / self.sustained_connections()).ceil() as Micros
    }
}
