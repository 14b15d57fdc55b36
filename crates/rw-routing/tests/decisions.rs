//! Who gets a call, who waits and who is refused.

use std::collections::BTreeMap;
use std::time::Duration;

use rstest::rstest;
use rw_protocol::{HostStatus, Load, Name, ServedModel};
use rw_routing::{Affinity, Circuit, FairQueue, LeastLoaded, Policy, Router, Waiting, Want};

const SECOND: Duration = Duration::from_secs(1);

fn status(host: &str, manifest: &str, running: u32) -> HostStatus {
    HostStatus {
        host: host.into(),
        load: Load {
            running,
            queued: 0,
            limit: 4,
        },
        serving: vec![ServedModel {
            service: "assistant".into(),
            model: "m".into(),
            version: "v".into(),
            manifest: manifest.into(),
            intent: "i".into(),
        }],
        leaving: false,
        head: 1,
        problem: String::new(),
    }
}

fn want(manifests: &[&str], prefix: &str) -> Want {
    Want {
        service: "assistant".into(),
        manifests: manifests.iter().map(|m| Name::from(*m)).collect(),
        prefix: prefix.into(),
        exclude: Vec::new(),
    }
}

fn router<P: Policy>(policy: P, hosts: usize) -> Router<P> {
    let mut router = Router::new(policy);
    for at in 0..hosts {
        router.on_status(status(&format!("h{at}"), "a", 0), true);
    }
    router
}

#[test]
fn a_call_goes_only_to_a_host_with_its_manifest_the_newest_first() {
    let mut router = Router::new(LeastLoaded);
    router.on_status(status("old", "a", 0), true);
    assert_eq!(router.pick(&want(&["b"], ""), SECOND), None);
    let pick = router
        .pick(&want(&["b", "a"], ""), SECOND)
        .expect("the old one serves");
    assert_eq!((&*pick.host, &*pick.manifest), ("old", "a"));
    assert!(!router.is_served(&Want {
        service: "other".into(),
        ..want(&["a"], "")
    }));
}

#[test]
fn leaving_lost_full_and_excluded_hosts_get_nothing() {
    let mut router = router(LeastLoaded, 4);
    router.on_leaving("h0");
    router.on_lost("h1");
    router.on_status(status("h2", "a", 4), true);
    let mut call = want(&["a"], "");
    assert_eq!(
        router.pick(&call, SECOND).map(|p| p.host),
        Some("h3".into())
    );
    call.exclude.push("h3".into());
    assert_eq!(router.pick(&call, SECOND), None);
}

#[test]
fn own_calls_count_at_once_and_reports_correct_them() {
    let mut router = router(LeastLoaded, 1);
    for _ in 0..4 {
        assert!(router.pick(&want(&["a"], ""), SECOND).is_some());
        router.on_start("h0");
    }
    assert!(!router.has_room(&want(&["a"], ""), SECOND));
    // The answer says that the host holds three, all of them ours.
    router.on_end("h0", Some(3));
    assert!(router.has_room(&want(&["a"], ""), SECOND));
}

#[test]
fn equal_prefixes_meet_at_one_host_until_it_is_loaded() {
    let mut router = router(Affinity, 8);
    let first = router
        .pick(&want(&["a"], "shop 1"), SECOND)
        .expect("free")
        .host;
    assert_eq!(
        router.pick(&want(&["a"], "shop 1"), SECOND).map(|p| p.host),
        Some(first.clone())
    );
    for _ in 0..3 {
        router.on_start(&first);
    }
    let next = router
        .pick(&want(&["a"], "shop 1"), SECOND)
        .expect("free")
        .host;
    assert_ne!(next, first);
}

#[test]
fn under_load_a_call_waits_a_while_for_a_host_with_its_prefix() {
    let mut router = router(Affinity, 8);
    let call = want(&["a"], "shop 1");
    let mut taken = Vec::new();
    // Fill the two hosts that should hold the prefix.
    for _ in 0..2 {
        let other = Want {
            exclude: taken.clone(),
            ..call.clone()
        };
        let host = router.pick(&other, SECOND).expect("free").host;
        (0..4).for_each(|_| router.on_start(&host));
        taken.push(host);
    }
    assert!(!router.has_preferred_room(&call, SECOND));
    assert!(!router.may_spill(&call, Duration::ZERO, SECOND));
    assert!(router.may_spill(&call, SECOND, SECOND));
    assert!(router.has_preferred_room(&want(&["a"], ""), SECOND));
    router.on_end(&taken[1], Some(3));
    assert!(router.has_preferred_room(&call, SECOND));
}

#[test]
fn among_equals_the_own_zone_goes_first() {
    let mut router = Router::new(LeastLoaded);
    router.on_status(status("near", "a", 1), true);
    router.on_status(status("far", "a", 1), false);
    let pick = router.pick(&want(&["a"], ""), SECOND);
    assert_eq!(pick.map(|p| p.host), Some("near".into()));
    router.on_status(status("near", "a", 2), true);
    let pick = router.pick(&want(&["a"], ""), SECOND);
    assert_eq!(pick.map(|p| p.host), Some("far".into()));
}

#[test]
fn a_circuit_opens_probes_and_recovers_slowly() {
    let mut circuit = Circuit::default();
    assert!(!circuit.on_failure(SECOND));
    assert!(!circuit.on_failure(SECOND));
    assert!(circuit.on_failure(SECOND));
    assert_eq!(circuit.allowed(10, SECOND), 0);
    let probe = SECOND * 2;
    assert_eq!(circuit.allowed(10, probe), 1);
    // A failed probe opens it for longer.
    assert!(circuit.on_failure(probe));
    assert_eq!(circuit.allowed(10, probe + Duration::from_millis(600)), 0);
    let back = probe + SECOND;
    circuit.on_success(back);
    assert_eq!(circuit.allowed(10, back), 2);
    assert_eq!(circuit.allowed(10, back + SECOND * 5), 10);
}

fn call(team: &str, item: usize, priority: u32, deadline: Duration) -> Waiting<usize> {
    Waiting {
        item,
        team: team.into(),
        priority,
        deadline,
    }
}

#[rstest]
#[case(1, 1)]
#[case(3, 1)]
#[case(4, 2)]
fn teams_are_served_by_weight_whoever_asks_more(#[case] a: u32, #[case] b: u32) {
    let mut queue = FairQueue::new(10_000, SECOND * 60);
    queue.set_team(&"a".into(), a, u32::MAX);
    queue.set_team(&"b".into(), b, u32::MAX);
    for n in 0..1000 {
        queue
            .push(call("a", n, 0, SECOND), Duration::ZERO)
            .expect("room");
        // Team b asks ten times as much.
        for _ in 0..4 {
            queue
                .push(call("b", n, 0, SECOND), Duration::ZERO)
                .expect("room");
        }
    }
    let mut served: BTreeMap<Name, u32> = BTreeMap::new();
    for _ in 0..600 {
        let next = queue.pop(Duration::ZERO, |_| true).expect("calls wait");
        *served.entry(next.team).or_default() += 1;
    }
    let share = f64::from(served[&Name::from("a")]) / 600.0;
    let fair = f64::from(a) / f64::from(a + b);
    assert!((share - fair).abs() < 0.02, "{share} instead of {fair}");
}

#[test]
fn higher_priority_goes_first_within_a_team_and_a_limit_holds() {
    let mut queue = FairQueue::new(10, SECOND);
    queue.set_team(&"a".into(), 1, 2);
    for (item, priority) in [(1, 0), (2, 5), (3, 5)] {
        queue
            .push(call("a", item, priority, SECOND), Duration::ZERO)
            .expect("room");
    }
    assert_eq!(queue.pop(Duration::ZERO, |_| true).map(|w| w.item), Some(2));
    assert_eq!(queue.pop(Duration::ZERO, |_| true).map(|w| w.item), Some(3));
    assert_eq!(queue.pop(Duration::ZERO, |_| true), None);
    queue.on_end(&"a".into(), Some(SECOND));
    assert_eq!(queue.pop(Duration::ZERO, |_| true).map(|w| w.item), Some(1));
}

#[test]
fn a_call_that_would_wait_too_long_is_refused_at_once_with_when_to_come_back() {
    let mut queue = FairQueue::new(100, SECOND * 10);
    let push =
        |queue: &mut FairQueue<usize>, n, deadline, now| queue.push(call("a", n, 0, deadline), now);
    for n in 0..6 {
        push(&mut queue, n, SECOND * 100, Duration::ZERO).expect("room");
    }
    // A place every two seconds, as the last grants show.
    for at in 0..3 {
        queue.pop(SECOND * 2 * at, |_| true).expect("calls wait");
    }
    let now = SECOND * 4;
    assert_eq!(queue.expected_wait(&"a".into(), now), SECOND * 6);
    let (_, refusal) = push(&mut queue, 7, now + SECOND * 5, now).expect_err("too late");
    assert_eq!(refusal.retry_after, SECOND * 6);
    // Its run counts too.
    queue.on_end(&"a".into(), Some(SECOND * 3));
    push(&mut queue, 8, now + SECOND * 12, now).expect_err("would end too late");
    push(&mut queue, 9, now + SECOND * 14, now).expect("in time");
    // Nothing waits longer than the limit, whatever its deadline is.
    assert_eq!(queue.expire(now + SECOND * 11).len(), 4);
    assert!(queue.is_empty());
}

#[test]
fn grants_that_stop_make_the_wait_longer() {
    let mut queue = FairQueue::new(100, SECOND * 10);
    for n in 0..4 {
        queue
            .push(call("a", n, 0, SECOND * 100), Duration::ZERO)
            .expect("room");
    }
    queue.pop(SECOND, |_| true).expect("calls wait");
    queue.pop(SECOND * 2, |_| true).expect("calls wait");
    assert_eq!(queue.expected_wait(&"a".into(), SECOND * 2), SECOND * 2);
    assert_eq!(queue.expected_wait(&"a".into(), SECOND * 7), SECOND * 10);
}
