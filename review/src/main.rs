//! Cases of the review that run as scripts: `cases NAME FOLDER with|without`, with or without the
//! disruption.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod client;
mod crash_again;
mod deployment;
mod drain_waiting;
mod foreign_entry;
mod http;
mod late_seeds;
mod leaf;
mod machine;
mod older_birth;
mod record;
mod same_request;
mod stop_waiting;
mod store;
mod unreadable_entry;
mod watch_cut;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use crate::record::Record;

/// Outcome of a case.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder, disruption] = &arguments[..] else {
        eprintln!("usage: cases NAME FOLDER with|without");
        return ExitCode::from(2);
    };
    let path = PathBuf::from(folder).join("record.txt");
    let Ok(record) = Record::create(&path) else {
        eprintln!("cannot write {}", path.display());
        return ExitCode::from(2);
    };
    let record = Arc::new(record);
    let trouble = disruption != "without";
    record.line(&format!("case {name}, with the disruption: {trouble}"));
    let outcome = match name.as_str() {
        "drain-waiting" => drain_waiting::run(&record, trouble),
        "crash-again" => crash_again::run(&record, trouble),
        "stop-waiting" => stop_waiting::run(&record, trouble),
        "foreign-entry" => foreign_entry::run(&record, trouble),
        "late-seeds" => late_seeds::run(&record, trouble),
        "same-request" => same_request::run(&record, trouble),
        "older-birth" => older_birth::run(&record, trouble),
        "watch-cut" => watch_cut::run(&record, trouble),
        "unreadable-entry" => unreadable_entry::run(&record, trouble),
        _ => Outcome::NotRun("no such case".to_owned()),
    };
    let (code, text) = match outcome {
        Outcome::Held => (0, "the rule held".to_owned()),
        Outcome::Broken => (1, "the rule was broken".to_owned()),
        Outcome::NotRun(reason) => (2, format!("not run: {reason}")),
    };
    record.line(&format!("result: {text}"));
    println!("{text}");
    ExitCode::from(code)
}
