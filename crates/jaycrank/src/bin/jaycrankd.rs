//! Runs one entry instance. `jaycrankd --help` lists the flags.

use std::process::ExitCode;

use jaycrank::daemon;

#[tokio::main]
async fn main() -> ExitCode {
    match daemon::run(std::env::args_os().skip(1).collect()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => error.report("jaycrankd --help"),
    }
}
