//! Edits of a branch and conflicts between concurrent edits.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use smol_str::SmolStr;

use crate::tree::Revision;

/// Unique identifier of an edit, chosen by the operator's client.
pub type Id = SmolStr;

/// A request to replace or remove one branch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Identifier, which makes retries safe: an edit sent again is applied once.
    pub id: Id,
    /// Path of the branch.
    pub path: SmolStr,
    /// Revision of the branch that the edit is based on; 0 if the branch did not exist.
    pub base: Revision,
    /// Owner of the branch after the edit; `None` keeps the current owner.
    #[serde(default)]
    pub owner: Option<SmolStr>,
    /// New value; `None` removes the branch.
    pub value: Option<Value>,
}

/// Two edits of the same branch that were based on the same revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// Path of the branch.
    pub path: SmolStr,
    /// The edit that was refused.
    pub refused: Id,
    /// The edit that was accepted first, if it is still in the log.
    pub accepted: Option<Id>,
    /// Revision at which the branch last changed.
    pub revision: Revision,
    /// Operator of the accepted edit, if it is still in the log.
    pub operator: Option<SmolStr>,
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unknown = "(no longer in the log)";
        write!(
            f,
            "edit {} of {} conflicts with edit {} by {}, accepted at revision {}",
            self.refused,
            self.path,
            self.accepted.as_deref().unwrap_or(unknown),
            self.operator.as_deref().unwrap_or(unknown),
            self.revision,
        )
    }
}
