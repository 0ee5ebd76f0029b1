//! The settings in the store, and the edits that operators make.
//!
//! The object `config/head` holds the current revision, a reference to the content of every branch,
//! and a log of the last edits. The contents are immutable objects `config/content/EDIT-ID`. An
//! edit is accepted when the conditional write of the head succeeds, so edits are totally ordered.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::TryStreamExt;
use futures_util::stream;
use jaycrank_platform::Expected;
use jaycrank_platform::Store;
use jaycrank_platform::Version;
use jaycrank_platform::error::Error as StoreError;
use jaycrank_settings::Branch;
use jaycrank_settings::Config;
use jaycrank_settings::Conflict;
use jaycrank_settings::Edit;
use jaycrank_settings::Revision;
use jaycrank_settings::Tree;
use jaycrank_settings::edit::Id;
use sha2::Digest;
use sha2::Sha256;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use strum::IntoStaticStr;

use crate::head::BranchRef;
use crate::head::CONTENT_PREFIX;
use crate::head::Content;
pub use crate::head::Entry;
pub use crate::head::HEAD_KEY;
use crate::head::Head;
pub use crate::head::LOG_ENTRIES_MAX;
use crate::head::check_id_and_path;
use crate::head::decode;
use crate::head::encode;
use crate::head::invalid;

/// Attempts at an operation before it fails; with the backoff they last about 2 s.
const ATTEMPTS_MAX: u32 = 16;

/// Backoff after the first attempt; it doubles up to [`BACKOFF_MAX`].
const BACKOFF_MIN: Duration = Duration::from_millis(5);

/// Longest backoff between two attempts.
const BACKOFF_MAX: Duration = Duration::from_millis(200);

/// Contents that are read concurrently.
const CONCURRENT_READS_MAX: usize = 16;

/// Result of an operation on the ledger.
pub type Result<T> = std::result::Result<T, Error>;

/// Whether a failed edit may have been applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Category {
    /// The edit was not applied.
    NotRun,
    /// The edit may have been applied.
    MayHaveRun,
    /// The edit is not permitted or not valid, and was not applied.
    Invalid,
}

/// Failure of an operation on the ledger.
#[derive(Clone, Debug, PartialEq)]
pub enum Error {
    /// The edit has a value that the settings do not accept.
    Invalid(jaycrank_settings::Error),
    /// None of the operator's teams owns the branch or a branch above it.
    Forbidden {
        /// Path of the branch.
        path: SmolStr,
        /// Operator that sent the edit.
        operator: SmolStr,
    },
    /// The edit is not based on the current revision of the branch.
    Conflict(Conflict),
    /// The store could not be read or written; this submission was not applied.
    Unavailable(SmolStr),
    /// The outcome could not be determined. The same edit can be sent again and is applied at most
    /// once.
    Unknown {
        /// The edit.
        id: Id,
        /// Why the outcome is unknown.
        cause: SmolStr,
    },
}

impl Error {
    /// Returns whether the edit may have been applied.
    pub fn category(&self) -> Category {
        match self {
            Self::Invalid(_) | Self::Forbidden { .. } => Category::Invalid,
            Self::Conflict(_) | Self::Unavailable(_) => Category::NotRun,
            Self::Unknown { .. } => Category::MayHaveRun,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(error) => error.fmt(f),
            Self::Forbidden { path, operator } => {
                write!(f, "operator {operator} is in no team that owns `{path}` or a branch above")
            }
            Self::Conflict(conflict) => conflict.fmt(f),
            Self::Unavailable(cause) => write!(f, "not applied, settings unavailable: {cause}"),
            Self::Unknown { id, cause } => write!(f, "outcome of edit {id} unknown: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

/// An accepted edit.
#[derive(Clone, Debug, PartialEq)]
pub struct Accepted {
    /// Revision that the edit produced.
    pub revision: Revision,
    /// Whether an earlier submission of the same edit was accepted already.
    pub repeated: bool,
    /// Tree in force; its revision may be higher than that of a repeated edit.
    pub tree: Tree,
}

/// State that the attempts of one submission share.
#[derive(Default)]
struct Progress {
    /// Whether an earlier write of the head with this edit has an unknown outcome.
    has_unknown_write: bool,
    /// Revision that head had when the content of the edit was created, once the content is in the
    /// store.
    content_created_at: Option<Revision>,
}

/// Settings in the store.
pub struct Ledger {
    store: Arc<dyn Store>,
    /// Cache of the contents that the last read head refers to.
    contents: Mutex<BTreeMap<Id, Arc<Content>>>,
    /// Highest revision read or written; a read with a lower revision is stale.
    revision_seen: AtomicU64,
}

impl Ledger {
    /// Creates a ledger on a store.
    pub fn new(store: Arc<dyn Store>) -> Self {
        Self { store, contents: Mutex::default(), revision_seen: AtomicU64::new(0) }
    }

    /// Writes the initial tree at revision 1, unless the store holds settings already, and returns
    /// the tree in force.
    ///
    /// The root branch can't be created by an edit, because no team owns a branch above it.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] if the tree is not valid; otherwise as for [`load`](Self::load).
    pub async fn create(&self, operator: &str, tree: &Tree) -> Result<Tree> {
        Config::from_tree(tree).map_err(Error::Invalid)?;
        let mut head = Head { revision: 1, ..Head::default() };
        let mut edits = Vec::new();
        for (path, branch) in tree.branches() {
            let (owner, value) = (branch.owner().clone(), branch.value().clone());
            // The id is a digest of the content, so that an interrupted creation can be repeated,
            // also with another tree.
            let digest = Sha256::digest(format!("{path}\n{owner}\n{value}"));
            let id: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
            let branch_ref =
                BranchRef { content: id.as_str().into(), revision: 1, owner: owner.clone() };
            head.branches.insert(path.clone(), branch_ref);
            let (id, path) = (id.into(), path.clone());
            edits.push(Edit { id, path, base: 0, owner: Some(owner), value: Some(value) });
        }
        let encoded = head.encode()?;
        for edit in &edits {
            check_id_and_path(edit)?;
            let content = Content::new(operator, edit, 0);
            let (mut backoff, mut created) = (BACKOFF_MIN, None);
            for _ in 0..ATTEMPTS_MAX {
                created = self.create_content(&edit.id, &content).await?;
                if created.is_some() {
                    break;
                }
                back_off(&mut backoff).await;
            }
            if created.is_none() {
                return Err(unavailable("a content of the initial tree could not be read back"));
            }
        }
        match self.store.put(HEAD_KEY, encoded, Expected::Absent).await {
            Ok(_) | Err(StoreError::Conflict(_) | StoreError::Unknown(_)) => self.load().await,
            Err(error) => Err(unavailable(error)),
        }
    }

    /// Reads the whole tree. Returns an empty one if the store holds no settings yet.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if the store can't be reached or returns only stale values.
    pub async fn load(&self) -> Result<Tree> {
        match self.read().await? {
            Some(head) => self.assemble(&head).await,
            None => Ok(Tree::new()),
        }
    }

    /// Reads the log of the last accepted edits, oldest first.
    ///
    /// # Errors
    ///
    /// As for [`load`](Self::load).
    pub async fn log(&self) -> Result<Vec<Entry>> {
        Ok(self.read().await?.map_or_else(Vec::new, |head| head.log.into()))
    }

    /// Applies an edit of an operator who is in the given teams.
    ///
    /// A refusal is final. It is confirmed by a conditional write of the head, which fails after
    /// a stale read and fences a delayed write of an earlier submission that would still apply the
    /// edit.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn edit(&self, operator: &str, teams: &[SmolStr], edit: &Edit) -> Result<Accepted> {
        check_id_and_path(edit)?;
        let mut progress = Progress::default();
        let mut backoff = BACKOFF_MIN;
        let mut cause = SmolStr::new_static("head changed at each attempt, or reads were stale");
        for _ in 0..ATTEMPTS_MAX {
            match self.try_edit(operator, teams, edit, &mut progress).await {
                Ok(Some(accepted)) => return Ok(accepted),
                Ok(None) => {}
                Err(Error::Unavailable(text)) if progress.has_unknown_write => cause = text,
                Err(error) => return Err(error),
            }
            back_off(&mut backoff).await;
        }
        Err(match progress.has_unknown_write {
            true => Error::Unknown { id: edit.id.clone(), cause },
            false => Error::Unavailable(cause),
        })
    }

    /// Makes one attempt at an edit. Returns `None` if the attempt must be repeated with a new read
    /// of the head.
    async fn try_edit(
        &self,
        operator: &str,
        teams: &[SmolStr],
        edit: &Edit,
        progress: &mut Progress,
    ) -> Result<Option<Accepted>> {
        let Some((version, head)) = self.read_once().await? else { return Ok(None) };
        let tree = self.assemble(&head).await?;
        if let Some(entry) = head.log.iter().find(|entry| entry.id == edit.id) {
            if entry.path != edit.path || entry.operator != operator {
                return Err(reused_id(&edit.id));
            }
            return Ok(Some(Accepted { revision: entry.revision, repeated: true, tree }));
        }
        let (next, tree) = match head.apply(&tree, operator, teams, edit) {
            Ok(applied) => applied,
            Err(refusal) => {
                let confirmed = self.write_head(version, head.encode()?, progress, false).await?;
                return if confirmed { Err(refusal) } else { Ok(None) };
            }
        };
        if progress.content_created_at.is_none() {
            let content = Content::new(operator, edit, head.revision);
            progress.content_created_at = self.create_content(&edit.id, &content).await?;
        }
        let Some(created) = progress.content_created_at else { return Ok(None) };
        if head.revision > created + LOG_ENTRIES_MAX as u64 {
            let cause = format_smolstr!(
                "the id was first used at revision {created}, which the log no longer covers; \
                 read the branch and use a new id"
            );
            return Err(Error::Unknown { id: edit.id.clone(), cause });
        }
        if !self.write_head(version, next, progress, true).await? {
            return Ok(None);
        }
        let revision = tree.revision();
        self.revision_seen.fetch_max(revision, Ordering::Relaxed);
        Ok(Some(Accepted { revision, repeated: false, tree }))
    }

    /// Writes the head if it still has the version. Returns whether the write is known to have
    /// succeeded.
    async fn write_head(
        &self,
        version: Version,
        head: Bytes,
        progress: &mut Progress,
        is_edit: bool,
    ) -> Result<bool> {
        match self.store.put(HEAD_KEY, head, Expected::Version(version)).await {
            Ok(_) => Ok(true),
            Err(StoreError::Conflict(_)) => Ok(false),
            Err(StoreError::Unknown(_) | StoreError::Malformed(_)) => {
                progress.has_unknown_write |= is_edit;
                Ok(false)
            }
            Err(error) => Err(unavailable(error)),
        }
    }

    /// Creates a content object, unless an earlier attempt or submission of the same edit created
    /// it. Returns the revision of the head at its creation, or `None` if a read does not find it,
    /// because the write was lost or the read was stale.
    async fn create_content(&self, id: &Id, content: &Content) -> Result<Option<Revision>> {
        let key = format!("{CONTENT_PREFIX}{id}");
        let value = encode(content)?;
        match self.store.put(&key, value, Expected::Absent).await {
            Ok(_) => return Ok(Some(content.after)),
            Err(StoreError::Unavailable(cause)) => return Err(Error::Unavailable(cause)),
            Err(_) => {}
        }
        let object = self.store.get(&key).await.map_err(unavailable)?;
        let Some(object) = object else { return Ok(None) };
        let found: Content = decode(&object.value)?;
        let expected = Content { after: found.after, ..content.clone() };
        if found == expected { Ok(Some(found.after)) } else { Err(reused_id(id)) }
    }

    /// Reads the head, with repeated attempts. Returns `None` if the store holds no settings.
    async fn read(&self) -> Result<Option<Head>> {
        let mut backoff = BACKOFF_MIN;
        for _ in 0..ATTEMPTS_MAX {
            if let Some((_, head)) = self.read_once().await? {
                return Ok(Some(head));
            }
            back_off(&mut backoff).await;
        }
        match self.revision_seen.load(Ordering::Relaxed) {
            0 => Ok(None),
            seen => Err(unavailable(format_smolstr!(
                "head could not be read at revision {seen} or later"
            ))),
        }
    }

    /// Reads the head once. Returns `None` if it is absent or the read is stale.
    async fn read_once(&self) -> Result<Option<(Version, Head)>> {
        let object = self.store.get(HEAD_KEY).await.map_err(unavailable)?;
        let Some(object) = object else { return Ok(None) };
        let head: Head = decode(&object.value)?;
        let seen = self.revision_seen.fetch_max(head.revision, Ordering::Relaxed);
        Ok((head.revision >= seen).then_some((object.version, head)))
    }

    /// Builds the tree of a head from the contents that it refers to.
    async fn assemble(&self, head: &Head) -> Result<Tree> {
        // A list of futures rather than a lazy iterator, whose closure would not be `Send`.
        let reads: Vec<_> = head
            .branches
            .values()
            .map(|branch_ref| self.content(branch_ref.content.clone()))
            .collect();
        let contents: Vec<(Id, Arc<Content>)> =
            stream::iter(reads).buffer_unordered(CONCURRENT_READS_MAX).try_collect().await?;
        let contents: BTreeMap<Id, Arc<Content>> = contents.into_iter().collect();
        let mut tree = Tree::new().with_revision(head.revision);
        for (path, branch_ref) in &head.branches {
            let value = contents.get(&branch_ref.content).and_then(|content| content.value.clone());
            let branch = Branch::new(branch_ref.owner.clone(), value.unwrap_or_default());
            tree = tree.with_branch(path.clone(), branch.with_revision(branch_ref.revision));
        }
        *self.cache() = contents;
        Ok(tree)
    }

    /// Returns a content object from the cache or the store.
    async fn content(&self, id: Id) -> Result<(Id, Arc<Content>)> {
        if let Some(content) = self.cache().get(&id).cloned() {
            return Ok((id, content));
        }
        let key = format!("{CONTENT_PREFIX}{id}");
        let mut backoff = BACKOFF_MIN;
        for _ in 0..ATTEMPTS_MAX {
            // A content object is created before the head refers to it, so an absent one is a stale
            // read.
            if let Some(object) = self.store.get(&key).await.map_err(unavailable)? {
                return Ok((id, Arc::new(decode(&object.value)?)));
            }
            back_off(&mut backoff).await;
        }
        Err(unavailable(format_smolstr!("content {id} of the settings is missing")))
    }

    fn cache(&self) -> MutexGuard<'_, BTreeMap<Id, Arc<Content>>> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits before the next attempt and doubles the backoff for the following one.
async fn back_off(backoff: &mut Duration) {
    tokio::time::sleep(*backoff).await;
    *backoff = (*backoff * 2).min(BACKOFF_MAX);
}

#[cold]
pub(crate) fn unavailable(cause: impl fmt::Display) -> Error {
    Error::Unavailable(format_smolstr!("{cause}"))
}

#[cold]
fn reused_id(id: &Id) -> Error {
    invalid("edit id", id, "an id that no other edit has used")
}
