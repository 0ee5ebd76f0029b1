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

/// An operator whose token was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name of the operator.
    pub name: SmolStr,
    /// Teams of the operator.
    pub teams: Vec<SmolStr>,
}

/// Body of `PUT /config/PATH`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRequest {
    /// Identifier of the edit; the same edit sent again is applied once.
    pub id: SmolStr,
    /// Revision of the branch that the operator saw; 0 if it did not exist.
    pub base: Revision,
    /// Owner of the branch after the edit; absent keeps the owner.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<SmolStr>,
    /// New value; `null` removes the branch. It has to be stated, so that a body without it does
    /// not remove anything.
    #[serde(deserialize_with = "stated")]
    pub value: Option<Value>,
}

/// Reads an optional value that may be `null` but not absent.
fn stated<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Value>, D::Error> {
    Option::deserialize(deserializer)
}

impl EditRequest {
    /// The edit of the branch at a path.
    pub fn into_edit(self, path: impl Into<SmolStr>) -> Edit {
        let Self { id, base, owner, value } = self;
        Edit { id, path: path.into(), base, owner, value }
    }
}

/// Reply to an accepted edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditReply {
    /// Revision that the edit produced.
    pub revision: Revision,
    /// Whether an earlier submission of the same edit had been accepted.
    pub repeated: bool,
}

/// An accepted edit of `GET /config/log`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Revision that the edit produced.
    pub revision: Revision,
    /// Identifier of the edit.
    pub id: SmolStr,
    /// Operator that sent it.
    pub operator: SmolStr,
    /// Path of the branch.
    pub path: SmolStr,
    /// Time of the acceptance, in Unix seconds.
    pub unix_s: u64,
}

/// Reply to `GET /config/log`, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Log {
    /// The last accepted edits.
    pub entries: Vec<LogEntry>,
}

/// Reply to `POST /config/validate` for a tree that is accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValidationReply {
    /// Number of branches.
    pub branches: usize,
}

/// A peer in [`Status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Incarnation of the peer.
    pub incarnation: u64,
    /// Liveness as this instance sees it.
    pub liveness: SmolStr,
    /// Time since its last heartbeat, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub silent_ms: Option<u64>,
}

/// Reply to `GET /status`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the answering instance.
    pub name: SmolStr,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its state.
    pub state: SmolStr,
    /// Revision of the settings in force.
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
    /// The edit may have been applied; sent again it is applied once.
    #[serde(rename = "may have run")]
    #[strum(serialize = "may have run")]
    MayHaveRun,
    /// The request is wrong and had no effect.
    #[serde(rename = "invalid")]
    #[strum(serialize = "invalid")]
    Invalid,
}

/// Body of a refusal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// What is known about the request.
    pub category: Category,
    /// Cause, as a fixed word.
    pub reason: SmolStr,
    /// Cause, as one sentence.
    pub message: String,
    /// The racing edits, if the cause is a conflict.
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

    /// Creates the refusal of a wrong request.
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
