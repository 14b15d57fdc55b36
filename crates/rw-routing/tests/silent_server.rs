//! A server stops responding while many entries send requests to it. Each entry
//! sees only a few of the requests that get stuck, so they share failure counts.

use std::time::Duration;

use rw_routing::CircuitBreaker;

const ENTRIES: usize = 14;
const STEP: Duration = Duration::from_millis(50);
/// Rate of requests to one server from all entries together.
const REQUESTS_PER_SECOND: usize = 10;
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay until entries know the failures of others.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

// Counts the requests sent to a server that is unresponsive from the start.
fn stuck_requests(sharing: bool, duration: Duration) -> usize {
    let mut breakers = vec![CircuitBreaker::default(); ENTRIES];
    let mut running: Vec<Vec<Duration>> = vec![Vec::new(); ENTRIES];
    let mut reported = vec![(Duration::ZERO, 0); ENTRIES];
    let (mut sent, mut entry_index, mut due_requests) = (0, 0, 0.0);
    let mut now = Duration::ZERO;
    while now < duration {
        now += STEP;
        for entry in 0..ENTRIES {
            let failed = running[entry]
                .iter()
                .filter(|at| now > **at + REQUEST_TIMEOUT)
                .count();
            running[entry].retain(|at| now <= *at + REQUEST_TIMEOUT);
            for _ in 0..failed {
                breakers[entry].on_failure(now);
            }
            if now > reported[entry].0 + REPORT_INTERVAL {
                reported[entry] = (now, breakers[entry].recent_failures(now));
            }
        }
        due_requests += REQUESTS_PER_SECOND as f64 * STEP.as_secs_f64();
        while due_requests >= 1.0 {
            due_requests -= 1.0;
            entry_index = (entry_index + 5) % ENTRIES;
            let others = reported
                .iter()
                .enumerate()
                .filter(|(at, _)| *at != entry_index);
            let failures: u32 = others.map(|(_, (_, failures))| failures).sum();
            let allowed = match sharing {
                true => breakers[entry_index].effective_limit_with_peers(12, failures, now),
                false => breakers[entry_index].effective_limit(12, now),
            };
            if running[entry_index].len() < allowed as usize {
                running[entry_index].push(now);
                sent += 1;
            }
        }
    }
    sent
}

#[test]
fn entries_that_share_failures_stop_sending_to_an_unresponsive_server() {
    let (separate, sharing) = (
        stuck_requests(false, Duration::from_secs(4)),
        stuck_requests(true, Duration::from_secs(4)),
    );
    // Nothing is known before the first timeout; afterwards each entry sends one
    // request at a time as a probe.
    let before_detection =
        (REQUEST_TIMEOUT + REPORT_INTERVAL + STEP).as_secs_f64() * REQUESTS_PER_SECOND as f64;
    assert!(
        sharing <= before_detection as usize + 2 * ENTRIES,
        "{sharing} with sharing, {separate} without"
    );
    assert!(
        sharing < separate,
        "{sharing} with sharing, {separate} without"
    );
}

#[test]
fn server_that_fails_for_other_entries_stays_available_to_one_it_answers() {
    let now = Duration::from_secs(5);
    let mut breaker = CircuitBreaker::default();
    breaker.on_success(now);
    assert_eq!(breaker.effective_limit_with_peers(12, 50, now), 12);
}
