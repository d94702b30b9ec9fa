//! Entry point of the `oakdeal` program; the command line is in [`oakdeal::cli`].

use std::process::ExitCode;

fn main() -> ExitCode {
    oakdeal::cli::main()
}
