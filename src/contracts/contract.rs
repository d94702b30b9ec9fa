//! The terms of contracts as the operator states them, their validation, and the differences between two versions.

use super::MICROS_PER_SECOND;
use crate::api::{Micros, RetryBudget};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The team of clients that name none, or none that exists. Unless the operator states a contract under this name, it
/// has none and is served only from capacity that other teams leave idle.
pub const OTHERS: &str = "others";
/// The least connection seconds of a budget. With less, the contract would in effect allow nothing.
const MIN_BUDGET_SECONDS: f64 = 1.0;
/// Longest name of a team in bytes.
const MAX_TEAM_NAME_BYTES: usize = 255;
/// Largest weight of a team (unitless).
const MAX_WEIGHT: f64 = 1e6;
/// Largest share of further attempts in a retry budget, as a part of the requests (unitless).
const MAX_RETRY_SHARE: f64 = 10.0;
/// Part by which a budget may exceed what the connections can use (unitless): values that were computed are not exact.
const BUDGET_TOLERANCE: f64 = 1e-9;

/// Connection seconds that a team may use in each period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Connection seconds.
    pub seconds: f64,
    /// Length of the period.
    pub period: Micros,
}

impl Budget {
    /// Returns the number of connections that the budget pays for indefinitely.
    pub fn sustained_connections(&self) -> f64 {
        self.seconds * MICROS_PER_SECOND / self.period as f64
    }
}

/// Limit on the rate of new connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// New connections a second.
    pub per_second: f64,
    /// New connections at once.
    pub burst: f64,
}

/// The contract of a team, over all balancers together.
#[derive(Clone, Debug, PartialEq)]
pub struct Contract {
    /// Name of the team, as its clients send it.
    pub team: Arc<str>,
    /// Names of the classes that it includes; none for all.
    pub classes: Option<Vec<String>>,
    /// Connections at a time.
    pub connections: f64,
    /// Limit on the rate of new connections; none for no limit.
    pub rate: Option<Rate>,
    /// Budget of connection seconds; none for as many as the connections can use.
    pub budget: Option<Budget>,
    /// Weight of the team when borrowers share capacity that others leave idle.
    pub weight: f64,
    /// Whether the team may hold more than its contract while others leave capacity idle.
    pub borrow: bool,
    /// Longest that a request may wait, where its client would wait longer.
    pub deadline: Option<Micros>,
    /// Maximum number of attempts for one request.
    pub attempts: Option<u32>,
    /// Limit on attempts beyond each request's first.
    pub retry: Option<RetryBudget>,
}

impl Contract {
    /// Returns a contract that guarantees nothing and forbids nothing.
    pub fn none(team: &str) -> Contract {
        Contract {
            team: team.into(),
            classes: None,
            connections: 0.0,
            rate: None,
            budget: None,
            weight: 1.0,
            borrow: true,
            deadline: None,
            attempts: None,
            retry: None,
        }
    }

    /// Returns the values as text, by their keys in the settings. Changes are reported in this form.
    pub fn values_by_key(&self) -> BTreeMap<&'static str, String> {
        let duration =
            |us: Micros| humantime::format_duration(std::time::Duration::from_micros(us)).to_string();
        let mut all = BTreeMap::from([
            ("connections", self.connections.to_string()),
            ("weight", self.weight.to_string()),
            ("borrow", self.borrow.to_string()),
        ]);
        let mut add = |key, text: Option<String>| text.map(|text| all.insert(key, text));
        add("classes", self.classes.as_ref().map(|c| c.join(",")));
        add("rate", self.rate.map(|r| r.per_second.to_string()));
        add("burst", self.rate.map(|r| r.burst.to_string()));
        add("budget", self.budget.map(|b| format!("{}s per {}", b.seconds, duration(b.period))));
        add("deadline", self.deadline.map(duration));
        add("attempts", self.attempts.map(|n| n.to_string()));
        add("retry", self.retry.map(|r| format!("{} and {} per {}", r.free, r.share, duration(r.span))));
        all
    }
}

/// All settings of the operator's file that concern contracts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Terms {
    /// The contracts, one for each team.
    pub contracts: Vec<Contract>,
    /// Connections that the whole fleet can hold; none if the capacity is learned.
    pub capacity: Option<f64>,
    /// Number of ready instances for which `capacity` was stated; none for the most that were ready at one time.
    pub instances: Option<u32>,
    /// Connections that may be asked to move in a second; none for a quarter of the capacity, ten at least.
    pub reclaim_rate: Option<f64>,
}

/// Why terms were rejected: the place, and how to correct it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TermsError {
    /// Index of the contract; none if the error is not about a single one.
    pub contract: Option<usize>,
    /// The key.
    pub key: &'static str,
    /// What is wrong, and how to correct it.
    pub text: String,
}

/// Rejects values that make no sense or contradict each other, and returns the first error found.
pub fn validate(terms: &Terms) -> Result<(), TermsError> {
    let require = |key, ok: bool, text: String| match ok {
        true => Ok(()),
        false => Err(TermsError { contract: None, key, text }),
    };
    if let Some(c) = terms.capacity {
        require("connections", c.is_finite() && c >= 1.0, format!("must be 1 or more, not {c}"))?;
    }
    require("instances", terms.instances != Some(0), "must be 1 or more, not 0".into())?;
    if terms.instances.is_some() {
        let text = "says for how many instances `connections` was stated: state `connections` too";
        require("instances", terms.capacity.is_some(), text.into())?;
    }
    if let Some(r) = terms.reclaim_rate {
        let text = format!("must be more than 0 moves a second, not {r}");
        require("rate", r.is_finite() && r > 0.0, text)?;
    }
    let mut seen = BTreeMap::new();
    for (i, contract) in terms.contracts.iter().enumerate() {
        let error = |key, text: String| Err(TermsError { contract: Some(i), key, text });
        if let Some((key, text)) = contract_error(contract) {
            return error(key, text);
        }
        if let Some(first) = seen.insert(contract.team.clone(), i) {
            let text =
                format!("{:?} has a contract already, the {}. one: join the two", contract.team, first + 1);
            return error("name", text);
        }
    }
    Ok(())
}

fn contract_error(contract: &Contract) -> Option<(&'static str, String)> {
    let is_allowed = |ch: char| !ch.is_control() && !matches!(ch, ' ' | ',' | '=' | '"');
    let positive = |v: f64| v.is_finite() && v > 0.0;
    if contract.team.is_empty()
        || !contract.team.chars().all(is_allowed)
        || contract.team.len() > MAX_TEAM_NAME_BYTES
    {
        let text =
            "must be 1 to 255 characters without spaces, commas, quotes and `=`: clients say it as `t=NAME`";
        return Some(("name", text.into()));
    }
    if contract.classes.as_ref().is_some_and(Vec::is_empty) {
        return Some(("classes", "names none, so nothing could be served: leave it out for all".into()));
    }
    if !contract.connections.is_finite()
        || contract.connections < 0.0
        || (contract.connections < 1.0 && &*contract.team != OTHERS)
    {
        return Some(("connections", format!("must be 1 or more, not {}", contract.connections)));
    }
    if !positive(contract.weight) || contract.weight > MAX_WEIGHT {
        return Some(("weight", format!("must be more than 0 and at most 1000000, not {}", contract.weight)));
    }
    if !contract.borrow && contract.weight != 1.0 {
        let text = "is its part of what others leave idle, but `borrow = false`: leave one of the two out";
        return Some(("weight", text.into()));
    }
    if let Some(rate) = contract.rate {
        if !positive(rate.per_second) {
            return Some(("rate", format!("must be more than 0 a second, not {}", rate.per_second)));
        }
        if !rate.burst.is_finite() || rate.burst < 1.0 {
            return Some(("burst", format!("must be 1 or more, not {}", rate.burst)));
        }
        if !contract.borrow && rate.burst > contract.connections {
            let text = format!(
                "of {} can never come: `connections` is {} and `borrow = false`; lower it",
                rate.burst, contract.connections
            );
            return Some(("burst", text));
        }
    }
    if let Some(budget) = contract.budget {
        if !budget.seconds.is_finite() || budget.seconds < MIN_BUDGET_SECONDS {
            return Some((
                "budget",
                format!("must hold {MIN_BUDGET_SECONDS} second or more, not {}", budget.seconds),
            ));
        }
        if budget.period == 0 {
            return Some(("budget", "needs a span of more than 0 in `per`".into()));
        }
        // With a tolerance for values that were computed.
        if budget.sustained_connections() > contract.connections * (1.0 + BUDGET_TOLERANCE) {
            let most = contract.connections * budget.period as f64 / MICROS_PER_SECOND;
            let text = format!(
                "of {} seconds can never be used up: {} connections use {most} in its span; lower it, or leave it out",
                budget.seconds, contract.connections
            );
            return Some(("budget", text));
        }
    }
    if contract.deadline == Some(0) {
        return Some(("deadline", "must be more than 0".into()));
    }
    if contract.attempts == Some(0) {
        return Some(("attempts", "must be 1 or more, not 0".into()));
    }
    if let Some(retry) = contract.retry {
        if contract.attempts == Some(1) {
            let text = "allows further attempts, but `attempts = 1` allows none: leave one of the two out";
            return Some(("retry", text.into()));
        }
        if retry.span == 0 {
            return Some(("retry", "needs a span of more than 0 in `per`".into()));
        }
        if !retry.free.is_finite()
            || retry.free < 0.0
            || !retry.share.is_finite()
            || !(0.0..=MAX_RETRY_SHARE).contains(&retry.share)
        {
            return Some(("retry", "needs `free` of 0 or more and a `share` from 0 to 10".into()));
        }
    }
    None
}

/// A value that differs between two versions of the terms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TermsChange {
    /// The team; empty if the value belongs to none.
    pub team: String,
    /// The key; `contract` if the whole contract was added or removed.
    pub key: &'static str,
    /// Value before the change.
    pub before: String,
    /// Value after the change.
    pub after: String,
}

/// Returns the differences between two versions of the terms, in the order of the team names.
pub fn diff_terms(before: &Terms, after: &Terms) -> Vec<TermsChange> {
    const NONE: &str = "none";
    let mut all = Vec::new();
    let text = |v: Option<String>| v.unwrap_or_else(|| NONE.into());
    let mut compare = |team: &str, key, before: String, after: String| {
        if before != after {
            all.push(TermsChange { team: team.into(), key, before, after });
        }
    };
    let as_text = |v: Option<f64>| text(v.map(|v| v.to_string()));
    compare("", "capacity.connections", as_text(before.capacity), as_text(after.capacity));
    let instances = |t: &Terms| text(t.instances.map(|n| n.to_string()));
    compare("", "capacity.instances", instances(before), instances(after));
    compare("", "reclaim.rate", as_text(before.reclaim_rate), as_text(after.reclaim_rate));
    let by_name = |t: &Terms| -> BTreeMap<Arc<str>, BTreeMap<&'static str, String>> {
        t.contracts.iter().map(|c| (c.team.clone(), c.values_by_key())).collect()
    };
    let (old, new) = (by_name(before), by_name(after));
    let names: std::collections::BTreeSet<&Arc<str>> = old.keys().chain(new.keys()).collect();
    for name in names {
        match (old.get(name), new.get(name)) {
            (Some(old), Some(new)) => {
                let keys: std::collections::BTreeSet<_> = old.keys().chain(new.keys()).collect();
                for key in keys {
                    compare(name, key, text(old.get(key).cloned()), text(new.get(key).cloned()));
                }
            }
            (old, new) => {
                let whole = |f: Option<&BTreeMap<&'static str, String>>| {
                    text(f.map(|f| format!("connections {}", f["connections"])))
                };
                compare(name, "contract", whole(old), whole(new));
            }
        }
    }
    all
}
