//! A team's account as it is told: flat, in the words of the log, and the same in datagrams. All counts are from the start of a
//! process on and only grow, so of two rows of one process and team the one that has counted more is the later.

use super::ledger::Reason;
use super::Account;
use serde::{Deserialize, Serialize};

/// One team at one process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Row {
    /// The team.
    pub team: String,
    /// What it holds, what its contract allows here now, and what it would allow with nothing cut.
    pub held: u32,
    /// See `held`.
    pub contract: u32,
    /// See `held`.
    pub stated: f64,
    /// As in the ledger.
    pub asked: u64,
    /// As in the ledger.
    pub within: u64,
    /// As in the ledger.
    pub borrowed: u64,
    /// As in the ledger.
    pub served: u64,
    /// As in the ledger.
    pub lost: u64,
    /// As in the ledger.
    pub moved: u64,
    /// As in the ledger.
    pub ended: u64,
    /// By [`Reason::ALL`].
    pub refused: Vec<u64>,
    /// Connection seconds used, used beyond the contract, and allowed.
    pub used: f64,
    /// See `used`.
    pub over: f64,
    /// See `used`.
    pub allowed: f64,
    /// Connection seconds left of the budget, and seconds until it is whole.
    pub left: Option<f64>,
    /// See `left`.
    pub whole_in: Option<f64>,
    /// Connection seconds by class.
    pub classes: String,
}

impl Row {
    /// An account with the names of its classes.
    pub fn new(a: &Account, classes: &[String]) -> Row {
        let seconds = |us: u64| us as f64 / 1e6;
        let used = |(i, class): (usize, &super::ledger::ClassUse)| {
            let name = classes.get(i).map_or("unknown", String::as_str);
            format!("{name}={:.6}", seconds(class.used))
        };
        let l = &a.ledger;
        Row {
            team: a.team.to_string(),
            held: a.held,
            contract: a.contract,
            stated: a.stated,
            asked: l.asked,
            within: l.within,
            borrowed: l.borrowed,
            served: l.served,
            lost: l.lost,
            moved: l.moved,
            ended: l.ended,
            refused: l.refused.to_vec(),
            used: seconds(a.used_us),
            over: seconds(l.over),
            allowed: seconds(l.allowed),
            left: a.budget_left_seconds,
            whole_in: a.budget_full_in.map(seconds),
            classes: a.class_usage.iter().enumerate().map(used).collect::<Vec<_>>().join(" "),
        }
    }

    /// How many were refused for this reason.
    pub fn refused(&self, why: Reason) -> u64 {
        self.refused.get(why as usize).copied().unwrap_or_default()
    }

    /// Whether it has counted no less than another of its process and team.
    pub fn is_at_least_as_recent_as(&self, other: &Row) -> bool {
        let counted = |row: &Row| row.asked + row.ended + row.moved;
        counted(self) >= counted(other) && self.allowed >= other.allowed
    }
}
