//! Edits of the settings under races, lost replies, stale reads and outages.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bolero::ValueGenerator;
use bolero::generator::bolero_generator::driver::ByteSliceDriver;
use bolero::generator::bolero_generator::driver::Options;
use bytes::Bytes;
use jaycrank::ledger::Accepted;
use jaycrank::ledger::Category;
use jaycrank::ledger::Error;
use jaycrank::ledger::HEAD_KEY;
use jaycrank::ledger::LOG_ENTRIES_MAX;
use jaycrank::ledger::Ledger;
use jaycrank_platform::Change;
use jaycrank_platform::Expected;
use jaycrank_platform::Object;
use jaycrank_platform::Store as _;
use jaycrank_platform::Version;
use jaycrank_platform::store::VALUE_BYTES_MAX;
use jaycrank_settings::Branch;
use jaycrank_settings::Edit;
use jaycrank_settings::Tree;
use jaycrank_standin::Store;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use smol_str::SmolStr;
use smol_str::format_smolstr;

const SEED: u64 = 11;

fn tree() -> Tree {
    let service = json!({ "slots": 3, "connections": 30, "floors": { "urgent": 0.5 } });
    Tree::new()
        .with_branch("", Branch::new("root-team", json!({})))
        .with_branch("services/reel-history", Branch::new("search", service))
        .with_branch("teams/search", Branch::new("search", json!({})))
}

fn edit(id: &str, path: &str, base: u64, weight: f64) -> Edit {
    let value = Some(json!({ "weight": weight }));
    Edit { id: id.into(), path: path.into(), base, owner: None, value }
}

fn teams(names: &[&'static str]) -> Vec<SmolStr> {
    names.iter().copied().map(SmolStr::new_static).collect()
}

async fn store() -> Arc<Store> {
    let store = Arc::new(Store::new(SEED));
    Ledger::new(store.clone()).create("setup", &tree()).await.unwrap();
    store
}

/// Guards against two accepted edits of one branch on the same base, and against a conflict that
/// does not say which edit won.
#[tokio::test(start_paused = true)]
async fn racing_edits_give_one_acceptance_and_one_conflict() {
    let store = store().await;
    store.update_fault(|fault| {
        fault.read_delay = Duration::from_millis(2);
        fault.write_delay = Duration::from_millis(4);
    });
    let (first, second) = (Ledger::new(store.clone()), Ledger::new(store.clone()));
    let root = teams(&["root-team"]);
    let (a, b) = (edit("edit-a", "members/m1", 0, 1.0), edit("edit-b", "members/m1", 0, 2.0));
    let (a, b) = tokio::join!(first.edit("ada", &root, &a), second.edit("bo", &root, &b));
    let (accepted, refused, winner) = match (a, b) {
        (Ok(accepted), Err(error)) => (accepted, error, ("edit-a", "ada", "edit-b")),
        (Err(error), Ok(accepted)) => (accepted, error, ("edit-b", "bo", "edit-a")),
        other => panic!("not one of each: {other:?}"),
    };
    assert_eq!((accepted.revision, accepted.repeated), (2, false));
    let Error::Conflict(conflict) = &refused else { panic!("{refused:?}") };
    assert_eq!(conflict.accepted.as_deref(), Some(winner.0));
    assert_eq!(conflict.operator.as_deref(), Some(winner.1));
    assert_eq!(conflict.refused, winner.2);
    assert_eq!(first.load().await.unwrap(), second.load().await.unwrap());
}

/// Guards against an applied edit that is reported as failed, or applied again, when the store's
/// replies are lost.
#[tokio::test(start_paused = true)]
async fn edit_with_lost_replies_is_applied_once() {
    let store = store().await;
    store.update_fault(|fault| fault.lost_reply_fraction = 1.0);
    let (root, edit) = (teams(&["root-team"]), edit("edit-a", "members/m1", 0, 1.0));
    let accepted = Ledger::new(store.clone()).edit("ada", &root, &edit).await.unwrap();
    assert_eq!((accepted.revision, accepted.repeated), (2, true));
    let again = Ledger::new(store.clone()).edit("ada", &root, &edit).await.unwrap();
    assert_eq!((again.revision, again.repeated), (2, true));
    assert_eq!(Ledger::new(store).load().await.unwrap().revision(), 2);
}

/// How the reply to the first write of head is lost.
#[derive(Clone, Copy, PartialEq)]
enum Loss {
    /// The write is applied, then the store fails.
    ThenOutage,
    /// The write is delayed in the network until the test delivers it.
    Delayed,
}

/// A store that loses the reply to the first write of head.
struct Lossy {
    store: Arc<Store>,
    loss: Mutex<Option<Loss>>,
    delayed: Mutex<Option<(Bytes, Expected)>>,
}

#[async_trait]
impl jaycrank_platform::Store for Lossy {
    async fn get(&self, key: &str) -> jaycrank_platform::Result<Option<Object>> {
        self.store.get(key).await
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expected: Expected,
    ) -> jaycrank_platform::Result<Version> {
        let loss = if key == HEAD_KEY { self.loss.lock().unwrap().take() } else { None };
        match loss {
            None => return self.store.put(key, value, expected).await,
            Some(Loss::Delayed) => *self.delayed.lock().unwrap() = Some((value, expected)),
            Some(Loss::ThenOutage) => {
                self.store.put(key, value, expected).await?;
                self.store.update_fault(|fault| fault.outage = true);
            }
        }
        Err(jaycrank_platform::Error::Unknown("reply lost".into()))
    }

    async fn delete(&self, key: &str, version: Version) -> jaycrank_platform::Result<()> {
        self.store.delete(key, version).await
    }

    async fn list(
        &self,
        prefix: &str,
    ) -> jaycrank_platform::Result<std::collections::BTreeMap<SmolStr, Version>> {
        self.store.list(prefix).await
    }

    async fn watch(&self, prefix: &str, after: Version) -> jaycrank_platform::Result<Change> {
        self.store.watch(prefix, after).await
    }
}

fn lossy(store: &Arc<Store>, loss: Loss) -> Arc<Lossy> {
    let loss = Mutex::new(Some(loss));
    Arc::new(Lossy { store: store.clone(), loss, delayed: Mutex::default() })
}

/// Guards against an edit that is reported as applied or failed although the store fails before its
/// outcome can be read, and against applying it again when the operator resends it.
#[tokio::test(start_paused = true)]
async fn edit_with_unknown_outcome_can_be_resent() {
    let store = store().await;
    let ledger = Ledger::new(lossy(&store, Loss::ThenOutage));
    let (root, edit) = (teams(&["root-team"]), edit("edit-a", "members/m1", 0, 1.0));
    let error = ledger.edit("ada", &root, &edit).await.unwrap_err();
    assert_eq!(error.category(), Category::MayHaveRun, "{error}");
    store.update_fault(|fault| fault.outage = false);
    let accepted = ledger.edit("ada", &root, &edit).await.unwrap();
    assert_eq!((accepted.revision, accepted.repeated), (2, true));
    assert_eq!(ledger.load().await.unwrap().revision(), 2);
}

/// Guards against a write of head that the network delivers late, and that then applies an edit
/// again or reverts one.
#[tokio::test(start_paused = true)]
async fn delayed_write_of_head_is_fenced() {
    let store = store().await;
    let lossy = lossy(&store, Loss::Delayed);
    let ledger = Ledger::new(lossy.clone());
    let root = teams(&["root-team"]);
    let first = ledger.edit("ada", &root, &edit("edit-a", "members/m1", 0, 1.0)).await.unwrap();
    assert_eq!((first.revision, first.repeated), (2, false));
    let (value, expected) = lossy.delayed.lock().unwrap().take().unwrap();
    let late = store.put(HEAD_KEY, value, expected).await;
    assert!(matches!(late, Err(jaycrank_platform::Error::Conflict(_))), "{late:?}");

    // After a refusal is reported, a delayed write of head must not take effect either.
    *lossy.loss.lock().unwrap() = Some(Loss::Delayed);
    let forbidden = edit("edit-b", "members/m2", 0, 1.0);
    let refused = ledger.edit("eve", &teams(&["search"]), &forbidden).await.unwrap_err();
    assert!(matches!(refused, Error::Forbidden { .. }), "{refused:?}");
    let (value, expected) = lossy.delayed.lock().unwrap().take().unwrap();
    assert!(store.put(HEAD_KEY, value, expected).await.is_err());
}

/// Resends an edit until its outcome is known.
async fn resend_until_known(store: &Arc<Store>, ledger: &mut Ledger, edit: &Edit) -> Accepted {
    let root = teams(&["root-team"]);
    for _ in 0..50 {
        match ledger.edit("ada", &root, edit).await {
            Ok(accepted) => return accepted,
            // The operator's instance restarts and loses its state in memory.
            Err(Error::Unknown { .. } | Error::Unavailable(_)) => {
                *ledger = Ledger::new(store.clone());
            }
            Err(error) => panic!("{error}"),
        }
    }
    panic!("{}: the outcome stayed unknown", edit.id)
}

/// Guards against an accepted edit that is lost or applied twice when reads are stale, replies are
/// lost and instances restart.
#[tokio::test(start_paused = true)]
async fn stale_reads_and_restarts_do_not_lose_edits() {
    const EDITORS: usize = 3;
    const EDITS: usize = 12;
    let store = store().await;
    store.update_fault(|fault| {
        fault.read_delay = Duration::from_millis(1);
        fault.write_delay = Duration::from_millis(2);
        fault.stale_read_fraction = 0.4;
        fault.lost_reply_fraction = 0.4;
    });
    let mut editors = tokio::task::JoinSet::new();
    for editor in 0..EDITORS {
        let store = store.clone();
        editors.spawn(async move {
            let mut ledger = Ledger::new(store.clone());
            let (mut base, mut revisions) = (0, Vec::new());
            for number in 0..EDITS {
                let id = format_smolstr!("edit-{editor}-{number}");
                let edit = edit(&id, &format!("members/m{editor}"), base, 1.0 + number as f64);
                let accepted = resend_until_known(&store, &mut ledger, &edit).await;
                assert!(accepted.revision > base && accepted.tree.revision() >= accepted.revision);
                base = accepted.revision;
                revisions.push(base);
            }
            revisions
        });
    }
    let revisions: Vec<u64> = editors.join_all().await.into_iter().flatten().collect();
    let distinct: BTreeSet<u64> = revisions.iter().copied().collect();
    assert_eq!(distinct.len(), EDITORS * EDITS);
    store.set_fault(jaycrank_standin::Fault::default());
    let ledger = Ledger::new(store);
    assert_eq!(ledger.load().await.unwrap().revision(), 1 + (EDITORS * EDITS) as u64);
    let log = ledger.log().await.unwrap();
    let ids: BTreeSet<&SmolStr> = log.iter().map(|entry| &entry.id).collect();
    assert_eq!((log.len(), ids.len()), (EDITORS * EDITS, EDITORS * EDITS));
}

/// Guards against an edit that is refused during an outage of the store but takes effect later.
#[tokio::test(start_paused = true)]
async fn edit_refused_during_an_outage_has_no_effect() {
    let store = store().await;
    let ledger = Ledger::new(store.clone());
    store.update_fault(|fault| fault.outage = true);
    let (root, edit) = (teams(&["root-team"]), edit("edit-a", "members/m1", 0, 1.0));
    let error = ledger.edit("ada", &root, &edit).await.unwrap_err();
    assert_eq!(error.category(), Category::NotRun, "{error}");
    store.update_fault(|fault| fault.outage = false);
    assert_eq!(ledger.load().await.unwrap().revision(), 1);
    assert!(!ledger.edit("ada", &root, &edit).await.unwrap().repeated);
}

/// Guards against an edit that is applied again when it is resent after its id was evicted from the
/// log.
#[tokio::test(start_paused = true)]
async fn edit_evicted_from_the_log_is_not_applied_again() {
    let store = store().await;
    let ledger = Ledger::new(store);
    let root = teams(&["root-team"]);
    let first = edit("edit-first", "members/m1", 0, 1.0);
    let created = ledger.edit("ada", &root, &first).await.unwrap().revision;
    let removal = Edit { value: None, ..edit("edit-removal", "members/m1", created, 1.0) };
    let mut base = 0;
    ledger.edit("ada", &root, &removal).await.unwrap();
    for number in 0..LOG_ENTRIES_MAX {
        let edit = edit(&format!("edit-{number}"), "members/m2", base, 1.0);
        base = ledger.edit("ada", &root, &edit).await.unwrap().revision;
    }
    let again = ledger.edit("ada", &root, &first).await.unwrap_err();
    assert_eq!(again.category(), Category::MayHaveRun, "{again}");
    assert_eq!(ledger.load().await.unwrap().branch("members/m1"), None);
}

/// Guards against edits beyond an operator's rights, and against error texts without the path,
/// the value and the accepted range.
#[tokio::test(start_paused = true)]
async fn refusals_name_their_cause() {
    let store = store().await;
    let ledger = Ledger::new(store);
    let path = "services/reel-history";
    let good = json!({ "slots": 4, "connections": 30, "floors": {} });
    let bad = json!({ "slots": 0, "connections": 30, "floors": {} });
    let service = |id: &str, base, owner: Option<&str>, value: &serde_json::Value| Edit {
        id: id.into(),
        path: path.into(),
        base,
        owner: owner.map(SmolStr::new),
        value: Some(value.clone()),
    };
    let cases = [
        ("search", service("e1", 1, None, &bad)),
        ("search", service("e2", 0, None, &good)),
        ("search", service("e3", 9, None, &good)),
        ("quotes", service("e4", 1, Some("quotes"), &good)),
        ("search", edit("e5", "members/m1", 0, 1.0)),
        ("root-team", edit("E6", "members/m1", 0, 1.0)),
        ("root-team", Edit { value: None, ..edit("e7", "", 1, 1.0) }),
        ("root-team", edit("e8", &"x".repeat(300), 0, 1.0)),
    ];
    let mut texts = Vec::new();
    for (team, edit) in cases {
        let error = ledger.edit("ada", &[team.into()], &edit).await.unwrap_err();
        texts.push(format!("{}: {error}", <&str>::from(error.category())));
    }
    insta::assert_snapshot!(texts.join("\n"));
    let moved = service("e9", 1, Some("quotes"), &good);
    let revision = ledger.edit("ada", &teams(&["search"]), &moved).await.unwrap().revision;
    let back = service("e10", revision, Some("search"), &good);
    let error = ledger.edit("ada", &teams(&["search"]), &back).await.unwrap_err();
    assert!(matches!(error, Error::Forbidden { .. }), "{error}");
}

/// Guards against a head that exceeds the value size of the store, after which no edit could
/// succeed.
#[tokio::test(start_paused = true)]
async fn head_stays_within_the_value_size() {
    let wide = "x".repeat(64);
    let path = |number: usize| format!("teams/{wide}/{wide}/{wide}/t{number:05}");
    let tree = |branches: usize| {
        let root = Tree::new().with_branch("", Branch::new("root-team", json!({})));
        (0..branches)
            .fold(root, |tree, number| tree.with_branch(path(number), Branch::new("", json!({}))))
    };
    let store = Arc::new(Store::new(SEED));
    let ledger = Ledger::new(store.clone());
    let error = ledger.create("setup", &tree(4_000)).await.unwrap_err();
    assert_eq!(error.category(), Category::Invalid, "{error}");
    assert_eq!(store.calls().writes(), 0);

    ledger.create("setup", &tree(3_320)).await.unwrap();
    let mut accepted = 0;
    let error = loop {
        let edit = edit(&format!("edit-{accepted}"), &path(10_000 + accepted), 0, 1.0);
        match ledger.edit("ada", &teams(&["root-team"]), &edit).await {
            Ok(_) => accepted += 1,
            Err(error) => break error,
        }
        assert!(accepted < 1_000);
    };
    assert_eq!(error.category(), Category::Invalid, "{error}");
    assert!(store.peek(HEAD_KEY).unwrap().value.len() <= VALUE_BYTES_MAX);
    assert_eq!(ledger.load().await.unwrap().revision(), 1 + accepted as u64);
}

/// Guards against a panic or an endless wait on a malformed head.
#[tokio::test(start_paused = true)]
async fn malformed_head_is_refused() {
    const INPUTS: usize = 500;
    let valid = store().await.peek(HEAD_KEY).unwrap().value;
    let mut random = StdRng::seed_from_u64(SEED);
    let changes = bolero::produce::<Vec<(u16, u8)>>();
    let mut entropy = [0; 64];
    for _ in 0..INPUTS {
        random.fill(&mut entropy[..]);
        let mut driver = ByteSliceDriver::new(&entropy, &Options::default());
        let mut value = valid.to_vec();
        for (position, byte) in changes.generate(&mut driver).unwrap_or_default().iter().take(3) {
            let position = usize::from(*position) % value.len();
            value[position] = b' ' + byte % 95;
        }
        let store = Arc::new(Store::new(SEED));
        store.put(HEAD_KEY, value.into(), Expected::Absent).await.unwrap();
        // The store holds no contents, so the read fails also for a head that can be decoded.
        let error = Ledger::new(store).load().await.unwrap_err();
        assert_eq!(error.category(), Category::NotRun, "{error}");
    }
}
