//! Who may hold how much of the room: the arithmetic of shares, kept as sums and two orders that each change
//! mends in logarithmic time, so that a decision costs the same among 3 teams and among 10,000.
//!
//! The laws:
//! - A team under its contract is let in while anything at all is free.
//! - One at or over it is let in while, after it, the room still holds what everybody holds and what is *kept*
//!   for the others: for each team what it holds and waits for, and a twentieth of its contract beside, never
//!   more than the contract. What was kept stays kept until the team has not asked for a while.
//! - Of two that borrow, the one with less for its weight comes first (weighted max-min fairness).
//! - A connection is asked to move when an owner waits for room, when its team may not borrow and is over, or
//!   when another borrower waits that would still hold less for its weight afterwards, by a tenth: in that order,
//!   and only of teams over their contract. Room that shrinks moves nobody by itself: who leaves an instance
//!   that is too full is the decision module's choice.

use super::ledger::Reason;
use crate::api::Micros;
use std::collections::BTreeSet;

/// The part of its contract that is kept for a team beyond what it holds, so that it finds room when it comes
/// back. More leaves more unused, less makes it wait for moves.
pub const KEEP: f64 = 0.05;
/// Between two borrowers one is moved only if the other would still hold this much less: without it two at
/// their edge would push each other in turn.
const BAND: f64 = 0.1;
/// Room that nothing bounds.
pub const UNBOUNDED: u64 = u64::MAX / 4;

/// A team's place in the room; its number among them.
pub type TeamId = usize;

/// What one team holds, may hold and waits for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Share {
    /// Connections and attempts.
    pub held: u32,
    /// Of them, those that were asked to move and have not ended.
    pub leaving: u32,
    /// What its contract allows now.
    pub contract: u32,
    /// What is kept for it.
    pub kept: u32,
    /// Requests of it that were refused for want of room and may come again.
    pub waiting: u32,
    /// Its weight among borrowers.
    pub weight: f64,
    /// Whether it may hold more than its contract.
    pub borrows: bool,
    /// When it last asked.
    pub asked: Micros,
}

impl Share {
    /// What stays once all that were asked to move have gone.
    fn there(&self) -> u32 {
        self.held - self.leaving
    }

    fn over(&self) -> u32 {
        self.there().saturating_sub(self.contract)
    }

    /// Owners' requests that wait for room within the contract.
    fn wanted(&self) -> u32 {
        self.waiting.min(self.contract.saturating_sub(self.held))
    }

    fn hungry(&self) -> bool {
        self.waiting > 0 && self.borrows && self.held >= self.contract
    }

    /// What ought to be kept for it.
    pub fn aim(&self) -> u32 {
        let beside = (f64::from(self.contract) * KEEP).ceil() as u32;
        self.contract.min(self.held.saturating_add(self.waiting).saturating_add(beside))
    }

    /// How much it has borrowed for its weight, if that were so much more, in millionths.
    fn level(&self, more: u64) -> u64 {
        let over = u64::from(self.held.saturating_sub(self.contract).saturating_sub(self.leaving)) + more;
        (over as f64 * 1e6 / self.weight) as u64
    }
}

/// The room and all shares in it.
#[derive(Debug, Default)]
pub struct SharePool {
    capacity: u64,
    shares: Vec<Share>,
    held: u64,
    leaving: u64,
    /// What everybody holds or has kept for it.
    committed: u64,
    wanted: u64,
    borrowers: BTreeSet<(u64, TeamId)>,
    hungry: BTreeSet<(u64, TeamId)>,
    /// Over their contract though they may not borrow.
    forced: BTreeSet<TeamId>,
}

impl SharePool {
    /// An empty one.
    pub fn new() -> SharePool {
        SharePool { capacity: UNBOUNDED, ..SharePool::default() }
    }

    /// One more team; its number.
    pub fn add(&mut self, share: Share) -> TeamId {
        self.shares.push(share);
        let team = self.shares.len() - 1;
        self.enter(team);
        team
    }

    /// A team's share.
    pub fn share(&self, team: TeamId) -> &Share {
        &self.shares[team]
    }

    /// Connections and attempts of all.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// What it bears.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// It bears so much from now on.
    pub fn bears(&mut self, capacity: u64) {
        self.capacity = capacity.min(UNBOUNDED);
    }

    /// Changes a share; what is kept for it follows upwards at once, and downwards only with [`Room::lapse`].
    pub fn edit(&mut self, team: TeamId, change: impl FnOnce(&mut Share)) {
        self.leave(team);
        let share = &mut self.shares[team];
        change(share);
        share.kept = share.kept.min(share.contract).max(share.aim());
        self.enter(team);
    }

    /// The team has not asked for a while: nothing waits, and what is kept for it is what ought to be.
    pub fn lapse(&mut self, team: TeamId) {
        self.leave(team);
        let share = &mut self.shares[team];
        share.waiting = 0;
        share.kept = share.aim();
        self.enter(team);
    }

    /// Whether something of a team's lapses if it does not ask.
    pub fn lapses(&self, team: TeamId) -> bool {
        let share = &self.shares[team];
        share.waiting > 0 || share.kept > share.aim()
    }

    fn leave(&mut self, team: TeamId) {
        let s = &self.shares[team];
        self.held -= u64::from(s.held);
        self.leaving -= u64::from(s.leaving);
        self.committed -= u64::from(s.held.max(s.kept));
        self.wanted -= u64::from(s.wanted());
        self.borrowers.remove(&(s.level(0), team));
        self.hungry.remove(&(s.level(0), team));
        self.forced.remove(&team);
    }

    fn enter(&mut self, team: TeamId) {
        let s = &self.shares[team];
        self.held += u64::from(s.held);
        self.leaving += u64::from(s.leaving);
        self.committed += u64::from(s.held.max(s.kept));
        self.wanted += u64::from(s.wanted());
        if s.over() > 0 {
            self.borrowers.insert((s.level(0), team));
            if !s.borrows {
                self.forced.insert(team);
            }
        }
        if s.hungry() {
            self.hungry.insert((s.level(0), team));
        }
    }

    /// Whether one more of a team may be let in; whether it borrows then.
    pub fn judge(&self, team: TeamId) -> Result<bool, Reason> {
        let s = &self.shares[team];
        if s.held < s.contract {
            return match self.held < self.capacity {
                true => Ok(false),
                false if self.borrowers.is_empty() && self.leaving == 0 => Err(Reason::Full),
                false => Err(Reason::Reclaim),
            };
        }
        if !s.borrows {
            return Err(Reason::Contract);
        }
        if self.committed >= self.capacity {
            return Err(Reason::Idle);
        }
        let due = self.hungry.iter().map(|&(_, other)| other).find(|&other| other != team);
        match due.is_some_and(|other| self.shares[other].level(1) <= s.level(0)) {
            true => Err(Reason::Share),
            false => Ok(true),
        }
    }

    /// Moves that are still to be made before everybody who waits within a contract has room.
    pub fn owed(&self) -> u64 {
        if self.wanted == 0 {
            return 0;
        }
        (self.held + self.wanted).saturating_sub(self.leaving + self.capacity)
    }

    /// Teams of which one is to be asked to move, the best first; empty where none is.
    pub fn movers(&self) -> Vec<TeamId> {
        // A few: the first may have nothing that stands yet.
        const FEW: usize = 8;
        if self.owed() > 0 {
            return self.borrowers.iter().rev().map(|&(_, team)| team).take(FEW).collect();
        }
        if !self.forced.is_empty() {
            return self.forced.iter().copied().take(FEW).collect();
        }
        let (Some(&(_, least)), Some(&(_, most))) = (self.hungry.first(), self.borrowers.last()) else {
            return Vec::new();
        };
        let (to, from) = (&self.shares[least], &self.shares[most]);
        let free = (self.capacity + self.leaving).saturating_sub(self.committed);
        if least == most || free >= u64::from(to.waiting) {
            return Vec::new();
        }
        let step = (1e6 / from.weight) as u64;
        let after = from.level(0).saturating_sub(step);
        let band = ((from.level(0) as f64 * BAND) as u64).max(step);
        match to.level(free + 1) + band <= after {
            true => vec![most],
            false => Vec::new(),
        }
    }

    /// Whether the sums and orders are those of the shares: for tests.
    pub fn validate(&self) -> Result<(), String> {
        let mut sums = (0, 0, 0, 0);
        for (team, s) in self.shares.iter().enumerate() {
            sums.0 += u64::from(s.held);
            sums.1 += u64::from(s.leaving);
            sums.2 += u64::from(s.held.max(s.kept));
            sums.3 += u64::from(s.wanted());
            let listed = self.borrowers.contains(&(s.level(0), team));
            if listed != (s.over() > 0) || self.hungry.contains(&(s.level(0), team)) != s.hungry() {
                return Err(format!("team {team} stands wrongly in an order: {s:?}"));
            }
            if s.kept > s.contract || s.leaving > s.held {
                return Err(format!("team {team}: {s:?}"));
            }
        }
        let kept = (self.held, self.leaving, self.committed, self.wanted);
        match sums == kept {
            true => Ok(()),
            false => Err(format!("sums {sums:?}, kept as {kept:?}")),
        }
    }
}
