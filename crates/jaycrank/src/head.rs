//! Stored form of the settings: the head object, which refers to the content of every branch, and
//! the content objects.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use jaycrank_platform::store::VALUE_BYTES_MAX;
use jaycrank_settings::Branch;
use jaycrank_settings::Config;
use jaycrank_settings::Conflict;
use jaycrank_settings::Edit;
use jaycrank_settings::Revision;
use jaycrank_settings::Tree;
use jaycrank_settings::check;
use jaycrank_settings::edit::Id;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use smol_str::SmolStr;

use crate::ledger::Error;
use crate::ledger::Result;
use crate::ledger::unavailable;

/// Key of the head object.
pub const HEAD_KEY: &str = "config/head";

/// Prefix of the keys of the content objects.
pub const CONTENT_PREFIX: &str = "config/content/";

/// Edits that the log in the head keeps.
pub const LOG_ENTRIES_MAX: usize = 64;

/// Longest path of a branch, in bytes. Together with the limit of 64 bytes for ids it bounds the
/// size of a branch in the head.
const PATH_BYTES_MAX: usize = 256;

/// An accepted edit in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Revision that the edit produced.
    pub revision: Revision,
    /// Identifier of the edit.
    pub id: Id,
    /// Operator that sent it.
    pub operator: SmolStr,
    /// Path of the branch.
    pub path: SmolStr,
    /// Time of the acceptance in Unix seconds, by the clock of the accepting instance.
    pub unix_s: u64,
}

/// A branch in the head, which refers to the content of the branch by its id.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct BranchRef {
    pub(crate) content: Id,
    pub(crate) revision: Revision,
    pub(crate) owner: SmolStr,
}

/// Value of `config/head`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Head {
    pub(crate) revision: Revision,
    pub(crate) branches: BTreeMap<SmolStr, BranchRef>,
    pub(crate) log: VecDeque<Entry>,
}

/// Value of `config/content/EDIT-ID`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Content {
    pub(crate) path: SmolStr,
    pub(crate) operator: SmolStr,
    pub(crate) owner: Option<SmolStr>,
    pub(crate) value: Option<Value>,
    /// Revision of the head when the content was created. As long as the log covers the edits
    /// since then, an id that is not in the log was not accepted.
    pub(crate) after: Revision,
}

impl Content {
    /// Creates the content of an edit.
    pub(crate) fn new(operator: &str, edit: &Edit, after: Revision) -> Self {
        Self {
            path: edit.path.clone(),
            operator: operator.into(),
            owner: edit.owner.clone(),
            value: edit.value.clone(),
            after,
        }
    }
}

impl Head {
    /// Encodes the head for the store.
    pub(crate) fn encode(&self) -> Result<Bytes> {
        encode(self)
    }

    /// Applies an edit to this head and its tree. Returns the new head, encoded, and the new tree.
    ///
    /// # Errors
    ///
    /// An [`Error`] if the operator may not edit the branch, the edit is based on another revision,
    /// or the settings would not be valid.
    pub(crate) fn apply(
        &self,
        tree: &Tree,
        operator: &str,
        teams: &[SmolStr],
        edit: &Edit,
    ) -> Result<(Bytes, Tree)> {
        let owners = tree.owners(&edit.path);
        if !owners.iter().any(|owner| !owner.is_empty() && teams.contains(owner)) {
            return Err(Error::Forbidden { path: edit.path.clone(), operator: operator.into() });
        }
        let current = tree.branch(&edit.path);
        if current.map_or(0, Branch::revision) != edit.base {
            return Err(Error::Conflict(self.conflict(edit, current)));
        }
        let revision = self.revision + 1;
        let mut next = Self { revision, ..self.clone() };
        let mut tree = tree.clone().with_revision(revision);
        if let Some(value) = &edit.value {
            let owner = edit.owner.clone().or_else(|| current.map(|branch| branch.owner().clone()));
            let owner = owner.unwrap_or_default();
            let branch = Branch::new(owner.clone(), value.clone()).with_revision(revision);
            tree = tree.with_branch(edit.path.clone(), branch);
            let branch_ref = BranchRef { content: edit.id.clone(), revision, owner };
            next.branches.insert(edit.path.clone(), branch_ref);
        } else {
            tree = tree.without_branch(&edit.path);
            next.branches.remove(&edit.path);
        }
        // If the root had no owner, no edit could restore it.
        if tree.branch("").is_none_or(|root| root.owner().is_empty()) {
            return Err(invalid("root", "no owner", "a root branch with an owner"));
        }
        Config::from_tree(&tree).map_err(Error::Invalid)?;
        let unix_s = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let (id, path) = (edit.id.clone(), edit.path.clone());
        next.log.push_back(Entry { revision, id, operator: operator.into(), path, unix_s });
        while next.log.len() > LOG_ENTRIES_MAX {
            next.log.pop_front();
        }
        Ok((next.encode()?, tree))
    }

    /// Creates the conflict of an edit with the last accepted edit of its branch.
    fn conflict(&self, edit: &Edit, current: Option<&Branch>) -> Conflict {
        let accepted = self.log.iter().rev().find(|entry| entry.path == edit.path);
        let logged_revision = accepted.map_or(0, |entry| entry.revision);
        Conflict {
            path: edit.path.clone(),
            refused: edit.id.clone(),
            accepted: accepted.map(|entry| entry.id.clone()),
            revision: current.map_or(logged_revision, Branch::revision),
            operator: accepted.map(|entry| entry.operator.clone()),
        }
    }
}

/// Checks the id of an edit and the length of its path.
pub(crate) fn check_id_and_path(edit: &Edit) -> Result<()> {
    check::name("edit id", &edit.id).map_err(Error::Invalid)?;
    if edit.path.len() > PATH_BYTES_MAX {
        let path: String = edit.path.chars().take(64).collect();
        let bytes = format!("{} bytes", edit.path.len());
        return Err(invalid(&path, &bytes, "a path of at most 256 bytes"));
    }
    Ok(())
}

/// Encodes a value for the store, and fails if it exceeds the size limit of the store.
pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Bytes> {
    let bytes = serde_json::to_vec(value).map_err(unavailable)?;
    if bytes.len() > VALUE_BYTES_MAX {
        let accepted = format!("at most {VALUE_BYTES_MAX} bytes");
        return Err(invalid("settings", &format!("{} bytes", bytes.len()), &accepted));
    }
    Ok(bytes.into())
}

/// Decodes a value from the store.
pub(crate) fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(unavailable)
}

#[cold]
pub(crate) fn invalid(path: &str, value: &str, accepted: &str) -> Error {
    Error::Invalid(jaycrank_settings::Error::new(path, value, accepted))
}
