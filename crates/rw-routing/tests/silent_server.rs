//! Many entries send requests to the same servers; some of the servers go
//! silent. Each entry sees only a few of the requests that get stuck.

use std::time::Duration;

use rw_routing::CircuitBreaker;

const ENTRIES: usize = 14;
const STEP: Duration = Duration::from_millis(50);
/// Requests that one server gets from all entries in a second.
const RATE: usize = 10;
/// Time after which a request without an answer counts as failed.
const LIMIT: Duration = Duration::from_millis(1500);
/// Time after which entries know what others saw.
const NEWS_AFTER: Duration = Duration::from_millis(100);

// Requests that get stuck at a server that is silent from the start on.
fn stuck(shared: bool, silent_for: Duration) -> usize {
    let mut circuits = vec![CircuitBreaker::default(); ENTRIES];
    let mut running: Vec<Vec<Duration>> = vec![Vec::new(); ENTRIES];
    let mut reported = vec![(Duration::ZERO, 0); ENTRIES];
    let (mut sent, mut entry_index, mut owed) = (0, 0, 0.0);
    let mut now = Duration::ZERO;
    while now < silent_for {
        now += STEP;
        for entry in 0..ENTRIES {
            let failed = running[entry]
                .iter()
                .filter(|at| now > **at + LIMIT)
                .count();
            running[entry].retain(|at| now <= *at + LIMIT);
            for _ in 0..failed {
                circuits[entry].on_failure(now);
            }
            if now > reported[entry].0 + NEWS_AFTER {
                reported[entry] = (now, circuits[entry].recent_failures(now));
            }
        }
        owed += RATE as f64 * STEP.as_secs_f64();
        while owed >= 1.0 {
            owed -= 1.0;
            entry_index = (entry_index + 5) % ENTRIES;
            let others = reported
                .iter()
                .enumerate()
                .filter(|(at, _)| *at != entry_index);
            let failures: u32 = others.map(|(_, (_, failures))| failures).sum();
            let allowed = match shared {
                true => circuits[entry_index].effective_limit_with_peers(12, failures, now),
                false => circuits[entry_index].effective_limit(12, now),
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
fn entries_that_share_failures_stop_sending_to_a_silent_server() {
    let (alone, shared) = (
        stuck(false, Duration::from_secs(4)),
        stuck(true, Duration::from_secs(4)),
    );
    // Before the first failure nobody can know; afterwards each entry sends one
    // request at a time to see whether the server is back.
    let unknowing = (LIMIT + NEWS_AFTER + STEP).as_secs_f64() * RATE as f64;
    assert!(
        shared <= unknowing as usize + 2 * ENTRIES,
        "{shared} with, {alone} without"
    );
    assert!(shared < alone, "{shared} with, {alone} without");
}

#[test]
fn a_server_that_fails_for_one_entry_stays_open_to_the_others() {
    let now = Duration::from_secs(5);
    let mut circuit = CircuitBreaker::default();
    circuit.on_success(now);
    assert_eq!(circuit.effective_limit_with_peers(12, 50, now), 12);
}
