//! The event catalogue matches the events in the code.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jaycrank_event::Event;
use strum::IntoEnumIterator;

const CATALOGUE: &str = include_str!("../../../docs/events.md");

/// Returns the rows of the catalogue: level and text by code.
fn rows() -> BTreeMap<String, (String, String)> {
    let rows = CATALOGUE.lines().filter(|line| line.starts_with("| JC"));
    rows.map(|line| {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        (cells[1].to_owned(), (cells[2].to_owned(), cells[3].to_owned()))
    })
    .collect()
}

/// Guards against an event that operators can't look up, and a row of an event that was removed.
#[test]
fn catalogue_lists_exactly_the_events_of_the_code() {
    let events = Event::iter().map(|event| {
        let level = event.level().as_str().to_owned();
        (event.code().to_owned(), (level, event.text().to_owned()))
    });
    assert_eq!(rows(), events.collect());
}

/// Guards against two events with the same code.
#[test]
fn event_codes_are_unique() {
    let codes: Vec<&str> = Event::iter().map(Event::code).collect();
    let unique: BTreeSet<&str> = codes.iter().copied().collect();
    assert_eq!(codes.len(), unique.len());
}
