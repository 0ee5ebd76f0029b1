//! Incarnations, liveness and gossip of peers.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use jaycrank_instance::Identity;
use jaycrank_instance::Membership;
use jaycrank_instance::membership::GOSSIPED_PEERS_MAX;
use jaycrank_instance::membership::Liveness;
use jaycrank_instance::wire::State;
use jaycrank_platform::Entry;
use jaycrank_platform::list;
use smol_str::SmolStr;
use smol_str::format_smolstr;

const INTERVAL: Duration = Duration::from_millis(250);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn identity(name: &str, incarnation: u64, state: State) -> Identity {
    Identity {
        name: name.into(),
        incarnation,
        state,
        address: address(1_000 + incarnation as u16),
        caller_address: address(1),
        failure_domain: "d1".into(),
        region: "r1".into(),
    }
}

fn membership() -> Membership {
    Membership::new(identity("own", 1, State::Ready), INTERVAL)
}

fn liveness(membership: &Membership, name: &str, now: Instant) -> Liveness {
    let peers = membership.peers(now);
    peers.iter().find(|peer| peer.identity.name == name).unwrap().liveness
}

/// Guards against mistaking a restarted instance for its previous incarnation.
#[test]
fn higher_incarnation_replaces_a_lower_one() {
    let (membership, now) = (membership(), Instant::now());
    assert!(membership.record_heartbeat(&identity("a", 5, State::Ready), now));
    assert!(!membership.record_heartbeat(&identity("a", 4, State::Ready), now));
    membership.merge_peers(&[identity("a", 6, State::Starting)], now);
    assert_eq!(membership.targets(now), [address(1_006)].into());
    // The new incarnation is known from gossip, but has sent no heartbeat yet.
    assert_eq!(liveness(&membership, "a", now), Liveness::Unheard);
    assert!(!membership.record_heartbeat(&identity("a", 5, State::Ready), now));
    assert!(membership.record_heartbeat(&identity("a", 6, State::Ready), now));
    assert_eq!(liveness(&membership, "a", now), Liveness::Live);
}

/// Guards against a delayed message that makes an instance live again after it has left.
#[test]
fn instance_that_left_returns_only_with_a_higher_incarnation() {
    let (membership, now) = (membership(), Instant::now());
    assert!(membership.record_heartbeat(&identity("a", 5, State::Leaving), now));
    assert_eq!(liveness(&membership, "a", now), Liveness::Leaving);
    assert!(!membership.record_heartbeat(&identity("a", 5, State::Ready), now));
    let later = now + INTERVAL * 5;
    assert_eq!(liveness(&membership, "a", later), Liveness::Left);
    assert!(membership.targets(later).is_empty() && membership.peers_to_gossip(later).is_empty());
    membership.merge_peers(&[identity("a", 5, State::Ready)], later);
    assert!(!membership.record_heartbeat(&identity("a", 5, State::Ready), later));
    assert_eq!(liveness(&membership, "a", later), Liveness::Left);
    assert!(membership.record_heartbeat(&identity("a", 6, State::Ready), later));
    assert_eq!(liveness(&membership, "a", later), Liveness::Live);
}

/// Guards against a silent instance that counts as live, and against a paused instance that stays
/// suspected after it resumes.
#[test]
fn four_missed_heartbeats_make_a_peer_suspected() {
    let (membership, now) = (membership(), Instant::now());
    let ready = identity("a", 5, State::Ready);
    assert!(membership.record_heartbeat(&ready, now));
    let names = |now| membership.ready_instances(now).into_iter().collect::<Vec<SmolStr>>();
    assert_eq!(names(now + INTERVAL * 4), ["a", "own"]);
    let late = now + INTERVAL * 4 + Duration::from_millis(1);
    assert_eq!(names(late), ["own"]);
    assert_eq!(liveness(&membership, "a", late), Liveness::Suspected);
    // Gossip of other peers is no sign of life.
    membership.merge_peers(std::slice::from_ref(&ready), late);
    assert_eq!(names(late), ["own"]);
    assert!(membership.record_heartbeat(&ready, late));
    assert_eq!(names(late), ["a", "own"]);
    membership.set_state(State::Leaving);
    assert_eq!(names(late), ["a"]);
}

/// Guards against an instance list that changes liveness, and against targets that include the own
/// address or leaving entries.
#[test]
fn instance_list_only_adds_addresses() {
    let (membership, now) = (membership(), Instant::now());
    let entry = |name: &str, port: u16, state| Entry {
        name: name.into(),
        kind: list::Kind::Instance,
        address: address(port),
        failure_domain: "d1".into(),
        region: "r1".into(),
        state,
    };
    assert!(membership.record_heartbeat(&identity("a", 5, State::Ready), now));
    let own = entry("own", 1_001, list::State::Live);
    let listed = entry("b", 7, list::State::Live);
    membership.set_instance_list(&[own, listed, entry("c", 8, list::State::Leaving)]);
    assert_eq!(membership.targets(now), [address(7), address(1_005)].into());
    membership.set_instance_list(&[entry("a", 1_005, list::State::Leaving)]);
    assert_eq!(membership.targets(now), [address(1_005)].into());
    assert_eq!(membership.ready_instances(now), ["a".into(), "own".into()].into());
}

/// Guards against heartbeats that grow with the fleet, and against peers that are never gossiped.
#[test]
fn gossiped_peers_are_bounded_and_rotate() {
    let (membership, now) = (membership(), Instant::now());
    let all: Vec<Identity> =
        (0..100).map(|n| identity(&format_smolstr!("p{n:03}"), 5, State::Ready)).collect();
    membership.merge_peers(&all, now);
    let mut gossiped = BTreeSet::new();
    for _ in 0..8 {
        let window = membership.peers_to_gossip(now);
        assert_eq!(window.len(), GOSSIPED_PEERS_MAX);
        gossiped.extend(window.into_iter().map(|identity| identity.name));
    }
    assert_eq!(gossiped.len(), all.len());
    membership.merge_peers(&[identity("p000", 6, State::Ready)], now);
    assert_eq!(membership.peers_to_gossip(now)[0].name, "p000");
}

/// Guards against different digests for equal views, which would put peers into every heartbeat.
#[test]
fn digests_are_equal_for_equal_views() {
    let now = Instant::now();
    let (a, b) = (identity("a", 1, State::Ready), identity("b", 2, State::Ready));
    let first = Membership::new(a.clone(), INTERVAL);
    let second = Membership::new(b.clone(), INTERVAL);
    assert!(first.record_heartbeat(&b, now));
    assert_ne!(first.digest(now), second.digest(now));
    assert!(second.record_heartbeat(&a, now));
    assert_eq!(first.digest(now), second.digest(now));
}
