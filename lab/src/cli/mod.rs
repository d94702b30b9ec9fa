//! The command line of `oakdeal-lab`: sub-commands parse, call and print.
//!
//! Exit codes: 0 good, 1 failed or a rule was broken, 2 wrong use.

pub mod compare;
mod fleet;
mod ledger;
mod load;
pub mod run;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// The laboratory of oakdeal: rehearsals in simulated and in real time, comparisons and reports.
#[derive(Parser, Debug)]
#[command(name = "oakdeal-lab", version, disable_help_subcommand = true)]
#[command(after_help = "Exit codes: 0 good, 1 failed or a rule was broken, 2 wrong use.")]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand, Debug)]
enum Command {
    /// Lists the named scenarios
    List,
    /// Checks a scenario's file
    Check {
        /// The file
        file: PathBuf,
    },
    /// Plays a scenario, in simulated time unless --live is given
    Run(run::Run),
    /// Plays scenarios with two deciders on the same seeds and says what differs
    Compare(compare::Compare),
    /// Opens connections to a balancer that runs, and measures
    Load(load::Load),
    /// Plays real processes that decide together, with faults on every link
    #[command(subcommand)]
    Fleet(fleet::Fleet),
    /// Says where the worth of a day went, from the debug logs of all its balancers
    Ledger(ledger::Ledger),
    /// Makes one HTML file of records
    Report {
        /// Records, as `run --record` writes them
        #[arg(required = true)]
        records: Vec<PathBuf>,
        /// The file to write
        #[arg(long, short, default_value = "report.html")]
        out: PathBuf,
    },
}

/// Seeds as `N` or `N..M`, both ends included.
pub fn seeds(text: &str) -> Result<std::ops::RangeInclusive<u64>, String> {
    let number = |t: &str| t.trim().parse::<u64>().map_err(|e| format!("{t:?} is no seed: {e}"));
    match text.split_once("..") {
        None => number(text).map(|n| n..=n),
        Some((a, b)) => match (number(a)?, number(b)?) {
            (a, b) if a <= b && b - a < 100_000 => Ok(a..=b),
            _ => Err(format!("{text:?}: the first seed must not be after the last, nor 100000 before it")),
        },
    }
}

/// Reads the command line, does what it says, and ends with its exit code.
pub fn main() -> ExitCode {
    let done = match Line::parse().command {
        Command::List => {
            for (name, _) in crate::scenario::library::ALL {
                let title = crate::scenario::library::find(name).map(|s| s.title);
                println!("{name:18} {}", title.unwrap_or_else(|e| e));
            }
            Ok(true)
        }
        Command::Check { file } => check(&file),
        Command::Run(run) => run.run(),
        Command::Compare(compare) => compare.run(),
        Command::Load(load) => load.run(),
        Command::Fleet(fleet) => fleet.run(),
        Command::Ledger(ledger) => ledger.run(),
        Command::Report { records, out } => crate::report::html(&records).and_then(|html| {
            let said = |e| format!("cannot write {}: {e}", out.display());
            std::fs::write(&out, html).map_err(said)?;
            println!("{}", out.display());
            Ok(true)
        }),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("oakdeal-lab: {e}");
            ExitCode::FAILURE
        }
    }
}

fn check(file: &std::path::Path) -> Result<bool, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("cannot read {}: {e}", file.display()))?;
    let scenario = crate::scenario::Scenario::parse(file, &text)?;
    println!(
        "{}: good: {} servers, {} balancers, {:.0} connections wanted at a time, {} faults",
        file.display(),
        scenario.fleet.servers,
        scenario.fleet.balancers,
        scenario.steady_connections(),
        scenario.fault.len()
    );
    Ok(true)
}

/// A table as all sub-commands print them.
pub fn table(header: &[&str]) -> comfy_table::Table {
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::NOTHING).set_header(header);
    let columns = table.column_iter_mut().skip(1);
    columns.for_each(|column| column.set_cell_alignment(comfy_table::CellAlignment::Right));
    table
}
