//! Conditional writes whose lost replies are resolved by reading the object back.

use bytes::Bytes;
use jaycrank_platform::Error;
use jaycrank_platform::Expected;
use jaycrank_platform::Store;
use jaycrank_platform::Version;

/// Attempts to read the object back and repeat the write before the write is reported in doubt.
const READ_BACKS_MAX: usize = 8;

/// Known effect of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// The object holds the value at this version.
    Applied(Version),
    /// Another writer changed the object, so the write can no longer be applied.
    Conflict,
    /// The value was not applied and never will be.
    NotApplied(Error),
    /// The value may have been applied, or may still be applied later.
    InDoubt(Error),
}

/// Writes a value that no other write produces.
///
/// The same write may be repeated after [`Effect::InDoubt`]: on a conflict the object is read back,
/// and the write counts as applied if the object holds exactly this value.
pub(crate) async fn put(store: &dyn Store, key: &str, value: &Bytes, expected: Expected) -> Effect {
    match store.put(key, value.clone(), expected).await {
        Ok(version) => Effect::Applied(version),
        Err(error @ (Error::Unavailable(_) | Error::TooLarge(_))) => Effect::NotApplied(error),
        Err(error) => read_back(store, key, value, expected, error).await,
    }
}

/// Resolves a write that met a conflict or whose reply was lost.
///
/// Reading the old version does not prove that the write failed, because a delayed write may still
/// be applied. The write is therefore repeated under the same condition, so that at most one of
/// the two can take effect.
#[cold]
async fn read_back(
    store: &dyn Store,
    key: &str,
    value: &Bytes,
    expected: Expected,
    cause: Error,
) -> Effect {
    let mut last = cause;
    for _ in 0..READ_BACKS_MAX {
        match store.get(key).await {
            Ok(Some(object)) if object.value == *value => return Effect::Applied(object.version),
            Ok(object) => {
                let unchanged = match (expected, object) {
                    (Expected::Absent, object) => object.is_none(),
                    // A version below the expected one is a stale read.
                    (Expected::Version(version), Some(object)) => object.version <= version,
                    (Expected::Version(_), None) => false,
                };
                if !unchanged {
                    return Effect::Conflict;
                }
            }
            Err(error) => return Effect::InDoubt(error),
        }
        match store.put(key, value.clone(), expected).await {
            Ok(version) => return Effect::Applied(version),
            Err(error @ (Error::Conflict(_) | Error::Unknown(_) | Error::Malformed(_))) => {
                last = error;
            }
            Err(error) => return Effect::InDoubt(error),
        }
    }
    Effect::InDoubt(last)
}
