//! Scenarios and their targets.

use std::io;

use crate::claims;
use crate::config;
use crate::crash_request;
use crate::crossed;
use crate::fairness;
use crate::flood;
use crate::hot_path;
use crate::misleading;
use crate::outcome::Comparison;
use crate::outcome::Comparison::AtLeast;
use crate::outcome::Comparison::AtMost;
use crate::outcome::Measurement;
use crate::outcome::Outcome;
use crate::replica_loss;
use crate::retry_storm;
use crate::shutdown;
use crate::silent;
use crate::slopes;
use crate::snapshot_roll;
use crate::store_outage;
use crate::straggler;

/// A benchmark scenario.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Name on the command line and in the results.
    pub name: &'static str,
    /// One-line description for `--list`.
    pub summary: &'static str,
    /// Name, comparison and bound of each figure that has a target.
    pub targets: &'static [(&'static str, Comparison, f64)],
    /// Runs the scenario with a seed for load and failures.
    pub run: fn(u64) -> io::Result<Measurement>,
}

impl Scenario {
    /// Returns the scenario with this name.
    pub fn find(name: &str) -> Option<&'static Self> {
        ALL.iter().find(|scenario| scenario.name == name)
    }

    /// Runs the scenario and compares its figures with the targets.
    ///
    /// # Errors
    ///
    /// Returns the error of [`Self::run`], such as a test tier that can't be started or controlled.
    pub fn evaluate(&self, seed: u64) -> io::Result<Outcome> {
        Ok(Outcome::new(self.name, seed, self.targets, (self.run)(seed)?))
    }
}

/// All scenarios, in the order in which `--all` runs them.
pub const ALL: &[Scenario] = &[
    Scenario {
        name: "straggler",
        summary: "1% of sub-requests take 20 times as long, one replica in 15 always 10 times",
        targets: &[
            ("p99_over_baseline", AtMost, 0.35),
            ("p99_over_calm", AtMost, 1.3),
            ("extra_load", AtMost, 0.05),
            ("complete_fraction", AtLeast, 0.999),
        ],
        run: straggler::run,
    },
    Scenario {
        name: "flood-least",
        summary: "the least urgent rank offers 10 times capacity",
        targets: &[
            ("urgent_on_time", AtLeast, 0.999),
            ("urgent_p99_over_calm", AtMost, 1.3),
            ("middle_kept_of_floor", AtLeast, 0.95),
            ("least_kept_of_floor", AtLeast, 0.95),
            ("goodput_of_capacity", AtLeast, 0.9),
        ],
        run: flood::run_least,
    },
    Scenario {
        name: "flood-urgent",
        summary: "the most urgent rank offers 10 times capacity",
        targets: &[
            ("middle_kept_of_floor", AtLeast, 0.95),
            ("least_kept_of_floor", AtLeast, 0.95),
            ("goodput_of_capacity", AtLeast, 0.9),
        ],
        run: flood::run_urgent,
    },
    Scenario {
        name: "fairness",
        summary: "8 members, one offers 20 times the others through 2 of 6 instances",
        targets: &[
            ("jain_of_saturated", AtLeast, 0.99),
            ("small_member_served", AtLeast, 0.999),
            ("worst_coverage_difference", AtMost, 0.002),
            ("tally_mismatches", AtMost, 0.0),
        ],
        run: fairness::run,
    },
    Scenario {
        name: "misleading",
        summary: "a third of the servers report no load while 10 times slower, one reports full",
        targets: &[("p99_over_baseline", AtMost, 0.35)],
        run: misleading::run,
    },
    Scenario {
        name: "replica-loss",
        summary: "three groups lose a leaf, which restarts cold; a failure domain is unreachable",
        targets: &[("complete_fraction", AtLeast, 0.999), ("p99_over_calm", AtMost, 1.5)],
        run: replica_loss::run,
    },
    Scenario {
        name: "snapshot-roll",
        summary: "index versions are rolled out to the leafs while groups are split and merged",
        targets: &[
            ("mixed_answers", AtMost, 0.0),
            ("untrue_coverage", AtMost, 0.0),
            ("complete_fraction", AtLeast, 0.999),
        ],
        run: snapshot_roll::run,
    },
    Scenario {
        name: "crossed",
        summary: "replies are late, duplicated or swapped between requests of different members",
        targets: &[("wrong_answers", AtMost, 0.0)],
        run: crossed::run,
    },
    Scenario {
        name: "silent",
        summary: "half of the open connections stop replying without a reset, twice",
        targets: &[("late_after_s", AtMost, 1.0), ("complete_fraction", AtLeast, 0.999)],
        run: silent::run,
    },
    Scenario {
        name: "crash-request",
        summary: "one request crashes every server that runs it and is sent 200 times",
        targets: &[("crashes", AtMost, 3.0), ("others_complete", AtLeast, 0.999)],
        run: crash_request::run,
    },
    Scenario {
        name: "retry-storm",
        summary: "callers retry every refusal without backoff, at three times capacity",
        targets: &[("goodput_of_capacity", AtLeast, 0.9)],
        run: retry_storm::run,
    },
    Scenario {
        name: "hot-path",
        summary: "CPU time of a sub-request to 56 leafs against a bare hyper client",
        targets: &[("cpu_over_bare", AtMost, 1.3)],
        run: hot_path::run,
    },
    Scenario {
        name: "store-outage",
        summary: "the store is down 14 s and slow 14 s while an instance is restarted",
        targets: &[
            ("idempotent_complete", AtLeast, 0.999),
            ("untrue_not_run", AtMost, 0.0),
            ("reverts", AtMost, 0.0),
            ("refusal_p99_ms", AtMost, 100.0),
        ],
        run: store_outage::run,
    },
    Scenario {
        name: "config",
        summary: "4 operators edit at 9 instances, the store loses replies, is stale and fails",
        targets: &[
            ("lost_edits", AtMost, 0.0),
            ("reverts", AtMost, 0.0),
            ("double_applied", AtMost, 0.0),
            ("refused_applied", AtMost, 0.0),
            ("in_force_p100_s", AtMost, 2.0),
            ("in_force_in_outage_p100_s", AtMost, 2.0),
        ],
        run: config::run,
    },
    Scenario {
        name: "shutdown",
        summary: "9 instances and then all leafs restart under load, behind a load balancer",
        targets: &[
            ("cut_requests", AtMost, 0.0),
            ("may_have_run", AtMost, 0.0),
            ("wrong_not_run", AtMost, 0.0),
            ("new_work_after_leave_s", AtMost, 3.0),
        ],
        run: shutdown::run,
    },
    Scenario {
        name: "claims",
        summary: "20,000 non-idempotent requests, instances killed and paused, the store failing",
        targets: &[
            ("double_runs", AtMost, 0.0),
            ("untrue_not_run", AtMost, 0.0),
            ("changed_answers", AtMost, 0.0),
            ("answered_fraction", AtLeast, 0.999),
            ("store_writes_per_s", AtMost, 200.0),
            ("p99_added_over_store_write", AtMost, 3.0),
        ],
        run: claims::run,
    },
    Scenario {
        name: "slopes",
        summary: "control cost by peers, members, leafs, branches and claims, extrapolated",
        targets: &[
            ("control_core_fraction", AtMost, 0.016),
            ("control_memory_mb", AtMost, 256.0),
            ("control_kb_per_s", AtMost, 9.0),
            ("config_in_force_s", AtMost, 9.0),
        ],
        run: slopes::run,
    },
];
