//! `oakdeal contracts show`: prints contracts as a table.

use super::new_table;
use crate::config::Config;
use crate::operator::Operator;
use std::path::Path;

/// Excess over a whole number of connections that is a rounding error and is not rounded up (in connections).
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Prints the contracts of a file, and the share of them that each balancer enforces.
pub fn show(path: &Path, balancers: Option<u32>, config: Option<&Path>) -> Result<(), String> {
    let operator = Operator::read(path, true).map_err(|e| e.to_string())?;
    let configured =
        || config.map(Config::read).transpose().map(|c| c.and_then(|(c, _)| c.settings.peers_total));
    let balancers = match balancers {
        Some(n) => n,
        None => configured()?.unwrap_or(1),
    }
    .max(1);
    let Some(terms) = operator.terms else {
        println!("{}: no contracts", path.display());
        return Ok(());
    };
    let sum: f64 = terms.contracts.iter().map(|c| c.connections).sum();
    let reduction_factor = terms.capacity.map_or(1.0, |c| (c / sum.max(f64::MIN_POSITIVE)).min(1.0));
    let mut table = new_table(&[
        "team",
        "connections",
        "when all come",
        "at each balancer",
        "rate",
        "burst",
        "budget",
        "weight",
        "borrow",
        "deadline",
        "attempts",
        "retry",
        "classes",
    ]);
    for c in &terms.contracts {
        let values = c.values_by_key();
        let value = |key: &str| values.get(key).cloned().unwrap_or_else(|| "-".into());
        let per_balancer =
            (c.connections * reduction_factor / f64::from(balancers) - ROUNDING_TOLERANCE).ceil();
        table.add_row([
            c.team.to_string(),
            value("connections"),
            format!("{:.1}", c.connections * reduction_factor),
            per_balancer.to_string(),
            value("rate"),
            value("burst"),
            value("budget"),
            value("weight"),
            value("borrow"),
            value("deadline"),
            value("attempts"),
            value("retry"),
            c.classes.as_ref().map_or_else(|| "all".into(), |classes| classes.join(",")),
        ]);
    }
    println!("{table}");
    let capacity = terms.capacity.map_or_else(|| "learned".into(), |c| c.to_string());
    println!("\ncapacity {capacity}, contracts sum to {sum}, {balancers} balancers");
    operator.warnings.iter().for_each(|w| eprintln!("warning: {w}"));
    Ok(())
}
