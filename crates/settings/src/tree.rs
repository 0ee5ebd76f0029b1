//! The settings tree: branches by path at one revision.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::branch::Branch;

/// Number of edits accepted so far. A tree is replaced only by one of a higher revision.
pub type Revision = u64;

/// All branches at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tree {
    revision: Revision,
    branches: BTreeMap<SmolStr, Branch>,
}

impl Tree {
    /// Creates an empty tree at revision 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or replaces a branch.
    pub fn with_branch(mut self, path: impl Into<SmolStr>, branch: Branch) -> Self {
        self.branches.insert(path.into(), branch);
        self
    }

    /// Removes a branch.
    pub fn without_branch(mut self, path: &str) -> Self {
        self.branches.remove(path);
        self
    }

    /// Sets the revision.
    pub fn with_revision(mut self, revision: Revision) -> Self {
        self.revision = revision;
        self
    }

    /// Returns the revision of the tree.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns all branches by path.
    pub fn branches(&self) -> &BTreeMap<SmolStr, Branch> {
        &self.branches
    }

    /// Returns the branch at a path.
    pub fn branch(&self, path: &str) -> Option<&Branch> {
        self.branches.get(path)
    }

    /// Returns the teams that may edit the branch at `path`: its owner and those of the branches
    /// above it.
    ///
    /// The branch with the empty path is the root; its owner may edit everything.
    pub fn owners(&self, path: &str) -> Vec<SmolStr> {
        let above = path.match_indices('/').map(|(end, _)| &path[..end]);
        let paths = std::iter::once("").chain(above).chain(std::iter::once(path));
        paths.filter_map(|path| self.branch(path)).map(|branch| branch.owner().clone()).collect()
    }
}
