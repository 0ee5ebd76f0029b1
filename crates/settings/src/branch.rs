//! A branch of the settings tree: one JSON value with the team that owns it.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use smol_str::SmolStr;

use crate::tree::Revision;

/// One branch of the tree. Its owner may also edit the branches below it, whoever owns those.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Branch {
    owner: SmolStr,
    revision: Revision,
    value: Value,
}

impl Branch {
    /// Creates a branch with revision 0, which stands for a branch that is not accepted yet.
    pub fn new(owner: impl Into<SmolStr>, value: Value) -> Self {
        Self { owner: owner.into(), revision: 0, value }
    }

    /// Sets the revision of the tree in which the branch last changed.
    pub fn with_revision(mut self, revision: Revision) -> Self {
        self.revision = revision;
        self
    }

    /// Returns the team that may edit the branch and those below it; empty if only the owners of
    /// the branches above may.
    pub fn owner(&self) -> &SmolStr {
        &self.owner
    }

    /// Returns the revision of the tree in which the branch last changed.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the value of the branch.
    pub fn value(&self) -> &Value {
        &self.value
    }
}
