//! The command line. Each sub-command parses its arguments, calls the library and prints the result.
//!
//! Exit codes: 0 success, 1 failure (one line on standard error gives the reason), 2 invalid usage.

mod account;
mod check;
mod contracts;
mod group;
mod zones;

use crate::logging::{self, Format};
use crate::operator::DEFAULT_PATH;
use crate::serve::{self, Sources};
use clap::{Args, Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A balancer for long-lived connections, and a broker between the services of many teams.
#[derive(Parser, Debug)]
#[command(name = "oakdeal", version, args_conflicts_with_subcommands = true, disable_help_subcommand = true)]
#[command(after_help = "Without a sub-command it serves. Exit codes: 0 success, 1 failure, 2 invalid usage.")]
struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    serve: Serve,
}

#[derive(Subcommand, Debug)]
enum Command {
    /// Serves as a balancer until SIGTERM; SIGHUP reads both files again
    Serve(Serve),
    /// Checks an operator's file (TOML) or a platform configuration (JSON)
    Check {
        /// Path of the file
        file: PathBuf,
        /// Platform configuration against whose classes the operator's file is checked
        #[arg(long, env = "LB_CONFIG", value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Converts an Apache balancer or mod_jk worker file to a platform configuration
    ///
    /// Prints the configuration to standard output, and each line that could not be converted to standard error.
    Import {
        /// Path of a worker file, or of a file with <Proxy balancer://...> sections
        file: PathBuf,
    },
    /// Shows contracts, and how teams used them
    #[command(subcommand)]
    Contracts(Contracts),
    /// Creates, shows and controls the group of balancers that coordinate
    #[command(subcommand)]
    Group(group::Group),
    /// Shows and controls the fleet's plan for zones
    #[command(subcommand)]
    Zones(zones::Zones),
}

#[derive(Subcommand, Debug)]
enum Contracts {
    /// Prints the contracts of an operator's file, and the share that each balancer enforces
    Show {
        /// Path of the operator's file
        file: PathBuf,
        /// Number of balancers that share the contracts [default: from the configuration, else 1]
        #[arg(long)]
        balancers: Option<u32>,
        /// Platform configuration with the number of balancers
        #[arg(long, env = "LB_CONFIG", value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Prints what each team requested, got and used, from logs in JSON lines
    ///
    /// The last record of each run of each balancer counts; the totals are sums over runs and balancers.
    Account {
        /// Paths of the logs, or `-` for standard input
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
}

#[derive(Args, Debug)]
struct Serve {
    /// Path of the platform's configuration
    #[arg(long, env = "LB_CONFIG", value_name = "FILE")]
    config: Option<PathBuf>,
    /// Path of the operator's file [default: deploy/oakdeal.toml, if it exists]
    #[arg(long, env = "OAKDEAL_OPERATOR", value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Format of the log's lines
    #[arg(long, env = "OAKDEAL_LOG_FORMAT", value_enum, default_value_t)]
    log_format: Format,
    /// Log filter by target and level, such as `oakdeal=debug,warn`
    #[arg(long, env = "RUST_LOG", value_name = "FILTER", default_value = "info")]
    log: String,
}

/// Parses the command line, runs the command and returns its exit code.
pub fn main() -> ExitCode {
    let line = CommandLine::parse();
    let result = match line.command.unwrap_or(Command::Serve(line.serve)) {
        Command::Serve(serve) => start(serve),
        Command::Check { file, config } => check::check(&file, config.as_deref()),
        Command::Import { file } => import(&file),
        Command::Group(command) => group::run(command),
        Command::Zones(command) => zones::run(command),
        Command::Contracts(Contracts::Show { file, balancers, config }) => {
            contracts::show(&file, balancers, config.as_deref())
        }
        Command::Contracts(Contracts::Account { logs }) => account::account(&logs),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("oakdeal: {e}");
            ExitCode::FAILURE
        }
    }
}

fn start(arguments: Serve) -> Result<(), String> {
    let config = arguments.config.ok_or("LB_CONFIG, or --config, must name the configuration file")?;
    serve::reject_obsolete_files(Path::new("."))?;
    logging::start(arguments.log_format, &arguments.log)?;
    let operator_required = arguments.operator.is_some();
    let sources = Sources {
        config,
        operator: arguments.operator.unwrap_or_else(|| DEFAULT_PATH.into()),
        operator_required,
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, serve::run(sources))
}

fn import(path: &Path) -> Result<(), String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    let (config, reports) = crate::import::import(&text);
    for report in reports {
        eprintln!("{}:{}: {}", path.display(), report.line, report.text);
    }
    println!("{config:#}");
    Ok(())
}

/// Returns an empty table in the style of all sub-commands: without borders, all columns but the first aligned right.
fn new_table(header: &[&str]) -> comfy_table::Table {
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::NOTHING).set_header(header);
    let columns = table.column_iter_mut().skip(1);
    columns.for_each(|column| column.set_cell_alignment(comfy_table::CellAlignment::Right));
    table
}

#[cfg(test)]
mod tests {
    use super::*;
    use clap::CommandFactory;

    /// Guards against inconsistent definitions of arguments, which clap detects only at run time.
    #[test]
    fn the_command_line_is_consistent_and_parses_its_arguments() {
        CommandLine::command().debug_assert();
        assert!(CommandLine::parse_from(["oakdeal"]).command.is_none());
        let line =
            CommandLine::parse_from(["oakdeal", "serve", "--operator", "x.toml", "--log-format", "json"]);
        let Some(Command::Serve(serve)) = line.command else { panic!("{line:?}") };
        assert_eq!((serve.operator, serve.log_format), (Some("x.toml".into()), Format::Json));
        assert!(CommandLine::try_parse_from(["oakdeal", "contracts", "account"]).is_err());
    }
}
