//! New weights are loaded by a fleet that goes on serving: how many servers
//! are away at once.

use std::time::Duration;

use rstest::rstest;
use rw_weights::load_delay;

/// Time for which a server takes no requests: its streams end, then it loads.
const AWAY: Duration = Duration::from_millis(2900);

// Most servers that are away at the same moment before requests insist.
fn most_away(hosts: usize, left: Duration) -> usize {
    let starts: Vec<Duration> = (0..hosts).map(|at| load_delay(at, hosts, left)).collect();
    let away_at = |now: &Duration| {
        let away = starts
            .iter()
            .filter(|start| **start <= *now && *now < **start + AWAY);
        away.count()
    };
    starts.iter().map(away_at).max().unwrap_or(0)
}

#[rstest]
#[case::days_of_sixty_hosts(68, 6.2)]
#[case::few_hosts(9, 6.2)]
#[case::long_time(40, 20.0)]
fn no_more_servers_are_away_than_the_time_demands(#[case] hosts: usize, #[case] left_s: f64) {
    let left = Duration::from_secs_f64(left_s);
    let fewest = (hosts as f64 * AWAY.as_secs_f64() / left_s).ceil() as usize;
    let most = most_away(hosts, left);
    assert!(most <= fewest + 1, "{most} away, {fewest} would do");
}

#[test]
fn without_time_left_all_load_at_once() {
    assert_eq!(load_delay(5, 10, Duration::ZERO), Duration::ZERO);
}
