//! The subcommand `traffic`: messages and bytes of a fleet, from its logs.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fs;
use std::io;
use std::io::Read;

use jaycrank_event::Event;
use jaycrank_gateway::traffic;
use jaycrank_gateway::traffic::Counts;
use serde_json::Value;
use smol_str::SmolStr;

use crate::command::Error;
use crate::command::parse_flags;
use crate::command::print;

/// Prints the sum of the counts that the instances logged last before their end. Without a file, the
/// log is read from standard input.
///
/// # Errors
///
/// [`Error::Usage`] for wrong arguments, [`Error::Failed`] if a file can't be read or has no counts.
pub fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    let Some(flags) = parse_flags(&[], arguments, "traffic [LOG...]")? else { return Ok(()) };
    let mut text = String::new();
    if flags.arguments().is_empty() {
        io::stdin()
            .read_to_string(&mut text)
            .map_err(|error| Error::Failed(format!("standard input: {error}")))?;
    }
    for path in flags.arguments() {
        let log = fs::read(path).map_err(|error| Error::Failed(format!("{path}: {error}")))?;
        text.push_str(&String::from_utf8_lossy(&log));
        text.push('\n');
    }
    let counts = sum(&text);
    if counts.is_empty() {
        let code = Event::TrafficCounted.code();
        return Err(Error::Failed(format!("no line of {code} with counts in the log")));
    }
    print(&traffic::table(&counts))
}

/// Returns the sum over all processes of the counts that each logged last. Text before the JSON
/// object of a line is ignored.
pub fn sum(log: &str) -> Counts {
    let mut sum = Counts::new();
    let mut last: BTreeMap<SmolStr, Counts> = BTreeMap::new();
    for (instance, counts) in log.lines().filter_map(parse_line) {
        // Counts that fall belong to a new process.
        if let Some(before) = last.insert(instance.clone(), counts)
            && is_restarted(&before, &last[&instance])
        {
            traffic::add_counts(&mut sum, &before);
        }
    }
    last.values().for_each(|counts| traffic::add_counts(&mut sum, counts));
    sum
}

fn is_restarted(before: &Counts, after: &Counts) -> bool {
    before
        .iter()
        .any(|(name, count)| after.get(name).is_none_or(|after| after.messages < count.messages))
}

fn parse_line(line: &str) -> Option<(SmolStr, Counts)> {
    let start = line.find('{')?;
    if !line.contains(Event::TrafficCounted.code()) {
        return None;
    }
    let object: Value = serde_json::from_str(&line[start..]).ok()?;
    let fields = object.get("kv").unwrap_or(&object);
    let text = |name: &str| fields.get(name).and_then(Value::as_str);
    Some((text("instance")?.into(), traffic::parse_counts(text("counts")?)))
}
