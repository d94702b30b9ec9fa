//! The account of each team: counts of requests, and connection seconds integrated exactly at each change, in whole
//! connection-microseconds. Nothing is sampled; no usage is added between two events at the same time.

use crate::api::Micros;
use std::fmt;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The contract does not include the class of the request. A retry does not help.
    Class,
    /// New connections arrive faster than the contract allows.
    Rate,
    /// The team is at its contract and may not borrow.
    Contract,
    /// The budget is used up, the team holds what the budget earns, and it may not borrow.
    Budget,
    /// The team is at or over its contract, and no capacity is idle.
    Idle,
    /// The team is at or over its contract, and other borrowers that hold less of the idle capacity come first.
    Share,
    /// The team is within its contract, and connections are being moved to make room for it.
    Reclaim,
    /// The team is within its contract, and the fleet is full of connections that are within theirs.
    Full,
    /// The request was admitted, and no instance could take it.
    Placement,
}

impl Reason {
    /// All reasons, in the order of [`Ledger::refused`].
    pub const ALL: [Reason; 9] = [
        Reason::Class,
        Reason::Rate,
        Reason::Contract,
        Reason::Budget,
        Reason::Idle,
        Reason::Share,
        Reason::Reclaim,
        Reason::Full,
        Reason::Placement,
    ];

    /// Returns the name of the reason in the account.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Class => "class",
            Reason::Rate => "rate",
            Reason::Contract => "contract",
            Reason::Budget => "budget",
            Reason::Idle => "idle",
            Reason::Share => "share",
            Reason::Reclaim => "reclaim",
            Reason::Full => "full",
            Reason::Placement => "placement",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Connections and usage of one class of a team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassUsage {
    /// Connections held now.
    pub held: u32,
    /// Connection-microseconds used up to the last change.
    pub used_us: u64,
    /// When the last change was.
    updated_at: Micros,
}

impl ClassUsage {
    fn advance(&mut self, now: Micros) {
        self.used_us += u64::from(self.held) * now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
    }
}

/// The account of a team. All figures only grow.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Requests received.
    pub asked: u64,
    /// Requests admitted within the contract.
    pub within: u64,
    /// Requests admitted beyond the contract, from capacity that other teams left idle.
    pub borrowed: u64,
    /// Admitted requests whose connection was established.
    pub served: u64,
    /// Refused requests, in the order of [`Reason::ALL`].
    pub refused: [u64; Reason::ALL.len()],
    /// Admitted requests that were not served: they failed, or their client left first.
    pub lost: u64,
    /// Connections that were asked to move.
    pub moved: u64,
    /// Connections that have ended after they were established.
    pub ended: u64,
    /// Connection-microseconds held beyond the contract.
    pub over_contract_us: u64,
    /// Connection-microseconds that the contract allowed.
    pub allowed_us: u64,
    classes: Vec<ClassUsage>,
    updated_at: Micros,
}

impl Ledger {
    /// Creates an empty ledger that starts at `now`.
    pub fn new(now: Micros) -> Ledger {
        Ledger { updated_at: now, ..Ledger::default() }
    }

    /// Advances to `now`, with `held` connections and a contract of `contract` since the last change.
    pub fn advance(&mut self, now: Micros, held: u32, contract: u32) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        self.over_contract_us += u64::from(held.saturating_sub(contract)) * elapsed;
        self.allowed_us += u64::from(contract) * elapsed;
    }

    /// Counts a connection of a class: one more if `added`, one fewer otherwise.
    pub fn count_connection(&mut self, now: Micros, class: usize, added: bool) {
        if self.classes.len() <= class {
            self.classes.resize(class + 1, ClassUsage::default());
        }
        let class = &mut self.classes[class];
        class.advance(now);
        class.held = if added { class.held + 1 } else { class.held.saturating_sub(1) };
    }

    /// Counts a refused request.
    pub fn record_refusal(&mut self, why: Reason) {
        self.refused[why as usize] += 1;
    }

    /// Returns the usage of each class up to `now`.
    pub fn usage_by_class(&self, now: Micros) -> impl Iterator<Item = ClassUsage> + '_ {
        self.classes.iter().map(move |class| {
            let mut class = *class;
            class.advance(now);
            class
        })
    }

    /// Returns the connection-microseconds used by all classes up to `now`.
    pub fn total_used_us(&self, now: Micros) -> u64 {
        self.usage_by_class(now).map(|class| class.used_us).sum()
    }

    /// Returns the mean lifetime of a connection: the usage divided by the number of connections that have ended.
    /// None before one has ended.
    pub fn mean_lifetime(&self, now: Micros) -> Option<Micros> {
        self.total_used_us(now).checked_div(self.ended)
    }
}
