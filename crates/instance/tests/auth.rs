//! Authentication of calls: wrong keys, replays, and altered or truncated messages are refused.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use jaycrank_instance::Client;
use jaycrank_instance::Documents;
use jaycrank_instance::Exchange;
use jaycrank_instance::Handler;
use jaycrank_instance::Identity;
use jaycrank_instance::Key;
use jaycrank_instance::Membership;
use jaycrank_instance::Sections;
use jaycrank_instance::auth;
use jaycrank_instance::auth::CLOCK_SKEW_MAX_MS;
use jaycrank_instance::auth::Nonces;
use jaycrank_instance::client;
use jaycrank_instance::server;
use jaycrank_instance::wire;
use jaycrank_instance::wire::Blob;
use jaycrank_instance::wire::Claim;
use jaycrank_instance::wire::Forward;
use jaycrank_instance::wire::Outcome;
use jaycrank_instance::wire::Pull;
use jaycrank_instance::wire::State;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Handler that returns each request as its reply.
struct Echo;

#[async_trait]
impl Handler for Echo {
    fn fill_sections(&self, _sections: &mut Sections) {}

    fn handle_sections(&self, _from: &Identity, _sections: Sections) {}

    async fn claim(&self, claim: Claim) -> Outcome {
        Outcome { status: 200, body: claim.query }
    }

    async fn forward(&self, forward: Forward) -> Outcome {
        Outcome { status: 200, body: forward.query }
    }
}

async fn bind() -> (SocketAddr, Arc<Exchange>) {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let own = Identity {
        name: "n0".into(),
        incarnation: 1,
        state: State::Ready,
        address: any,
        caller_address: any,
        failure_domain: "d1".into(),
        region: "r1".into(),
    };
    let membership = Membership::new(own, CALL_TIMEOUT);
    let exchange = Arc::new(Exchange::new(membership, Documents::new(), Arc::new(Echo)));
    let server = server::bind(any, exchange.clone(), Key::new(b"a"), server::Bounds::default());
    (server.await.unwrap().address(), exchange)
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Sends the body `sent` with the code of the body `signed`. Returns status and text of the reply.
async fn send(
    address: SocketAddr,
    time_ms: u64,
    nonce: u128,
    signed: &[u8],
    sent: &[u8],
) -> (u16, String) {
    let code = Key::new(b"a").sign_request(client::PULL_PATH, time_ms, nonce, signed);
    let request = Request::post(client::PULL_PATH)
        .header("host", "instance")
        .header(auth::TIME_HEADER, time_ms)
        .header(auth::NONCE_HEADER, format!("{nonce:032x}"))
        .header(auth::CODE_HEADER, auth::to_hex(&code))
        .body(Full::new(Bytes::copy_from_slice(sent)))
        .unwrap();
    let reply = jaycrank_http::Client::new(address).call(request, CALL_TIMEOUT).await.unwrap();
    let text = String::from_utf8_lossy(reply.body()).into_owned();
    (reply.status().as_u16(), text)
}

/// Guards against a server that accepts replayed, outdated, altered or truncated calls.
#[tokio::test]
async fn altered_calls_are_refused() {
    let (address, _) = bind().await;
    let pull = wire::encode(&Pull { above: [("config".into(), 6)].into() }).unwrap();
    let now = unix_ms();
    assert_eq!(send(address, now, 1, &pull, &pull).await.0, 200);
    let old = now - CLOCK_SKEW_MAX_MS - 1_000;
    let cut = &pull[..pull.len() - 1];
    let refusals = [
        ("replayed", send(address, now, 1, &pull, &pull).await),
        ("old", send(address, old, 2, &pull, &pull).await),
        ("truncated on the way", send(address, now, 3, &pull, cut).await),
        ("truncated by the sender", send(address, now, 4, cut, cut).await),
    ];
    let texts = refusals.map(|(name, (status, text))| format!("{name}: {status} {text}"));
    insta::assert_snapshot!(texts.join("\n"));
}

/// Guards against an exchange between instances with different keys.
#[tokio::test]
async fn wrong_key_is_refused_on_both_sides() {
    let (address, exchange) = bind().await;
    let heartbeat = exchange.compose_heartbeat(None);
    let right = Client::new(address, Key::new(b"a"));
    assert_eq!(right.heartbeat(&heartbeat, CALL_TIMEOUT).await.unwrap().from.name, "n0");
    let wrong = Client::new(address, Key::new(b"b"));
    let error = wrong.heartbeat(&heartbeat, CALL_TIMEOUT).await.unwrap_err();
    assert_eq!(error, client::Error::Reply(auth::Error::Header(auth::CODE_HEADER)));
    assert!(!error.is_not_run());
    let (key, other) = (Key::new(b"a"), Key::new(b"b"));
    let code = key.sign_reply(1, 200, b"body");
    let check = |expected| auth::verify(&expected, &code);
    assert_eq!(check(key.sign_reply(1, 200, b"body")), Ok(()));
    for changed in [other.sign_reply(1, 200, b"body"), key.sign_reply(2, 200, b"body")] {
        assert_eq!(check(changed), Err(auth::Error::Code));
    }
    for changed in [key.sign_reply(1, 400, b"body"), key.sign_reply(1, 200, b"bod")] {
        assert_eq!(check(changed), Err(auth::Error::Code));
    }
}

/// Guards against calls that reach the wrong method of the handler, and against altered replies.
#[tokio::test]
async fn claims_and_forwards_reach_the_handler() {
    let (address, _) = bind().await;
    let client = Client::new(address, Key::new(b"a"));
    let query = Blob(Bytes::from("claim"));
    let claim = Claim { partition: 1, member: "tunis".into(), deadline_ms: 1, query };
    assert_eq!(client.claim(&claim, CALL_TIMEOUT).await.unwrap().body, claim.query);
    let query = Blob(Bytes::from("forward"));
    let forward = Forward { member: "tunis".into(), deadline_ms: 1, query };
    assert_eq!(client.forward(&forward, CALL_TIMEOUT).await.unwrap().body, forward.query);
}

/// Guards against a replay whose nonce is no longer stored although its time is still valid.
#[test]
fn nonces_are_kept_while_their_time_is_valid() {
    let nonces = Nonces::default();
    let start = 1_000_000;
    // The sender's clock is ahead by the maximum skew, so its time is valid for twice the skew.
    assert_eq!(nonces.accept(start + CLOCK_SKEW_MAX_MS, 1, start), Ok(()));
    for now in (start..=start + 2 * CLOCK_SKEW_MAX_MS).step_by(1_000) {
        assert_eq!(nonces.accept(now, u128::from(now), now), Ok(()));
        assert_eq!(nonces.accept(start + CLOCK_SKEW_MAX_MS, 1, now), Err(auth::Error::Replay));
    }
    let late = start + 2 * CLOCK_SKEW_MAX_MS + 1;
    assert_eq!(nonces.accept(start + CLOCK_SKEW_MAX_MS, 1, late), Err(auth::Error::Time));
}
