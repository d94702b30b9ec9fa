//! Command line of `oakdeal-lab`. Each sub-command parses its arguments, calls the library and prints the result.
//!
//! Exit codes: 0 for success, 1 for an error or a broken rule, 2 for invalid arguments.

pub mod compare;
mod fleet;
mod ledger;
mod load;
pub mod run;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Laboratory of oakdeal: simulated and live runs, comparisons and reports
#[derive(Parser, Debug)]
#[command(name = "oakdeal-lab", version, disable_help_subcommand = true)]
#[command(after_help = "Exit codes: 0 success, 1 error or broken rule, 2 invalid arguments.")]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand, Debug)]
enum Command {
    /// Lists the built-in scenarios
    List,
    /// Checks a scenario file
    Check {
        /// Scenario file
        file: PathBuf,
    },
    /// Runs scenarios, in simulated time unless --live is given
    Run(run::Run),
    /// Runs scenarios with two deciders on the same seeds and prints the differences
    Compare(compare::Compare),
    /// Opens connections to a running balancer and measures their times
    Load(load::Load),
    /// Runs fleet tests: a group of real balancer processes with faults on the links between them
    #[command(subcommand)]
    Fleet(fleet::Fleet),
    /// Reports how the value of a run was served or lost, from the debug logs of all its balancers
    Ledger(ledger::Ledger),
    /// Writes an HTML report on recorded runs
    Report {
        /// Records written by `run --record`
        #[arg(required = true)]
        records: Vec<PathBuf>,
        /// File to write
        #[arg(long, short, default_value = "report.html")]
        out: PathBuf,
    },
}

/// Parses seeds given as `N` or `N..M`, with both ends included.
pub fn parse_seeds(text: &str) -> Result<std::ops::RangeInclusive<u64>, String> {
    let number = |t: &str| t.trim().parse::<u64>().map_err(|e| format!("{t:?} is not a seed: {e}"));
    match text.split_once("..") {
        None => number(text).map(|n| n..=n),
        Some((a, b)) => match (number(a)?, number(b)?) {
            (a, b) if a <= b && b - a < 100_000 => Ok(a..=b),
            _ => Err(format!("{text:?}: the first seed must not exceed the last, and the range must have at most 100000 seeds")),
        },
    }
}

/// Parses the command line, runs the sub-command and returns its exit code.
pub fn main() -> ExitCode {
    let result = match CommandLine::parse().command {
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
            let error = |e| format!("cannot write {}: {e}", out.display());
            std::fs::write(&out, html).map_err(error)?;
            println!("{}", out.display());
            Ok(true)
        }),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("oakdeal-lab: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Checks a scenario file and prints its main figures.
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

/// Returns an empty table with this header, in the style of all sub-commands.
pub fn table(header: &[&str]) -> comfy_table::Table {
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::NOTHING).set_header(header);
    let columns = table.column_iter_mut().skip(1);
    columns.for_each(|column| column.set_cell_alignment(comfy_table::CellAlignment::Right));
    table
}
