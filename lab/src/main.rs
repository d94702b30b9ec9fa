//! Entry point of `oakdeal-lab`, which runs scenarios, compares builds and writes reports.

use std::process::ExitCode;

fn main() -> ExitCode {
    oakdeal_lab::cli::main()
}
