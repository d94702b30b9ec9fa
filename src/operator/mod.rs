//! The operator's file: contracts between teams, accounting, rebalancing, the group, failover and the XMPP listener, in TOML
//! with durations as text with a unit.
//!
//! Guarantees that a file is either accepted as a whole or rejected with one message that names the file, the line and the
//! correction; nothing of a rejected file takes effect. A missing file means no contracts and no XMPP listener, as on the
//! platform. The platform's JSON configuration is in `src/config.rs`, the meaning of contracts in `src/contracts/`.

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

/// Path of the operator's file if none is given.
pub const DEFAULT_PATH: &str = "deploy/oakdeal.toml";
/// Default interval between two writes of the account, in microseconds.
const DEFAULT_ACCOUNT_INTERVAL: Micros = 60_000_000;
/// Minimum interval between two writes of the account, in microseconds: each write logs a record for every team.
const MIN_ACCOUNT_INTERVAL: Micros = 1_000_000;

/// The settings of a file that was read and checked.
#[derive(Debug, Default)]
pub struct Operator {
    /// The contracts; `None` if the file names no team.
    pub terms: Option<Terms>,
    /// Interval between two writes of the account.
    pub account_interval: Micros,
    /// Rebalancing; `None` if it is off.
    pub rebalance: Option<rebalance::RebalanceSettings>,
    /// The XMPP listener, if it has an address.
    pub xmpp: Option<XmppSettings>,
    /// The group of balancers that coordinate, if there is one.
    pub group: Option<crate::group::Settings>,
    /// Failover between zones by the fleet's plan, if configured.
    pub failover: Option<crate::failover::FailoverSettings>,
    /// Settings that are valid but probably not intended.
    pub warnings: Vec<Diagnostic>,
}

/// An error or a warning about a file: where it is, and how to correct it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// The file.
    pub file: PathBuf,
    /// Line number, from 1; 0 for the file as a whole.
    pub line: usize,
    /// The problem and its correction.
    pub text: String,
}

impl fmt::Display for Diagnostic {
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
    /// Checks the section and converts it to settings; `None` if rebalancing is off.
    fn settings(&self) -> Result<Option<rebalance::RebalanceSettings>, (Range<usize>, String)> {
        let defaults = rebalance::RebalanceSettings::default();
        let number_or =
            |value: &Option<Spanned<f64>>, default: f64, valid: &dyn Fn(f64) -> bool, text: &str| match value
            {
                Some(v) if !valid(*v.get_ref()) => Err((v.span(), text.to_string())),
                value => Ok(value.as_ref().map_or(default, |v| *v.get_ref())),
            };
        let positive = |v: f64| v.is_finite() && v > 0.0;
        let settings = rebalance::RebalanceSettings {
            moves_per_second: number_or(
                &self.rate,
                defaults.moves_per_second,
                &positive,
                "rate must be more than 0 moves a second",
            )?,
            dead_band: number_or(
                &self.band,
                defaults.dead_band,
                &|v| (0.01..=1.0).contains(&v),
                "band must be 0.01 to 1",
            )?,
            min_age: self.young.map_or(defaults.min_age, |span| span.0),
            excluded_classes: self.never.clone(),
        };
        Ok(self.on.then_some(settings))
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
    /// Returns the position of a key's value in the file, for diagnostics.
    fn key_span(&self, key: &str) -> Option<Range<usize>> {
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
            // The burst defaults to the requests of one second.
            (Some(rate), burst) => Some(Rate {
                per_second: *rate.get_ref(),
                burst: burst.as_ref().map_or(rate.get_ref().max(1.0), |b| *b.get_ref()),
            }),
            (None, Some(_)) => {
                return Err(("burst", "needs the `rate` that it belongs to: add `rate`".into()))
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

/// Returns the line number, from 1, of a byte offset in a text.
fn line_number(text: &str, offset: usize) -> usize {
    text.as_bytes()[..offset.min(text.len())].iter().filter(|&&b| b == b'\n').count() + 1
}

impl Operator {
    /// Reads a file. A missing file counts as an empty one unless it is required.
    pub fn read(path: &Path, required: bool) -> Result<Operator, Diagnostic> {
        match std::fs::read_to_string(path) {
            Ok(text) => Operator::parse(path, &text),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound && !required => {
                Ok(Operator { account_interval: DEFAULT_ACCOUNT_INTERVAL, ..Operator::default() })
            }
            Err(e) => {
                let text = format!("cannot be read: {e}; give a readable file, or none");
                Err(Diagnostic { file: path.into(), line: 0, text })
            }
        }
    }

    /// Parses a text; `path` is used in diagnostics only.
    pub fn parse(path: &Path, text: &str) -> Result<Operator, Diagnostic> {
        let at_line = |line, text: String| Diagnostic { file: path.into(), line, text };
        let diagnostic = |span: Option<Range<usize>>, what: String| {
            at_line(span.map_or(0, |span| line_number(text, span.start)), what)
        };
        let file: File = toml::from_str(text).map_err(|e| {
            let what = e.message().trim().replace('\n', " ");
            diagnostic(e.span(), add_hint(&what))
        })?;
        let mut contracts = Vec::new();
        for team in &file.team {
            let team = team.get_ref();
            let contract = team
                .contract()
                .map_err(|(key, what)| diagnostic(team.key_span(key), format!("{key} {what}")))?;
            contracts.push(contract);
        }
        let terms = Terms {
            contracts,
            capacity: file.capacity.connections.as_ref().map(|c| *c.get_ref()),
            instances: file.capacity.instances.as_ref().map(|n| *n.get_ref()),
            reclaim_rate: file.reclaim.rate.as_ref().map(|r| *r.get_ref()),
        };
        contract::validate(&terms).map_err(|TermsError { contract, key, text: what }| {
            let span = match contract {
                Some(i) => file.team[i].get_ref().key_span(key),
                None => match key {
                    "connections" => file.capacity.connections.as_ref().map(Spanned::span),
                    "instances" => file.capacity.instances.as_ref().map(Spanned::span),
                    _ => file.reclaim.rate.as_ref().map(Spanned::span),
                },
            };
            diagnostic(span, format!("{key} {what}"))
        })?;
        let interval = file.account.every.as_ref();
        if let Some(short) = interval.filter(|e| e.get_ref().0 < MIN_ACCOUNT_INTERVAL) {
            return Err(diagnostic(Some(short.span()), "every must be \"1s\" or more".into()));
        }
        let mut warnings = Vec::new();
        let sum: f64 = terms.contracts.iter().map(|c| c.connections).sum();
        if let Some(capacity) = file.capacity.connections.as_ref().filter(|c| sum > *c.get_ref()) {
            let what = format!(
                "the contracts sum to {sum}, over the capacity of {}: when all teams use theirs at once, each contract is reduced in proportion",
                capacity.get_ref()
            );
            warnings.push(diagnostic(Some(capacity.span()), what));
        }
        if terms.contracts.is_empty() && (terms.capacity.is_some() || terms.reclaim_rate.is_some()) {
            return Err(diagnostic(
                file.capacity.connections.as_ref().map(Spanned::span),
                "capacity is shared only between contracts: add a [[team]], or remove this".into(),
            ));
        }
        let rebalance = match &file.rebalance {
            Some(table) => table.get_ref().settings().map_err(|(at, what)| diagnostic(Some(at), what))?,
            None => None,
        };
        let fingerprint = xxhash_rust::xxh64::xxh64(text.as_bytes(), 0) as u32;
        let group = file
            .group
            .map(|table| {
                table
                    .into_inner()
                    .into_settings(fingerprint, interval.map_or(DEFAULT_ACCOUNT_INTERVAL, |e| e.get_ref().0))
            })
            .transpose();
        let mut group = group.map_err(|(at, what)| diagnostic(Some(at), what))?;
        let mut failover = None;
        if let Some(table) = file.failover {
            let at = table.span();
            failover =
                Some(table.into_inner().into_settings().map_err(|(at, what)| diagnostic(Some(at), what))?);
            match &mut group {
                Some(group) => group.tasks.push(crate::failover::TASK.into()),
                None => {
                    let what =
                        "the plan for zones needs a [group] to make it: add one (docs/group.md), or remove this";
                    return Err(diagnostic(Some(at), what.into()));
                }
            }
        }
        if let Some(xmpp) = &file.xmpp {
            xmpp.get_ref().validate().map_err(|what| diagnostic(Some(xmpp.span()), what))?;
        }
        Ok(Operator {
            terms: (!terms.contracts.is_empty()).then_some(terms),
            account_interval: interval.map_or(DEFAULT_ACCOUNT_INTERVAL, |e| e.get_ref().0),
            rebalance,
            group,
            failover,
            xmpp: file.xmpp.map(Spanned::into_inner).filter(|x| x.listen.is_some()),
            warnings,
        })
    }

    /// Returns an error for the first class that the contracts or rebalancing name and the settings do not have.
    pub fn unknown_class(&self, known: impl Fn(&str) -> bool) -> Option<String> {
        let contracts = self.terms.iter().flat_map(|t| &t.contracts);
        let named = contracts.flat_map(|c| c.classes.iter().flatten().map(move |class| (&c.team, class)));
        let excluded = self.rebalance.iter().flat_map(|r| &r.excluded_classes).find(|class| !known(class));
        if let Some(class) = excluded {
            return Some(format!("rebalance.never names the class {class:?}, which the settings do not have: correct one of them"));
        }
        let (team, class) = named.into_iter().find(|(_, class)| !known(class))?;
        Some(format!(
            "team {team:?} names the class {class:?}, which the settings do not have: correct one of them"
        ))
    }
}

/// Returns a parser's message with a hint how to correct the file.
fn add_hint(what: &str) -> String {
    let hint = match what {
        w if w.contains("unknown field") => "; correct the key, or remove the line",
        w if w.contains("missing field") => "; add it",
        w if w.contains("duplicate key") => "; keep one of the two",
        w if w.contains("invalid type") => "; write it as docs/contracts.md shows",
        w if w.contains("needs a unit") || w.contains("is not a duration") => "",
        _ => "; see docs/contracts.md for the form",
    };
    format!("{what}{hint}")
}
