//! Extrapolation of control costs measured in small cells to an instance at full size.

use std::time::Duration;

use jaycrank_instance::membership::GOSSIPED_PEERS_MAX;

use crate::outcome::Figures;
use crate::stat::Line;

/// Heartbeat interval, in the measured cells and at full size.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Size from which the measured sizes of each axis differ.
pub const BASE_SIZE: Size = Size { instances: 6, members: 10, leafs: 90, branches: 50 };

/// Assumed full size, seen from one instance: it exchanges heartbeats with 14 peers of its cell and
/// two instances of other cells, and has 320 leafs, 200 members with demand and 2,000 branches.
const FULL_PEERS: f64 = 16.0;
const FULL_MEMBERS: f64 = 200.0;
const FULL_LEAFS: f64 = 320.0;
const FULL_BRANCHES: f64 = 2_000.0;

/// Number of cells at full size.
const FULL_CELLS: f64 = 350.0;

/// Instances of a cell at full size.
pub const CELL_INSTANCES: f64 = 15.0;

/// Settings edits per second at full size.
const EDITS_PER_S: f64 = 0.7;

/// Membership changes per second at full size: one in 11 s.
const MEMBERSHIP_CHANGES_PER_S: f64 = 1.0 / 11.0;

/// Instances of other cells with which each instance exchanges heartbeats in an interval.
const FOREIGN_PEERS: f64 = 2.0;

/// Expected number of cells without an edit, up to which the edit counts as in force everywhere.
pub const UNREACHED_CELLS_MAX: f64 = 0.01;

/// Dimensions of a cell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// Number of instances.
    pub instances: usize,
    /// Number of members with demand.
    pub members: usize,
    /// Number of leafs in the shard maps.
    pub leafs: usize,
    /// Number of settings branches.
    pub branches: usize,
}

/// Measurements of one instance in a cell of one size.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Dimensions of the cell.
    pub size: Size,
    /// CPU cores used.
    pub cores: f64,
    /// Heartbeat bytes per second, sent and received, without HTTP headers.
    pub heartbeat_bytes_per_s: f64,
    /// Heartbeats sent per second, both requests and replies.
    pub heartbeats_per_s: f64,
    /// Size of an instance's tally report, which its peers pull once per second.
    pub report_bytes: f64,
    /// Memory of the instance.
    pub memory_bytes: f64,
    /// Size of the settings document.
    pub document_bytes: f64,
    /// CPU time of an edit at one instance.
    pub edit_cpu_s: f64,
    /// Longest time from the acceptance of an edit until it is in force at all instances.
    pub spread_s: f64,
    /// Store reads during all edits of a cell, which go through an instance that made none before.
    pub edit_reads: f64,
    /// Store reads for the start of an instance.
    pub start_reads: f64,
    /// Heartbeat bytes that a membership change adds at an instance.
    pub change_bytes: f64,
}

/// Returns the heartbeat rounds that gossip takes from one cell until the expected number of cells
/// without the edit is at most [`UNREACHED_CELLS_MAX`].
fn gossip_rounds() -> f64 {
    let (mut unreached, mut rounds) = (FULL_CELLS - 1.0, 0.0);
    while unreached > UNREACHED_CELLS_MAX {
        let sent = (FULL_CELLS - unreached) * CELL_INSTANCES * FOREIGN_PEERS;
        unreached *= (1.0 - 1.0 / FULL_CELLS).powf(sent);
        rounds += 1.0;
    }
    rounds
}

/// Fits a line to a figure over the points of one axis; NaN if there are fewer than three.
fn fit(
    points: &[Point],
    is_on_axis: impl Fn(&Size) -> bool,
    x: impl Fn(&Size) -> usize,
    y: impl Fn(&Point) -> f64,
) -> Line {
    let on_axis = points.iter().filter(|point| is_on_axis(&point.size));
    let figure_points: Vec<(f64, f64)> =
        on_axis.map(|point| (x(&point.size) as f64, y(point))).collect();
    Line::fit(&figure_points).unwrap_or(Line { slope: f64::NAN, intercept: f64::NAN })
}

fn by_peers(points: &[Point], y: impl Fn(&Point) -> f64) -> Line {
    let is_on_axis = |size: &Size| Size { instances: BASE_SIZE.instances, ..*size } == BASE_SIZE;
    fit(points, is_on_axis, |size| size.instances - 1, y)
}

fn by_members(points: &[Point], y: impl Fn(&Point) -> f64) -> Line {
    let is_on_axis = |size: &Size| *size == BASE_SIZE || size.members != BASE_SIZE.members;
    fit(points, is_on_axis, |size| size.members, y)
}

fn by_leafs(points: &[Point], y: impl Fn(&Point) -> f64) -> Line {
    fit(points, |size| Size { leafs: BASE_SIZE.leafs, ..*size } == BASE_SIZE, |size| size.leafs, y)
}

fn by_branches(points: &[Point], y: impl Fn(&Point) -> f64) -> Line {
    fit(
        points,
        |size| Size { branches: BASE_SIZE.branches, ..*size } == BASE_SIZE,
        |size| size.branches,
        y,
    )
}

/// Extrapolates a figure to full size by adding the slope of each axis.
///
/// With `per_peer`, the slope of members grows with the number of peers, because an instance sends
/// the demand of its members to each peer.
fn at_full(points: &[Point], y: impl Fn(&Point) -> f64 + Copy, per_peer: bool) -> f64 {
    let base_peers = BASE_SIZE.instances as f64 - 1.0;
    let scale = if per_peer { FULL_PEERS / base_peers } else { 1.0 };
    by_peers(points, y).value_at(FULL_PEERS)
        + by_members(points, y).slope * (FULL_MEMBERS - BASE_SIZE.members as f64) * scale
        + by_leafs(points, y).slope * (FULL_LEAFS - BASE_SIZE.leafs as f64)
        + by_branches(points, y).slope * (FULL_BRANCHES - BASE_SIZE.branches as f64)
}

/// Returns slopes, intercepts and the control cost of an instance at full size.
///
/// `header_bytes` is the size of the HTTP headers of a heartbeat exchange. `claim_lines` are the
/// CPU time in microseconds and the memory in bytes by number of claims. `process_bytes` is the
/// memory of the process before the first cell.
pub fn figures(
    points: &[Point],
    header_bytes: f64,
    claim_lines: [Line; 2],
    process_bytes: f64,
) -> Figures {
    let cores = |point: &Point| point.cores;
    let bytes = |point: &Point| point.heartbeat_bytes_per_s;
    let memory = |point: &Point| point.memory_bytes;
    let edit_cpu = by_branches(points, |point| point.edit_cpu_s);
    let document = by_branches(points, |point| point.document_bytes);
    let report = by_members(points, |point| point.report_bytes);
    let spread = by_peers(points, |point| point.spread_s);
    let cell_spread = spread.value_at(CELL_INSTANCES - 1.0).max(0.0);
    let heartbeat_rate = by_peers(points, |point| point.heartbeats_per_s);
    // An exchange is one heartbeat sent and one received, each with HTTP headers.
    let heartbeat_bytes =
        at_full(points, bytes, true) + header_bytes * heartbeat_rate.value_at(FULL_PEERS);
    // Each instance receives the report of each peer of its cell once per second and sends its own
    // to each. It receives and sends each new settings document once; further pulls are possible
    // and not counted.
    let report_bytes = 2.0 * (CELL_INSTANCES - 1.0) * report.value_at(FULL_MEMBERS);
    // After a change, heartbeats name all known peers to each peer, at most 32 in a heartbeat.
    let change = by_peers(points, |point| point.change_bytes);
    let change_bytes =
        change.value_at(GOSSIPED_PEERS_MAX as f64).max(0.0) * MEMBERSHIP_CHANGES_PER_S;
    let edit_reads = by_branches(points, |point| point.edit_reads);
    let start_reads = by_branches(points, |point| point.start_reads);
    let settings_bytes = 2.0 * EDITS_PER_S * document.value_at(FULL_BRANCHES);
    Figures::from([
        (
            "control_core_fraction",
            at_full(points, cores, true) + EDITS_PER_S * edit_cpu.value_at(FULL_BRANCHES),
        ),
        ("control_memory_mb", (process_bytes + at_full(points, memory, false)) / 1e6),
        (
            "control_kb_per_s",
            (heartbeat_bytes + report_bytes + settings_bytes + change_bytes) / 1e3,
        ),
        ("control_kb_per_s_changes", change_bytes / 1e3),
        ("change_bytes_slope_peer", change.slope),
        ("change_bytes_intercept", change.intercept),
        ("store_reads_of_start_slope_branch", start_reads.slope),
        ("store_reads_of_start_intercept", start_reads.intercept),
        ("store_reads_of_edits_slope_branch", edit_reads.slope),
        ("store_reads_of_edits_intercept", edit_reads.intercept),
        ("control_kb_per_s_heartbeats", heartbeat_bytes / 1e3),
        ("control_kb_per_s_reports", report_bytes / 1e3),
        ("control_kb_per_s_settings", settings_bytes / 1e3),
        ("config_in_force_s", gossip_rounds() * (HEARTBEAT_INTERVAL.as_secs_f64() + cell_spread)),
        ("config_rounds", gossip_rounds()),
        ("config_spread_ms_at_cell", cell_spread * 1e3),
        ("config_spread_ms_slope_peer", spread.slope * 1e3),
        ("config_spread_ms_intercept", spread.intercept * 1e3),
        ("cpu_us_per_s_slope_peer", by_peers(points, cores).slope * 1e6),
        ("cpu_us_per_s_intercept_peer", by_peers(points, cores).intercept * 1e6),
        ("cpu_us_per_s_slope_member", by_members(points, cores).slope * 1e6),
        ("cpu_us_per_s_intercept_member", by_members(points, cores).intercept * 1e6),
        ("cpu_us_per_s_slope_leaf", by_leafs(points, cores).slope * 1e6),
        ("cpu_us_per_s_intercept_leaf", by_leafs(points, cores).intercept * 1e6),
        ("cpu_us_per_s_slope_branch", by_branches(points, cores).slope * 1e6),
        ("cpu_us_per_s_intercept_branch", by_branches(points, cores).intercept * 1e6),
        ("cpu_us_per_edit_slope_branch", edit_cpu.slope * 1e6),
        ("cpu_us_per_edit_intercept", edit_cpu.intercept * 1e6),
        ("cpu_us_slope_claim", claim_lines[0].slope),
        ("cpu_us_intercept_claim", claim_lines[0].intercept),
        ("heartbeat_bytes_per_s_slope_peer", by_peers(points, bytes).slope),
        ("heartbeat_bytes_per_s_intercept_peer", by_peers(points, bytes).intercept),
        ("heartbeat_bytes_per_s_slope_member", by_members(points, bytes).slope),
        ("heartbeat_bytes_per_s_intercept_member", by_members(points, bytes).intercept),
        ("heartbeats_per_s_slope_peer", heartbeat_rate.slope),
        ("heartbeats_per_s_intercept_peer", heartbeat_rate.intercept),
        ("header_bytes_per_exchange", header_bytes),
        ("report_bytes_slope_member", report.slope),
        ("report_bytes_intercept", report.intercept),
        ("document_bytes_slope_branch", document.slope),
        ("document_bytes_intercept", document.intercept),
        ("memory_kb_slope_peer", by_peers(points, memory).slope / 1e3),
        ("memory_kb_slope_member", by_members(points, memory).slope / 1e3),
        ("memory_kb_slope_leaf", by_leafs(points, memory).slope / 1e3),
        ("memory_kb_slope_branch", by_branches(points, memory).slope / 1e3),
        ("memory_kb_intercept_peer", by_peers(points, memory).intercept / 1e3),
        ("memory_kb_slope_claim", claim_lines[1].slope / 1e3),
        ("memory_kb_intercept_claim", claim_lines[1].intercept / 1e3),
        ("memory_mb_process", process_bytes / 1e6),
        ("sizes", points.len() as f64),
    ])
}
