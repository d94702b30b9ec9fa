//! Two meters that fill with time: the rate of new connections, and the budget of connection seconds. Both are
//! exact in whole units, so that no sum of many small steps drifts.

use super::contract::{Budget, Rate};
use crate::api::Micros;

/// A token bucket in the units of 1 token = 1,000,000 parts, filled by `rate` parts a microsecond (its source:
/// J. Turner, "New directions in communications", 1986, there as the leaky bucket; here as a meter).
#[derive(Clone, Debug)]
pub struct Tokens {
    rate: f64,
    most: f64,
    level: f64,
    at: Micros,
}

impl Tokens {
    /// A full one.
    pub fn new(now: Micros, rate: Rate) -> Tokens {
        Tokens { rate: rate.per_second / 1e6, most: rate.burst, level: rate.burst, at: now }
    }

    /// The same with other figures; what was in hand stays, as far as it fits.
    pub fn changed(&mut self, now: Micros, rate: Rate) {
        self.fill(now);
        (self.rate, self.most) = (rate.per_second / 1e6, rate.burst);
        self.level = self.level.min(self.most);
    }

    fn fill(&mut self, now: Micros) {
        // A clock that stands still, or goes back, fills nothing.
        self.level = (self.level + self.rate * now.saturating_sub(self.at) as f64).min(self.most);
        self.at = self.at.max(now);
    }

    /// Whether a whole token is there.
    pub fn there(&mut self, now: Micros) -> bool {
        self.fill(now);
        // A hair of room, or the time that was told as due finds it a rounding short.
        self.level >= 1.0 - 1e-9
    }

    /// Takes a token, which may put it in debt by one.
    pub fn take(&mut self, now: Micros) {
        self.fill(now);
        self.level = (self.level - 1.0).max(-1.0);
    }

    /// How long until a whole token is there.
    pub fn wait(&mut self, now: Micros) -> Micros {
        self.fill(now);
        ((1.0 - self.level).max(0.0) / self.rate).ceil().min(Micros::MAX as f64) as Micros
    }
}

/// Connection-microseconds, kept as a level under the budget that fills as time passes and is drawn on by what
/// is held within the contract.
///
/// The law: while anything is left, the contract is its `connections`. Once it is used up, the contract is what
/// the budget earns as time passes (`seconds` over `per`, in connections), until a tenth of it is back. What is
/// borrowed draws nothing.
#[derive(Clone, Debug)]
pub struct Meter {
    budget: Budget,
    /// Of the fleet's, this balancer's part.
    part: f64,
    level: f64,
    at: Micros,
    empty: bool,
}

/// The part of a budget that must be back before the whole contract is: the hysteresis of a used-up one.
pub const BACK: f64 = 0.1;

impl Meter {
    /// A full one.
    pub fn new(now: Micros, budget: Budget, part: f64) -> Meter {
        let level = budget.seconds * 1e6 * part;
        Meter { budget, part, level, at: now, empty: false }
    }

    /// The same under other figures; what was used of it stays used.
    pub fn changed(&mut self, now: Micros, drawn: u32, budget: Budget, part: f64) {
        self.flow(now, drawn);
        let used = self.most() - self.level;
        (self.budget, self.part) = (budget, part);
        self.level = (self.most() - used).clamp(0.0, self.most());
        self.empty = self.level <= 0.0 || (self.empty && self.level < self.most() * BACK);
    }

    fn most(&self) -> f64 {
        self.budget.seconds * 1e6 * self.part
    }

    /// Connections that it pays for without end here.
    pub fn sustained_connections(&self) -> f64 {
        self.budget.sustained_connections() * self.part
    }

    /// Time passes while so many connections draw on it.
    pub fn flow(&mut self, now: Micros, drawn: u32) {
        let span = now.saturating_sub(self.at) as f64;
        self.at = self.at.max(now);
        self.level =
            (self.level + (self.sustained_connections() - f64::from(drawn)) * span).clamp(0.0, self.most());
        // Within a microsecond of one connection it is empty: its end was computed in whole microseconds.
        if self.level < 1.0 {
            self.empty = true;
        } else if self.level >= self.most() * BACK {
            self.empty = false;
        }
    }

    /// It is used up, and not enough of it is back.
    pub fn empty(&self) -> bool {
        self.empty
    }

    /// Connection seconds that are left.
    pub fn left(&self) -> f64 {
        self.level / 1e6
    }

    /// When it will be used up, or enough of it back, if so many go on drawing.
    pub fn turns(&self, drawn: u32) -> Option<Micros> {
        let pace = self.sustained_connections() - f64::from(drawn);
        let span = match self.empty {
            true if pace > 0.0 => (self.most() * BACK - self.level).max(0.0) / pace,
            false if pace < 0.0 => self.level / -pace,
            _ => return None,
        };
        Some(self.at.saturating_add(span.ceil() as Micros + 1))
    }

    /// How long until it is whole again if nobody draws on it.
    pub fn whole_in(&self) -> Micros {
        ((self.most() - self.level) / self.sustained_connections()).ceil() as Micros
    }
}
