//! Tiers on loopback while the store, instances or leafs fail.

mod common;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use common::caller;
use common::edit_request;
use common::non_idempotent;
use common::operator;
use common::query;
use common::resend_until_known;
use common::revision;
use common::runs;
use common::start;
use common::wait_until;
use common::with_timeout;
use http_body_util::Full;
use hyper::Request;
use jaycrank::local::LocalTier;
use jaycrank::local::TierOptions;
use jaycrank_caller::audit::Audit;
use jaycrank_caller::client::Error;
use jaycrank_caller::wire::Category;
use jaycrank_claim::GroupCommit;
use jaycrank_claim::Owner;
use jaycrank_operator::client::Error as Refused;
use jaycrank_standin::deployment::Shape;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Guards against an instance that can't start, or starts with old settings, while the store is
/// down.
#[tokio::test(flavor = "multi_thread")]
async fn instance_starts_from_a_peer_while_the_store_is_down() {
    with_timeout(async {
        let local = start(3, "crew-sheets").await;
        local.stop(2).await;
        let accepted =
            operator(&local, 0).put("members/late", &edit_request("edit-late", 2.0)).await.unwrap();
        local.store().update_fault(|fault| fault.outage = true);
        local.list().set_outage(true);
        local.restart(2).await.unwrap();
        assert_eq!(revision(&local, 2).await, accepted.revision);
        let answer = caller(&local, 2).query(&query("crew-sheets", "1")).await.unwrap();
        assert!(answer.complete);
        local.shutdown().await;
    })
    .await;
}

/// Guards against an accepted edit that stays at one instance when the store fails right after
/// the acceptance, and against an edit that is accepted while the store is down.
#[tokio::test(flavor = "multi_thread")]
async fn settings_spread_and_edits_are_refused_while_the_store_is_down() {
    with_timeout(async {
        let local = start(4, "crew-sheets").await;
        let accepted =
            operator(&local, 3).put("members/late", &edit_request("edit-late", 2.0)).await.unwrap();
        local.store().update_fault(|fault| fault.outage = true);
        for instance in 0..4 {
            let in_force = || async { revision(&local, instance).await == accepted.revision };
            wait_until("the edit is in force", in_force).await;
        }
        let refused =
            operator(&local, 1).put("members/later", &edit_request("edit-later", 1.0)).await;
        let Err(Refused::Refused(refusal)) = refused else { panic!("{refused:?}") };
        assert_eq!((refusal.status, refusal.reason.as_str()), (503, "store-unavailable"));
        local.shutdown().await;
    })
    .await;
}

/// Guards against an edit that silently overwrites one accepted at another instance, and against
/// a refusal that does not name the accepted edit.
#[tokio::test(flavor = "multi_thread")]
async fn conflict_names_both_edits() {
    with_timeout(async {
        let local = start(2, "crew-sheets").await;
        let first =
            operator(&local, 0).put("members/both", &edit_request("edit-a", 2.0)).await.unwrap();
        let second = operator(&local, 1).put("members/both", &edit_request("edit-b", 3.0)).await;
        let Err(Refused::Refused(refusal)) = second else { panic!("{second:?}") };
        let conflict = refusal.conflict.expect("a conflict");
        assert_eq!((refusal.status, conflict.refused.as_str()), (409, "edit-b"));
        assert_eq!(conflict.accepted.as_deref(), Some("edit-a"));
        assert_eq!(conflict.operator.as_deref(), Some("admin"));
        assert_eq!(conflict.revision, first.revision);
        local.shutdown().await;
    })
    .await;
}

/// Guards against requests whose claims or outcomes are lost with the instance that owned them,
/// and against a second run by the new owner.
#[tokio::test(flavor = "multi_thread")]
async fn retry_after_a_takeover_gets_the_recorded_answer() {
    with_timeout(async {
        let local = start(3, "crew-sheets").await;
        let mut owned = Vec::new();
        let ids: Vec<String> = (0..16).map(|number| format!("request-{number}")).collect();
        let mut answers = Vec::new();
        for id in &ids {
            answers.push(resend_until_known(&local, &caller(&local, 0), "crew-sheets", id).await);
        }
        for instance in 0..3 {
            let dump = operator(&local, instance).dump().await.unwrap();
            let claims = dump["claims"].as_array().unwrap().clone();
            owned.push(claims.iter().filter(|claim| claim["owner"] == true).count());
        }
        let victim = (0..3).max_by_key(|instance| owned[*instance]).unwrap();
        assert!(owned[victim] > 0, "no partition is owned: {owned:?}");
        local.kill(victim).await;
        let survivor = caller(&local, (victim + 1) % 3);
        for (id, answer) in ids.iter().zip(&answers) {
            assert_eq!(&resend_until_known(&local, &survivor, "crew-sheets", id).await, answer);
        }
        let runs = runs(&local);
        assert_eq!(runs.len(), ids.len());
        assert!(runs.values().all(|count| *count == 1), "{runs:?}");
        local.shutdown().await;
    })
    .await;
}

/// Guards against a non-idempotent request that runs more than once because it is sent to several
/// instances at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn request_through_three_instances_runs_once() {
    with_timeout(async {
        let local = start(3, "crew-sheets").await;
        let clients = [0, 1, 2].map(|instance| caller(&local, instance));
        for number in 0..12 {
            let id = format!("same-{number}");
            let request = non_idempotent("crew-sheets", &id, 1);
            let [first, second, third] = &clients;
            let outcomes =
                tokio::join!(first.query(&request), second.query(&request), third.query(&request));
            for outcome in [outcomes.0, outcomes.1, outcomes.2] {
                if let Err(error) = outcome {
                    assert_eq!(error.category(), Category::MayHaveRun, "{id}: {error}");
                }
            }
            resend_until_known(&local, first, "crew-sheets", &id).await;
        }
        let runs = runs(&local);
        assert_eq!(runs.len(), 12);
        assert!(runs.values().all(|count| *count == 1), "{runs:?}");
        local.shutdown().await;
    })
    .await;
}

/// Guards against refusing a request because its owner finds, when it writes the claim, that
/// another process has taken the partition over. The request has not run, so the next owner can
/// run it.
#[tokio::test(flavor = "multi_thread")]
async fn request_of_a_fenced_owner_runs_at_the_next_owner() {
    with_timeout(async {
        let local = start(1, "crew-sheets").await;
        let client = caller(&local, 0);
        resend_until_known(&local, &client, "crew-sheets", "before").await;
        let dump = operator(&local, 0).dump().await.unwrap();
        let partitions = dump["claims"].as_array().unwrap().len();
        for partition in 0..u32::try_from(partitions).unwrap() {
            let commit = GroupCommit::new();
            let other = Owner::new(partition, "other", local.store().clone(), commit);
            other.acquire().await.unwrap();
        }
        for number in 0..8 {
            let request = non_idempotent("crew-sheets", &format!("fenced-{number}"), 1);
            let answer = client.query(&request).await;
            assert!(answer.is_ok(), "{answer:?}");
        }
        let runs = runs(&local);
        assert_eq!(runs.len(), 9);
        assert!(runs.values().all(|count| *count == 1), "{runs:?}");
        local.shutdown().await;
    })
    .await;
}

/// Guards against a non-idempotent request that runs without a confirmed claim, and against
/// idempotent queries that depend on the store.
#[tokio::test(flavor = "multi_thread")]
async fn store_outage_refuses_requests_but_not_queries() {
    with_timeout(async {
        let local = start(2, "crew-sheets").await;
        let client = caller(&local, 0);
        resend_until_known(&local, &client, "crew-sheets", "before").await;
        local.store().update_fault(|fault| fault.outage = true);
        // The owner detects the outage when the first claim fails. That request isn't run either.
        for number in 0..4 {
            let request = non_idempotent("crew-sheets", &format!("down-{number}"), 1);
            let refused = client.query(&request).await.unwrap_err();
            assert_eq!(refused.category(), Category::NotRun, "{refused}");
        }
        let answer = client.query(&query("crew-sheets", "2")).await.unwrap();
        assert!(answer.complete);
        assert_eq!(runs(&local).len(), 1);
        local.store().update_fault(|fault| fault.outage = false);
        resend_until_known(&local, &client, "crew-sheets", "down-0").await;
        local.shutdown().await;
    })
    .await;
}

/// Guards against requests that wait until their deadline, or longer than the search for an owner
/// takes, because no instance can take their partition over while the store is down.
#[tokio::test(flavor = "multi_thread")]
async fn request_without_an_owner_is_refused_while_the_store_is_down() {
    with_timeout(async {
        let local = start(2, "crew-sheets").await;
        local.store().update_fault(|fault| fault.outage = true);
        local.kill(0).await;
        let client = caller(&local, 1);
        for number in 0..8 {
            let request = non_idempotent("crew-sheets", &format!("unowned-{number}"), 1);
            let refused = client.query(&request).await.unwrap_err();
            let Error::Refused(refusal) = refused else { panic!("{refused}") };
            let kind = (refusal.category, refusal.reason.as_str());
            assert_eq!(kind, (Category::NotRun, "store-unavailable"), "{}", refusal.message);
        }
        assert!(runs(&local).is_empty());
        local.kill(1).await;
    })
    .await;
}

/// Guards against a graceful shutdown that closes a connection with a request on it, or loses the
/// reply to a request in flight.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_under_load_drops_no_request() {
    with_timeout(async {
        let local = Arc::new(start(3, "quote-desk").await);
        let (answered, stopped) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let mut callers = JoinSet::new();
        for number in 0..24 {
            let (local, answered, stopped) = (local.clone(), answered.clone(), stopped.clone());
            callers.spawn(async move {
                let client = caller(&local, 1);
                let ready = jaycrank_http::Client::new(local.operator_addresses()[1]);
                for turn in 0.. {
                    let request = Request::get("/readyz").header("host", "jaycrank");
                    let request = request.body(Full::new(Bytes::new())).unwrap();
                    let reply = ready.call(request, Duration::from_secs(10)).await;
                    if !reply.is_ok_and(|reply| reply.status() == 200) {
                        break;
                    }
                    let id = format!("load-{number}-{turn}");
                    let is_once = (number + turn) % 2 == 0;
                    let request = if is_once {
                        non_idempotent("quote-desk", &id, 1)
                    } else {
                        query("quote-desk", &format!("\"{id}\""))
                    };
                    match client.query(&request).await {
                        Ok(_) => answered.fetch_add(1, Ordering::Relaxed),
                        Err(Error::Refused(refusal)) => {
                            assert_ne!(refusal.category, Category::Invalid, "{refusal:?}");
                            0
                        }
                        Err(error) => panic!("{id} got no reply: {error}"),
                    };
                }
                assert!(
                    stopped.load(Ordering::Relaxed),
                    "the instance was not ready before it was stopped"
                );
            });
        }
        wait_until("the load runs", || async { answered.load(Ordering::Relaxed) > 200 }).await;
        stopped.store(true, Ordering::Relaxed);
        local.stop(1).await;
        while let Some(caller) = callers.join_next().await {
            caller.unwrap();
        }
        let runs = runs(&local);
        assert!(runs.values().all(|count| *count == 1));
    })
    .await;
}

/// Guards against a graceful shutdown that closes the connections of queries which run until the end
/// of the grace period, and against one whose grace period begins long after the signal.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_answers_queries_that_do_not_end_in_time() {
    const GRACE: Duration = Duration::from_secs(3);
    with_timeout(async {
        let tier_options = TierOptions {
            instances: 2,
            services: Shape::find("quote-desk").into_iter().collect(),
            grace: GRACE,
            ..TierOptions::default()
        };
        let local = Arc::new(LocalTier::start(&tier_options).await.unwrap());
        for leaf in local.services()["quote-desk"].groups().values().flatten() {
            leaf.update(|behavior| behavior.service_time = GRACE * 4);
        }
        let requests = [
            query("quote-desk", "\"long\""),
            non_idempotent("quote-desk", "long", 1),
            query("quote-desk", "\"other\""),
        ];
        let client = caller(&local, 1);
        let mut queries = JoinSet::new();
        for request in requests {
            let client = caller(&local, 1);
            queries.spawn(async move { client.query(&request).await });
        }
        sleep(Duration::from_millis(300)).await;
        let stopped_at = Instant::now();
        let stop = {
            let local = local.clone();
            tokio::spawn(async move { local.stop(1).await })
        };
        sleep(Duration::from_millis(600)).await;
        queries.spawn(async move { client.query(&query("quote-desk", "\"late\"")).await });
        while let Some(ended) = queries.join_next().await {
            match ended.unwrap() {
                Ok(answer) => assert!(!answer.complete),
                Err(Error::Refused(refusal)) => assert_ne!(refusal.category, Category::Invalid),
                Err(error) => panic!("no reply: {error}"),
            }
        }
        stop.await.unwrap();
        assert!(stopped_at.elapsed() <= GRACE, "stopped after {:?}", stopped_at.elapsed());
    })
    .await;
}

/// Guards against a request that crashes one server after the other, and against other queries that
/// stay incomplete because of it.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_servers_is_stopped() {
    with_timeout(async {
        let local = Arc::new(start(3, "quote-desk").await);
        let group: Vec<_> = local.services()["quote-desk"].groups()["g00"].clone();
        for leaf in &group {
            leaf.update(|behavior| behavior.crash_on = Some("poison".into()));
        }
        let crashes = {
            let group = group.clone();
            move || group.iter().map(|leaf| leaf.counts().crashes()).sum::<u64>()
        };
        let restarts = tokio::spawn(async move {
            let mut seen = vec![0; group.len()];
            loop {
                for (leaf, seen) in group.iter().zip(&mut seen) {
                    if leaf.counts().crashes() > *seen {
                        *seen = leaf.counts().crashes();
                        leaf.restart().await.unwrap();
                    }
                }
                sleep(Duration::from_millis(20)).await;
            }
        });
        let clients = [0, 1, 2].map(|instance| Arc::new(caller(&local, instance)));
        let mut poison = JoinSet::new();
        for (number, client) in clients.iter().enumerate() {
            let client = client.clone();
            poison.spawn(async move {
                let mut quarantined = 0;
                while quarantined < 5 {
                    let refused = client.query(&query("quote-desk", "\"poison\"")).await;
                    let is_final = |error: &Error| {
                        matches!(error, Error::Refused(refusal) if refusal.reason == "quarantined")
                    };
                    quarantined += u32::from(refused.is_err_and(|error| is_final(&error)));
                    sleep(Duration::from_millis(10 + number as u64)).await;
                }
            });
        }
        while let Some(sender) = poison.join_next().await {
            sender.unwrap();
        }
        assert!((1..=3).contains(&crashes()), "{} crashes", crashes());
        for (number, client) in clients.iter().enumerate() {
            let is_complete = || async {
                let answer = client.query(&query("quote-desk", &format!("{number}"))).await;
                answer.is_ok_and(|answer| answer.complete)
            };
            wait_until("other queries are answered in full", is_complete).await;
        }
        restarts.abort();
    })
    .await;
}

/// Guards against published counts that differ from the cumulative tallies in answers.
#[tokio::test(flavor = "multi_thread")]
async fn tallies_of_answers_match_the_fairness_page() {
    with_timeout(async {
        let local = start(3, "crew-sheets").await;
        let mut audit = Audit::with_all_requests();
        for number in 0..60 {
            let client = caller(&local, number % 3);
            let request = match number % 4 {
                0 => non_idempotent("crew-sheets", &format!("tally-{number}"), 1),
                _ => query("crew-sheets", &format!("{number}")),
            };
            match client.query(&request).await {
                Ok(answer) => audit.add_answer(&answer),
                Err(Error::Refused(refusal)) => audit.add_refusal(&refusal),
                Err(error) => panic!("{error}"),
            }
        }
        assert_eq!(audit.uncounted(), 0);
        for instance in 0..3 {
            let client = caller(&local, instance);
            let matches = || async {
                client.fairness().await.is_ok_and(|page| audit.compare(&page).is_empty())
            };
            wait_until("the page has all counts", matches).await;
        }
        local.shutdown().await;
    })
    .await;
}
