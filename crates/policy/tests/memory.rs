//! Tests of the bound on memory, for crowds of clients whose bodies stop short of their end.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jaycrank_policy::capacity::Capacity;
use jaycrank_policy::memory::Buffer;
use jaycrank_policy::memory::Exhausted;
use jaycrank_policy::memory::Memory;
use jaycrank_policy::memory::Upload;

/// Size of the memory, in bytes.
const BYTES_MAX: usize = 1 << 20;
/// Size of a large body, in bytes.
const LARGE: usize = 64 << 10;
/// Size of an ordinary body, in bytes.
const SMALL: usize = 1 << 10;
/// Time after which a body that still arrives may lose its memory.
const LATER: Duration = Duration::from_secs(1);

fn memory() -> (Arc<Memory>, Instant) {
    (Arc::new(Memory::new(BYTES_MAX)), Instant::now())
}

/// Starts bodies that stop short of their end until one is refused.
fn fill(memory: &Arc<Memory>, now: Instant) -> Vec<Upload> {
    let mut uploads = Vec::new();
    loop {
        let upload = memory.upload(LARGE, now);
        if upload.append(&vec![7; LARGE - 1], now).is_err() {
            return uploads;
        }
        uploads.push(upload);
    }
}

/// Guards against bodies that take more than the whole memory, whatever the size of their pieces, and
/// against memory that is not freed.
#[test]
fn bodies_stay_within_the_memory() {
    for piece in [1, 100, 4 << 10, LARGE] {
        for bytes_max in [2 * LARGE, LARGE] {
            let (memory, now) = memory();
            let mut uploads = Vec::new();
            for _ in 0..100 {
                let upload = memory.upload(bytes_max, now);
                let body = vec![7; LARGE - 1];
                let all = body.chunks(piece).try_for_each(|piece| upload.append(piece, now));
                assert!(memory.bytes() <= BYTES_MAX);
                if all.is_ok() {
                    uploads.push(upload);
                }
            }
            assert!(uploads.len() >= 5, "pieces of {piece}: {} bodies", uploads.len());
            drop(uploads);
            assert_eq!(memory.bytes(), 0, "pieces of {piece}");
        }
    }
}

/// Guards against large bodies that take the last of the memory, so that ordinary ones are refused.
#[test]
fn large_bodies_leave_room_for_small_ones() {
    let (memory, now) = memory();
    let _crowd = fill(&memory, now);
    for _ in 0..BYTES_MAX / 16 / SMALL {
        let mut buffer = Buffer::new(&memory, SMALL);
        assert_eq!(buffer.append(&[7; SMALL], now), Ok(()));
        std::mem::forget(buffer);
    }
}

/// Guards against a crowd that holds still and shuts others out until a timeout: its oldest body loses
/// its memory, and only as many do as are needed.
#[tokio::test]
async fn oldest_body_loses_its_memory() {
    let (memory, now) = memory();
    let crowd = fill(&memory, now);
    let newcomer = memory.upload(LARGE, now);
    assert_eq!(newcomer.append(&[7; LARGE], now), Err(Exhausted));
    assert_eq!(newcomer.append(&[7; LARGE], now + LATER), Ok(()));
    assert_eq!(memory.usage().revoked, 1);
    crowd[0].revoked().await;
    assert_eq!(crowd[0].append(&[7], now + LATER), Err(Exhausted));
    assert_eq!(crowd[1].append(&[7], now + LATER), Ok(()));
    let mut crowd = crowd.into_iter();
    assert_eq!(crowd.next().unwrap().finish().map(|_| ()), Err(Exhausted));
    let finished = crowd.next().unwrap().finish().unwrap();
    assert_eq!(finished.as_ref(), [7; LARGE]);
    drop((crowd, newcomer, finished));
    assert_eq!(memory.bytes(), 0);
}

/// Guards against a body that is complete, or an answer, that loses its memory.
#[test]
fn complete_bodies_keep_their_memory() {
    let (memory, now) = memory();
    let crowd = fill(&memory, now);
    let complete: Vec<Buffer> = crowd.into_iter().map(|upload| upload.finish().unwrap()).collect();
    let newcomer = memory.upload(LARGE, now + LATER);
    assert_eq!(newcomer.append(&[7; LARGE], now + LATER), Err(Exhausted));
    drop(complete);
    assert_eq!(newcomer.append(&[7; LARGE], now + LATER), Ok(()));
}

/// Guards against bodies that are revoked although that is not enough for the one that needs memory.
#[test]
fn no_body_is_revoked_in_vain() {
    let (memory, now) = memory();
    let mut crowd = fill(&memory, now);
    let upload = crowd.pop().unwrap();
    let complete: Vec<Buffer> = crowd.into_iter().map(|upload| upload.finish().unwrap()).collect();
    let mut reservation = memory.reserve();
    assert_eq!(reservation.grow(BYTES_MAX / 2, now + LATER), Err(Exhausted));
    assert_eq!(upload.append(&[7], now + LATER), Ok(()));
    assert_eq!(memory.usage().revoked, 0);
    drop(complete);
}

/// Guards against a body of the largest legal size that is refused in calm, on the smallest instance.
#[test]
fn largest_body_fits_a_small_instance() {
    let capacity = Capacity::default().with_memory(64_000_000);
    let now = Instant::now();
    for (bytes, length) in
        [(capacity.request_bytes(), 256 << 10), (capacity.answer_bytes(), 8 << 20)]
    {
        let memory = Arc::new(Memory::new(bytes));
        let mut buffer = Buffer::new(&memory, length);
        for piece in vec![7; length].chunks(4 << 10) {
            assert_eq!(buffer.append(piece, now), Ok(()));
        }
    }
}

/// Guards against parts of the memory or the descriptors that add up to more than the whole.
#[test]
fn capacity_is_divided() {
    for (memory, descriptors) in [(160_000_000, 4_100), (512_000_000, 8_192), (64_000_000, 700)] {
        let capacity = Capacity::default().with_memory(memory).with_descriptors(descriptors);
        let bytes = capacity.request_bytes()
            + capacity.answer_bytes()
            + capacity.message_bytes()
            + capacity.caller_connections() * (52 << 10);
        assert!(bytes <= memory * 11 / 16, "{bytes} of {memory} bytes");
        let sockets = capacity.caller_connections()
            + capacity.peer_connections()
            + capacity.leaf_connections()
            + 2 * capacity.probe_connections();
        assert!(sockets <= descriptors - 200, "{sockets} of {descriptors}");
    }
}
