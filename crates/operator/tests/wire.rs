//! JSON encoding of the administration API.

use jaycrank_operator::Refusal;
use jaycrank_operator::wire::EditReply;
use jaycrank_operator::wire::EditRequest;
use jaycrank_operator::wire::Log;
use jaycrank_operator::wire::LogEntry;
use jaycrank_operator::wire::PeerStatus;
use jaycrank_operator::wire::Status;
use jaycrank_settings::Conflict;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;

const SEED: u64 = 23;
const INPUTS: usize = 10_000;

fn edit_request() -> EditRequest {
    EditRequest {
        id: "edit-a".into(),
        base: 3,
        owner: Some("search".into()),
        value: Some(json!({})),
    }
}

fn refusal() -> Refusal {
    Refusal::conflict(Conflict {
        path: "policy".into(),
        refused: "edit-a".into(),
        accepted: Some("edit-b".into()),
        revision: 4,
        operator: Some("bo".into()),
    })
}

/// Guards against incompatible changes of the messages that operators' scripts read and write.
#[test]
fn json_encoding_is_stable() {
    let entry = LogEntry {
        revision: 4,
        id: "edit-b".into(),
        operator: "bo".into(),
        path: "policy".into(),
        unix_s: 1_700_000_000,
    };
    let peer = PeerStatus { incarnation: 7, liveness: "live".into(), silent_ms: Some(120) };
    let status = Status {
        name: "n0".into(),
        incarnation: 5,
        state: "ready".into(),
        revision: 4,
        peers: [("n1".into(), peer)].into(),
    };
    let forms = [
        serde_json::to_string(&edit_request()),
        serde_json::to_string(&EditReply { revision: 4, repeated: false }),
        serde_json::to_string(&Log { entries: vec![entry] }),
        serde_json::to_string(&status),
        serde_json::to_string(&refusal()),
    ];
    insta::assert_snapshot!(forms.map(Result::unwrap).join("\n"));
}

/// Guards against decoders that panic, and a message that changes when it is encoded again. The
/// inputs are valid messages with one byte changed.
#[test]
fn corrupted_messages_are_decoded_or_refused() {
    let mut random = StdRng::seed_from_u64(SEED);
    let (edit, refusal) =
        (serde_json::to_vec(&edit_request()).unwrap(), serde_json::to_vec(&refusal()).unwrap());
    for _ in 0..INPUTS {
        let (mut edit, mut refusal) = (edit.clone(), refusal.clone());
        for text in [&mut edit, &mut refusal] {
            let position = random.random_range(0..text.len());
            text[position] = random.random_range(b' '..127);
        }
        if let Ok(message) = serde_json::from_slice::<EditRequest>(&edit) {
            let again = serde_json::to_vec(&message).unwrap();
            assert_eq!(serde_json::from_slice::<EditRequest>(&again).unwrap(), message);
        }
        if let Ok(message) = serde_json::from_slice::<Refusal>(&refusal) {
            let again = serde_json::to_vec(&message).unwrap();
            assert_eq!(serde_json::from_slice::<Refusal>(&again).unwrap(), message);
        }
    }
}
