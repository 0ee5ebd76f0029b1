//! Stand-ins and checks of the cases 11 to 15. The first argument names the case, the second one the
//! folder for its record.

mod client;
mod http;
mod leaf;
mod machine;
mod stale_reader;
mod store;

use std::path::Path;
use std::process::ExitCode;

/// Status of a case that couldn't run.
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-3 CASE FOLDER");
        return ExitCode::from(NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Path::new(folder).join("record.txt");
    let base = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    let held = match case.as_str() {
        "stale-reader" => stale_reader::run(&record, &base, trouble),
        _ => Ok(None),
    };
    let _ = std::fs::remove_dir_all(&base);
    match held {
        Ok(Some(true)) => ExitCode::SUCCESS,
        Ok(Some(false)) => ExitCode::from(1),
        Ok(None) => ExitCode::from(NOT_RUN),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(NOT_RUN)
        }
    }
}
