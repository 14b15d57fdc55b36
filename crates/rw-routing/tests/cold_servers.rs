//! 24 of 34 servers turn cold at the same moment for 3 s. Entries of uneven size send 430
//! requests a second to them all, or ten times that, without hearing each other.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use rw_routing::{cold_quota, ColdShare};

const SERVERS: usize = 34;
const COLD_SERVERS: usize = 24;
const PER_S: f64 = 32.0;
const OVERRUN: f64 = 1.5;
const TOLERANCE: f64 = 5.0;
const COLD_FROM_MS: u64 = 2000;
const COLD_MS: u64 = 3000;
/// When the first entry starts again, if it does.
const RESTART_MS: u64 = COLD_FROM_MS + 1000;
/// Time that a request takes to its server at most; the least is 0.
const MAX_WAY_MS: u64 = 200;
const USUAL_PER_S: u64 = 430;

struct Outcome {
    // Most requests that arrived at a cold server in a second.
    most_in_second: usize,
    unserved: usize,
}

/// If it `restarts`, the first entry forgets what it sent. If it is `unlisted`, the others do
/// not know of it.
fn simulate(seed: u64, entries: usize, per_s: u64, restarts: bool, unlisted: bool) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut shares = vec![vec![ColdShare::default(); SERVERS]; entries];
    let mut arrivals: Vec<Vec<u64>> = vec![Vec::new(); SERVERS];
    let (mut unserved, mut has_forgotten) = (0, false);
    let end_ms = COLD_FROM_MS + COLD_MS;
    for n in 0..per_s * end_ms / 1000 {
        let now_ms = n * 1000 / per_s;
        let now = Duration::from_millis(now_ms);
        // The first entries get more than the last ones, up to three times as much.
        let entry = rng
            .random_range(0..entries)
            .min(rng.random_range(0..entries * 2));
        if restarts && entry == 0 && !has_forgotten && now_ms >= RESTART_MS {
            has_forgotten = true;
            shares[0] = vec![ColdShare::default(); SERVERS];
        }
        let is_cold = |server: usize| server < COLD_SERVERS && now_ms >= COLD_FROM_MS;
        let may_send = |server: &usize| {
            let position = (entry + server) % (entries - usize::from(unlisted));
            let since_restart = now_ms.wrapping_sub(RESTART_MS);
            let has_restarted = restarts && since_restart < ColdShare::WINDOW.as_millis() as u64;
            let has_position = entry != 0 || !unlisted && !has_restarted;
            let position = has_position.then_some(position);
            // The others share among themselves what an unlisted entry does not count in.
            let listed = entries - usize::from(unlisted);
            let quota = cold_quota(PER_S, OVERRUN, position, listed);
            let share = &shares[entry][*server];
            !is_cold(*server) || share.time_to_send(quota, now).is_zero()
        };
        // All servers are as likely, since those that have started hold no requests.
        let open: Vec<usize> = (0..SERVERS).filter(may_send).collect();
        if open.is_empty() {
            unserved += 1;
            continue;
        }
        let server = open[rng.random_range(0..open.len())];
        shares[entry][server].record(now);
        if is_cold(server) {
            arrivals[server].push(now_ms + rng.random_range(0..=MAX_WAY_MS));
        }
    }
    let most = arrivals.iter_mut().map(|times| {
        times.sort_unstable();
        let in_second = |at: u64| times.iter().filter(|t| (at..at + 1000).contains(t)).count();
        times.iter().map(|at| in_second(*at)).max()
    });
    Outcome {
        most_in_second: most.flatten().max().unwrap_or(0),
        unserved,
    }
}

/// Guards against cold servers that crash under what all entries send them together (rule
/// FAILBACK), in touch or not, and with one entry that has lost what it sent.
#[rstest]
fn cold_servers_get_no_more_than_they_tolerate(
    #[values(1, 2, 3)] seed: u64,
    #[values(1, 3, 13, 24, 60)] entries: usize,
    #[values(false, true)] restarts: bool,
) {
    let outcome = simulate(seed, entries, 10 * USUAL_PER_S, restarts, false);
    let most = outcome.most_in_second as f64;
    assert!(most <= PER_S * OVERRUN + TOLERANCE, "{most}");
    assert!(most > PER_S, "the shares are not used: {most}");
}

/// Guards against an entry that is not listed yet and adds its requests to the shares of the
/// others.
#[rstest]
fn unlisted_entry_stays_within_the_tolerance(#[values(1, 2, 3)] seed: u64) {
    let outcome = simulate(seed, 13, 10 * USUAL_PER_S, false, true);
    assert!(outcome.most_in_second as f64 <= PER_S * OVERRUN + TOLERANCE);
}

/// Guards against a bound that costs requests of the usual load.
#[rstest]
fn usual_load_finds_a_server(#[values(1, 2, 3)] seed: u64, #[values(13, 24)] entries: usize) {
    assert_eq!(
        simulate(seed, entries, USUAL_PER_S, false, false).unserved,
        0
    );
}
