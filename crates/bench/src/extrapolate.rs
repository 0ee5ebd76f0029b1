//! From the control cost at small sizes to a node of full size.

use std::time::Duration;

use jaycrank_instance::membership::GOSSIPED_PEERS_MAX;

use crate::outcome::Figures;
use crate::stat::Line;

/// Time between heartbeats at full size.
pub const HEARTBEAT: Duration = Duration::from_secs(1);

/// Size from which each axis differs in one dimension.
pub const BASE: Size = Size { instances: 6, members: 10, leafs: 90, branches: 50 };

/// Assumed size of a node at full size: heartbeats with 14 peers and two instances of other cells,
/// 320 leafs, 200 members with demand in the cell, and 2,000 branches.
const FULL_PEERS: f64 = 16.0;
const FULL_MEMBERS: f64 = 200.0;
const FULL_LEAFS: f64 = 320.0;
const FULL_BRANCHES: f64 = 2_000.0;

/// Cells of the fleet, instances of a cell and configuration changes a second at full size.
const FULL_CELLS: f64 = 350.0;
pub const CELL: f64 = 15.0;
const EDITS_PER_S: f64 = 0.7;

/// Membership changes a second at full size: one in 11 s.
const CHANGES_PER_S: f64 = 1.0 / 11.0;

/// Instances of other cells that each instance exchanges heartbeats with in an interval.
const FOREIGN: f64 = 2.0;

/// Expected number of cells without an edit below which it counts as in force everywhere.
pub const CELLS_LEFT: f64 = 0.01;

/// Size of a cell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// Instances of the cell.
    pub instances: usize,
    /// Members with demand.
    pub members: usize,
    /// Leafs in the partition maps.
    pub leafs: usize,
    /// Branches of the settings.
    pub branches: usize,
}

/// What was measured at one size, for one instance.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Size of the cell.
    pub size: Size,
    /// Cores used.
    pub cores: f64,
    /// Bytes of heartbeats a second, sent and received, without HTTP headers.
    pub heartbeat_bytes: f64,
    /// Heartbeats sent a second, requests and replies.
    pub heartbeats: f64,
    /// Size of an instance's report of its tallies, which its peers pull once a second.
    pub report_bytes: f64,
    /// Memory, in bytes.
    pub memory: f64,
    /// Size of the settings document.
    pub document: f64,
    /// CPU time of an edit, in seconds.
    pub edit_cpu: f64,
    /// Longest time from the acceptance of an edit until it is in force everywhere, in seconds.
    pub spread: f64,
    /// Reads of the store during all edits, which go through one instance that had made none.
    pub edit_reads: f64,
    /// Reads of the store for the start of an instance.
    pub start_reads: f64,
    /// Bytes of heartbeats of a membership change at an instance, beyond those without a change.
    pub change_bytes: f64,
}

/// Heartbeat rounds of an epidemic over all cells, starting from one, until the expected number
/// of cells without the edit is below [`CELLS_LEFT`].
fn rounds() -> f64 {
    let (mut left, mut rounds) = (FULL_CELLS - 1.0, 0.0);
    while left > CELLS_LEFT {
        let sent = (FULL_CELLS - left) * CELL * FOREIGN;
        left *= (1.0 - 1.0 / FULL_CELLS).powf(sent);
        rounds += 1.0;
    }
    rounds
}

/// Fits a figure over the points that differ from the base in one dimension.
fn fit(
    points: &[Point],
    is_on_axis: impl Fn(&Size) -> bool,
    x: impl Fn(&Size) -> usize,
    y: impl Fn(&Point) -> f64,
) -> Line {
    let on_axis = points.iter().filter(|point| is_on_axis(&point.size));
    let chosen: Vec<(f64, f64)> = on_axis.map(|point| (x(&point.size) as f64, y(point))).collect();
    Line::fit(&chosen).unwrap_or(Line { slope: f64::NAN, intercept: f64::NAN })
}

fn by_peers(points: &[Point], y: impl Fn(&Point) -> f64) -> Line {
    let is_on_axis = |size: &Size| Size { instances: BASE.instances, ..*size } == BASE;
    fit(points, is_on_axis, |size| size.instances - 1, y)
}

fn by_members(points: &[Point], y: impl Fn(&Point) -> f64) -> Line {
    let is_on_axis = |size: &Size| *size == BASE || size.members != BASE.members;
    fit(points, is_on_axis, |size| size.members, y)
}

fn by_leafs(points: &[Point], y: impl Fn(&Point) -> f64) -> Line {
    fit(points, |size| Size { leafs: BASE.leafs, ..*size } == BASE, |size| size.leafs, y)
}

fn by_branches(points: &[Point], y: impl Fn(&Point) -> f64) -> Line {
    fit(points, |size| Size { branches: BASE.branches, ..*size } == BASE, |size| size.branches, y)
}

/// Value at full size: the base, and each axis by its slope. Members are told to each peer, so
/// `per_peer` scales their slope with the number of peers.
fn at_full(points: &[Point], y: impl Fn(&Point) -> f64 + Copy, per_peer: bool) -> f64 {
    let base = BASE.instances as f64 - 1.0;
    let scale = if per_peer { FULL_PEERS / base } else { 1.0 };
    by_peers(points, y).value_at(FULL_PEERS)
        + by_members(points, y).slope * (FULL_MEMBERS - BASE.members as f64) * scale
        + by_leafs(points, y).slope * (FULL_LEAFS - BASE.leafs as f64)
        + by_branches(points, y).slope * (FULL_BRANCHES - BASE.branches as f64)
}

/// Slopes, intercepts and the node of full size. `headers` are the bytes of HTTP headers of an
/// exchange, `claim` the lines of the CPU time in microseconds and of the memory in bytes by number
/// of claims, and `process` the memory of the process before the first cell.
pub fn figures(points: &[Point], headers: f64, claim: [Line; 2], process: f64) -> Figures {
    let cores = |point: &Point| point.cores;
    let bytes = |point: &Point| point.heartbeat_bytes;
    let memory = |point: &Point| point.memory;
    let edit_cpu = by_branches(points, |point| point.edit_cpu);
    let document = by_branches(points, |point| point.document);
    let report = by_members(points, |point| point.report_bytes);
    let spread = by_peers(points, |point| point.spread);
    let cell_spread = spread.value_at(CELL - 1.0).max(0.0);
    let messages = by_peers(points, |point| point.heartbeats);
    // An exchange is one heartbeat sent and one received, with headers both ways.
    let heartbeats = at_full(points, bytes, true) + headers * messages.value_at(FULL_PEERS);
    // Each instance gets the report of each peer of its cell once a second and sends its own to
    // each, and gets and sends each new settings document once. More than one pull is possible.
    let reports = 2.0 * (CELL - 1.0) * report.value_at(FULL_MEMBERS);
    // A change names all known peers to each peer, at most 32 in a heartbeat.
    let change = by_peers(points, |point| point.change_bytes);
    let changes = change.value_at(GOSSIPED_PEERS_MAX as f64).max(0.0) * CHANGES_PER_S;
    let reads = by_branches(points, |point| point.edit_reads);
    let start_reads = by_branches(points, |point| point.start_reads);
    let settings = 2.0 * EDITS_PER_S * document.value_at(FULL_BRANCHES);
    Figures::from([
        (
            "control_core_fraction",
            at_full(points, cores, true) + EDITS_PER_S * edit_cpu.value_at(FULL_BRANCHES),
        ),
        ("control_memory_mb", (process + at_full(points, memory, false)) / 1e6),
        ("control_kb_per_s", (heartbeats + reports + settings + changes) / 1e3),
        ("control_kb_per_s_changes", changes / 1e3),
        ("change_bytes_slope_peer", change.slope),
        ("change_bytes_intercept", change.intercept),
        ("store_reads_of_start_slope_branch", start_reads.slope),
        ("store_reads_of_start_intercept", start_reads.intercept),
        ("store_reads_of_edits_slope_branch", reads.slope),
        ("store_reads_of_edits_intercept", reads.intercept),
        ("control_kb_per_s_heartbeats", heartbeats / 1e3),
        ("control_kb_per_s_reports", reports / 1e3),
        ("control_kb_per_s_settings", settings / 1e3),
        ("config_in_force_s", rounds() * (HEARTBEAT.as_secs_f64() + cell_spread)),
        ("config_rounds", rounds()),
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
        ("cpu_us_slope_claim", claim[0].slope),
        ("cpu_us_intercept_claim", claim[0].intercept),
        ("heartbeat_bytes_per_s_slope_peer", by_peers(points, bytes).slope),
        ("heartbeat_bytes_per_s_intercept_peer", by_peers(points, bytes).intercept),
        ("heartbeat_bytes_per_s_slope_member", by_members(points, bytes).slope),
        ("heartbeat_bytes_per_s_intercept_member", by_members(points, bytes).intercept),
        ("heartbeats_per_s_slope_peer", messages.slope),
        ("heartbeats_per_s_intercept_peer", messages.intercept),
        ("header_bytes_per_exchange", headers),
        ("report_bytes_slope_member", report.slope),
        ("report_bytes_intercept", report.intercept),
        ("document_bytes_slope_branch", document.slope),
        ("document_bytes_intercept", document.intercept),
        ("memory_kb_slope_peer", by_peers(points, memory).slope / 1e3),
        ("memory_kb_slope_member", by_members(points, memory).slope / 1e3),
        ("memory_kb_slope_leaf", by_leafs(points, memory).slope / 1e3),
        ("memory_kb_slope_branch", by_branches(points, memory).slope / 1e3),
        ("memory_kb_intercept_peer", by_peers(points, memory).intercept / 1e3),
        ("memory_kb_slope_claim", claim[1].slope / 1e3),
        ("memory_kb_intercept_claim", claim[1].intercept / 1e3),
        ("memory_mb_process", process / 1e6),
        ("sizes", points.len() as f64),
    ])
}
