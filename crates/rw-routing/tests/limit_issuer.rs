//! Permits of one server with a limit: their pace, who goes first, and when the refused
//! come back.

use std::time::Duration;

use rstest::rstest;
use rw_routing::{LimitIssuer, PermitDecision, PermitRefusal, PermitRequest};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn request(id: u64, rank: u32, patience_ms: u64) -> PermitRequest {
    PermitRequest {
        id,
        entry: "e".into(),
        rank,
        patience: ms(patience_ms),
    }
}

fn refusal(decision: PermitDecision) -> PermitRefusal {
    match decision {
        PermitDecision::Refused(refusal) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

fn granted(issuer: &mut LimitIssuer, now: Duration) -> Vec<u64> {
    let outcomes = issuer.poll(now).into_iter();
    let granted = outcomes.filter(|(_, decision)| *decision == PermitDecision::Granted);
    granted.map(|(id, _)| id).collect()
}

/// Permits of the first `for_ms` after a long time without requests, with more work than
/// the limit.
fn permits_after_idle_time(limit: f64, for_ms: u64) -> usize {
    let mut issuer = LimitIssuer::new(limit, ms(0));
    let start = ms(60_000);
    let mut is_granted =
        |at| issuer.request(request(at, 0, 0), start + ms(at)).0 == PermitDecision::Granted;
    (0..for_ms).filter(|at| is_granted(*at)).count()
}

#[rstest]
#[case::a_fifth(0.2, 1)]
#[case::as_in_the_incident(1.7, 7)]
#[case::hundred(100.0, 401)]
fn unused_permits_are_not_saved_up_for_a_burst(#[case] limit: f64, #[case] allowed: usize) {
    let count = permits_after_idle_time(limit, 4000);
    assert!(
        count <= allowed,
        "{count} permits in 4 s, {allowed} are allowed"
    );
}

#[test]
fn server_that_wants_no_requests_gets_one_each_ten_seconds() {
    // The first permit counts as granted 100 ms earlier.
    assert_eq!(permits_after_idle_time(0.0, 9_900), 1);
    assert_eq!(permits_after_idle_time(0.0, 10_000), 2);
}

#[test]
fn payments_and_urgent_requests_go_first() {
    let mut issuer = LimitIssuer::new(10.0, ms(0));
    for (id, rank) in [(1, 105), (2, 101), (3, 0), (4, 101)] {
        let (decision, displaced) = issuer.request(request(id, rank, 1000), ms(0));
        assert_eq!((decision, displaced), (PermitDecision::Queued, Vec::new()));
    }
    let order: Vec<u64> = (0..10)
        .flat_map(|n| granted(&mut issuer, ms(n * 110)))
        .collect();
    assert_eq!(order, [3, 2, 4, 1]);
}

#[test]
fn request_that_would_wait_too_long_is_refused_at_once() {
    // One permit each 543 ms, the first after as long.
    let mut issuer = LimitIssuer::new(2.0, ms(0));
    assert_eq!(
        issuer.request(request(1, 0, 600), ms(0)).0,
        PermitDecision::Queued
    );
    let refused = refusal(issuer.request(request(2, 0, 600), ms(0)).0);
    assert!(refused.next_permit > ms(600), "{refused:?}");
}

#[test]
fn request_that_is_displaced_is_refused_at_once() {
    let mut issuer = LimitIssuer::new(2.0, ms(0));
    assert_eq!(
        issuer.request(request(1, 105, 600), ms(0)).0,
        PermitDecision::Queued
    );
    let (decision, displaced) = issuer.request(request(2, 0, 600), ms(0));
    assert_eq!(decision, PermitDecision::Queued);
    let displaced: Vec<u64> = displaced.into_iter().map(|(id, _)| id).collect();
    assert_eq!(displaced, [1]);
    assert_eq!(granted(&mut issuer, ms(600)), [2]);
}

#[test]
fn refused_callers_come_back_one_after_the_other() {
    let mut issuer = LimitIssuer::new(2.0, ms(0));
    let mut last = Duration::ZERO;
    for id in 0..10 {
        let refused = refusal(issuer.request(request(id, 0, 10), ms(0)).0);
        assert!(
            refused.retry_after >= last + ms(500),
            "{refused:?} after {last:?}"
        );
        assert_eq!(refused.next_permit, ms(543) + Duration::from_nanos(478_261));
        last = refused.retry_after;
    }
    assert!(refusal(issuer.request(request(99, 0, 0), ms(0)).0).retry_after <= ms(10_600));
}

#[test]
fn lower_limit_refuses_those_whose_turn_is_too_late_now() {
    let mut issuer = LimitIssuer::new(10.0, ms(0));
    for id in 0..4 {
        assert_eq!(
            issuer.request(request(id, 0, 500), ms(0)).0,
            PermitDecision::Queued
        );
    }
    issuer.set_limit(1.0);
    let outcomes = issuer.poll(ms(50));
    assert_eq!(outcomes.len(), 4, "{outcomes:?}");
    assert!(outcomes
        .iter()
        .all(|(_, d)| matches!(d, PermitDecision::Refused(_))));
}

/// Guards against permits for requests that nobody waits for any more, after the process
/// was suspended.
#[test]
fn requests_that_waited_through_a_suspension_get_no_permit() {
    let mut issuer = LimitIssuer::new(10.0, ms(0));
    for id in 0..3 {
        assert_eq!(
            issuer.request(request(id, 0, 400), ms(0)).0,
            PermitDecision::Queued
        );
    }
    assert_eq!(granted(&mut issuer, ms(3000)), Vec::<u64>::new());
    assert_eq!(
        issuer.request(request(9, 0, 0), ms(3000)).0,
        PermitDecision::Granted
    );
}

#[test]
fn share_of_a_part_of_the_entries_slows_the_pace() {
    let mut issuer = LimitIssuer::new(10.0, ms(0));
    issuer.set_share(0.5);
    let mut is_granted =
        |at| issuer.request(request(at, 0, 0), ms(at)).0 == PermitDecision::Granted;
    let count = (0..10_000).filter(|at| is_granted(*at)).count();
    assert!((44..=46).contains(&count), "{count}");
}
