//! Command-line tool of the query tier. `jaycrank help` lists the subcommands.

use std::process::ExitCode;

use jaycrank::command;

#[tokio::main]
async fn main() -> ExitCode {
    match command::run(std::env::args_os().skip(1).collect()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => error.report("jaycrank help"),
    }
}
