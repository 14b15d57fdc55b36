//! An entry sends requests only to weights that a host vouches for.

mod common;

use common::{cluster, row};
use rstest::rstest;
use rw_fleet::StatusSequence;
use rw_protocol::ServerStatus;

fn status(sequence: u64, accepting: bool) -> ServerStatus {
    ServerStatus {
        server: "a".into(),
        model: "m".into(),
        weights: 1,
        accepting,
        sequence,
    }
}

fn apply_weights(cluster: &common::TextCluster, version: u64, start: u64, weights: u64) -> bool {
    let fields = format!("server 10.0.0.1:1 ready {start} {version} {weights}");
    cluster.apply(vec![row("servers", "a", version, &fields)], &[]);
    let snapshot = cluster.snapshot();
    snapshot.has_trusted_weights(&snapshot.servers["a"])
}

/// Guards against requests to weights that the host of the server has not verified: the
/// server's own row lists them as soon as they are loaded.
#[test]
fn new_weights_are_trusted_once_the_host_has_verified_them() {
    let cluster = cluster();
    cluster.set_first_start(true);
    assert!(
        apply_weights(&cluster, 1, 7, 1),
        "held from the first start"
    );
    assert!(!apply_weights(&cluster, 2, 7, 2));
    let mut sequence = StatusSequence::new(1_800_000_000_000);
    let mut verified = status(sequence.advance(), false);
    verified.weights = 2;
    cluster.apply_status(verified.clone());
    assert!(!apply_weights(&cluster, 3, 7, 2), "not verified yet");
    verified.accepting = true;
    verified.sequence = sequence.advance();
    cluster.apply_status(verified);
    assert!(apply_weights(&cluster, 4, 7, 2));
    assert!(!apply_weights(&cluster, 5, 8, 2), "another start");
}

/// Guards against trust in a row that was gone while its server stood still, and that
/// lists other weights when it is back.
#[test]
fn weights_of_a_server_that_was_unlisted_meanwhile_are_not_trusted() {
    let cluster = cluster();
    cluster.set_first_start(true);
    assert!(apply_weights(&cluster, 1, 7, 1));
    cluster.apply(vec![row("servers", "a", 2, "")], &[]);
    assert!(!apply_weights(&cluster, 3, 7, 2));
}

/// Guards against requests to weights of which an entry that starts knows only the row of
/// their server.
#[rstest]
#[case::no_record("", 2, false)]
#[case::recorded("loaded 7 2 9", 2, true)]
#[case::another_start("loaded 6 2 9", 2, false)]
#[case::earlier_version("loaded 7 1 9", 2, false)]
#[case::later_version("loaded 7 3 9", 2, false)]
#[case::withdrawn("loaded 7 0 9", 2, false)]
#[case::initial_version("", 1, false)]
fn first_row_is_trusted_only_with_the_record_of_its_weights(
    #[case] record: &str,
    #[case] weights: u64,
    #[case] trusted: bool,
) {
    let cluster = cluster();
    cluster.apply(vec![row("daemons", "loaded-a", 1, record)], &[]);
    assert_eq!(apply_weights(&cluster, 2, 7, weights), trusted);
}

/// Guards against trust that comes back after the host has withdrawn it: with the end of
/// the pause, with an older row of the server, or with a record that was written before.
#[test]
fn withdrawn_trust_comes_back_with_a_later_status_or_record_only() {
    let cluster = cluster();
    let mut sequence = StatusSequence::new(1_800_000_000_000);
    let record = |version, sequence: u64| {
        let fields = format!("loaded 7 1 {sequence}");
        cluster.apply(vec![row("daemons", "loaded-a", version, &fields)], &[]);
    };
    let early = sequence.advance();
    record(1, early);
    assert!(apply_weights(&cluster, 1, 7, 1));
    let withdrawal = ServerStatus {
        weights: 0,
        ..status(sequence.advance(), false)
    };
    cluster.apply_status(withdrawal.clone());
    assert!(!apply_weights(&cluster, 2, 7, 1));
    record(3, early);
    assert!(!apply_weights(&cluster, 4, 7, 1), "an older record");
    record(5, sequence.advance());
    assert!(apply_weights(&cluster, 6, 7, 1), "a later record");
    cluster.apply_status(ServerStatus {
        sequence: sequence.advance(),
        ..withdrawal
    });
    assert!(!apply_weights(&cluster, 7, 7, 1));
    cluster.apply_status(status(sequence.advance(), true));
    assert!(apply_weights(&cluster, 8, 7, 1), "a later status");
}
