//! Tests of the merge of parts. The seed of the fuzz test is in `.cargo/config.toml`.

use jaycrank_policy::merge::RECORD_BYTES;
use jaycrank_policy::merge::greatest;

const ITERATIONS: usize = 5_000;

/// Guards against dropped duplicates, a wrong order, and bytes of an incomplete record in the
/// answer.
#[test]
fn merged_records_are_the_greatest_of_all_parts() {
    bolero::check!().with_type::<(Vec<Vec<u8>>, u8)>().with_iterations(ITERATIONS).for_each(
        |(parts, top)| {
            let top = usize::from(*top) % 8;
            let merged = greatest(parts.iter().map(Vec::as_slice), top);
            let mut records: Vec<[u8; RECORD_BYTES]> = Vec::new();
            for part in parts {
                let whole = part.len() / RECORD_BYTES;
                for at in 0..whole {
                    let start = at * RECORD_BYTES;
                    records.push(part[start..start + RECORD_BYTES].try_into().unwrap());
                }
            }
            records.sort();
            records.reverse();
            records.truncate(top);
            assert_eq!(merged, records.concat());
        },
    );
}

/// Guards against dropping duplicate records.
#[test]
fn duplicate_records_are_kept() {
    let one = [5_u8; RECORD_BYTES];
    let parts = [one.as_slice(), &one, &[4; RECORD_BYTES]];
    assert_eq!(greatest(parts, 2), [one, one].concat());
}
