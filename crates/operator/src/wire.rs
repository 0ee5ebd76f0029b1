//! JSON messages between operators and the tier.

use std::collections::BTreeMap;
use std::fmt;

use jaycrank_http::request;
use jaycrank_settings::Conflict;
use jaycrank_settings::Edit;
use jaycrank_settings::Revision;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde_json::Value;
use smol_str::SmolStr;
use strum::Display;
use strum::EnumString;

/// An authenticated operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name of the operator.
    pub name: SmolStr,
    /// Teams whose branches the operator may edit.
    pub teams: Vec<SmolStr>,
}

/// Body of `PUT /config/PATH`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRequest {
    /// Identifier of the edit, which makes retries safe: an edit sent again is applied once.
    pub id: SmolStr,
    /// Revision of the branch that the edit is based on; 0 if the branch did not exist.
    pub base: Revision,
    /// Owner of the branch after the edit; if absent, the owner stays.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<SmolStr>,
    /// New value; `null` removes the branch. The field is required, so that a body that lacks it by
    /// mistake does not remove the branch.
    #[serde(deserialize_with = "stated")]
    pub value: Option<Value>,
}

/// Deserializes a field that may be `null` but must be present: with `deserialize_with`, serde does
/// not treat an absent `Option` as `None`.
fn stated<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Value>, D::Error> {
    Option::deserialize(deserializer)
}

impl EditRequest {
    /// Returns the edit of the branch at a path.
    pub fn into_edit(self, path: impl Into<SmolStr>) -> Edit {
        let Self { id, base, owner, value } = self;
        Edit { id, path: path.into(), base, owner, value }
    }
}

/// Reply to `PUT /config/PATH` for an edit that is accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditReply {
    /// Revision that the edit produced.
    pub revision: Revision,
    /// Whether the edit had already been accepted when it was sent before.
    pub repeated: bool,
}

/// An accepted edit in [`Log`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Revision that the edit produced.
    pub revision: Revision,
    /// Identifier of the edit.
    pub id: SmolStr,
    /// Operator who sent it.
    pub operator: SmolStr,
    /// Path of the branch.
    pub path: SmolStr,
    /// Time at which it was accepted, in Unix seconds.
    pub unix_s: u64,
}

/// Reply to `GET /config/log`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Log {
    /// The most recently accepted edits, oldest first.
    pub entries: Vec<LogEntry>,
}

/// Reply to `POST /config/validate` for a tree that is accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValidationReply {
    /// Number of branches in the tree.
    pub branches: usize,
}

/// A peer in [`Status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Incarnation of the peer.
    pub incarnation: u64,
    /// Liveness according to the failure detector of the instance that replies.
    pub liveness: SmolStr,
    /// Time since the peer's last heartbeat, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub silent_ms: Option<u64>,
}

/// Reply to `GET /status`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance that replies.
    pub name: SmolStr,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its state.
    pub state: SmolStr,
    /// Revision of the settings that it applies.
    pub revision: Revision,
    /// Its peers by name.
    pub peers: BTreeMap<SmolStr, PeerStatus>,
}

/// What is known about a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
pub enum Category {
    /// The request had no effect.
    #[serde(rename = "not run")]
    #[strum(serialize = "not run")]
    NotRun,
    /// The edit may have been applied. Sending it again is safe, since it is applied once.
    #[serde(rename = "may have run")]
    #[strum(serialize = "may have run")]
    MayHaveRun,
    /// The request is invalid and had no effect.
    #[serde(rename = "invalid")]
    #[strum(serialize = "invalid")]
    Invalid,
}

/// Body of a refusal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// What is known about the effect of the request.
    pub category: Category,
    /// Cause, as a code for programs.
    pub reason: SmolStr,
    /// Cause, as a sentence for people.
    pub message: String,
    /// The two concurrent edits, if the cause is a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<Box<Conflict>>,
    /// HTTP status; not part of the body.
    #[serde(skip)]
    pub status: u16,
}

impl Refusal {
    /// Creates a refusal.
    pub fn new(
        category: Category,
        status: u16,
        reason: impl Into<SmolStr>,
        message: impl Into<String>,
    ) -> Self {
        let (reason, message) = (reason.into(), message.into());
        Self { category, reason, message, conflict: None, status }
    }

    /// Creates the refusal of an invalid request.
    pub fn invalid(status: u16, reason: impl Into<SmolStr>, message: impl Into<String>) -> Self {
        Self::new(Category::Invalid, status, reason, message)
    }

    /// Creates the refusal of an edit that conflicts with another.
    pub fn conflict(conflict: Conflict) -> Self {
        let refusal = Self::new(Category::NotRun, 409, "conflict", conflict.to_string());
        Self { conflict: Some(Box::new(conflict)), ..refusal }
    }
}

impl From<request::Error> for Refusal {
    fn from(error: request::Error) -> Self {
        let category = if error.is_invalid() { Category::Invalid } else { Category::NotRun };
        Self::new(category, error.status(), error.reason(), error.to_string())
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} ({})", self.category, self.message, self.reason)
    }
}
