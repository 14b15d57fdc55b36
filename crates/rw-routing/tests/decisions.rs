//! Host selection, circuit breaking and queueing of requests.

use std::collections::BTreeMap;
use std::time::Duration;

use rstest::rstest;
use rw_protocol::{HostStatus, Load, Name, ServedModel};
use rw_routing::{
    Affinity, CircuitBreaker, FairQueue, HostQuery, LeastLoaded, LoadBalancingPolicy,
    QueuedRequest, Router,
};

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

fn query(manifests: &[&str], prefix: &str) -> HostQuery {
    HostQuery {
        service: "assistant".into(),
        manifests: manifests.iter().map(|m| Name::from(*m)).collect(),
        prefix: prefix.into(),
        exclude: Vec::new(),
    }
}

fn router<P: LoadBalancingPolicy>(policy: P, hosts: usize) -> Router<P> {
    let mut router = Router::new(policy);
    for at in 0..hosts {
        router.on_status(status(&format!("h{at}"), "a", 0), true);
    }
    router
}

#[test]
fn selects_only_hosts_with_an_acceptable_manifest_newest_first() {
    let mut router = Router::new(LeastLoaded);
    router.on_status(status("old", "a", 0), true);
    assert_eq!(router.select(&query(&["b"], ""), SECOND), None);
    let selection = router
        .select(&query(&["b", "a"], ""), SECOND)
        .expect("the older manifest is served");
    assert_eq!((&*selection.host, &*selection.manifest), ("old", "a"));
    assert!(!router.is_served(&HostQuery {
        service: "other".into(),
        ..query(&["a"], "")
    }));
}

#[test]
fn draining_unreachable_full_and_excluded_hosts_are_not_selected() {
    let mut router = router(LeastLoaded, 4);
    router.on_draining("h0");
    router.on_unreachable("h1");
    router.on_status(status("h2", "a", 4), true);
    let mut request = query(&["a"], "");
    assert_eq!(
        router.select(&request, SECOND).map(|s| s.host),
        Some("h3".into())
    );
    request.exclude.push("h3".into());
    assert_eq!(router.select(&request, SECOND), None);
}

#[test]
fn own_requests_count_immediately_and_reports_correct_the_load() {
    let mut router = router(LeastLoaded, 1);
    for _ in 0..4 {
        assert!(router.select(&query(&["a"], ""), SECOND).is_some());
        router.on_request_start("h0");
    }
    assert!(!router.has_capacity(&query(&["a"], ""), SECOND));
    // The response reports three requests at the host, all from this entry.
    router.on_request_end("h0", Some(3));
    assert!(router.has_capacity(&query(&["a"], ""), SECOND));
}

#[test]
fn requests_with_the_same_prefix_share_a_host_until_it_is_loaded() {
    let mut router = router(Affinity, 8);
    let first = router
        .select(&query(&["a"], "shop 1"), SECOND)
        .expect("a host has capacity")
        .host;
    assert_eq!(
        router
            .select(&query(&["a"], "shop 1"), SECOND)
            .map(|s| s.host),
        Some(first.clone())
    );
    for _ in 0..3 {
        router.on_request_start(&first);
    }
    let next = router
        .select(&query(&["a"], "shop 1"), SECOND)
        .expect("a host has capacity")
        .host;
    assert_ne!(next, first);
}

#[test]
fn request_waits_for_a_preferred_host_before_spilling_over() {
    let mut router = router(Affinity, 8);
    let request = query(&["a"], "shop 1");
    let mut taken = Vec::new();
    // Fill the two preferred hosts of the prefix.
    for _ in 0..2 {
        let other = HostQuery {
            exclude: taken.clone(),
            ..request.clone()
        };
        let host = router
            .select(&other, SECOND)
            .expect("a host has capacity")
            .host;
        (0..4).for_each(|_| router.on_request_start(&host));
        taken.push(host);
    }
    assert!(!router.has_preferred_capacity(&request, SECOND));
    assert!(!router.may_spill_over(&request, Duration::ZERO, SECOND));
    assert!(router.may_spill_over(&request, SECOND, SECOND));
    assert!(router.has_preferred_capacity(&query(&["a"], ""), SECOND));
    router.on_request_end(&taken[1], Some(3));
    assert!(router.has_preferred_capacity(&request, SECOND));
}

#[test]
fn equally_loaded_hosts_of_the_same_zone_are_preferred() {
    let mut router = Router::new(LeastLoaded);
    router.on_status(status("near", "a", 1), true);
    router.on_status(status("far", "a", 1), false);
    let selection = router.select(&query(&["a"], ""), SECOND);
    assert_eq!(selection.map(|s| s.host), Some("near".into()));
    router.on_status(status("near", "a", 2), true);
    let selection = router.select(&query(&["a"], ""), SECOND);
    assert_eq!(selection.map(|s| s.host), Some("far".into()));
}

#[test]
fn circuit_breaker_opens_probes_and_ramps_up() {
    let mut breaker = CircuitBreaker::default();
    assert!(!breaker.on_failure(SECOND));
    assert!(!breaker.on_failure(SECOND));
    assert!(breaker.on_failure(SECOND));
    assert_eq!(breaker.effective_limit(10, SECOND), 0);
    let probe = SECOND * 2;
    assert_eq!(breaker.effective_limit(10, probe), 1);
    // A failed probe doubles the open duration.
    assert!(breaker.on_failure(probe));
    assert_eq!(
        breaker.effective_limit(10, probe + Duration::from_millis(600)),
        0
    );
    let back = probe + SECOND;
    breaker.on_success(back);
    assert_eq!(breaker.effective_limit(10, back), 2);
    assert_eq!(breaker.effective_limit(10, back + SECOND * 5), 10);
}

fn request(team: &str, item: usize, priority: u32, deadline: Duration) -> QueuedRequest<usize> {
    QueuedRequest {
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
fn teams_are_served_by_weight_regardless_of_demand(#[case] a: u32, #[case] b: u32) {
    let mut queue = FairQueue::new(10_000, SECOND * 60);
    queue.set_team(&"a".into(), a, u32::MAX);
    queue.set_team(&"b".into(), b, u32::MAX);
    for n in 0..1000 {
        queue
            .push(request("a", n, 0, SECOND), Duration::ZERO)
            .expect("queue has capacity");
        // Team b sends four times as many requests.
        for _ in 0..4 {
            queue
                .push(request("b", n, 0, SECOND), Duration::ZERO)
                .expect("queue has capacity");
        }
    }
    let mut granted: BTreeMap<Name, u32> = BTreeMap::new();
    for _ in 0..600 {
        let next = queue
            .pop(Duration::ZERO, |_| true)
            .expect("requests are queued");
        *granted.entry(next.team).or_default() += 1;
    }
    let share = f64::from(granted[&Name::from("a")]) / 600.0;
    let fair = f64::from(a) / f64::from(a + b);
    assert!((share - fair).abs() < 0.02, "{share} instead of {fair}");
}

#[test]
fn higher_priority_is_served_first_within_the_concurrency_limit_of_a_team() {
    let mut queue = FairQueue::new(10, SECOND);
    queue.set_team(&"a".into(), 1, 2);
    for (item, priority) in [(1, 0), (2, 5), (3, 5)] {
        queue
            .push(request("a", item, priority, SECOND), Duration::ZERO)
            .expect("queue has capacity");
    }
    assert_eq!(queue.pop(Duration::ZERO, |_| true).map(|r| r.item), Some(2));
    assert_eq!(queue.pop(Duration::ZERO, |_| true).map(|r| r.item), Some(3));
    assert_eq!(queue.pop(Duration::ZERO, |_| true), None);
    queue.on_request_end(&"a".into(), Some(SECOND));
    assert_eq!(queue.pop(Duration::ZERO, |_| true).map(|r| r.item), Some(1));
}

#[test]
fn request_with_too_long_a_wait_is_refused_immediately_with_retry_after() {
    let mut queue = FairQueue::new(100, SECOND * 10);
    let push = |queue: &mut FairQueue<usize>, n, deadline, now| {
        queue.push(request("a", n, 0, deadline), now)
    };
    for n in 0..6 {
        push(&mut queue, n, SECOND * 100, Duration::ZERO).expect("queue has capacity");
    }
    // The last grants show a slot every two seconds.
    for at in 0..3 {
        queue
            .pop(SECOND * 2 * at, |_| true)
            .expect("requests are queued");
    }
    let now = SECOND * 4;
    assert_eq!(queue.expected_wait(&"a".into(), now), SECOND * 6);
    let (_, refusal) = push(&mut queue, 7, now + SECOND * 5, now).expect_err("too late");
    assert_eq!(refusal.retry_after, SECOND * 6);
    // The expected duration of the request counts too.
    queue.on_request_end(&"a".into(), Some(SECOND * 3));
    push(&mut queue, 8, now + SECOND * 12, now).expect_err("would finish too late");
    push(&mut queue, 9, now + SECOND * 14, now).expect("in time");
    // No request waits longer than the maximum wait, whatever its deadline.
    assert_eq!(queue.expire(now + SECOND * 11).len(), 4);
    assert!(queue.is_empty());
}

#[test]
fn expected_wait_grows_while_no_slot_is_granted() {
    let mut queue = FairQueue::new(100, SECOND * 10);
    for n in 0..4 {
        queue
            .push(request("a", n, 0, SECOND * 100), Duration::ZERO)
            .expect("queue has capacity");
    }
    queue.pop(SECOND, |_| true).expect("requests are queued");
    queue
        .pop(SECOND * 2, |_| true)
        .expect("requests are queued");
    assert_eq!(queue.expected_wait(&"a".into(), SECOND * 2), SECOND * 2);
    assert_eq!(queue.expected_wait(&"a".into(), SECOND * 7), SECOND * 10);
}
