//! Wire format of the messages, and decoding of arbitrary input.

use std::fmt::Debug;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use bolero::ValueGenerator;
use bolero::generator::bolero_generator::driver::ByteSliceDriver;
use bolero::generator::bolero_generator::driver::Options;
use bolero::produce;
use bytes::Bytes;
use jaycrank_instance::Documents;
use jaycrank_instance::Heartbeat;
use jaycrank_instance::Identity;
use jaycrank_instance::Sections;
use jaycrank_instance::auth;
use jaycrank_instance::delta;
use jaycrank_instance::wire;
use jaycrank_instance::wire::Blob;
use jaycrank_instance::wire::Claim;
use jaycrank_instance::wire::Document;
use jaycrank_instance::wire::Error;
use jaycrank_instance::wire::Forward;
use jaycrank_instance::wire::Message;
use jaycrank_instance::wire::Outcome;
use jaycrank_instance::wire::Pull;
use jaycrank_instance::wire::State;
use jaycrank_policy::quarantine;
use jaycrank_policy::quarantine::Observation;
use jaycrank_settings::Rank;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SEED: u64 = 17;
const INPUTS: usize = 5_000;

fn identity(name: &str) -> Identity {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 7_001));
    Identity {
        name: name.into(),
        incarnation: 1_700_000_000_000,
        state: State::Ready,
        address,
        caller_address: address,
        failure_domain: "d1".into(),
        region: "r1".into(),
    }
}

fn sections() -> Sections {
    let by_member = |value| [(Rank::Urgent, [("tunis".into(), value)].into())].into();
    let suspect = Observation {
        round: 1,
        state: quarantine::State::Suspect,
        leafs: ["quote-desk-00-0".into()].into(),
        crashed: None,
        reporters: ["n0".into()].into(),
        inconclusive: 0,
        age_ms: 60,
    };
    Sections {
        demand: [("quote-desk".into(), by_member(40.5))].into(),
        suspected: [(0xfeed, suspect)].into(),
        epochs: [(3, 12)].into(),
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        from: identity("n0"),
        peers_digest: 1,
        peers: vec![identity("n1")],
        documents_digest: 2,
        documents: [("config".into(), 7)].into(),
        number: 9,
        seen: 8,
        base: 7,
        patch: delta::diff(&Sections::default(), &sections()),
    }
}

fn blob(text: &'static str) -> Blob {
    Blob(Bytes::from(text))
}

fn claim() -> Claim {
    Claim { partition: 3, member: "tunis".into(), deadline_ms: 900, query: blob("{}") }
}

fn documents() -> wire::PullReply {
    let document = Document { key: "config".into(), revision: 7, value: blob("{}") };
    wire::PullReply { documents: vec![document], more: true }
}

fn hex(bytes: &[u8]) -> String {
    let line = |line: &[u8]| line.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    bytes.chunks(32).map(line).collect::<Vec<_>>().join("\n")
}

/// Guards against a change of the wire format without a change of its version.
#[test]
fn wire_forms_are_stable() {
    let forms = [
        ("heartbeat", wire::encode(&heartbeat())),
        ("pull", wire::encode(&Pull { above: [("config".into(), 6)].into() })),
        ("documents", wire::encode(&documents())),
        ("claim", wire::encode(&claim())),
        ("outcome", wire::encode(&Outcome { status: 200, body: blob("{}") })),
    ];
    let text: Vec<String> = forms
        .iter()
        .map(|(name, form)| format!("{name}\n{}", hex(form.as_ref().unwrap())))
        .collect();
    insta::assert_snapshot!(text.join("\n"));
}

/// Guards against decoders that accept anything but a complete message of their version and kind.
#[test]
fn invalid_messages_are_rejected_with_typed_errors() {
    let bytes = wire::encode(&claim()).unwrap();
    let with = |position: usize, byte: u8| {
        let mut bytes = bytes.to_vec();
        bytes[position] = byte;
        wire::decode::<Claim>(&bytes).unwrap_err()
    };
    assert_eq!(wire::decode::<Claim>(&bytes[..1]), Err(Error::Truncated));
    assert_eq!(with(0, 9), Error::Version(9));
    assert_eq!(with(1, Pull::KIND), Error::Kind(Pull::KIND));
    for end in 2..bytes.len() {
        let error = wire::decode::<Claim>(&bytes[..end]).unwrap_err();
        assert!(matches!(error, Error::Malformed(_)), "{end}: {error}");
    }
    let trailing = [&bytes[..], &[0]].concat();
    assert_eq!(wire::decode::<Claim>(&trailing), Err(Error::Trailing(1)));
    let body = Blob(Bytes::from(vec![0; Claim::BYTES_MAX]));
    let large = wire::encode(&Claim { query: body, ..claim() }).unwrap_err();
    assert!(matches!(large, Error::TooLarge { max, .. } if max == Claim::BYTES_MAX));
    let large = wire::decode::<Claim>(&[&bytes[..2], &vec![0; Claim::BYTES_MAX]].concat());
    assert!(matches!(large, Err(Error::TooLarge { .. })));
    let texts = [Error::Truncated, with(0, 9), with(1, 2), with(2, 0xc1), large.unwrap_err()];
    insta::assert_snapshot!(texts.map(|error| error.to_string()).join("\n"));
}

/// Feeds a decoder random bytes and valid messages that were altered, truncated or extended.
fn fuzz<T: Message + PartialEq + Debug>(valid: &T) {
    let valid = wire::encode(valid).unwrap();
    let mut random = StdRng::seed_from_u64(SEED);
    let options = Options::default();
    let (changes, tail) = (produce::<Vec<(u16, u8)>>(), produce::<Vec<u8>>());
    let cut = produce::<Option<u16>>();
    let mut entropy = [0; 512];
    for _ in 0..INPUTS {
        random.fill(&mut entropy[..]);
        let mut driver = ByteSliceDriver::new(&entropy, &options);
        let mut input = valid.to_vec();
        for (position, byte) in changes.generate(&mut driver).unwrap_or_default() {
            let position = usize::from(position) % input.len();
            input[position] = byte;
        }
        if let Some(Some(end)) = cut.generate(&mut driver) {
            input.truncate(usize::from(end) % valid.len());
            input.extend(tail.generate(&mut driver).unwrap_or_default());
        }
        if let Ok(message) = wire::decode::<T>(&input) {
            let again = wire::encode(&message).unwrap();
            // The encodings are compared, because a float may be NaN.
            assert_eq!(wire::encode(&wire::decode::<T>(&again).unwrap()).unwrap(), again);
        }
        let _ = wire::decode::<T>(&entropy);
    }
}

/// Guards against a decoder that panics, and against a message that changes in a round trip.
#[test]
fn decoders_handle_arbitrary_bytes() {
    fuzz(&heartbeat());
    fuzz(&Pull { above: [("config".into(), 6)].into() });
    fuzz(&documents());
    fuzz(&claim());
    fuzz(&Forward { member: "tunis".into(), deadline_ms: 900, query: blob("{}") });
    fuzz(&Outcome { status: 200, body: blob("{}") });
}

/// Guards against a parser of authentication codes that panics or accepts malformed text.
#[test]
fn code_parser_rejects_malformed_text() {
    let mut random = StdRng::seed_from_u64(SEED);
    let code: auth::Code = random.random();
    assert_eq!(auth::from_hex(&auth::to_hex(&code)), Some(code));
    for _ in 0..INPUTS {
        let length = random.random_range(0..130);
        let text: String = (0..length).map(|_| char::from(random.random::<u8>())).collect();
        assert_eq!(auth::from_hex(&text), None);
    }
}

/// Guards against documents that revert to a lower revision, and against pulls that omit documents
/// when the replies are limited in size.
#[test]
fn documents_never_revert_and_pulls_are_complete() {
    const KEYS: usize = 12;
    const BYTES: usize = 1 << 20;
    let (source, copy) = (Documents::new(), Documents::new());
    for number in 0..KEYS {
        assert!(source.apply(format!("map/s{number}"), 5, vec![0; BYTES].into()));
    }
    assert!(!source.apply("map/s0", 5, Bytes::new()) && !source.apply("map/s0", 4, Bytes::new()));
    assert!(copy.is_behind(&source.revisions()));
    let mut pulls = 0;
    loop {
        let reply = source.answer_pull(&Pull { above: copy.revisions() });
        pulls += 1;
        for document in reply.documents {
            assert!(copy.apply(document.key, document.revision, document.value.0));
        }
        if !reply.more {
            break;
        }
    }
    assert_eq!((pulls, copy.digest()), (3, source.digest()));
    assert!(!copy.is_behind(&source.revisions()) && !source.is_behind(&copy.revisions()));
}

/// Guards against patches that fail to remove an entry or restore a removed one.
#[test]
fn patch_turns_one_state_into_the_other() {
    let (empty, full) = (Sections::default(), sections());
    let mut changed = full.clone();
    changed.epochs = [(3, 13), (4, 1)].into();
    changed.demand.clear();
    let states = [&empty, &full, &changed];
    for (from, to) in states.iter().flat_map(|from| states.map(|to| (*from, to))) {
        let patch = delta::diff(from, to);
        assert_eq!(patch == wire::Patch::default(), from == to);
        let mut sections = from.clone();
        delta::apply(&mut sections, patch);
        assert_eq!(&sections, to);
    }
}
