//! Benchmarks of jaycrank against baseline policies.
//!
//! A scenario starts test tiers on loopback, one with a baseline policy and one with the product's,
//! puts open-loop load on them, injects failures and compares the measured figures with fixed
//! targets. [`scenario::ALL`] lists the scenarios. Each has a module of its own, which builds on
//! [`tier`], [`load`], [`record`] and [`outcome`].

pub mod command;
pub mod cpu;
pub mod load;
pub mod outcome;
pub mod record;
pub mod report;
pub mod scenario;
pub mod stat;
pub mod tier;

mod claims;
mod config;
mod crash_request;
mod crossed;
mod extrapolate;
mod fairness;
mod flood;
mod hot_path;
mod misleading;
mod pausable;
mod replica_loss;
mod retry_storm;
mod shutdown;
mod silent;
mod slopes;
mod snapshot_roll;
mod store_outage;
mod straggler;
