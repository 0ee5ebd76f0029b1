//! The API for operators: settings, status, dump, metrics and health.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use jaycrank_instance::membership::Peer;
use jaycrank_instance::wire::State;
use jaycrank_operator::Handler;
use jaycrank_operator::wire;
use jaycrank_operator::wire::Account;
use jaycrank_operator::wire::Category;
use jaycrank_operator::wire::Log;
use jaycrank_operator::wire::Refusal;
use jaycrank_operator::wire::Status;
use jaycrank_operator::wire::ValidationReply;
use jaycrank_settings::Config;
use jaycrank_settings::Edit;
use jaycrank_settings::Tree;
use serde_json::Value;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::Instant;

use crate::dump;
use crate::follow;
use crate::ledger;
use crate::ledger::Ledger;
use crate::node::Parts;
use crate::publish;
use crate::token;
use jaycrank_event::Event;
use jaycrank_event::event;

/// Handler of the requests of operators.
pub struct OperatorApi {
    parts: Arc<Parts>,
    ledger: Arc<Ledger>,
    ready: AtomicBool,
}

impl OperatorApi {
    /// Creates the handler of an instance that is not ready yet.
    pub fn new(parts: Arc<Parts>, ledger: Arc<Ledger>) -> Self {
        Self { parts, ledger, ready: AtomicBool::new(false) }
    }

    /// Sets whether the instance takes queries.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Applies an accepted tree to this instance and sends it to all peers at once.
    fn distribute(&self, tree: Tree) {
        let shared = &self.parts.shared;
        let key = SmolStr::new_static(jaycrank_instance::documents::CONFIG_KEY);
        match follow::encode_tree(key, tree.revision(), &tree) {
            Ok(document) => {
                let documents = shared.exchange().documents();
                documents.apply(document.key, document.revision, document.value.0);
                follow::apply_all(shared);
                shared.exchange().notify_peers();
            }
            Err(error) => event!(Event::SettingsInvalid, instance = shared.name(), error = error),
        }
    }
}

#[async_trait]
impl Handler for OperatorApi {
    fn operator(&self, token: &str) -> Option<Account> {
        let active = self.parts.shared.active();
        let (name, operator) = active.operator(&token::digest(token))?;
        Some(Account { name: name.clone(), teams: operator.teams.clone() })
    }

    fn config(&self) -> Arc<Tree> {
        self.parts.shared.active().tree().clone()
    }

    async fn edit(&self, account: Account, edit: Edit) -> Result<wire::EditReply, Refusal> {
        let accepted = self.ledger.edit(&account.name, &account.teams, &edit).await;
        let accepted = accepted.map_err(refusal)?;
        event!(
            Event::EditAccepted,
            instance = self.parts.shared.name(),
            operator = account.name,
            path = edit.path,
            revision = accepted.revision
        );
        self.distribute(accepted.tree);
        Ok(wire::EditReply { revision: accepted.revision, repeated: accepted.repeated })
    }

    async fn log(&self) -> Result<Log, Refusal> {
        let entry = |entry: ledger::Entry| wire::LogEntry {
            revision: entry.revision,
            id: entry.id,
            operator: entry.operator,
            path: entry.path,
            unix_s: entry.unix_s,
        };
        let entries = self.ledger.log().await.map_err(refusal)?;
        Ok(Log { entries: entries.into_iter().map(entry).collect() })
    }

    fn validate(&self, tree: &Tree) -> Result<ValidationReply, Refusal> {
        Config::from_tree(tree)
            .map_err(|error| Refusal::invalid(400, "invalid", error.to_string()))?;
        Ok(ValidationReply { branches: tree.branches().len() })
    }

    fn status(&self) -> Status {
        let shared = &self.parts.shared;
        let membership = shared.exchange().membership();
        let own = membership.own();
        let peer = |peer: Peer| {
            let silent = peer
                .time_since_heartbeat
                .map(|time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX));
            let status = wire::PeerStatus {
                incarnation: peer.identity.incarnation,
                liveness: format_smolstr!("{}", peer.liveness),
                silent_ms: silent,
            };
            (peer.identity.name, status)
        };
        let peers = membership.peers(Instant::now().into_std());
        Status {
            name: own.name,
            incarnation: own.incarnation,
            state: format_smolstr!("{}", own.state),
            revision: shared.active().config().revision(),
            peers: peers.into_iter().map(peer).collect(),
        }
    }

    async fn dump(&self) -> Value {
        dump::dump(&self.parts)
    }

    async fn fairness(&self) -> Value {
        // Can't fail: the page is plain data with string keys.
        serde_json::to_value(publish::fairness(&self.parts)).unwrap_or_default()
    }

    fn metrics(&self) -> String {
        self.parts.metrics.scrape().unwrap_or_else(|error| format!("# {error}\n"))
    }

    fn is_healthy(&self) -> bool {
        true
    }

    fn is_ready(&self) -> bool {
        let own = self.parts.shared.exchange().membership().own();
        self.ready.load(Ordering::Relaxed) && own.state == State::Ready
    }
}

#[cold]
fn refusal(error: ledger::Error) -> Refusal {
    let message = error.to_string();
    match error {
        ledger::Error::Invalid(_) => Refusal::invalid(400, "invalid", message),
        ledger::Error::Forbidden { .. } => Refusal::invalid(403, "forbidden", message),
        ledger::Error::Conflict(conflict) => Refusal::conflict(conflict),
        ledger::Error::Unavailable(_) => {
            Refusal::new(Category::NotRun, 503, "store-unavailable", message)
        }
        ledger::Error::Unknown { .. } => {
            Refusal::new(Category::MayHaveRun, 504, "outcome-unknown", message)
        }
    }
}
