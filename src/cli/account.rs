//! `oakdeal contracts account`: the teams' accounts from the log.

use super::table;
use crate::contracts::ledger::Reason;
use crate::logging::ACCOUNT_TARGET;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};

/// A line of the log; what it has beside is not looked at.
#[derive(Deserialize)]
struct Record {
    target: Option<String>,
    fields: Option<serde_json::Value>,
}

/// An account as the log has it, or a sum of some.
#[derive(Deserialize, Clone, Default, Debug, PartialEq)]
#[serde(default)]
pub struct Entry {
    balancer: String,
    started: u64,
    team: String,
    held: u64,
    contract: u64,
    /// Requests that came.
    pub asked: u64,
    /// Let in within the contract.
    pub within: u64,
    /// Let in beyond it.
    pub borrowed: u64,
    /// Whose connection stood.
    pub served: u64,
    /// Asked to move.
    pub moved: u64,
    used_s: f64,
    allowed_s: f64,
    over_s: f64,
    budget_left_s: Option<f64>,
    #[serde(flatten)]
    more: BTreeMap<String, serde_json::Value>,
}

impl Entry {
    fn refused(&self, why: Reason) -> u64 {
        let key = format!("refused_{}", why.name());
        self.more.get(&key).and_then(serde_json::Value::as_u64).unwrap_or(0)
    }
}

/// Of each start of each balancer the latest record of each team, whoever wrote it: in a group one writes for all. Lines that
/// are none are counted.
pub fn read(log: impl Read, into: &mut BTreeMap<(String, u64, String), Entry>) -> Result<usize, String> {
    let mut foreign = 0;
    for line in BufReader::new(log).lines() {
        let line = line.map_err(|e| format!("cannot be read: {e}"))?;
        let Ok(record) = serde_json::from_str::<Record>(&line) else {
            foreign += 1;
            continue;
        };
        if record.target.as_deref() != Some(ACCOUNT_TARGET) {
            continue;
        }
        let entry = record.fields.map(serde_json::from_value::<Entry>);
        match entry {
            Some(Ok(entry)) => {
                let key = (entry.balancer.clone(), entry.started, entry.team.clone());
                let counted = |e: &Entry| (e.asked, e.moved, e.allowed_s);
                match into.get_mut(&key) {
                    Some(known) if counted(known) > counted(&entry) => {}
                    Some(known) => *known = entry,
                    None => drop(into.insert(key, entry)),
                }
            }
            _ => foreign += 1,
        }
    }
    Ok(foreign)
}

fn open(path: &Path) -> Result<Box<dyn Read>, String> {
    if path == Path::new("-") {
        return Ok(Box::new(std::io::stdin()));
    }
    let file = std::fs::File::open(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    Ok(Box::new(file))
}

/// Prints the accounts of all logs as a table.
pub fn account(logs: &[PathBuf]) -> Result<(), String> {
    let (mut all, mut foreign) = (BTreeMap::new(), 0);
    for path in logs {
        foreign += read(open(path)?, &mut all).map_err(|e| format!("{} {e}", path.display()))?;
    }
    if foreign > 0 {
        eprintln!(
            "warning: {foreign} lines are no JSON records: was the log written with --log-format json?"
        );
    }
    if all.is_empty() {
        return Err("no account in these logs: contracts are off, or the log is not in JSON lines".into());
    }
    let mut teams: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
    all.values().for_each(|entry| teams.entry(&entry.team).or_default().push(entry));
    let told = |why: &Reason| teams.values().flatten().any(|entry| entry.refused(*why) > 0);
    let reasons: Vec<Reason> = Reason::ALL.into_iter().filter(told).collect();
    let mut header = vec!["team", "asked", "within", "borrowed", "served"];
    let refused: Vec<String> = reasons.iter().map(|why| format!("no: {why}")).collect();
    header.extend(refused.iter().map(String::as_str));
    header.extend(["moved", "held", "used s", "over s", "contracted s", "budget left s"]);
    let mut out = table(&header);
    for (team, entries) in teams {
        let sum = |of: &dyn Fn(&Entry) -> u64| entries.iter().map(|e| of(e)).sum::<u64>().to_string();
        let seconds =
            |of: &dyn Fn(&Entry) -> f64| format!("{:.1}", entries.iter().map(|e| of(e)).sum::<f64>());
        // What a balancer held and had left is over when it has been started again.
        let last: BTreeMap<&str, &Entry> = entries.iter().map(|e| (e.balancer.as_str(), *e)).collect();
        let mut row = vec![team.to_string()];
        row.extend([sum(&|e| e.asked), sum(&|e| e.within), sum(&|e| e.borrowed), sum(&|e| e.served)]);
        row.extend(reasons.iter().map(|&why| sum(&|e| e.refused(why))));
        row.extend([sum(&|e| e.moved), last.values().map(|e| e.held).sum::<u64>().to_string()]);
        row.extend([seconds(&|e| e.used_s), seconds(&|e| e.over_s), seconds(&|e| e.allowed_s)]);
        let budget: Vec<f64> = last.values().filter_map(|e| e.budget_left_s).collect();
        row.push(match budget.is_empty() {
            true => "-".into(),
            false => format!("{:.1}", budget.iter().sum::<f64>()),
        });
        out.add_row(row);
    }
    println!("{out}");
    Ok(())
}
