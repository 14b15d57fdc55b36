//! Times of requests for weights, on the store's clock.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{cluster, row, table_version, TextCluster};
use rw_coord::uptime;
use rw_fleet::{Bounds, ClockReading, RequestedWeights, Snapshot, StoreClock, TimeSpan};
use rw_protocol::{RowsReply, StoreClockReading};

/// Time of the store's clock in these tests, in milliseconds.
const NOW_MS: u64 = 1_000_000_000_000;

fn bounds() -> Bounds {
    Bounds {
        settling: Duration::from_secs(3),
        rollout_deadline: Duration::from_secs(8),
        ..Bounds::default()
    }
}

fn reading(time_ms: u64) -> ClockReading {
    ClockReading {
        era: 0,
        time: TimeSpan::at(time_ms),
    }
}

fn micros(time: u64) -> Duration {
    Duration::from_micros(time)
}

/// State of a daemon that learns now that version 2 was requested at a time of the clock.
fn snapshot(store_clock: StoreClock, requested_ms: u64) -> Snapshot {
    let requested = RequestedWeights {
        version: 2,
        requested: Some(TimeSpan::at(requested_ms)),
        started_at: Duration::ZERO,
    };
    Snapshot {
        store_clock,
        requested_weights: BTreeMap::from([("m".into(), vec![requested])]),
        ..Snapshot::default()
    }
}

/// Guards against callers that are refused right after a request for weights: two readings
/// that differ by a rounded millisecond seem to exclude each other, and the wide bounds of
/// a long poll replace the narrow ones.
#[test]
fn long_poll_does_not_widen_the_bounds_of_the_clock() {
    // The store's clock is 4000.7 ms ahead of the uptime; a call takes 0.4 ms.
    let mut clock = StoreClock::default();
    clock.observe(reading(5000), micros(1_000_000), micros(1_000_400));
    // A poll that waits for 15 s.
    clock.observe(reading(20_101), micros(1_100_000), micros(16_100_600));
    let now = micros(16_100_600);
    let snapshot = snapshot(clock, 20_101);
    assert_eq!(snapshot.min_version("m", &bounds(), now), 1);
}

/// Guards against callers that are refused right after a request for weights, because the
/// clock of this machine runs fast and readings behind the known bounds are ignored.
#[test]
fn clock_of_a_machine_whose_own_clock_runs_fast_is_corrected() {
    // Two days of polls every ten seconds, on a machine that gains a millisecond in each.
    let mut clock = StoreClock::default();
    let (mut time_ms, mut now) = (NOW_MS, Duration::from_secs(1));
    for _ in 0..2 * 8640 {
        time_ms += 10_000;
        now += Duration::from_millis(10_001);
        clock.observe(reading(time_ms), now, now + Duration::from_millis(1));
    }
    let snapshot = snapshot(clock, time_ms);
    assert_eq!(snapshot.min_version("m", &bounds(), now), 1);
}

fn apply_operator_row(cluster: &TextCluster, version: u64, weights: u64, made: Option<TimeSpan>) {
    let content = format!("weights {weights}");
    let rows = vec![row("operator", "w", version, &content)];
    cluster.apply_changes(rows, &[table_version("operator", version)], made);
}

/// Guards against requests on old weights past their deadline at an entry that starts
/// after a newer version replaced the row of the one whose deadline has passed, while
/// nobody knows when that one was requested.
#[test]
fn entry_that_starts_later_requires_a_version_of_unknown_time_that_was_replaced() {
    let running = cluster();
    running.observe_store_clock(1, NOW_MS, uptime());
    apply_operator_row(&running, 1, 2, None);
    apply_operator_row(&running, 2, 3, Some(TimeSpan::at(NOW_MS)));
    let settled = |cluster: &TextCluster| {
        let now = uptime() + bounds().settling;
        cluster.snapshot().min_version("m", &bounds(), now)
    };
    assert_eq!(settled(&running), 2);

    let starting = cluster();
    let reply = RowsReply {
        clock: StoreClockReading {
            era: 0,
            earliest_ms: NOW_MS,
            latest_ms: NOW_MS,
        },
        in_touch: true,
        known: running.table_versions(),
        requested: running.request_times(),
        rows: running.rows_since(&[]),
    };
    starting.apply_reply(&reply, uptime());
    assert_eq!(settled(&starting), 2);
}

/// Guards against requests on old weights past their deadline at an entry that stood still
/// while two versions were requested: it sees only the newer one, and takes its exact time
/// from an entry that has seen the older one at a start, without a time.
#[test]
fn entry_that_stood_still_requires_a_version_of_unknown_time_that_was_replaced() {
    let running = cluster();
    running.observe_store_clock(1, NOW_MS, uptime());
    apply_operator_row(&running, 1, 2, None);
    apply_operator_row(&running, 2, 3, Some(TimeSpan::at(NOW_MS)));

    let paused = cluster();
    paused.replace_table(&"operator".into(), Vec::new(), 0);
    paused.observe_store_clock(1, NOW_MS, uptime());
    let made = TimeSpan {
        earliest_ms: NOW_MS - 7000,
        latest_ms: NOW_MS,
    };
    apply_operator_row(&paused, 2, 3, Some(made));
    let settled = uptime() + bounds().settling;
    let min_version = || paused.snapshot().min_version("m", &bounds(), settled);
    assert_eq!(min_version(), 3);
    paused.merge_request_times(&running.request_times());
    assert_eq!(min_version(), 2);
}

/// Guards against requests on old weights past their deadline after the store came back
/// with a clock that is behind: the recorded time on the former clock counts as soon as
/// the new one shows it.
#[test]
fn recorded_time_that_the_clock_reaches_later_does_not_move_a_deadline_back() {
    let cluster = cluster();
    cluster.observe_store_clock(1, NOW_MS, uptime());
    let record = format!("record 2 {}", NOW_MS + 5000);
    cluster.replace_table(&"daemons".into(), vec![row("daemons", "r", 1, &record)], 1);
    let requested = vec![row("operator", "w", 1, "weights 2")];
    cluster.replace_table(&"operator".into(), requested, 1);
    let settled = uptime() + bounds().settling;
    let min_version = || cluster.snapshot().min_version("m", &bounds(), settled);
    assert_eq!(min_version(), 2);
    // Five seconds later.
    cluster.observe_store_clock(1, NOW_MS + 5000, uptime());
    assert_eq!(min_version(), 2);
}

/// Guards against callers that are refused seconds before the rollout deadline: the row
/// came from an entry that does not know its time, and the time that the store's feed
/// shows afterwards is dropped with the row.
#[test]
fn time_of_a_row_that_another_entry_sent_before_is_learned_from_the_feed() {
    let cluster = cluster();
    cluster.replace_table(&"operator".into(), Vec::new(), 1);
    cluster.observe_store_clock(1, NOW_MS, uptime());
    apply_operator_row(&cluster, 2, 2, None);
    apply_operator_row(&cluster, 2, 2, Some(TimeSpan::at(NOW_MS)));
    assert_eq!(cluster.request_times().len(), 1);
}
