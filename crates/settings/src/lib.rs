//! The settings tree of jaycrank.
//!
//! Operators configure the tier through a [`Tree`] of [`Branch`]es. Each branch is owned by a team
//! and holds one JSON value. [`Config`] is the typed form of a whole tree; building it validates
//! every value and reports the path, the value and the accepted range of the first invalid one.
//!
//! ```
//! use jaycrank_settings::Branch;
//! use jaycrank_settings::Config;
//! use jaycrank_settings::Tree;
//!
//! let member = Branch::new("consortium", serde_json::json!({ "weight": 0.0 }));
//! let tree = Tree::new().with_branch("members/tunis", member);
//! let error = Config::from_tree(&tree).unwrap_err();
//! assert_eq!(
//!     error.to_string(),
//!     "members/tunis/weight: 0.0 is not accepted; accepted: 0.001 to 1000",
//! );
//! ```

pub mod branch;
pub mod check;
pub mod config;
pub mod edit;
pub mod error;
pub mod schema;
pub mod tree;

pub use crate::branch::Branch;
pub use crate::config::Config;
pub use crate::edit::Conflict;
pub use crate::edit::Edit;
pub use crate::error::Error;
pub use crate::error::Result;
pub use crate::schema::Member;
pub use crate::schema::Operator;
pub use crate::schema::Policy;
pub use crate::schema::Rank;
pub use crate::schema::Service;
pub use crate::tree::Revision;
pub use crate::tree::Tree;
