//! Reclamation of expired segments, and the planned hand-over.

use jaycrank_platform::Expected;
use smol_str::SmolStr;

use crate::commit::Pen;
use crate::error::Error;
use crate::error::Result;
use crate::head;
use crate::head::Epoch;
use crate::head::Head;
use crate::owner::Owner;
use crate::segment;
use crate::submission::UnixMs;
use crate::tenure::Phase;
use crate::write;
use crate::write::Written;

impl Owner {
    /// Raises the watermark over the segments that expired by `now_unix_ms`, deletes them, and
    /// returns how many objects were deleted.
    ///
    /// The time only determines when space is freed. Requests whose expiry is at or below the
    /// watermark are refused from then on, so a wrong clock can't lead to a second run.
    ///
    /// # Errors
    ///
    /// [`Error`] if this instance is not the owner or the store fails. What is not deleted now is
    /// deleted by a later call.
    pub async fn reclaim(&self, now_unix_ms: UnixMs) -> Result<usize> {
        let shared = &self.shared;
        let epoch = self.epoch().ok_or(Error::NotOwner)?;
        let pen = shared.pace().await;
        let expired = shared.with(epoch, |tenure| {
            let mut first = tenure.head.first;
            for (number, latest) in &tenure.sealed {
                if *latest > now_unix_ms {
                    break;
                }
                first = number + 1;
                // Submissions are refused before the index forgets the claims.
                tenure.watermark = tenure.watermark.max(*latest);
            }
            (first > tenure.head.first).then_some((first, tenure.watermark))
        });
        let Some((first, watermark)) = expired.ok_or(Error::NotOwner)? else { return Ok(0) };
        // A repeated write may have raised both further, and neither ever falls.
        let raise = |head: &Head| Head {
            first: first.max(head.first),
            watermark: watermark.max(head.watermark),
            ..head.clone()
        };
        self.write_head(pen, epoch, raise).await?;
        shared.with(epoch, |tenure| {
            tenure.sealed = tenure.sealed.split_off(&first);
            tenure.entries.retain(|_, entry| {
                entry.expiry > watermark || matches!(entry.phase, Phase::Live(_))
            });
        });
        self.sweep(first).await
    }

    /// Deletes the segments below `first`, and those that an earlier call left behind.
    async fn sweep(&self, first: segment::Number) -> Result<usize> {
        let shared = &self.shared;
        let prefix = segment::prefix(shared.partition);
        let end = segment::key(shared.partition, first);
        let keys = shared.store.list(&prefix).await.map_err(Error::Store)?;
        let mut deleted = 0;
        for (key, version) in keys.range::<SmolStr, _>(..end) {
            let _pen = shared.pace().await;
            shared.store.delete(key, *version).await.map_err(Error::Store)?;
            deleted += 1;
        }
        Ok(deleted)
    }

    /// Hands the partition over: refuses new claims, waits for what runs, writes the outcomes and
    /// marks the head as free, so that the next owner takes over without a wait.
    ///
    /// It waits as long as runs and the store take; the caller sets a limit and drops the owner
    /// after it.
    ///
    /// # Errors
    ///
    /// [`Error`] if this instance is not the owner, was fenced meanwhile, or can't write the head.
    pub async fn release(&self) -> Result<()> {
        let shared = &self.shared;
        let epoch = self.epoch().ok_or(Error::NotOwner)?;
        loop {
            let mut idle = std::pin::pin!(shared.idle.notified());
            idle.as_mut().enable();
            let done = shared.with(epoch, |tenure| {
                tenure.releasing = true;
                tenure.is_idle()
            });
            if done.ok_or_else(|| Error::Fenced(head::key(shared.partition)))? {
                break;
            }
            idle.await;
        }
        let pen = shared.pace().await;
        self.write_head(pen, epoch, |head| Head { free: true, ..head.clone() }).await
    }

    /// Changes the head, and ends the ownership if it becomes free. A write in doubt is repeated
    /// first.
    async fn write_head(
        &self,
        mut pen: Pen<'_>,
        epoch: Epoch,
        change: impl Fn(&Head) -> Head,
    ) -> Result<()> {
        let shared = &self.shared;
        let key = head::key(shared.partition);
        loop {
            let next = shared.with(epoch, |tenure| {
                let doubt = tenure.head_doubt.clone();
                let doubted = doubt.is_some();
                let next = doubt.unwrap_or_else(|| change(&tenure.head));
                (next, doubted, Expected::Version(tenure.head_version))
            });
            let (next, doubted, expected) = next.ok_or(Error::NotOwner)?;
            match write::put(&*shared.store, &key, &next.encode(), expected).await {
                Written::Applied(version) => {
                    let free = next.free;
                    let done = !doubted || change(&next) == next;
                    shared.with(epoch, |tenure| {
                        tenure.head = next;
                        tenure.head_version = version;
                        tenure.head_doubt = None;
                    });
                    if free {
                        // A free head is not written any more, also if the hand-over was in doubt.
                        shared.fence(epoch);
                        return if done { Ok(()) } else { Err(Error::NotOwner) };
                    }
                    if done {
                        return Ok(());
                    }
                }
                Written::Fenced => {
                    shared.fence(epoch);
                    return Err(Error::Fenced(key));
                }
                Written::Refused(cause) if !doubted => return Err(Error::Store(cause)),
                Written::Refused(cause) | Written::Doubt(cause) => {
                    shared.with(epoch, |tenure| tenure.head_doubt = Some(next));
                    return Err(Error::InDoubt(cause));
                }
            }
            drop(pen);
            pen = shared.pace().await;
        }
    }
}
