//! The cluster state accepts only newer data, whichever daemon sends it.

mod common;

use std::time::Duration;

use common::{cluster, ids, row, table_version};
use rstest::rstest;
use rw_fleet::{Bounds, ClockReading, RequestedWeights, Snapshot, StatusSequence, TimeSpan};
use rw_protocol::{RequestedVersionTime, ServerStatus, StoredRow};

fn server(key: &str, version: u64, addr: &str) -> StoredRow {
    row("servers", key, version, &format!("server {addr}"))
}

#[test]
fn older_rows_from_other_daemons_are_ignored() {
    let cluster = cluster();
    cluster.apply(vec![server("a", 5, "10.0.0.1:1")], &[]);
    cluster.apply(
        vec![row("servers", "a", 4, ""), server("a", 3, "10.0.0.9:1")],
        &[],
    );
    assert_eq!(
        cluster.snapshot().servers["a"].addr.to_string(),
        "10.0.0.1:1"
    );
    cluster.apply(vec![row("servers", "a", 6, "")], &[]);
    cluster.apply(vec![server("a", 5, "10.0.0.1:1")], &[]);
    assert!(
        ids(&cluster.snapshot()).is_empty(),
        "a removal is not undone"
    );
}

#[test]
fn a_complete_table_removes_missing_rows_unless_they_are_newer() {
    let cluster = cluster();
    cluster.apply(
        vec![
            server("a", 1, "10.0.0.1:1"),
            server("b", 2, "10.0.0.2:1"),
            server("c", 9, "10.0.0.3:1"),
        ],
        &[],
    );
    cluster.replace_table(&"servers".into(), vec![server("b", 2, "10.0.0.2:1")], 5);
    assert_eq!(ids(&cluster.snapshot()), ["b", "c"]);
    // Other daemons receive the removal, too.
    let rows = cluster.rows_since(&[table_version("servers", 2)]);
    assert!(rows.iter().any(|r| &*r.key == "a" && r.deleted));
}

/// Time of the store's clock in these tests, in milliseconds.
const NOW_MS: u64 = 1_000_000_000_000;

fn requested_version_time(earliest_ms: u64) -> RequestedVersionTime {
    RequestedVersionTime {
        model: "m".into(),
        version: 2,
        era: 0,
        earliest_ms,
        latest_ms: earliest_ms,
    }
}

/// Guards against a restarted entry that refuses every request for seconds
/// because it requires weights that no server has to run yet: without ages from
/// other daemons it requires them as soon as its settling time has passed.
#[test]
fn a_restarted_daemon_gets_times_of_requests_from_others() {
    let cluster = cluster();
    cluster.replace_table(
        &"operator".into(),
        vec![row("operator", "w", 1, "weights 2")],
        1,
    );
    let uptime = rw_coord::uptime();
    let settled = uptime + bounds().settling;
    let requires_new = |at| cluster.snapshot().min_version("m", &bounds(), at) == 2;
    assert!(
        requires_new(settled),
        "without reports it cannot wait longer"
    );
    assert!(
        cluster.request_times().is_empty(),
        "a time that is only assumed would make all others require them early"
    );
    cluster.observe_store_clock(1, NOW_MS, uptime);
    cluster.merge_request_times(&[requested_version_time(NOW_MS - 1000)]);
    assert!(!requires_new(settled));
    assert!(requires_new(uptime + bounds().rollout_deadline));
    // Of times that exclude each other the earliest counts, so that the deadline never
    // moves back.
    cluster.merge_request_times(&[requested_version_time(NOW_MS)]);
    assert!(requires_new(
        uptime + bounds().rollout_deadline - Duration::from_millis(2200)
    ));
}

/// Guards against a machine that was just powered on and counts the age of requested
/// weights from its own start at most.
#[test]
fn an_age_beyond_the_uptime_of_the_machine_is_kept() {
    let cluster = cluster();
    cluster.replace_table(
        &"operator".into(),
        vec![row("operator", "w", 1, "weights 2")],
        1,
    );
    let uptime = rw_coord::uptime();
    cluster.observe_store_clock(1, NOW_MS, uptime);
    let reported = uptime * 2;
    let time = requested_version_time(NOW_MS - reported.as_millis() as u64);
    cluster.merge_request_times(std::slice::from_ref(&time));
    assert_eq!(cluster.request_times(), [time]);
    let age = cluster.snapshot().requested_age("m", 2, uptime);
    assert!(age >= Some(reported - Duration::from_millis(1)), "{age:?}");
}

#[rstest]
#[case::newer_last(&[("old", 3), ("new", 7)])]
#[case::newer_first(&[("new", 7), ("old", 3)])]
fn an_address_belongs_to_the_server_that_wrote_last(#[case] order: &[(&str, u64)]) {
    let cluster = cluster();
    for (key, version) in order {
        cluster.apply(vec![server(key, *version, "10.0.0.1:1")], &[]);
    }
    assert_eq!(ids(&cluster.snapshot()), ["new"]);
}

#[test]
fn invalid_rows_remove_their_server_and_affect_no_other() {
    let cluster = cluster();
    cluster.apply(
        vec![
            server("a", 1, "10.0.0.1:1"),
            row("servers", "b", 2, "nonsense"),
            server("a", 3, "x"),
        ],
        &[table_version("servers", 3)],
    );
    assert!(ids(&cluster.snapshot()).is_empty());
    cluster.apply(vec![server("a", 4, "10.0.0.1:1")], &[]);
    assert_eq!(ids(&cluster.snapshot()), ["a"]);
}

#[test]
fn large_rows_are_sent_compressed_and_complete() {
    let (first, second) = (cluster(), cluster());
    let long = format!("server {:>9000}", "10.0.0.1:1");
    first.apply(
        vec![row("servers", "a", 1, &long)],
        &[table_version("servers", 1)],
    );
    let rows = first.rows_since(&[]);
    assert!(rows[0].packed && rows[0].value.as_ref().len() < 1000);
    second.apply(rows, &first.table_versions());
    assert_eq!(ids(&second.snapshot()), ["a"]);
    assert!(!first.is_ahead_of(&second.table_versions()));
}

fn bounds() -> Bounds {
    Bounds {
        drain: Duration::from_secs(2),
        grace: Duration::from_secs(8),
        retry_ratio: 0.2,
        retry_extra: 1.0,
        retry_window: Duration::from_secs(10),
        settling: Duration::from_secs(3),
        rollout_deadline: Duration::from_secs(8),
        ..Bounds::default()
    }
}

fn requested_at(versions: &[(u64, f64)]) -> Snapshot {
    let mut snapshot = Snapshot::default();
    let started_at = Duration::from_secs(100);
    let reading = ClockReading {
        era: 0,
        time: TimeSpan::at(NOW_MS),
    };
    snapshot
        .store_clock
        .observe(reading, started_at, started_at);
    let versions = versions.iter().map(|(version, at)| RequestedWeights {
        version: *version,
        requested: Some(TimeSpan::at(NOW_MS + (at * 1e3) as u64)),
        started_at,
    });
    snapshot
        .requested_weights
        .insert("m".into(), versions.collect());
    snapshot
}

/// With a second request while the first is past its deadline, the first
/// version is still required.
#[rstest]
#[case::recent(&[(2, 0.0)], 3.0, 1)]
#[case::past_deadline(&[(2, 0.0)], 7.0, 2)]
#[case::both_recent(&[(2, 0.0), (3, 4.0)], 5.0, 1)]
#[case::first_past_deadline(&[(2, 0.0), (3, 4.0)], 7.5, 2)]
#[case::both_past_deadline(&[(2, 0.0), (3, 4.0)], 11.0, 3)]
fn requests_require_versions_past_their_deadline(
    #[case] versions: &[(u64, f64)],
    #[case] now: f64,
    #[case] min_version: u64,
) {
    let uptime = Duration::from_secs_f64(100.0 + now);
    assert_eq!(
        requested_at(versions).min_version("m", &bounds(), uptime),
        min_version
    );
}

/// Guards against requests of a restarted daemon that wait at a server beyond the
/// settling time and then begin on old weights.
#[test]
fn a_restarted_daemon_requires_new_weights_before_its_settling_time_is_over() {
    let mut snapshot = requested_at(&[(2, 0.0)]);
    if let Some(versions) = snapshot.requested_weights.get_mut("m") {
        versions[0].requested = None;
    }
    let at = |s| snapshot.min_version("m", &bounds(), Duration::from_secs_f64(100.0 + s));
    assert_eq!((at(1.6), at(1.7)), (1, 2));
}

/// Of versions requested in quick succession, one is loaded only if it has to
/// be.
#[rstest]
#[case::nothing_requested_and_nothing_loaded(&[], 0, 0.0, Some(1))]
#[case::nothing_requested(&[], 1, 0.0, None)]
#[case::one(&[(2, 0.0)], 1, 1.0, Some(2))]
#[case::soon_after(&[(2, 0.0), (3, 1.5)], 1, 2.0, Some(3))]
#[case::long_after(&[(2, 0.0), (3, 4.0)], 1, 4.5, Some(2))]
#[case::then_the_next(&[(2, 0.0), (3, 4.0)], 2, 5.0, Some(3))]
#[case::one_after_another(&[(2, 0.0), (3, 1.9), (4, 3.8), (5, 5.7)], 1, 5.8, Some(3))]
#[case::the_rest_of_them(&[(2, 0.0), (3, 1.9), (4, 3.8), (5, 5.7)], 3, 6.0, Some(5))]
#[case::too_late_for_the_first(&[(2, 0.0), (3, 4.0)], 1, 7.5, Some(3))]
#[case::done(&[(2, 0.0), (3, 4.0)], 3, 9.0, None)]
fn hosts_load_only_the_versions_that_are_needed(
    #[case] versions: &[(u64, f64)],
    #[case] loaded: u64,
    #[case] now: f64,
    #[case] next: Option<u64>,
) {
    let uptime = Duration::from_secs_f64(100.0 + now);
    assert_eq!(
        requested_at(versions).next_version("m", loaded, &bounds(), uptime),
        next
    );
}

/// Guards against requests to a server that crashed and came back empty under its
/// identity, because the weights of its earlier start still count.
#[test]
fn a_status_ends_with_the_start_of_its_server() {
    let cluster = cluster();
    let started = |version, start| {
        let fields = format!("server 10.0.0.1:1 ready {start}");
        cluster.apply(vec![row("servers", "a", version, &fields)], &[]);
        let snapshot = cluster.snapshot();
        snapshot.loaded_version(&snapshot.servers["a"])
    };
    assert_eq!(started(1, 7), 0);
    cluster.apply_status(ServerStatus {
        server: "a".into(),
        model: "m".into(),
        weights: 3,
        accepting: true,
        sequence: 5,
    });
    assert_eq!(started(2, 7), 3, "the row may lag behind the status");
    assert_eq!(started(3, 8), 0);
}

/// A host's daemon reports that its server is busy and then sends nothing more.
#[test]
fn a_server_is_paused_only_while_its_daemon_reports_it() {
    let cluster = cluster();
    cluster.apply_status(ServerStatus {
        server: "a".into(),
        model: "m".into(),
        weights: 1,
        accepting: false,
        sequence: 5,
    });
    let now = rw_coord::uptime();
    let paused = |s| {
        cluster
            .snapshot()
            .is_paused(&"a".into(), now + Duration::from_secs(s))
    };
    assert!(paused(0) && paused(4));
    assert!(!paused(7));
}

fn status(sequence: u64, accepting: bool) -> ServerStatus {
    ServerStatus {
        server: "a".into(),
        model: "m".into(),
        weights: 1,
        accepting,
        sequence,
    }
}

/// Guards against entries that ignore what a restarted host says about its server
/// because the host's clock was stepped back.
#[rstest]
fn a_restarted_host_is_believed_whatever_its_clock(
    #[values(-3_600_000, -2_000, 0, 2_000, 3_600_000)] step_ms: i64,
) {
    let cluster = cluster();
    let is_paused = || {
        let snapshot = cluster.snapshot();
        snapshot.is_paused(&"a".into(), rw_coord::uptime())
    };
    let started_ms = 1_800_000_000_000u64;
    let restarted_ms = (started_ms + 500).saturating_add_signed(step_ms);
    let mut first = StatusSequence::new(started_ms);
    cluster.apply_status(status(first.advance(), true));
    cluster.apply_status(status(first.advance(), false));
    assert!(is_paused());
    let mut restarted = StatusSequence::new(restarted_ms);
    cluster.apply_status(status(restarted.advance(), true));
    assert!(!is_paused());
    cluster.apply_status(status(restarted.advance(), false));
    assert!(is_paused());
    // The previous build numbers its statuses from the Unix time.
    cluster.apply_status(status(restarted_ms + 1, true));
    assert!(!is_paused());
}

/// Guards against a status that overtakes an earlier one of the same process and is
/// then undone by it.
#[test]
fn a_late_status_of_the_same_process_is_ignored() {
    let cluster = cluster();
    let mut sequence = StatusSequence::new(1_800_000_000_000);
    let (earlier, later) = (sequence.advance(), sequence.advance());
    cluster.apply_status(status(later, true));
    cluster.apply_status(status(earlier, false));
    let snapshot = cluster.snapshot();
    assert!(!snapshot.is_paused(&"a".into(), rw_coord::uptime()));
}
