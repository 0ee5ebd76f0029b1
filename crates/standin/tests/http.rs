//! Tests of the platform's HTTP server with the client that instances use.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use jaycrank_http::Server;
use jaycrank_platform::Entry;
use jaycrank_platform::Error;
use jaycrank_platform::Expected;
use jaycrank_platform::List as _;
use jaycrank_platform::Store as _;
use jaycrank_platform::http::Client;
use jaycrank_platform::list::Kind;
use jaycrank_platform::list::State;
use jaycrank_platform::store::VALUE_BYTES_MAX;
use jaycrank_standin::List;
use jaycrank_standin::Store;
use jaycrank_standin::http;

const SEED: u64 = 7;

struct Platform {
    store: Arc<Store>,
    list: Arc<List>,
    server: Server,
}

async fn start_platform() -> Platform {
    let (store, list) = (Arc::new(Store::new(SEED)), Arc::new(List::new()));
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = http::bind(any, store.clone(), list.clone()).await.unwrap();
    Platform { store, list, server }
}

impl Platform {
    fn client(&self) -> Client {
        Client::new(self.server.address())
    }
}

/// Guards against a server that loses versions or ignores the condition of a write.
#[tokio::test]
async fn writes_apply_only_if_their_condition_holds() {
    let platform = start_platform().await;
    let client = platform.client();
    let first = client.put("map/a", Bytes::from("1"), Expected::Absent).await.unwrap();
    let conflict = client.put("map/a", Bytes::from("2"), Expected::Absent).await;
    assert_eq!(conflict, Err(Error::Conflict("map/a".into())));
    let second = client.put("map/a", Bytes::from("3"), Expected::Version(first)).await.unwrap();
    let object = client.get("map/a").await.unwrap().unwrap();
    assert_eq!((object.version, object.value), (second, Bytes::from("3")));
    assert_eq!(client.list("map/").await.unwrap(), [("map/a".into(), second)].into());
    assert_eq!(client.delete("map/a", first).await, Err(Error::Conflict("map/a".into())));
    client.delete("map/a", second).await.unwrap();
    assert_eq!(client.get("map/a").await, Ok(None));
}

/// Guards against a watch that misses a write or reports one outside its prefix.
#[tokio::test]
async fn watch_returns_only_changed_keys_below_its_prefix() {
    let platform = start_platform().await;
    let client = platform.client();
    let first = client.put("map/a", Bytes::from("1"), Expected::Absent).await.unwrap();
    let watch = platform.client();
    let waiting = tokio::spawn(async move { watch.watch("map/", first).await });
    client.put("other", Bytes::from("1"), Expected::Absent).await.unwrap();
    let second = client.put("map/b", Bytes::from("2"), Expected::Absent).await.unwrap();
    let change = waiting.await.unwrap().unwrap();
    assert_eq!(change.keys, [("map/b".into(), Some(second))].into());
}

/// Guards against a client that reports an outage as an unknown outcome, or a lost reply to an
/// applied write as a refusal.
#[tokio::test]
async fn outage_and_lost_reply_are_different_errors() {
    let platform = start_platform().await;
    let client = platform.client();
    platform.store.update_fault(|fault| fault.outage = true);
    let refused = client.put("a", Bytes::from("1"), Expected::Absent).await;
    assert!(matches!(refused, Err(Error::Unavailable(_))), "{refused:?}");
    assert_eq!(platform.store.peek("a"), None);
    platform.store.update_fault(|fault| {
        fault.outage = false;
        fault.lost_reply_fraction = 1.0;
    });
    let lost = client.put("a", Bytes::from("1"), Expected::Absent).await;
    assert!(matches!(lost, Err(Error::Unknown(_))), "{lost:?}");
    assert_eq!(platform.store.peek("a").unwrap().value, Bytes::from("1"));
}

/// Guards against a store that accepts values above the size limit or rejects one at the limit.
#[tokio::test]
async fn values_above_the_size_limit_are_rejected() {
    let platform = start_platform().await;
    let client = platform.client();
    let largest = Bytes::from(vec![b'a'; VALUE_BYTES_MAX]);
    client.put("a", largest, Expected::Absent).await.unwrap();
    let object = client.get("a").await.unwrap().unwrap();
    assert_eq!(object.value.len(), VALUE_BYTES_MAX);
    let oversized = Bytes::from(vec![b'a'; VALUE_BYTES_MAX + 1]);
    let rejected = client.put("b", oversized.clone(), Expected::Absent).await;
    assert_eq!(rejected, Err(Error::TooLarge(VALUE_BYTES_MAX + 1)));
    // Bypasses the check of the platform client, so that the server has to reject the value.
    let raw = jaycrank_http::Client::new(platform.server.address());
    let request = hyper::Request::put("/objects/b").header("host", "platform");
    let request = request.body(http_body_util::Full::new(oversized)).unwrap();
    let reply = raw.call(request, Duration::from_secs(5)).await;
    assert!(reply.is_err() || reply.is_ok_and(|reply| reply.status() == 413));
    assert_eq!(platform.store.peek("b"), None);
}

/// Guards against a field of an instance list entry that is lost or changed on the wire.
#[tokio::test]
async fn instance_list_entries_arrive_unchanged() {
    let platform = start_platform().await;
    let entry = Entry {
        name: "entry-0".into(),
        kind: Kind::Instance,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
        failure_domain: "d1".into(),
        region: "r1".into(),
        state: State::Leaving,
    };
    platform.list.set(entry.clone());
    assert_eq!(platform.client().entries().await, Ok(vec![entry]));
}
