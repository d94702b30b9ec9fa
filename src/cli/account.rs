//! `oakdeal contracts account`: prints the teams' accounts from logs.

use super::new_table;
use crate::contracts::ledger::Reason;
use crate::logging::ACCOUNT_TARGET;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};

/// A line of the log; other fields are ignored.
#[derive(Deserialize)]
struct Record {
    target: Option<String>,
    fields: Option<serde_json::Value>,
}

/// A team's account as it was logged by one run of one balancer.
#[derive(Deserialize, Clone, Default, Debug, PartialEq)]
#[serde(default)]
pub struct Entry {
    balancer: String,
    started: u64,
    team: String,
    held: u64,
    contract: u64,
    /// Number of requests received.
    pub asked: u64,
    /// Number of requests admitted within the contract.
    pub within: u64,
    /// Number of requests admitted beyond the contract.
    pub borrowed: u64,
    /// Number of requests whose connection was established.
    pub served: u64,
    /// Number of connections that were asked to move.
    pub moved: u64,
    used_s: f64,
    allowed_s: f64,
    over_s: f64,
    budget_left_s: Option<f64>,
    #[serde(flatten)]
    more: BTreeMap<String, serde_json::Value>,
}

impl Entry {
    fn refused(&self, reason: Reason) -> u64 {
        let key = format!("refused_{}", reason.name());
        self.more.get(&key).and_then(serde_json::Value::as_u64).unwrap_or(0)
    }
}

/// Reads the latest record of each team in each run of each balancer, whichever process logged it: in a group one process logs
/// for all. Returns the number of lines that are not valid records.
pub fn read(log: impl Read, entries: &mut BTreeMap<(String, u64, String), Entry>) -> Result<usize, String> {
    let mut invalid_lines = 0;
    for line in BufReader::new(log).lines() {
        let line = line.map_err(|e| format!("cannot be read: {e}"))?;
        let Ok(record) = serde_json::from_str::<Record>(&line) else {
            invalid_lines += 1;
            continue;
        };
        if record.target.as_deref() != Some(ACCOUNT_TARGET) {
            continue;
        }
        let entry = record.fields.map(serde_json::from_value::<Entry>);
        match entry {
            Some(Ok(entry)) => {
                let key = (entry.balancer.clone(), entry.started, entry.team.clone());
                let progress = |e: &Entry| (e.asked, e.moved, e.allowed_s);
                match entries.get_mut(&key) {
                    Some(known) if progress(known) > progress(&entry) => {}
                    Some(known) => *known = entry,
                    None => drop(entries.insert(key, entry)),
                }
            }
            _ => invalid_lines += 1,
        }
    }
    Ok(invalid_lines)
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
    let (mut accounts, mut invalid_lines) = (BTreeMap::new(), 0);
    for path in logs {
        invalid_lines += read(open(path)?, &mut accounts).map_err(|e| format!("{} {e}", path.display()))?;
    }
    if invalid_lines > 0 {
        eprintln!(
            "warning: {invalid_lines} lines are not JSON records: was the log written with --log-format json?"
        );
    }
    if accounts.is_empty() {
        return Err("no account in these logs: contracts are off, or the log is not in JSON lines".into());
    }
    let mut teams: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
    accounts.values().for_each(|entry| teams.entry(&entry.team).or_default().push(entry));
    let has_refusals = |reason: &Reason| teams.values().flatten().any(|entry| entry.refused(*reason) > 0);
    let reasons: Vec<Reason> = Reason::ALL.into_iter().filter(has_refusals).collect();
    let mut header = vec!["team", "asked", "within", "borrowed", "served"];
    let refused: Vec<String> = reasons.iter().map(|reason| format!("no: {reason}")).collect();
    header.extend(refused.iter().map(String::as_str));
    header.extend(["moved", "held", "used s", "over s", "contracted s", "budget left s"]);
    let mut table = new_table(&header);
    for (team, entries) in teams {
        let sum = |value: &dyn Fn(&Entry) -> u64| entries.iter().map(|e| value(e)).sum::<u64>().to_string();
        let seconds =
            |value: &dyn Fn(&Entry) -> f64| format!("{:.1}", entries.iter().map(|e| value(e)).sum::<f64>());
        // Held connections and remaining budget count for the last run of each balancer only.
        let last: BTreeMap<&str, &Entry> = entries.iter().map(|e| (e.balancer.as_str(), *e)).collect();
        let mut row = vec![team.to_string()];
        row.extend([sum(&|e| e.asked), sum(&|e| e.within), sum(&|e| e.borrowed), sum(&|e| e.served)]);
        row.extend(reasons.iter().map(|&reason| sum(&|e| e.refused(reason))));
        row.extend([sum(&|e| e.moved), last.values().map(|e| e.held).sum::<u64>().to_string()]);
        row.extend([seconds(&|e| e.used_s), seconds(&|e| e.over_s), seconds(&|e| e.allowed_s)]);
        let budget: Vec<f64> = last.values().filter_map(|e| e.budget_left_s).collect();
        row.push(match budget.is_empty() {
            true => "-".into(),
            false => format!("{:.1}", budget.iter().sum::<f64>()),
        });
        table.add_row(row);
    }
    println!("{table}");
    Ok(())
}
