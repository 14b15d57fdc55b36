//! Load of 400 requests a second on three equal zones, one of which operators evacuate and
//! give back. 13 entries learn of each change up to 1.5 s after it was made.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use rw_protocol::rendezvous_rank;
use rw_routing::{evacuation_share, is_within_share, return_share};

const BOUND: Duration = Duration::from_secs(5);
const ENTRIES: usize = 13;
const PER_S: u64 = 400;
const MAX_DELAY_MS: u64 = 1500;
/// All entries may learn of the end at nearly the same time.
const MAX_RETURN_DELAY_MS: u64 = 100;
const CREATED_MS: u64 = 5_000;
const DELETED_MS: u64 = 15_000;
const END_MS: u64 = 25_000;
const WINDOW_MS: u64 = 500;

/// Requests at the evacuated zone and at the others, by window of half a second.
fn simulate(seed: u64) -> Vec<[u32; 2]> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut delay = |max_ms| Duration::from_millis(rng.random_range(0..max_ms));
    let delays = (0..ENTRIES).map(|_| [delay(MAX_DELAY_MS), delay(MAX_RETURN_DELAY_MS)]);
    let entries: Vec<[Duration; 2]> = delays.collect();
    let mut out = vec![[0; 2]; (END_MS / WINDOW_MS) as usize];
    let (created, deleted) = (
        Duration::from_millis(CREATED_MS),
        Duration::from_millis(DELETED_MS),
    );
    for n in 0..PER_S * END_MS / 1000 {
        let now = Duration::from_millis(n * 1000 / PER_S);
        let [learns, returns] = entries[rng.random_range(0..ENTRIES)];
        let share = if now < created + learns {
            1.0
        } else if now < deleted + returns {
            evacuation_share(Some(now - created), BOUND)
        } else {
            return_share(0.0, now - deleted - returns, BOUND)
        };
        let rank = rendezvous_rank(&format!("{seed}-{n}"), "z");
        let is_evacuated = rng.random_range(0..3) == 0 && is_within_share(rank, share);
        let window = (now.as_millis() as u64 / WINDOW_MS) as usize;
        out[window][usize::from(!is_evacuated)] += 1;
    }
    out
}

/// Guards against requests at an evacuated zone after its bound (rule EVAC), and against a
/// step in the load of the zones that take over, or of the one that comes back.
#[rstest]
fn load_moves_within_the_bound_and_without_a_step(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let windows = simulate(seed);
    let at = |ms: u64| (ms / WINDOW_MS) as usize;
    let drained = at(CREATED_MS + BOUND.as_millis() as u64 / 2 + 500);
    let evacuated: u32 = windows[drained..at(DELETED_MS)].iter().map(|w| w[0]).sum();
    assert_eq!(evacuated, 0);
    // A zone has 67 requests in half a second. A step would bring all of them at once.
    for pair in windows.windows(2) {
        for (before, after) in pair[0].iter().zip(pair[1]) {
            let step = after.saturating_sub(*before);
            assert!(step < 50, "step of {step} requests: {windows:?}");
        }
    }
    let usual = windows.last().expect("windows")[0];
    assert!(usual > 40, "only {usual} requests came back");
}

/// Guards against a request that is sent to a zone because it was looked at again.
#[test]
fn request_keeps_its_side() {
    for n in 0..1000 {
        let rank = rendezvous_rank(&n.to_string(), "z");
        let mut shares = (0..=100).rev().map(|share| f64::from(share) / 100.0);
        let first_left = shares.find(|share| !is_within_share(rank, *share));
        assert!(first_left.is_some());
        assert!(shares.all(|share| !is_within_share(rank, share)));
    }
}
