//! Contents of heartbeats, metrics and the document of leaving leafs.

mod common;

use std::collections::BTreeSet;

use bytes::Bytes;
use common::caller;
use common::query;
use common::start;
use common::wait_until;
use common::with_timeout;
use jaycrank::Node;
use jaycrank::Options;
use jaycrank::Platform;
use jaycrank::follow::LEAVING_KEY;
use jaycrank::peers;
use jaycrank_platform::Entry;
use jaycrank_platform::list;

/// Guards against demand whose last digits change with every heartbeat, and against rounding that
/// changes shares by more than half a percent.
#[test]
fn demand_is_rounded_to_three_digits() {
    let rounded = [0.012_345, 0.999_6, 1.0, 12.345, 1_234.5, 999_999.0].map(peers::round_demand);
    insta::assert_debug_snapshot!(rounded.to_vec(), @r"
    [
        0.0123,
        1.0,
        1.0,
        12.3,
        1230.0,
        1000000.0,
    ]
    ");
    for step in 1..2_000 {
        let rate = 0.01 * 1.01f64.powi(step);
        assert!((f64::from(peers::round_demand(rate)) / rate - 1.0).abs() <= 0.005, "{rate}");
    }
}

/// Guards against ages that change with every heartbeat, and against ages that are rounded down,
/// which would keep an observation from ever expiring.
#[test]
fn old_ages_are_rounded_up() {
    assert_eq!([0, 1, 14_999].map(peers::round_up_age), [0, 1, 14_999]);
    assert_eq!(
        [15_000, 15_001, 30_000, 44_000].map(peers::round_up_age),
        [15_000, 30_000, 30_000, 45_000]
    );
    assert!((0..100_000).step_by(77).all(|age| peers::round_up_age(age) >= age));
}

/// Guards against metrics that are missing from the scrape page.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_show_the_state_of_the_instance() {
    with_timeout(async {
        let local = start(2, "crew-sheets").await;
        let answer = caller(&local, 0).query(&query("crew-sheets", "1")).await.unwrap();
        assert!(answer.complete);
        let http = jaycrank_http::Client::new(local.operator_addresses()[0]);
        let page = || async {
            let request = hyper::Request::get("/metrics")
                .header("host", "jaycrank")
                .header("authorization", format!("Bearer {}", local.operator_token()))
                .body(http_body_util::Full::new(Bytes::new()))
                .unwrap();
            let reply = http.call(request, common::WAIT_TIMEOUT).await.unwrap();
            String::from_utf8(reply.into_body().to_vec()).unwrap()
        };
        // Reports and the names of leaving leafs are published some time after the start.
        wait_until("all documents are there", || async {
            let page = page().await;
            page.contains("{kind=\"tally\"") && page.contains("{kind=\"other\"")
        })
        .await;
        let page = page().await;
        let names = page.lines().filter(|line| line.starts_with("jaycrank_"));
        let names: BTreeSet<String> = names
            .map(|line| {
                let labels = line.split(',').next().unwrap_or_default();
                labels.split("otel_scope").next().unwrap_or_default().to_owned()
            })
            .filter(|name| !name.starts_with("jaycrank_quer"))
            .collect();
        insta::assert_snapshot!(names.into_iter().collect::<Vec<_>>().join("\n"), @r#"
        jaycrank_claim_partitions{state="owned"
        jaycrank_documents{kind="config"
        jaycrank_documents{kind="map"
        jaycrank_documents{kind="other"
        jaycrank_documents{kind="tally"
        jaycrank_extra_requests_total{kind="cancelled"
        jaycrank_extra_requests_total{kind="hedged"
        jaycrank_heartbeat_bytes_total{direction="received"
        jaycrank_heartbeat_bytes_total{direction="sent"
        jaycrank_peers{liveness="live"
        jaycrank_platform_calls_total{kind="lists"
        jaycrank_platform_calls_total{kind="reads"
        jaycrank_platform_calls_total{kind="watches"
        jaycrank_platform_calls_total{kind="writes"
        jaycrank_revision{document="config"
        "#);
        local.shutdown().await;
    })
    .await;
}

/// Guards against leaving leafs that keep receiving queries. The revision of a document by a reader
/// with a fast clock is in the future, so later ones of other readers could be ignored.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_leafs_replace_those_of_a_reader_with_a_fast_clock() {
    with_timeout(async {
        let local = start(0, "crew-sheets").await;
        let platform = Platform { store: local.store().clone(), list: local.list().clone() };
        let node = Node::start(Options::loopback("alone", b"a key for this test"), platform);
        let node = node.await.unwrap();
        let documents = node.parts().shared.exchange().documents();
        let ahead = jaycrank::shared::unix_ms() + 3_600_000;
        documents.apply(LEAVING_KEY, ahead, Bytes::from_static(b"[\"gone\"]"));
        let leaf = local.services()["crew-sheets"].leafs().next().unwrap();
        local.list().set(Entry {
            name: leaf.name().clone(),
            kind: list::Kind::Leaf,
            address: leaf.address(),
            failure_domain: "local".into(),
            region: "local".into(),
            state: list::State::Leaving,
        });
        let expected = format!("[\"{}\"]", leaf.name());
        wait_until("the leaf is known to leave", || async {
            documents.get(LEAVING_KEY).is_some_and(|(_, value)| value == expected)
        })
        .await;
        node.abort().await;
    })
    .await;
}
