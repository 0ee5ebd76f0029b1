//! Measurements of jaycrank against plain baselines.
//!
//! A scenario starts trial tiers on loopback, one with a baseline policy and one with the
//! product's, puts open-loop load on them, injects failures and compares the figures with fixed
//! targets. [`scenario::ALL`] lists them; each is one short file over the shared parts.

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
