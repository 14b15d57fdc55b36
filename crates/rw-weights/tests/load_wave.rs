//! A fleet loads new weights while it keeps serving: number of servers that are
//! unavailable at the same time.

use std::time::Duration;

use rstest::rstest;
use rw_weights::load_delay;

/// Time for which a server accepts no requests: it drains its streams, then loads.
const UNAVAILABLE_DURATION: Duration = Duration::from_millis(2900);

// Maximum number of servers that load at the same time before requests require the
// new version.
fn max_unavailable(hosts: usize, remaining: Duration) -> usize {
    let starts: Vec<Duration> = (0..hosts)
        .map(|at| load_delay(at, hosts, remaining))
        .collect();
    let unavailable_at = |now: &Duration| {
        let unavailable = starts
            .iter()
            .filter(|start| **start <= *now && *now < **start + UNAVAILABLE_DURATION);
        unavailable.count()
    };
    starts.iter().map(unavailable_at).max().unwrap_or(0)
}

#[rstest]
#[case::many_hosts(68, 6.2)]
#[case::few_hosts(9, 6.2)]
#[case::long_time(40, 20.0)]
fn concurrent_loads_are_limited_to_what_the_deadline_requires(
    #[case] hosts: usize,
    #[case] remaining_s: f64,
) {
    let remaining = Duration::from_secs_f64(remaining_s);
    let min_required =
        (hosts as f64 * UNAVAILABLE_DURATION.as_secs_f64() / remaining_s).ceil() as usize;
    let most_unavailable = max_unavailable(hosts, remaining);
    assert!(
        most_unavailable <= min_required + 1,
        "{most_unavailable} servers unavailable, {min_required} required"
    );
}

#[test]
fn all_servers_load_immediately_without_time_left() {
    assert_eq!(load_delay(5, 10, Duration::ZERO), Duration::ZERO);
}
