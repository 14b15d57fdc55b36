//! The store comes back from an older copy: it starts another era, gives out versions
//! again, and no longer knows what was written since the copy.

mod common;

use common::{cluster, ids, row, table_version};
use rstest::rstest;
use rw_platform::Revision;
use rw_protocol::StoredRow;

fn at(era: u32, version: u64) -> u64 {
    Revision::new(era, version).into()
}

fn server(key: &str, version: u64, fields: &str) -> StoredRow {
    row("servers", key, version, &format!("server {fields}"))
}

#[test]
fn lower_version_of_a_later_era_is_newer() {
    let cluster = cluster();
    cluster.apply(
        vec![server("a", at(1, 90), "10.0.0.1:1")],
        &[table_version("servers", at(1, 90))],
    );
    cluster.apply(
        vec![server("a", at(2, 40), "10.0.0.2:1")],
        &[table_version("servers", at(2, 41))],
    );
    assert_eq!(
        cluster.snapshot().servers["a"].addr.to_string(),
        "10.0.0.2:1"
    );
    // A daemon that is still in the earlier era changes nothing.
    cluster.apply(
        vec![server("a", at(1, 95), "10.0.0.1:1")],
        &[table_version("servers", at(1, 95))],
    );
    assert_eq!(
        cluster.snapshot().servers["a"].addr.to_string(),
        "10.0.0.2:1"
    );
    assert_eq!(cluster.table_version("servers"), at(2, 41));
}

#[test]
fn daemon_that_knows_no_era_counts_as_the_earliest() {
    let cluster = cluster();
    cluster.apply(vec![server("a", 90, "10.0.0.1:1")], &[]);
    cluster.apply(vec![server("a", at(1, 2), "10.0.0.2:1")], &[]);
    cluster.apply(vec![server("a", 95, "10.0.0.1:1")], &[]);
    assert_eq!(
        cluster.snapshot().servers["a"].addr.to_string(),
        "10.0.0.2:1"
    );
}

#[test]
fn configuration_and_weights_in_force_stay_and_reach_daemons_that_start_later() {
    let (cluster, later) = (cluster(), common::cluster());
    cluster.apply(
        vec![
            row("operator", "config", at(1, 50), "configuration 7"),
            row("operator", "version", at(1, 51), "weights 3"),
        ],
        &[table_version("operator", at(1, 51))],
    );
    cluster.replace_table(
        &"operator".into(),
        vec![
            row("operator", "config", at(2, 10), "configuration 5"),
            row("operator", "version", at(2, 11), "weights 2"),
        ],
        at(2, 20),
    );
    later.apply(cluster.rows_since(&[]), &cluster.table_versions());
    for cluster in [&cluster, &later] {
        let snapshot = cluster.snapshot();
        assert_eq!(snapshot.cfg.as_ref().map(|cfg| cfg.version), Some(7));
        assert_eq!(snapshot.target_version("m"), 3);
        // The operator writes a newer one under a version that was given out before.
        let newer = row("operator", "config", at(2, 50), "configuration 8");
        cluster.apply(vec![newer], &[table_version("operator", at(2, 50))]);
        let snapshot = cluster.snapshot();
        assert_eq!(snapshot.cfg.as_ref().map(|cfg| cfg.version), Some(8));
    }
}

#[rstest]
#[case::draining(Some("10.0.0.1:1 draining 100 8"))]
#[case::gone(None)]
fn server_seen_leaving_is_not_brought_back_by_the_copy(#[case] leaving: Option<&str>) {
    let cluster = cluster();
    let known = |version| [table_version("servers", version)];
    cluster.apply(
        vec![server("a", at(1, 50), "10.0.0.1:1 ready 100 7")],
        &known(at(1, 50)),
    );
    let left = match leaving {
        Some(fields) => server("a", at(1, 60), fields),
        None => row("servers", "a", at(1, 60), ""),
    };
    cluster.apply(vec![left], &known(at(1, 60)));
    let copy = server("a", at(2, 50), "10.0.0.1:1 ready 100 7");
    cluster.replace_table(&"servers".into(), vec![copy], at(2, 51));
    let accepts = || {
        let snapshot = cluster.snapshot();
        snapshot.servers.get("a").is_some_and(|server| server.ready)
    };
    assert!(!accepts());
    // A later heartbeat, or another run of the server, counts again.
    cluster.apply(
        vec![server("a", at(2, 53), "10.0.0.1:1 ready 100 9")],
        &known(at(2, 53)),
    );
    assert!(accepts());
}

// Guards against a daemon that starts from a peer and brings a server back that left
// before, because the peer's rows do not say so.
#[rstest]
#[case::gone(row("servers", "a", at(1, 60), ""))]
#[case::draining(server("a", at(1, 60), "10.0.0.1:1 draining 100 8"))]
#[case::replaced_by_earlier_id(server("0", at(1, 60), "10.0.0.1:1"))]
#[case::replaced_by_later_id(server("b", at(1, 60), "10.0.0.1:1"))]
fn departure_reaches_daemons_that_start_later(
    #[case] leaving: StoredRow,
    #[values(false, true)] peer_has_read_the_copy: bool,
) {
    let (cluster, later) = (cluster(), common::cluster());
    let ready = "10.0.0.1:1 ready 100 7";
    for row in [server("a", at(1, 50), ready), leaving] {
        let known = [table_version("servers", row.version)];
        cluster.apply(vec![row], &known);
    }
    let read_copy = |cluster: &common::TextCluster| {
        let rows = vec![server("a", at(2, 50), ready)];
        cluster.replace_table(&"servers".into(), rows, at(2, 51));
    };
    if peer_has_read_the_copy {
        read_copy(&cluster);
    }
    later.apply(cluster.rows_since(&[]), &cluster.table_versions());
    read_copy(&later);
    let accepts = || {
        let snapshot = later.snapshot();
        snapshot.servers.get("a").is_some_and(|server| server.ready)
    };
    assert!(!accepts());
    let heartbeat = server("a", at(2, 53), "10.0.0.1:1 ready 100 9");
    later.apply(vec![heartbeat], &[table_version("servers", at(2, 53))]);
    assert!(accepts());
}

#[test]
fn another_run_under_the_id_of_a_server_that_left_is_used() {
    let cluster = cluster();
    cluster.apply(
        vec![server("a", at(1, 50), "10.0.0.1:1 draining 100 7")],
        &[table_version("servers", at(1, 50))],
    );
    let started = server("a", at(2, 40), "10.0.0.2:1 ready 200 1");
    cluster.replace_table(&"servers".into(), vec![started], at(2, 51));
    assert!(cluster.snapshot().servers["a"].ready);
}

#[test]
fn rows_that_the_copy_lacks_stay_until_they_had_time_to_be_written_again() {
    let cluster = cluster();
    cluster.apply(
        vec![
            server("a", at(1, 50), "10.0.0.1:1"),
            server("b", at(1, 60), "10.0.0.2:1"),
            server("c", at(1, 61), "10.0.0.3:1"),
        ],
        &[table_version("servers", at(1, 61))],
    );
    let copy = vec![server("a", at(2, 50), "10.0.0.1:1")];
    cluster.replace_table(&"servers".into(), copy, at(2, 55));
    assert_eq!(ids(&cluster.snapshot()), ["a", "b", "c"]);
    assert!(cluster.has_earlier_eras());
    let again = server("b", at(2, 57), "10.0.0.2:1");
    cluster.apply(vec![again], &[table_version("servers", at(2, 57))]);
    cluster.drop_earlier_eras();
    assert_eq!(ids(&cluster.snapshot()), ["a", "b"]);
    assert!(!cluster.has_earlier_eras());
}

// Guards against a daemon that starts from a peer just after the return and keeps, for as
// long as it runs, a server that never wrote again.
#[test]
fn rows_of_an_earlier_era_that_a_peer_still_has_are_dropped_like_own_ones() {
    let (cluster, later) = (cluster(), common::cluster());
    let rows = vec![
        server("a", at(1, 50), "10.0.0.1:1"),
        server("b", at(1, 60), "10.0.0.2:1"),
    ];
    cluster.apply(rows, &[table_version("servers", at(1, 61))]);
    let copy = vec![server("a", at(2, 50), "10.0.0.1:1")];
    cluster.replace_table(&"servers".into(), copy, at(2, 55));
    later.apply(cluster.rows_since(&[]), &cluster.table_versions());
    assert_eq!(ids(&later.snapshot()), ["a", "b"]);
    assert!(later.has_earlier_eras());
    later.drop_earlier_eras();
    assert_eq!(ids(&later.snapshot()), ["a"]);
}

#[test]
fn two_returns_in_a_row_keep_the_order() {
    let cluster = cluster();
    for (era, version) in [(1, 90), (2, 40), (3, 30)] {
        let rows = vec![server("a", at(era, version), &format!("10.0.0.{era}:1"))];
        cluster.replace_table(&"servers".into(), rows, at(era, version));
    }
    assert_eq!(
        cluster.snapshot().servers["a"].addr.to_string(),
        "10.0.0.3:1"
    );
    cluster.drop_earlier_eras();
    assert_eq!(ids(&cluster.snapshot()), ["a"]);
}
