//! Log events with stable codes. docs/events.md lists them all.
//!
//! [`event!`] logs one line for an event, with its details as key-value pairs. A separate thread
//! writes the lines from a bounded queue to standard output, so that a slow or missing reader never
//! blocks a request. [`rate_limit`] limits the lines per second of each event.

pub mod rate_limit;

use std::str::FromStr;
use std::sync::Arc;

use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::formatter::FullFormatter;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::AsyncPoolSink;
use spdlog::sink::OverflowPolicy;
use spdlog::sink::StdStreamSink;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;

/// Log event with a code, a level and a fixed text. Details are logged as key-value pairs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, Display)]
pub enum Event {
    /// Lines of an event were suppressed by the rate limit.
    LinesLeftOut,
    /// The instance is listening on its addresses.
    Listening,
    /// The instance accepts requests of callers.
    Ready,
    /// The instance is shutting down.
    Leaving,
    /// The instance stopped after completing its requests.
    Stopped,
    /// Connections of clients were closed or refused because there was no room for them.
    ConnectionsClosed,
    /// A revision of the settings is in force.
    SettingsApplied,
    /// A stored revision of the settings is invalid; the current one stays in force.
    SettingsInvalid,
    /// A new partition map of a service is in force.
    MapApplied,
    /// A stored partition map can't be decoded; the current one stays in force.
    MapInvalid,
    /// Settings and partition maps were fetched during startup.
    DocumentsObtained,
    /// An operator's edit was accepted.
    EditAccepted,
    /// The store does not respond; the instance continues with its current state.
    StoreUnavailable,
    /// The store responds again.
    StoreAvailable,
    /// The instance has become the owner of a claim partition.
    PartitionOwned,
    /// A claim partition could not be taken over; the takeover is retried.
    TakeoverFailed,
    /// A claim partition could not be handed over; the next owner fences this instance.
    HandOverFailed,
    /// A request was answered by leafs.
    RequestAnswered,
    /// A request was refused; it was not run.
    RequestRefused,
    /// A request failed without an answer; it may have run.
    RequestFailed,
    /// A request is to be sent again, as a retry or hedge, if the budget of extra requests allows.
    RequestResent,
    /// The caller of a request disconnected.
    RequestAbandoned,
    /// A request was refused because it crashes leafs, or is being tested for that.
    RequestQuarantined,
    /// A request was passed to another instance because this one is cut off from all leafs.
    RequestDelegated,
    /// A request is suspected of crashing leafs, though nothing shows that one ended.
    RequestSuspected,
    /// A version of the routes is in force.
    RoutesApplied,
    /// A stored version of the routes is invalid; the current one stays in force.
    RoutesInvalid,
    /// The entry of a leaf changed.
    LeafChanged,
    /// The entry of a leaf was removed.
    LeafLapsed,
    /// The entry of a leaf is invalid and is ignored.
    LeafInvalid,
    /// A leaf did not answer a request.
    LeafFailed,
    /// A leaf crashed with a request in flight.
    LeafCrashed,
    /// A leaf states another limit for its requests than before, or none.
    LeafLimited,
    /// A leaf states a limit that is not valid; the last one holds.
    LeafLimitInvalid,
    /// The instance is cut off from all leafs.
    LeafsUnreachable,
    /// The instance reaches leafs again.
    LeafsReachable,
    /// A leaf says that it leaves.
    LeafLeaving,
    /// A header of a leaf has a value that is not defined.
    LeafHeaderInvalid,
    /// A leaf asks for rest.
    LeafRests,
    /// A leaf takes requests again after its rest.
    LeafRested,
    /// The removal of a leaf's entry was not applied, because a later fact about the leaf is known.
    RemovalOutdated,
    /// The leafs were listed as a whole.
    LeafsListed,
    /// The instance received newer documents from a peer.
    PeerDocuments,
    /// Messages and bytes since the start, by kind and distance.
    TrafficCounted,
    /// The process settings were reloaded.
    Reloaded,
    /// The process settings can't be read; the current ones stay in force.
    ReloadFailed,
}

impl Event {
    /// Returns the code of the event, which is stable across releases.
    pub fn code(self) -> &'static str {
        match self {
            Self::LinesLeftOut => "JC0001",
            Self::Listening => "JC0101",
            Self::Ready => "JC0102",
            Self::Leaving => "JC0103",
            Self::Stopped => "JC0104",
            Self::ConnectionsClosed => "JC0105",
            Self::SettingsApplied => "JC0201",
            Self::SettingsInvalid => "JC0202",
            Self::MapApplied => "JC0203",
            Self::MapInvalid => "JC0204",
            Self::DocumentsObtained => "JC0205",
            Self::EditAccepted => "JC0206",
            Self::StoreUnavailable => "JC0301",
            Self::StoreAvailable => "JC0302",
            Self::PartitionOwned => "JC0401",
            Self::TakeoverFailed => "JC0402",
            Self::HandOverFailed => "JC0403",
            Self::RequestAnswered => "JC0501",
            Self::RequestRefused => "JC0502",
            Self::RequestFailed => "JC0503",
            Self::RequestResent => "JC0504",
            Self::RequestAbandoned => "JC0505",
            Self::RequestQuarantined => "JC0506",
            Self::RequestDelegated => "JC0507",
            Self::RequestSuspected => "JC0508",
            Self::RoutesApplied => "JC0601",
            Self::RoutesInvalid => "JC0602",
            Self::LeafChanged => "JC0701",
            Self::LeafLapsed => "JC0702",
            Self::LeafInvalid => "JC0703",
            Self::LeafFailed => "JC0704",
            Self::LeafCrashed => "JC0705",
            Self::LeafLimited => "JC0706",
            Self::LeafLimitInvalid => "JC0707",
            Self::LeafsUnreachable => "JC0708",
            Self::LeafsReachable => "JC0709",
            Self::LeafLeaving => "JC0710",
            Self::LeafHeaderInvalid => "JC0711",
            Self::LeafRests => "JC0712",
            Self::LeafRested => "JC0713",
            Self::RemovalOutdated => "JC0714",
            Self::LeafsListed => "JC0715",
            Self::PeerDocuments => "JC0801",
            Self::TrafficCounted => "JC0802",
            Self::Reloaded => "JC0901",
            Self::ReloadFailed => "JC0902",
        }
    }

    /// Returns the log level.
    pub fn level(self) -> Level {
        match self {
            Self::SettingsInvalid | Self::MapInvalid => Level::Error,
            Self::StoreUnavailable
            | Self::ConnectionsClosed
            | Self::TakeoverFailed
            | Self::HandOverFailed
            | Self::LinesLeftOut
            | Self::RequestFailed
            | Self::RoutesInvalid
            | Self::LeafInvalid
            | Self::LeafCrashed
            | Self::LeafLimitInvalid
            | Self::LeafHeaderInvalid
            | Self::LeafsUnreachable
            | Self::RequestQuarantined
            | Self::ReloadFailed => Level::Warn,
            _ => Level::Info,
        }
    }

    /// Returns the fixed text.
    pub fn text(self) -> &'static str {
        match self {
            Self::LinesLeftOut => "log lines were suppressed",
            Self::Listening => "instance is listening",
            Self::Ready => "instance is ready",
            Self::Leaving => "instance is leaving",
            Self::Stopped => "instance stopped",
            Self::ConnectionsClosed => "connections were closed or refused",
            Self::SettingsApplied => "settings are in force",
            Self::SettingsInvalid => "stored settings are not valid",
            Self::MapApplied => "partition map is in force",
            Self::MapInvalid => "stored partition map is not valid",
            Self::DocumentsObtained => "settings and partition maps were fetched",
            Self::EditAccepted => "edit was accepted",
            Self::StoreUnavailable => "store is unavailable",
            Self::StoreAvailable => "store is available again",
            Self::PartitionOwned => "claim partition was taken over",
            Self::TakeoverFailed => "claim partition could not be taken over",
            Self::HandOverFailed => "claim partition could not be handed over",
            Self::RequestAnswered => "request was answered",
            Self::RequestRefused => "request was refused and not run",
            Self::RequestFailed => "request failed without an answer and may have run",
            Self::RequestResent => "extra request to a leaf",
            Self::RequestAbandoned => "caller of the request disconnected",
            Self::RequestQuarantined => "request was refused because it may crash leafs",
            Self::RequestDelegated => "request was passed to another instance",
            Self::RequestSuspected => "request may crash leafs, without a sign that one ended",
            Self::RoutesApplied => "routes are in force",
            Self::RoutesInvalid => "stored routes are not valid",
            Self::LeafChanged => "entry of a leaf changed",
            Self::LeafLapsed => "entry of a leaf was removed",
            Self::LeafInvalid => "entry of a leaf is not valid",
            Self::LeafFailed => "leaf did not answer",
            Self::LeafCrashed => "leaf crashed with the request in flight",
            Self::LeafLimited => "limit of a leaf changed",
            Self::LeafLimitInvalid => "limit of a leaf is not valid",
            Self::LeafsUnreachable => "instance is cut off from all leafs",
            Self::LeafsReachable => "instance reaches leafs again",
            Self::LeafLeaving => "leaf says that it leaves",
            Self::LeafHeaderInvalid => "header of a leaf is not valid",
            Self::LeafRests => "leaf asks for rest",
            Self::LeafRested => "leaf takes requests again after its rest",
            Self::RemovalOutdated => "removal of a leaf's entry was not applied",
            Self::LeafsListed => "leafs were listed as a whole",
            Self::PeerDocuments => "newer documents were received from a peer",
            Self::TrafficCounted => "messages and bytes since the start",
            Self::Reloaded => "process settings were reloaded",
            Self::ReloadFailed => "process settings can't be read",
        }
    }
}

/// Logs an event with key-value pairs, whose values are formatted with `Display`.
///
/// A package that uses this macro must depend on `spdlog-rs`, because the macros of `spdlog-rs`
/// refer to that package by name.
#[macro_export]
macro_rules! event {
    ($event:expr $(, $key:ident = $value:expr)* $(,)?) => {{
        let event: $crate::Event = $event;
        if $crate::rate_limit::allow(event) {
            spdlog::log!(
                event.level(),
                "{}",
                event.text(),
                kv: { code = event.code() $(, $key: = $value)* }
            );
        }
    }};
}

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, EnumString, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Format {
    /// One JSON object per line.
    #[default]
    Json,
    /// Human-readable text.
    Text,
}

/// Installs the default logger, which writes all lines of at least `level` to standard output in
/// the given format.
///
/// Lines are dropped while the queue is full.
///
/// # Errors
///
/// Fails if the logger can't be built.
pub fn init(level: Level, format: Format) -> spdlog::Result<()> {
    let sink = StdStreamSink::builder().stdout();
    let sink = match format {
        Format::Json => sink.formatter(JsonFormatter::new()).build_arc()?,
        Format::Text => sink.formatter(FullFormatter::new()).build_arc()?,
    };
    let filter = LevelFilter::MoreSevereEqual(level);
    let queue = AsyncPoolSink::builder()
        .sink(sink)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()?;
    let logger: Arc<Logger> = Logger::builder()
        .sink(queue)
        .level_filter(filter)
        .flush_level_filter(LevelFilter::MoreSevereEqual(Level::Info))
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Parses the name of a level: `critical`, `error`, `warn`, `info`, `debug` or `trace`.
pub fn level(name: &str) -> Option<Level> {
    Level::from_str(name).ok()
}
