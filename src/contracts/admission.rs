//! Decides which team may hold how much of the capacity. The sums and the two orders behind a decision are updated in
//! logarithmic time at each change, so a decision costs nearly the same among 3 teams as among 10,000.
//!
//! Rules:
//! - A team under its contract is admitted while any capacity is free.
//! - A team at or over its contract is admitted while, after it, the capacity still covers what every team holds and
//!   what is *reserved* for the others: for each team, what it holds and waits for, and a twentieth of its contract
//!   in addition, never more than the contract. A reservation stays until the team has not asked for a while.
//! - Of two borrowers, the one that has borrowed less relative to its weight comes first (weighted max-min fairness).
//! - A connection is asked to move when a team within its contract waits for room, when its own team may not borrow
//!   and is over its contract, or when another borrower waits that would still have borrowed less relative to its
//!   weight after the move, by a tenth. The three causes apply in that order, and only to teams over their contract.
//!   A smaller capacity moves no connection by itself: the decision module chooses what leaves an overfull instance.

use super::ledger::Reason;
use crate::api::Micros;
use std::collections::BTreeSet;

/// The part of the contract that is reserved for a team beyond what it holds and waits for (unitless), so that the
/// team finds room when its clients return. A larger part leaves more capacity unused, a smaller one makes clients
/// wait for moves.
pub const RESERVE_BEYOND_HELD: f64 = 0.05;
/// A connection of one borrower is moved for another only if the other would still have borrowed less by this part
/// (unitless). Without it, two borrowers with nearly equal shares would displace each other in turn.
const MOVE_HYSTERESIS: f64 = 0.1;
/// The capacity where nothing bounds it, in connections.
pub const UNBOUNDED_CAPACITY: u64 = u64::MAX / 4;
/// Units of [`Share::borrowed_per_weight`] for one borrowed connection at weight 1: values are kept in whole
/// millionths.
const BORROWED_SCALE: f64 = 1e6;

/// The number of a team in the [`SharePool`].
pub type TeamId = usize;

/// What a team holds, may hold and waits for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Share {
    /// Connections and attempts that the team holds.
    pub held: u32,
    /// Of `held`, those that were asked to move and have not ended.
    pub leaving: u32,
    /// Connections that the contract allows now.
    pub contract: u32,
    /// Connections reserved for the team, including those that it holds.
    pub reserved: u32,
    /// Requests of the team that were refused for lack of capacity and may be retried.
    pub waiting: u32,
    /// Weight of the team among borrowers.
    pub weight: f64,
    /// Whether the team may hold more than its contract.
    pub may_borrow: bool,
    /// When the team last asked for a connection.
    pub last_request: Micros,
}

impl Share {
    /// Returns the number of connections held once all that were asked to move have ended.
    fn held_after_moves(&self) -> u32 {
        self.held - self.leaving
    }

    fn over_contract(&self) -> u32 {
        self.held_after_moves().saturating_sub(self.contract)
    }

    /// Returns the number of waiting requests that fit within the contract.
    fn waiting_within_contract(&self) -> u32 {
        self.waiting.min(self.contract.saturating_sub(self.held))
    }

    fn waits_to_borrow(&self) -> bool {
        self.waiting > 0 && self.may_borrow && self.held >= self.contract
    }

    /// Returns the number of connections that should be reserved for the team.
    pub fn reservation_target(&self) -> u32 {
        let margin = (f64::from(self.contract) * RESERVE_BEYOND_HELD).ceil() as u32;
        self.contract.min(self.held.saturating_add(self.waiting).saturating_add(margin))
    }

    /// Returns the borrowed connections plus `additional`, divided by the weight, in [`BORROWED_SCALE`] units.
    fn borrowed_per_weight(&self, additional: u64) -> u64 {
        let over =
            u64::from(self.held.saturating_sub(self.contract).saturating_sub(self.leaving)) + additional;
        (over as f64 * BORROWED_SCALE / self.weight) as u64
    }
}

/// The capacity and the shares of all teams in it.
#[derive(Debug, Default)]
pub struct SharePool {
    capacity: u64,
    shares: Vec<Share>,
    held: u64,
    leaving: u64,
    /// Sum over all teams of what is held or reserved, whichever is more.
    committed: u64,
    waiting_within_contract: u64,
    borrowers: BTreeSet<(u64, TeamId)>,
    waiting_borrowers: BTreeSet<(u64, TeamId)>,
    /// Teams that are over their contract although they may not borrow.
    over_without_borrowing: BTreeSet<TeamId>,
}

impl SharePool {
    /// Creates an empty pool without a bound.
    pub fn new() -> SharePool {
        SharePool { capacity: UNBOUNDED_CAPACITY, ..SharePool::default() }
    }

    /// Adds a team and returns its number.
    pub fn add(&mut self, share: Share) -> TeamId {
        self.shares.push(share);
        let team = self.shares.len() - 1;
        self.add_to_totals(team);
        team
    }

    /// Returns the share of a team.
    pub fn share(&self, team: TeamId) -> &Share {
        &self.shares[team]
    }

    /// Returns the connections and attempts that all teams hold.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Returns the capacity in connections.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Sets the capacity in connections.
    pub fn set_capacity(&mut self, capacity: u64) {
        self.capacity = capacity.min(UNBOUNDED_CAPACITY);
    }

    /// Changes a share. The reservation rises at once and falls only with [`SharePool::release_reserve`].
    pub fn update(&mut self, team: TeamId, change: impl FnOnce(&mut Share)) {
        self.remove_from_totals(team);
        let share = &mut self.shares[team];
        change(share);
        share.reserved = share.reserved.min(share.contract).max(share.reservation_target());
        self.add_to_totals(team);
    }

    /// Resets the waiting requests and the reservation of a team that has not asked for a while.
    pub fn release_reserve(&mut self, team: TeamId) {
        self.remove_from_totals(team);
        let share = &mut self.shares[team];
        share.waiting = 0;
        share.reserved = share.reservation_target();
        self.add_to_totals(team);
    }

    /// Returns whether [`SharePool::release_reserve`] would change the share of a team.
    pub fn has_releasable_reserve(&self, team: TeamId) -> bool {
        let share = &self.shares[team];
        share.waiting > 0 || share.reserved > share.reservation_target()
    }

    fn remove_from_totals(&mut self, team: TeamId) {
        let share = &self.shares[team];
        self.held -= u64::from(share.held);
        self.leaving -= u64::from(share.leaving);
        self.committed -= u64::from(share.held.max(share.reserved));
        self.waiting_within_contract -= u64::from(share.waiting_within_contract());
        self.borrowers.remove(&(share.borrowed_per_weight(0), team));
        self.waiting_borrowers.remove(&(share.borrowed_per_weight(0), team));
        self.over_without_borrowing.remove(&team);
    }

    fn add_to_totals(&mut self, team: TeamId) {
        let share = &self.shares[team];
        self.held += u64::from(share.held);
        self.leaving += u64::from(share.leaving);
        self.committed += u64::from(share.held.max(share.reserved));
        self.waiting_within_contract += u64::from(share.waiting_within_contract());
        if share.over_contract() > 0 {
            self.borrowers.insert((share.borrowed_per_weight(0), team));
            if !share.may_borrow {
                self.over_without_borrowing.insert(team);
            }
        }
        if share.waits_to_borrow() {
            self.waiting_borrowers.insert((share.borrowed_per_weight(0), team));
        }
    }

    /// Decides whether one more connection of a team may be admitted, and returns whether it would be borrowed.
    pub fn check_admission(&self, team: TeamId) -> Result<bool, Reason> {
        let share = &self.shares[team];
        if share.held < share.contract {
            return match self.held < self.capacity {
                true => Ok(false),
                false if self.borrowers.is_empty() && self.leaving == 0 => Err(Reason::Full),
                false => Err(Reason::Reclaim),
            };
        }
        if !share.may_borrow {
            return Err(Reason::Contract);
        }
        if self.committed >= self.capacity {
            return Err(Reason::Idle);
        }
        let next_borrower =
            self.waiting_borrowers.iter().map(|&(_, other)| other).find(|&other| other != team);
        match next_borrower
            .is_some_and(|other| self.shares[other].borrowed_per_weight(1) <= share.borrowed_per_weight(0))
        {
            true => Err(Reason::Share),
            false => Ok(true),
        }
    }

    /// Returns the number of moves still to be asked for before every request that waits within a contract has room.
    pub fn moves_needed(&self) -> u64 {
        if self.waiting_within_contract == 0 {
            return 0;
        }
        (self.held + self.waiting_within_contract).saturating_sub(self.leaving + self.capacity)
    }

    /// Returns the teams of which a connection should be asked to move, the best candidate first.
    pub fn move_candidates(&self) -> Vec<TeamId> {
        // More than one, because the first may have no established connection yet.
        const MAX_CANDIDATES: usize = 8;
        if self.moves_needed() > 0 {
            return self.borrowers.iter().rev().map(|&(_, team)| team).take(MAX_CANDIDATES).collect();
        }
        if !self.over_without_borrowing.is_empty() {
            return self.over_without_borrowing.iter().copied().take(MAX_CANDIDATES).collect();
        }
        let (Some(&(_, least)), Some(&(_, most))) = (self.waiting_borrowers.first(), self.borrowers.last())
        else {
            return Vec::new();
        };
        let (to, from) = (&self.shares[least], &self.shares[most]);
        let free = (self.capacity + self.leaving).saturating_sub(self.committed);
        if least == most || free >= u64::from(to.waiting) {
            return Vec::new();
        }
        let step = (BORROWED_SCALE / from.weight) as u64;
        let after = from.borrowed_per_weight(0).saturating_sub(step);
        let margin = ((from.borrowed_per_weight(0) as f64 * MOVE_HYSTERESIS) as u64).max(step);
        match to.borrowed_per_weight(free + 1) + margin <= after {
            true => vec![most],
            false => Vec::new(),
        }
    }

    /// Checks that the sums and orders match the shares. For tests.
    pub fn validate(&self) -> Result<(), String> {
        let mut sums = (0, 0, 0, 0);
        for (team, share) in self.shares.iter().enumerate() {
            sums.0 += u64::from(share.held);
            sums.1 += u64::from(share.leaving);
            sums.2 += u64::from(share.held.max(share.reserved));
            sums.3 += u64::from(share.waiting_within_contract());
            let in_borrowers = self.borrowers.contains(&(share.borrowed_per_weight(0), team));
            if in_borrowers != (share.over_contract() > 0)
                || self.waiting_borrowers.contains(&(share.borrowed_per_weight(0), team))
                    != share.waits_to_borrow()
            {
                return Err(format!("team {team} is wrongly in or missing from an order: {share:?}"));
            }
            if share.reserved > share.contract || share.leaving > share.held {
                return Err(format!("team {team}: {share:?}"));
            }
        }
        let stored = (self.held, self.leaving, self.committed, self.waiting_within_contract);
        match sums == stored {
            true => Ok(()),
            false => Err(format!("sums {sums:?}, stored as {stored:?}")),
        }
    }
}
