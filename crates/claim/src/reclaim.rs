//! Reclamation of expired segments, and the hand-over of a partition.

use jaycrank_platform::Expected;
use smol_str::SmolStr;

use crate::commit::WritePermit;
use crate::error::Error;
use crate::error::Result;
use crate::head;
use crate::head::Epoch;
use crate::head::Head;
use crate::owner::Owner;
use crate::ownership::Phase;
use crate::segment;
use crate::submission::UnixMs;
use crate::write;
use crate::write::Effect;

impl Owner {
    /// Deletes the segments whose claims have all expired at `now_unix_ms`, after raising the
    /// watermark to their latest expiry, and returns the number of deleted segments.
    ///
    /// The clock only determines when space is freed. Requests whose expiry is at or below the
    /// watermark are refused from then on, so a wrong clock can't lead to a second run.
    ///
    /// # Errors
    ///
    /// [`Error`] if this instance is not the owner or the store fails. A later call deletes what
    /// remains.
    pub async fn reclaim(&self, now_unix_ms: UnixMs) -> Result<usize> {
        let shared = &self.shared;
        let epoch = self.epoch().ok_or(Error::NotOwner)?;
        let permit = shared.write_permit().await;
        let expired = shared.with_ownership(epoch, |ownership| {
            let mut first = ownership.head.first;
            for (number, latest) in &ownership.sealed {
                if *latest > now_unix_ms {
                    break;
                }
                first = number + 1;
                // The watermark is enforced before the claims are removed from the index.
                ownership.watermark = ownership.watermark.max(*latest);
            }
            (first > ownership.head.first).then_some((first, ownership.watermark))
        });
        let Some((first, watermark)) = expired.ok_or(Error::NotOwner)? else { return Ok(0) };
        // Repeating a write in doubt may have raised both further, and neither is ever lowered.
        let raise = |head: &Head| Head {
            first: first.max(head.first),
            watermark: watermark.max(head.watermark),
            ..head.clone()
        };
        self.write_head(permit, epoch, raise).await?;
        shared.with_ownership(epoch, |ownership| {
            ownership.sealed = ownership.sealed.split_off(&first);
            ownership.entries.retain(|_, entry| {
                entry.expiry > watermark || matches!(entry.phase, Phase::Live(_))
            });
        });
        self.delete_segments_below(first).await
    }

    /// Deletes all segments below `first`, including those that an earlier call failed to delete.
    async fn delete_segments_below(&self, first: segment::Number) -> Result<usize> {
        let shared = &self.shared;
        let prefix = segment::prefix(shared.partition);
        let end = segment::key(shared.partition, first);
        let keys = shared.store.list(&prefix).await.map_err(Error::Store)?;
        let mut deleted = 0;
        for (key, version) in keys.range::<SmolStr, _>(..end) {
            let _permit = shared.write_permit().await;
            shared.store.delete(key, *version).await.map_err(Error::Store)?;
            deleted += 1;
        }
        Ok(deleted)
    }

    /// Hands over the partition: refuses new claims, waits until all runs have ended and their
    /// outcomes are written, and marks the head as free, so that the next owner need not wait.
    ///
    /// There is no timeout. The caller sets a limit and drops the owner when it is exceeded.
    ///
    /// # Errors
    ///
    /// [`Error`] if this instance is not the owner, is fenced in the meantime, or can't write the
    /// head.
    pub async fn release(&self) -> Result<()> {
        let shared = &self.shared;
        let epoch = self.epoch().ok_or(Error::NotOwner)?;
        loop {
            let mut progress = std::pin::pin!(shared.progress.notified());
            progress.as_mut().enable();
            let done = shared.with_ownership(epoch, |ownership| {
                ownership.releasing = true;
                ownership.is_idle()
            });
            if done.ok_or_else(|| Error::Fenced(head::key(shared.partition)))? {
                break;
            }
            progress.await;
        }
        let permit = shared.write_permit().await;
        self.write_head(permit, epoch, |head| Head { free: true, ..head.clone() }).await
    }

    /// Writes the changed head, after repeating an earlier write in doubt. Ends the ownership if
    /// the head is then free.
    async fn write_head(
        &self,
        mut permit: WritePermit<'_>,
        epoch: Epoch,
        change: impl Fn(&Head) -> Head,
    ) -> Result<()> {
        let shared = &self.shared;
        let key = head::key(shared.partition);
        loop {
            let next = shared.with_ownership(epoch, |ownership| {
                let in_doubt_head = ownership.in_doubt_head.clone();
                let in_doubt = in_doubt_head.is_some();
                let next = in_doubt_head.unwrap_or_else(|| change(&ownership.head));
                (next, in_doubt, Expected::Version(ownership.head_version))
            });
            let (next, in_doubt, expected) = next.ok_or(Error::NotOwner)?;
            match write::put(&*shared.store, &key, &next.encode(), expected).await {
                Effect::Applied(version) => {
                    let free = next.free;
                    let done = !in_doubt || change(&next) == next;
                    shared.with_ownership(epoch, |ownership| {
                        ownership.head = next;
                        ownership.head_version = version;
                        ownership.in_doubt_head = None;
                    });
                    if free {
                        // Once the head is free another instance may own the partition, so this
                        // one must not write it again, even if the hand-over was in doubt.
                        shared.fence(epoch);
                        return if done { Ok(()) } else { Err(Error::NotOwner) };
                    }
                    if done {
                        return Ok(());
                    }
                }
                Effect::Conflict => {
                    shared.fence(epoch);
                    return Err(Error::Fenced(key));
                }
                Effect::NotApplied(cause) if !in_doubt => return Err(Error::Store(cause)),
                Effect::NotApplied(cause) | Effect::InDoubt(cause) => {
                    shared.with_ownership(epoch, |ownership| ownership.in_doubt_head = Some(next));
                    return Err(Error::InDoubt(cause));
                }
            }
            drop(permit);
            permit = shared.write_permit().await;
        }
    }
}
