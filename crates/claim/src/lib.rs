//! At-most-once execution of non-idempotent requests.
//!
//! Each request id hashes to a [`partition`]. The [`Owner`] of the partition writes a claim to the
//! object store before it dispatches the request, and writes the outcome before it returns it. A
//! takeover fences the previous owner by conditional writes, so no decision depends on a clock.
//! The protocol is described in `docs/claims.md` and checked by `spec/claim.pml`.

#![warn(missing_docs)]

mod commit;
pub mod error;
pub mod head;
pub mod owner;
mod ownership;
mod reclaim;
pub mod record;
pub mod segment;
pub mod submission;
mod takeover;
pub mod trace;
pub mod verdict;
mod write;

pub use crate::commit::GroupCommit;
pub use crate::error::Category;
pub use crate::error::Error;
pub use crate::error::Result;
pub use crate::owner::Owner;
pub use crate::submission::AttemptId;
pub use crate::submission::Digest;
pub use crate::submission::Outcome;
pub use crate::submission::Partition;
pub use crate::submission::RequestId;
pub use crate::submission::Runner;
pub use crate::submission::Submission;
pub use crate::submission::UnixMs;
pub use crate::submission::partition;
pub use crate::verdict::InvalidSubmission;
pub use crate::verdict::Reason;
pub use crate::verdict::Verdict;
