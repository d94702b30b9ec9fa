//! The operator's file: contracts between teams, the second front, the account. TOML, spans as text with a unit.
//!
//! Promised: a file is read whole or refused with one message that names the file, the line and the mend; nothing
//! of a refused one takes effect. A file that is absent means no contracts and no second front, as on the
//! platform. Not here: the platform's JSON (`src/config.rs`), and what contracts mean (`src/contracts/`).

mod failover;
mod group;
pub mod spans;

use crate::api::{Micros, RetryBudget};
use crate::config::XmppSettings;
use crate::contracts::contract::{self, Budget, Contract, Rate, Terms, TermsError, OTHERS};
use crate::rebalance;
use serde::Deserialize;
use spans::Span;
use std::fmt;
use std::ops::Range;
use std::path::{Path, PathBuf};
use toml::Spanned;

/// Where it is looked for if nobody names another.
pub const PLACE: &str = "deploy/oakdeal.toml";
/// How often the account is written unless the file says otherwise.
const EVERY: Micros = 60_000_000;
/// No more often than this: each account is a record for each team.
const LEAST_EVERY: Micros = 1_000_000;

/// A file that was read and checked.
#[derive(Debug, Default)]
pub struct Operator {
    /// The contracts; none where the file names no team.
    pub terms: Option<Terms>,
    /// How often the account is written.
    pub every: Micros,
    /// Slow rebalancing; none where it is not wanted.
    pub rebalance: Option<rebalance::RebalanceSettings>,
    /// The second front, where it has an address.
    pub xmpp: Option<XmppSettings>,
    /// The balancers that decide together, where there are any.
    pub group: Option<crate::group::Settings>,
    /// Zones by the fleet's plan, where that is wanted.
    pub failover: Option<crate::failover::FailoverSettings>,
    /// What is legal and yet worth a look.
    pub warnings: Vec<Message>,
}

/// What is wrong with a file, or worth a look: where, and the mend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The file.
    pub file: PathBuf,
    /// The line, from 1; 0 for the file as a whole.
    pub line: usize,
    /// What and how to mend it.
    pub text: String,
}

impl fmt::Display for Message {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.file.display(), self.text),
            line => write!(f, "{}:{line}: {}", self.file.display(), self.text),
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct File {
    capacity: CapacityTable,
    reclaim: ReclaimTable,
    account: AccountTable,
    rebalance: Option<Spanned<RebalanceTable>>,
    group: Option<Spanned<group::Table>>,
    failover: Option<Spanned<failover::Table>>,
    team: Vec<Spanned<TeamTable>>,
    xmpp: Option<Spanned<XmppSettings>>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct CapacityTable {
    connections: Option<Spanned<f64>>,
    instances: Option<Spanned<u32>>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct ReclaimTable {
    rate: Option<Spanned<f64>>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct AccountTable {
    every: Option<Spanned<Span>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RebalanceTable {
    on: bool,
    rate: Option<Spanned<f64>>,
    band: Option<Spanned<f64>>,
    young: Option<Span>,
    #[serde(default)]
    never: Vec<String>,
}

impl RebalanceTable {
    fn terms(&self) -> Result<Option<rebalance::RebalanceSettings>, (Range<usize>, String)> {
        let usual = rebalance::RebalanceSettings::default();
        let figure =
            |told: &Option<Spanned<f64>>, usual: f64, good: &dyn Fn(f64) -> bool, text: &str| match told {
                Some(v) if !good(*v.get_ref()) => Err((v.span(), text.to_string())),
                told => Ok(told.as_ref().map_or(usual, |v| *v.get_ref())),
            };
        let positive = |v: f64| v.is_finite() && v > 0.0;
        let terms = rebalance::RebalanceSettings {
            moves_per_second: figure(
                &self.rate,
                usual.moves_per_second,
                &positive,
                "rate must be more than 0 moves a second",
            )?,
            dead_band: figure(
                &self.band,
                usual.dead_band,
                &|v| (0.01..=1.0).contains(&v),
                "band must be 0.01 to 1",
            )?,
            min_age: self.young.map_or(usual.min_age, |span| span.0),
            excluded_classes: self.never.clone(),
        };
        Ok(self.on.then_some(terms))
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TeamTable {
    name: Spanned<String>,
    classes: Option<Spanned<Vec<String>>>,
    connections: Option<Spanned<f64>>,
    rate: Option<Spanned<f64>>,
    burst: Option<Spanned<f64>>,
    budget: Option<Spanned<BudgetTable>>,
    weight: Option<Spanned<f64>>,
    borrow: Option<bool>,
    deadline: Option<Spanned<Span>>,
    attempts: Option<Spanned<u32>>,
    retry: Option<Spanned<RetryTable>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BudgetTable {
    seconds: f64,
    per: Span,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RetryTable {
    #[serde(default)]
    free: f64,
    #[serde(default)]
    share: f64,
    per: Span,
}

impl TeamTable {
    /// Where a key stands, to point at what is wrong with it.
    fn place(&self, key: &str) -> Option<Range<usize>> {
        match key {
            "classes" => self.classes.as_ref().map(Spanned::span),
            "connections" => self.connections.as_ref().map(Spanned::span),
            "rate" => self.rate.as_ref().map(Spanned::span),
            "burst" => self.burst.as_ref().map(Spanned::span),
            "budget" => self.budget.as_ref().map(Spanned::span),
            "weight" => self.weight.as_ref().map(Spanned::span),
            "deadline" => self.deadline.as_ref().map(Spanned::span),
            "attempts" => self.attempts.as_ref().map(Spanned::span),
            "retry" => self.retry.as_ref().map(Spanned::span),
            _ => Some(self.name.span()),
        }
    }

    fn contract(&self) -> Result<Contract, (&'static str, String)> {
        let team = self.name.get_ref();
        let rate = match (&self.rate, &self.burst) {
            // As many at once as come in a second, unless it says otherwise.
            (Some(rate), burst) => Some(Rate {
                per_second: *rate.get_ref(),
                burst: burst.as_ref().map_or(rate.get_ref().max(1.0), |b| *b.get_ref()),
            }),
            (None, Some(_)) => {
                return Err(("burst", "says how many may come at once of a `rate`: add `rate`".into()))
            }
            (None, None) => None,
        };
        let connections = match &self.connections {
            Some(n) => *n.get_ref(),
            None if team == OTHERS => 0.0,
            None => return Err(("name", format!("{team:?} has no `connections`: add how many it may hold"))),
        };
        Ok(Contract {
            team: team.as_str().into(),
            classes: self.classes.as_ref().map(|c| c.get_ref().clone()),
            connections,
            rate,
            budget: self
                .budget
                .as_ref()
                .map(|b| Budget { seconds: b.get_ref().seconds, period: b.get_ref().per.0 }),
            weight: self.weight.as_ref().map_or(1.0, |w| *w.get_ref()),
            borrow: self.borrow.unwrap_or(true),
            deadline: self.deadline.as_ref().map(|d| d.get_ref().0),
            attempts: self.attempts.as_ref().map(|n| *n.get_ref()),
            retry: self.retry.as_ref().map(|r| {
                let r = r.get_ref();
                RetryBudget { free: r.free, share: r.share, span: r.per.0 }
            }),
        })
    }
}

/// The line that a byte of a text stands on.
fn line_of(text: &str, at: usize) -> usize {
    text.as_bytes()[..at.min(text.len())].iter().filter(|&&b| b == b'\n').count() + 1
}

impl Operator {
    /// Reads a file; one that does not exist is as good as an empty one unless somebody named it.
    pub fn read(path: &Path, named: bool) -> Result<Operator, Message> {
        match std::fs::read_to_string(path) {
            Ok(text) => Operator::parse(path, &text),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound && !named => {
                Ok(Operator { every: EVERY, ..Operator::default() })
            }
            Err(e) => {
                let text = format!("cannot be read: {e}; name a file that can, or leave it out");
                Err(Message { file: path.into(), line: 0, text })
            }
        }
    }

    /// Reads a text; `path` is for the messages.
    pub fn parse(path: &Path, text: &str) -> Result<Operator, Message> {
        let said = |line, text: String| Message { file: path.into(), line, text };
        let wrong = |span: Option<Range<usize>>, what: String| {
            said(span.map_or(0, |span| line_of(text, span.start)), what)
        };
        let file: File = toml::from_str(text).map_err(|e| {
            let what = e.message().trim().replace('\n', " ");
            wrong(e.span(), mend(&what))
        })?;
        let mut contracts = Vec::new();
        for team in &file.team {
            let team = team.get_ref();
            let contract =
                team.contract().map_err(|(key, what)| wrong(team.place(key), format!("{key} {what}")))?;
            contracts.push(contract);
        }
        let terms = Terms {
            contracts,
            capacity: file.capacity.connections.as_ref().map(|c| *c.get_ref()),
            instances: file.capacity.instances.as_ref().map(|n| *n.get_ref()),
            reclaim_rate: file.reclaim.rate.as_ref().map(|r| *r.get_ref()),
        };
        contract::validate(&terms).map_err(|TermsError { contract, key, text: what }| {
            let place = match contract {
                Some(i) => file.team[i].get_ref().place(key),
                None => match key {
                    "connections" => file.capacity.connections.as_ref().map(Spanned::span),
                    "instances" => file.capacity.instances.as_ref().map(Spanned::span),
                    _ => file.reclaim.rate.as_ref().map(Spanned::span),
                },
            };
            wrong(place, format!("{key} {what}"))
        })?;
        let every = file.account.every.as_ref();
        if let Some(short) = every.filter(|e| e.get_ref().0 < LEAST_EVERY) {
            return Err(wrong(Some(short.span()), "every must be \"1s\" or more".into()));
        }
        let mut warnings = Vec::new();
        let sum: f64 = terms.contracts.iter().map(|c| c.connections).sum();
        if let Some(capacity) = file.capacity.connections.as_ref().filter(|c| sum > *c.get_ref()) {
            let what = format!(
                "the contracts sum to {sum}, over the capacity of {}: when all teams come at once each gets its part in proportion",
                capacity.get_ref()
            );
            warnings.push(wrong(Some(capacity.span()), what));
        }
        if terms.contracts.is_empty() && (terms.capacity.is_some() || terms.reclaim_rate.is_some()) {
            return Err(wrong(
                file.capacity.connections.as_ref().map(Spanned::span),
                "nothing is shared out without a contract: add a [[team]], or take this out".into(),
            ));
        }
        let rebalance = match &file.rebalance {
            Some(table) => table.get_ref().terms().map_err(|(at, what)| wrong(Some(at), what))?,
            None => None,
        };
        let print = xxhash_rust::xxh64::xxh64(text.as_bytes(), 0) as u32;
        let group = file
            .group
            .map(|table| table.into_inner().settings(print, every.map_or(EVERY, |e| e.get_ref().0)))
            .transpose();
        let mut group = group.map_err(|(at, what)| wrong(Some(at), what))?;
        let mut failover = None;
        if let Some(table) = file.failover {
            let at = table.span();
            failover = Some(table.into_inner().terms().map_err(|(at, what)| wrong(Some(at), what))?);
            match &mut group {
                Some(group) => group.tasks.push(crate::failover::TASK.into()),
                None => {
                    let what =
                        "a plan for zones is made by a [group]: add one (docs/group.md), or take this out";
                    return Err(wrong(Some(at), what.into()));
                }
            }
        }
        if let Some(xmpp) = &file.xmpp {
            xmpp.get_ref().validate().map_err(|what| wrong(Some(xmpp.span()), what))?;
        }
        Ok(Operator {
            terms: (!terms.contracts.is_empty()).then_some(terms),
            every: every.map_or(EVERY, |e| e.get_ref().0),
            rebalance,
            group,
            failover,
            xmpp: file.xmpp.map(Spanned::into_inner).filter(|x| x.listen.is_some()),
            warnings,
        })
    }

    /// Whether the settings have the classes that the contracts name; the first that they do not.
    pub fn unknown_class(&self, known: impl Fn(&str) -> bool) -> Option<String> {
        let contracts = self.terms.iter().flat_map(|t| &t.contracts);
        let named = contracts.flat_map(|c| c.classes.iter().flatten().map(move |class| (&c.team, class)));
        let never = self.rebalance.iter().flat_map(|r| &r.excluded_classes).find(|class| !known(class));
        if let Some(class) = never {
            return Some(format!("rebalance.never names the class {class:?}, which the settings do not have: correct one of them"));
        }
        let (team, class) = named.into_iter().find(|(_, class)| !known(class))?;
        Some(format!(
            "team {team:?} names the class {class:?}, which the settings do not have: correct one of them"
        ))
    }
}

/// A parser's message with what to do about it.
fn mend(what: &str) -> String {
    let hint = match what {
        w if w.contains("unknown field") => "; correct the key, or take the line out",
        w if w.contains("missing field") => "; add it",
        w if w.contains("duplicate key") => "; keep one of the two",
        w if w.contains("invalid type") => "; write it as docs/contracts.md shows",
        w if w.contains("needs a unit") || w.contains("no span") => "",
        _ => "; see docs/contracts.md for the form",
    };
    format!("{what}{hint}")
}
