//! `oakdeal contracts show`: contracts as a table.

use super::table;
use crate::config::Config;
use crate::operator::Operator;
use std::path::Path;

/// Prints the contracts of a file, and what each balancer enforces of them.
pub fn show(path: &Path, balancers: Option<u32>, config: Option<&Path>) -> Result<(), String> {
    let operator = Operator::read(path, true).map_err(|e| e.to_string())?;
    let told = || config.map(Config::read).transpose().map(|c| c.and_then(|(c, _)| c.settings.peers_total));
    let balancers = match balancers {
        Some(n) => n,
        None => told()?.unwrap_or(1),
    }
    .max(1);
    let Some(terms) = operator.terms else {
        println!("{}: no contracts", path.display());
        return Ok(());
    };
    let sum: f64 = terms.contracts.iter().map(|c| c.connections).sum();
    let cut = terms.capacity.map_or(1.0, |c| (c / sum.max(f64::MIN_POSITIVE)).min(1.0));
    let mut all = table(&[
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
        let figures = c.values_by_key();
        let figure = |key: &str| figures.get(key).cloned().unwrap_or_else(|| "-".into());
        let each = (c.connections * cut / f64::from(balancers) - 1e-9).ceil();
        all.add_row([
            c.team.to_string(),
            figure("connections"),
            format!("{:.1}", c.connections * cut),
            each.to_string(),
            figure("rate"),
            figure("burst"),
            figure("budget"),
            figure("weight"),
            figure("borrow"),
            figure("deadline"),
            figure("attempts"),
            figure("retry"),
            c.classes.as_ref().map_or_else(|| "all".into(), |classes| classes.join(",")),
        ]);
    }
    println!("{all}");
    let capacity = terms.capacity.map_or_else(|| "learned".into(), |c| c.to_string());
    println!("\ncapacity {capacity}, contracts sum to {sum}, {balancers} balancers");
    operator.warnings.iter().for_each(|w| eprintln!("warning: {w}"));
    Ok(())
}
