//! Command line of `jaycrank-bench`.

use std::ffi::OsString;
use std::fmt;
use std::fs;

use jaycrank::flags;
use jaycrank::flags::Flag;
use jaycrank::flags::Flags;
use jaycrank_event as events;

use crate::outcome::Outcome;
use crate::report;
use crate::scenario;
use crate::scenario::Scenario;

const FLAGS: [Flag; 6] = [
    Flag { name: "list", value_name: "", default: None, help: "list the scenarios" },
    Flag { name: "scenario", value_name: "NAME", default: Some(""), help: "scenario to run" },
    Flag { name: "all", value_name: "", default: None, help: "run all scenarios" },
    Flag { name: "seed", value_name: "N", default: Some("1"), help: "seed of load and failures" },
    Flag { name: "json", value_name: "", default: None, help: "print one JSON line per scenario" },
    Flag {
        name: "report",
        value_name: "FILE.html",
        default: Some(""),
        help: "write an HTML report",
    },
];

/// Error that ends the program.
#[derive(Debug)]
pub enum Error {
    /// The arguments are invalid; exit code 2.
    Usage(String),
    /// A run failed or missed a target; exit code 1.
    Failed(String),
}

impl Error {
    /// Returns the exit code of the program.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Failed(_) => 1,
            Self::Usage(_) => 2,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(message) => write!(f, "{message}\nTry `jaycrank-bench --help`."),
            Self::Failed(message) => f.write_str(message),
        }
    }
}

impl std::error::Error for Error {}

impl From<flags::Error> for Error {
    fn from(error: flags::Error) -> Self {
        Self::Usage(error.to_string())
    }
}

/// Runs the scenarios that the arguments select and prints the results.
///
/// # Errors
///
/// Returns [`Error::Usage`] for invalid arguments and [`Error::Failed`] if a scenario fails or
/// misses a target.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> Result<(), Error> {
    let flags = Flags::parse(&FLAGS, arguments, |name| std::env::var(name).ok())?;
    if flags.is_help_requested() {
        println!("Usage: jaycrank-bench [FLAGS]\n\nFlags:\n{}", flags::help(&FLAGS));
        return Ok(());
    }
    if flags.is_version_requested() {
        println!("jaycrank-bench {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    if let Some(argument) = flags.arguments().first() {
        return Err(Error::Usage(format!("unexpected argument `{argument}`")));
    }
    if flags.is_set("list") {
        for scenario in scenario::ALL {
            println!("{:<16} {}", scenario.name, scenario.summary);
        }
        return Ok(());
    }
    let seed = flags.value("seed", "a number, 0 to 18446744073709551615", |_| true)?;
    let selected = selected_scenarios(&flags)?;
    let level = events::level("error")
        .ok_or_else(|| Error::Failed("`error` is not a log level".to_owned()))?;
    events::init(level, events::Format::Text).map_err(|error| Error::Failed(error.to_string()))?;
    let mut outcomes = Vec::new();
    for scenario in selected {
        let outcome = scenario.evaluate(seed).map_err(|error| {
            Error::Failed(format!("scenario {} failed: {error}", scenario.name))
        })?;
        print_outcome(&outcome, flags.is_set("json"))?;
        outcomes.push(outcome);
    }
    let file = flags.text("report")?;
    if !file.is_empty() {
        let page = report::html(&outcomes).map_err(Error::Failed)?;
        fs::write(file, page).map_err(|error| Error::Failed(format!("{file}: {error}")))?;
    }
    let missed: Vec<&str> = outcomes
        .iter()
        .filter(|outcome| !outcome.is_pass())
        .map(|outcome| outcome.scenario())
        .collect();
    if missed.is_empty() {
        return Ok(());
    }
    Err(Error::Failed(format!("targets missed in: {}", missed.join(", "))))
}

fn selected_scenarios(flags: &Flags) -> Result<Vec<&'static Scenario>, Error> {
    let name = flags.text("scenario")?;
    match (name, flags.is_set("all")) {
        ("", true) => Ok(scenario::ALL.iter().collect()),
        ("", false) => {
            Err(Error::Usage("one of --list, --scenario and --all must be given".to_owned()))
        }
        (_, true) => Err(Error::Usage("--scenario and --all exclude each other".to_owned())),
        (name, false) => match Scenario::find(name) {
            Some(scenario) => Ok(vec![scenario]),
            None => {
                let names: Vec<&str> = scenario::ALL.iter().map(|scenario| scenario.name).collect();
                Err(Error::Usage(format!(
                    "--scenario: `{name}` is not accepted; accepted: {}",
                    names.join(", ")
                )))
            }
        },
    }
}

fn print_outcome(outcome: &Outcome, json: bool) -> Result<(), Error> {
    if json {
        let line = serde_json::to_string(outcome);
        println!("{}", line.map_err(|error| Error::Failed(error.to_string()))?);
        return Ok(());
    }
    let verdict = if outcome.is_pass() { "pass" } else { "target missed" };
    println!("{}: {verdict}", outcome.scenario());
    for (name, figure) in outcome.figures() {
        let target = outcome.targets().get(name);
        let missed = target.is_some_and(|target| !target.is_met(*figure));
        let baseline = outcome.baseline().get(name);
        let baseline = baseline.map_or(String::new(), |figure| format!(", baseline {figure:.4}"));
        println!("  {name} {figure:.4}{baseline}{}", if missed { ", missed" } else { "" });
    }
    Ok(())
}
