//! A team's account as it is logged and sent in datagrams: a flat row with the field names of the log. All counts start
//! at zero with the process and only grow, so of two rows of one process and team the one with the higher counts is the
//! later.

use super::ledger::Reason;
use super::{Account, MICROS_PER_SECOND};
use serde::{Deserialize, Serialize};

/// The account of one team at one process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Row {
    /// The team.
    pub team: String,
    /// Connections held.
    pub held: u32,
    /// Connections that the contract allows at this balancer now.
    pub contract: u32,
    /// Connections that the contract allows when contracts are not reduced.
    pub stated: f64,
    /// Requests received.
    pub asked: u64,
    /// Requests admitted within the contract.
    pub within: u64,
    /// Requests admitted beyond the contract.
    pub borrowed: u64,
    /// Admitted requests whose connection was established.
    pub served: u64,
    /// Admitted requests that were not served.
    pub lost: u64,
    /// Connections that were asked to move.
    pub moved: u64,
    /// Connections that have ended after they were established.
    pub ended: u64,
    /// Refused requests, in the order of [`Reason::ALL`].
    pub refused: Vec<u64>,
    /// Connection seconds used.
    pub used: f64,
    /// Connection seconds used beyond the contract.
    pub over: f64,
    /// Connection seconds that the contract allowed.
    pub allowed: f64,
    /// Connection seconds left of the budget.
    pub left: Option<f64>,
    /// Seconds until the budget is full.
    pub whole_in: Option<f64>,
    /// Connection seconds used by each class, as `NAME=SECONDS` separated by spaces.
    pub classes: String,
}

impl Row {
    /// Creates a row from an account and the names of the classes.
    pub fn new(account: &Account, classes: &[String]) -> Row {
        let seconds = |us: u64| us as f64 / MICROS_PER_SECOND;
        let class_text = |(i, class): (usize, &super::ledger::ClassUsage)| {
            let name = classes.get(i).map_or("unknown", String::as_str);
            format!("{name}={:.6}", seconds(class.used_us))
        };
        let ledger = &account.ledger;
        Row {
            team: account.team.to_string(),
            held: account.held,
            contract: account.contract,
            stated: account.stated,
            asked: ledger.asked,
            within: ledger.within,
            borrowed: ledger.borrowed,
            served: ledger.served,
            lost: ledger.lost,
            moved: ledger.moved,
            ended: ledger.ended,
            refused: ledger.refused.to_vec(),
            used: seconds(account.used_us),
            over: seconds(ledger.over_contract_us),
            allowed: seconds(ledger.allowed_us),
            left: account.budget_left_seconds,
            whole_in: account.budget_full_in.map(seconds),
            classes: account.class_usage.iter().enumerate().map(class_text).collect::<Vec<_>>().join(" "),
        }
    }

    /// Returns the number of requests refused for this reason.
    pub fn refused(&self, reason: Reason) -> u64 {
        self.refused.get(reason as usize).copied().unwrap_or_default()
    }

    /// Returns whether this row is as recent as another of the same process and team, or more recent.
    pub fn is_at_least_as_recent_as(&self, other: &Row) -> bool {
        let counted = |row: &Row| row.asked + row.ended + row.moved;
        counted(self) >= counted(other) && self.allowed >= other.allowed
    }
}
