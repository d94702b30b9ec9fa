//! What a team was promised, as the operator wrote it down, and what contradicts itself in it.

use crate::api::{Micros, RetryBudget};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The team of those who name none, or none that exists. It has no contract unless one is written for it under
/// this name, and is then served from what others leave idle.
pub const OTHERS: &str = "others";
/// The least connection seconds that a budget may hold: less is no budget, but a way to say none.
const LEAST_SECONDS: f64 = 1.0;

/// So many connection seconds in each span of this length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Connection seconds.
    pub seconds: f64,
    /// The span.
    pub period: Micros,
}

impl Budget {
    /// How many connections it pays for without end.
    pub fn sustained_connections(&self) -> f64 {
        self.seconds * 1e6 / self.period as f64
    }
}

/// New connections a second, and so many at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// A second.
    pub per_second: f64,
    /// At once.
    pub burst: f64,
}

/// A team's contract, over all balancers together.
#[derive(Clone, Debug, PartialEq)]
pub struct Contract {
    /// The team's name, as its clients say it.
    pub team: Arc<str>,
    /// The names of its classes; none for all.
    pub classes: Option<Vec<String>>,
    /// Connections at a time.
    pub connections: f64,
    /// How fast new ones may come; none for any.
    pub rate: Option<Rate>,
    /// Connection seconds; none for as many as its connections can use.
    pub budget: Option<Budget>,
    /// Its part of what others leave idle, beside the other borrowers' weights.
    pub weight: f64,
    /// Whether it may hold more than its contract while others leave room idle.
    pub borrow: bool,
    /// How long its requests may wait, where that is less than their clients would.
    pub deadline: Option<Micros>,
    /// Most attempts for one request.
    pub attempts: Option<u32>,
    /// Limit on attempts beyond each request's first.
    pub retry: Option<RetryBudget>,
}

impl Contract {
    /// One that promises nothing and forbids nothing.
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

    /// Each figure as text, by its key: what a change is told in.
    pub fn values_by_key(&self) -> BTreeMap<&'static str, String> {
        let span = |us: Micros| humantime::format_duration(std::time::Duration::from_micros(us)).to_string();
        let mut all = BTreeMap::from([
            ("connections", self.connections.to_string()),
            ("weight", self.weight.to_string()),
            ("borrow", self.borrow.to_string()),
        ]);
        let mut add = |key, text: Option<String>| text.map(|text| all.insert(key, text));
        add("classes", self.classes.as_ref().map(|c| c.join(",")));
        add("rate", self.rate.map(|r| r.per_second.to_string()));
        add("burst", self.rate.map(|r| r.burst.to_string()));
        add("budget", self.budget.map(|b| format!("{}s per {}", b.seconds, span(b.period))));
        add("deadline", self.deadline.map(span));
        add("attempts", self.attempts.map(|n| n.to_string()));
        add("retry", self.retry.map(|r| format!("{} and {} per {}", r.free, r.share, span(r.span))));
        all
    }
}

/// All that an operator wrote on contracts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Terms {
    /// The contracts, one a team.
    pub contracts: Vec<Contract>,
    /// Connections that the whole fleet bears; none: learned.
    pub capacity: Option<f64>,
    /// For how many ready instances that was stated; none: for the most that were ready at a time.
    pub instances: Option<u32>,
    /// Connections that may be asked to move in a second; none: a quarter of the capacity, ten at least.
    pub reclaim_rate: Option<f64>,
}

/// Why terms were refused: where, and what to do instead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TermsError {
    /// Which contract, by its place; none where it is about no single one.
    pub contract: Option<usize>,
    /// The key.
    pub key: &'static str,
    /// What is wrong with it, and the mend.
    pub text: String,
}

/// Refuses figures that nobody can mean or that contradict each other; the first one found.
pub fn validate(terms: &Terms) -> Result<(), TermsError> {
    let whole = |key, ok: bool, text: String| match ok {
        true => Ok(()),
        false => Err(TermsError { contract: None, key, text }),
    };
    if let Some(c) = terms.capacity {
        whole("connections", c.is_finite() && c >= 1.0, format!("must be 1 or more, not {c}"))?;
    }
    whole("instances", terms.instances != Some(0), "must be 1 or more, not 0".into())?;
    if terms.instances.is_some() {
        let text = "says for how many instances `connections` was stated: state `connections` too";
        whole("instances", terms.capacity.is_some(), text.into())?;
    }
    if let Some(r) = terms.reclaim_rate {
        let text = format!("must be more than 0 moves a second, not {r}");
        whole("rate", r.is_finite() && r > 0.0, text)?;
    }
    let mut seen = BTreeMap::new();
    for (i, contract) in terms.contracts.iter().enumerate() {
        let wrong = |key, text: String| Err(TermsError { contract: Some(i), key, text });
        if let Some((key, text)) = contract_error(contract) {
            return wrong(key, text);
        }
        if let Some(first) = seen.insert(contract.team.clone(), i) {
            let text =
                format!("{:?} has a contract already, the {}. one: join the two", contract.team, first + 1);
            return wrong("name", text);
        }
    }
    Ok(())
}

fn contract_error(c: &Contract) -> Option<(&'static str, String)> {
    let plain = |ch: char| !ch.is_control() && !matches!(ch, ' ' | ',' | '=' | '"');
    let positive = |v: f64| v.is_finite() && v > 0.0;
    if c.team.is_empty() || !c.team.chars().all(plain) || c.team.len() > 255 {
        let text =
            "must be 1 to 255 characters without spaces, commas, quotes and `=`: clients say it as `t=NAME`";
        return Some(("name", text.into()));
    }
    if c.classes.as_ref().is_some_and(Vec::is_empty) {
        return Some(("classes", "names none, so nothing could be served: leave it out for all".into()));
    }
    if !c.connections.is_finite() || c.connections < 0.0 || (c.connections < 1.0 && &*c.team != OTHERS) {
        return Some(("connections", format!("must be 1 or more, not {}", c.connections)));
    }
    if !positive(c.weight) || c.weight > 1e6 {
        return Some(("weight", format!("must be more than 0 and at most 1000000, not {}", c.weight)));
    }
    if !c.borrow && c.weight != 1.0 {
        let text = "is its part of what others leave idle, but `borrow = false`: leave one of the two out";
        return Some(("weight", text.into()));
    }
    if let Some(r) = c.rate {
        if !positive(r.per_second) {
            return Some(("rate", format!("must be more than 0 a second, not {}", r.per_second)));
        }
        if !r.burst.is_finite() || r.burst < 1.0 {
            return Some(("burst", format!("must be 1 or more, not {}", r.burst)));
        }
        if !c.borrow && r.burst > c.connections {
            let text = format!(
                "of {} can never come: `connections` is {} and `borrow = false`; lower it",
                r.burst, c.connections
            );
            return Some(("burst", text));
        }
    }
    if let Some(b) = c.budget {
        if !b.seconds.is_finite() || b.seconds < LEAST_SECONDS {
            return Some(("budget", format!("must hold {LEAST_SECONDS} second or more, not {}", b.seconds)));
        }
        if b.period == 0 {
            return Some(("budget", "needs a span of more than 0 in `per`".into()));
        }
        // With a hair of room for figures that were computed.
        if b.sustained_connections() > c.connections * (1.0 + 1e-9) {
            let most = c.connections * b.period as f64 / 1e6;
            let text = format!(
                "of {} seconds can never be used up: {} connections use {most} in its span; lower it, or leave it out",
                b.seconds, c.connections
            );
            return Some(("budget", text));
        }
    }
    if c.deadline == Some(0) {
        return Some(("deadline", "must be more than 0".into()));
    }
    if c.attempts == Some(0) {
        return Some(("attempts", "must be 1 or more, not 0".into()));
    }
    if let Some(r) = c.retry {
        if c.attempts == Some(1) {
            let text = "allows further attempts, but `attempts = 1` allows none: leave one of the two out";
            return Some(("retry", text.into()));
        }
        if r.span == 0 {
            return Some(("retry", "needs a span of more than 0 in `per`".into()));
        }
        if !r.free.is_finite() || r.free < 0.0 || !r.share.is_finite() || !(0.0..=10.0).contains(&r.share) {
            return Some(("retry", "needs `free` of 0 or more and a `share` from 0 to 10".into()));
        }
    }
    None
}

/// One figure that a change of the terms has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TermsChange {
    /// The team; empty where it is about none.
    pub team: String,
    /// The key; `contract` where the whole came or went.
    pub key: &'static str,
    /// What it was.
    pub before: String,
    /// What it is.
    pub after: String,
}

/// What differs between two sets of terms, in the order of the teams' names.
pub fn diff_terms(before: &Terms, after: &Terms) -> Vec<TermsChange> {
    const NONE: &str = "none";
    let mut all = Vec::new();
    let text = |v: Option<String>| v.unwrap_or_else(|| NONE.into());
    let mut differ = |team: &str, key, before: String, after: String| {
        if before != after {
            all.push(TermsChange { team: team.into(), key, before, after });
        }
    };
    let figure = |v: Option<f64>| text(v.map(|v| v.to_string()));
    differ("", "capacity.connections", figure(before.capacity), figure(after.capacity));
    let instances = |t: &Terms| text(t.instances.map(|n| n.to_string()));
    differ("", "capacity.instances", instances(before), instances(after));
    differ("", "reclaim.rate", figure(before.reclaim_rate), figure(after.reclaim_rate));
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
                    differ(name, key, text(old.get(key).cloned()), text(new.get(key).cloned()));
                }
            }
            (old, new) => {
                let whole = |f: Option<&BTreeMap<&'static str, String>>| {
                    text(f.map(|f| format!("connections {}", f["connections"])))
                };
                differ(name, "contract", whole(old), whole(new));
            }
        }
    }
    all
}
