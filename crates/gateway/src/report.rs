//! State dumps of instances, and an overview of a fleet built from them.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use jaycrank_http::Client;
use jaycrank_policy::memory::Usage;
use jaycrank_policy::quarantine::Observation;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::catalog::Entry;
use crate::config::Version;
use crate::traffic::Counts;

/// HTTP path of the state dump.
pub(crate) const DUMP_PATH: &str = "/dump";
/// Timeout for fetching a state dump. An instance that takes longer is overloaded or stuck.
const DUMP_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest state dump, in bytes.
const DUMP_BYTES_MAX: usize = 16 << 20;
/// Consecutive failures from which on a leaf counts as failing.
const FAILING_FAILURES_MIN: u32 = 2;

/// State dump of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Dump {
    /// Name of the instance.
    pub name: SmolStr,
    /// Version of the configuration in force.
    pub version: Option<Version>,
    /// Revision of the catalog up to which the leafs are known.
    pub revision: u64,
    /// Whether configuration or leafs can't be followed now.
    pub catalog_lost: bool,
    /// Time that runnable tasks wait for the processor, in microseconds.
    pub processor_delay_us: u64,
    /// Requests in progress.
    pub requests: usize,
    /// Requests that ended since the start, by outcome.
    pub outcomes: BTreeMap<SmolStr, u64>,
    /// Extra requests that may be sent now, by service.
    pub budgets: BTreeMap<SmolStr, f64>,
    /// Status of each leaf.
    pub leafs: Vec<LeafStatus>,
    /// Requests that are suspected or refused because leafs crashed, by fingerprint in hexadecimal.
    #[serde(default)]
    pub quarantine: BTreeMap<SmolStr, Observation>,
    /// Limits that leafs state, by leaf.
    #[serde(default)]
    pub limits: BTreeMap<SmolStr, LimitStatus>,
    /// Messages and bytes since the start, by kind and distance.
    #[serde(default)]
    pub traffic: Counts,
    /// Memory for `requests`, `answers` and `messages` of other instances.
    #[serde(default)]
    pub memory: BTreeMap<SmolStr, Usage>,
}

/// Limit that a leaf states, and the tokens of the instance for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitStatus {
    /// Requests a second from all instances together.
    pub rate: f64,
    /// Milliseconds since an instance received the last answer with it.
    pub age_ms: u64,
    /// Requests that the instance may send now.
    pub tokens: u32,
    /// Milliseconds until the instance may get another token.
    pub wait_ms: u64,
    /// Address of the instance that grants the tokens.
    pub owner: Option<SmolStr>,
}

/// Status of a leaf as an instance sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeafStatus {
    /// Entry of the leaf.
    pub entry: Entry,
    /// `listed`, `draining`, `leaving` or `lapsed`.
    pub state: SmolStr,
    /// Requests of the instance that are in flight at the leaf.
    pub in_flight: usize,
    /// Consecutive failures.
    pub failures: u32,
    /// Milliseconds until the end of the rest that the leaf asked for.
    #[serde(default)]
    pub rest_ms: u64,
}

/// State dump of an instance, or the reason why it could not be fetched.
pub type DumpResult = Result<Dump, SmolStr>;

/// Fetches the state dump of an instance from its admin address.
///
/// # Errors
///
/// Returns a description of the failure.
pub async fn fetch(address: SocketAddr) -> DumpResult {
    let client = Client::new(address).with_reply_bytes_max(DUMP_BYTES_MAX);
    let request = Request::get(DUMP_PATH).header("host", "instance").body(Full::<Bytes>::default());
    let request = request.map_err(|error| format_smolstr!("{error}"))?;
    let response =
        client.call(request, DUMP_TIMEOUT).await.map_err(|error| format_smolstr!("{error}"))?;
    if response.status() != StatusCode::OK {
        return Err(format_smolstr!("status {}", response.status().as_u16()));
    }
    serde_json::from_slice(response.body()).map_err(|error| format_smolstr!("{error}"))
}

/// Formats an overview of a fleet: one line for each instance, the versions in force, and the total
/// of each outcome.
pub fn overview(fleet: &BTreeMap<SocketAddr, DumpResult>) -> String {
    let mut text = format!(
        "{:<22}{:<22}{:>8} {:<8}{:>9}{:>10}  {:<28}{}\n",
        "ADDRESS",
        "INSTANCE",
        "VERSION",
        "CATALOG",
        "DELAY ms",
        "UNDER WAY",
        "LEAFS",
        "LEAST BUDGET"
    );
    let mut versions: BTreeMap<Option<Version>, usize> = BTreeMap::new();
    let mut outcomes: BTreeMap<&SmolStr, u64> = BTreeMap::new();
    for (address, answer) in fleet {
        let line = match answer {
            Ok(dump) => {
                *versions.entry(dump.version).or_default() += 1;
                for (outcome, count) in &dump.outcomes {
                    *outcomes.entry(outcome).or_default() += count;
                }
                format_instance(dump)
            }
            Err(error) => format!("no answer: {error}"),
        };
        // Writing to a string does not fail.
        let _ = writeln!(text, "{:<22}{}", address.to_string(), line.trim_end());
    }
    let versions =
        versions.iter().map(|(known, count)| format!("{} at {count}", format_version(*known)));
    let outcomes = outcomes.iter().map(|(outcome, count)| format!("{outcome} {count}"));
    let _ = writeln!(text, "versions in force: {}", join(versions));
    let _ = write!(text, "outcomes since the start: {}", join(outcomes));
    text
}

fn format_instance(dump: &Dump) -> String {
    let least = dump.budgets.iter().min_by(|a, b| a.1.total_cmp(b.1));
    let least = least.map(|(service, tokens)| format!("{service} {tokens:.1}"));
    format!(
        "{:<22}{:>8} {:<8}{:>9.1}{:>10}  {:<28}{}",
        dump.name,
        format_version(dump.version),
        if dump.catalog_lost { "lost" } else { "followed" },
        dump.processor_delay_us as f64 / 1e3,
        dump.requests,
        format_leafs(&dump.leafs, dump.limits.len()),
        least.unwrap_or_default()
    )
}

/// Formats the number of leafs by state, of failing ones and of those that state a limit.
fn format_leafs(leafs: &[LeafStatus], limited: usize) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for leaf in leafs {
        *counts.entry(&leaf.state).or_default() += 1;
        if leaf.failures >= FAILING_FAILURES_MIN {
            *counts.entry("failing").or_default() += 1;
        }
        if leaf.rest_ms > 0 {
            *counts.entry("resting").or_default() += 1;
        }
    }
    if limited > 0 {
        counts.insert("limited", limited);
    }
    join(counts.iter().map(|(state, count)| format!("{count} {state}")))
}

fn format_version(version: Option<Version>) -> String {
    version.map_or("none".to_owned(), |version| version.to_string())
}

fn join(parts: impl Iterator<Item = String>) -> String {
    parts.collect::<Vec<_>>().join(", ")
}
