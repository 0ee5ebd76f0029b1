//! The `jaycrank-bench` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    match jaycrank_bench::command::run(std::env::args_os().skip(1)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jaycrank-bench: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
