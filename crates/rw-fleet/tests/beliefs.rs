//! What a daemon believes only ever gets newer, whoever tells it.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderName;
use rstest::rstest;
use rw_fleet::{
    BackendServer, Beliefs, Bounds, Daemon, Dialect, Fact, Headers, NamedWeights, Snapshot, Tables,
};
use rw_observe::{Metrics, Recorder};
use rw_protocol::{RequestedVersionAge, ServerStatus, StoredRow, TableVersion};

/// Rows of a few words: `server ADDR`, `weights N`, anything else is broken.
struct Words(Headers);

fn words() -> Words {
    let name = HeaderName::from_static("x");
    Words(Headers {
        attempt: name.clone(),
        deadline_ms: name.clone(),
        expected_server: name.clone(),
        expected_weights: name.clone(),
        team: name.clone(),
        priority: name.clone(),
        path: name.clone(),
        not_run: name.clone(),
        signature: name.clone(),
        load: name.clone(),
        weights: name.clone(),
        tokens: name.clone(),
        last_event: name,
        key_scheme: "Key",
    })
}

impl Dialect for Words {
    type Error = String;

    fn headers(&self) -> &Headers {
        &self.0
    }

    fn tables(&self) -> Tables {
        Tables {
            operator: "operator",
            servers: "servers",
            daemons: "daemons",
        }
    }

    fn ready_path(&self) -> &'static str {
        "/"
    }

    fn decode(&self, row: &StoredRow) -> Result<Fact, String> {
        let text = String::from_utf8_lossy(row.value.as_ref()).into_owned();
        match text.split_once(' ') {
            Some(("server", addr)) => Ok(Fact::Server(BackendServer {
                id: row.key.clone(),
                service: "gen".into(),
                addr: addr.trim().parse().map_err(|_| "address".to_string())?,
                zone: "z".into(),
                slots: 1,
                ready: true,
                weights: 0,
                layers: 0,
                written_at: row.version,
            })),
            Some(("weights", n)) => Ok(Fact::Weights {
                model: "m".into(),
                version: n.parse().map_err(|_| "number".to_string())?,
            }),
            _ => Err("no such word".into()),
        }
    }

    fn encode_daemon(&self, _: &Daemon) -> Vec<u8> {
        Vec::new()
    }
}

fn beliefs() -> Arc<Beliefs<Words>> {
    Beliefs::new(Arc::new(words()), Recorder::new("d".into(), Metrics::new()))
}

fn row(table: &str, key: &str, version: u64, value: &str) -> StoredRow {
    StoredRow {
        table: table.into(),
        key: key.into(),
        version,
        deleted: value.is_empty(),
        packed: false,
        value: value.as_bytes().to_vec().into(),
    }
}

fn server(key: &str, version: u64, addr: &str) -> StoredRow {
    row("servers", key, version, &format!("server {addr}"))
}

fn known(table: &str, version: u64) -> TableVersion {
    TableVersion {
        table: table.into(),
        version,
    }
}

fn ids(view: &Snapshot) -> Vec<String> {
    view.servers.keys().map(|id| id.to_string()).collect()
}

#[test]
fn older_rows_from_other_daemons_change_nothing() {
    let beliefs = beliefs();
    beliefs.apply(vec![server("a", 5, "10.0.0.1:1")], &[]);
    beliefs.apply(
        vec![row("servers", "a", 4, ""), server("a", 3, "10.0.0.9:1")],
        &[],
    );
    assert_eq!(beliefs.view().servers["a"].addr.to_string(), "10.0.0.1:1");
    beliefs.apply(vec![row("servers", "a", 6, "")], &[]);
    beliefs.apply(vec![server("a", 5, "10.0.0.1:1")], &[]);
    assert!(ids(&beliefs.view()).is_empty(), "a removal is not undone");
}

#[test]
fn a_whole_table_removes_what_it_lacks_but_nothing_newer() {
    let beliefs = beliefs();
    beliefs.apply(
        vec![
            server("a", 1, "10.0.0.1:1"),
            server("b", 2, "10.0.0.2:1"),
            server("c", 9, "10.0.0.3:1"),
        ],
        &[],
    );
    beliefs.replace(&"servers".into(), vec![server("b", 2, "10.0.0.2:1")], 5);
    assert_eq!(ids(&beliefs.view()), ["b", "c"]);
    // Other daemons learn of the removal, too.
    let news = beliefs.rows_since(&[known("servers", 2)]);
    assert!(news.iter().any(|r| &*r.key == "a" && r.deleted));
}

/// A restarted entry refused every request for seconds: it insisted on weights
/// that no server had to run yet.
#[test]
fn a_daemon_that_starts_late_learns_from_others_when_weights_were_named() {
    let beliefs = beliefs();
    beliefs.replace(
        &"operator".into(),
        vec![row("operator", "w", 1, "weights 2")],
        1,
    );
    let uptime = rw_coord::uptime();
    let settled = uptime + bounds().settling;
    let insists = |at| beliefs.view().oldest_allowed("m", &bounds(), at) == 2;
    assert!(insists(settled), "without news it cannot wait longer");
    assert!(beliefs.named_ages(&bounds()).is_empty(), "it cannot tell");
    let age = |age_ms| RequestedVersionAge {
        model: "m".into(),
        version: 2,
        age_ms,
    };
    beliefs.note_named(&[age(1000)]);
    assert!(!insists(settled));
    assert!(insists(uptime + bounds().weights_in_force));
    // Only the first word counts, so that the time never moves on.
    beliefs.note_named(&[age(0)]);
    assert!(insists(
        uptime + bounds().weights_in_force - Duration::from_millis(900)
    ));
}

#[rstest]
#[case::newer_last(&[("old", 3), ("new", 7)])]
#[case::newer_first(&[("new", 7), ("old", 3)])]
fn an_address_belongs_to_the_server_that_wrote_last(#[case] order: &[(&str, u64)]) {
    let beliefs = beliefs();
    for (key, version) in order {
        beliefs.apply(vec![server(key, *version, "10.0.0.1:1")], &[]);
    }
    assert_eq!(ids(&beliefs.view()), ["new"]);
}

#[test]
fn rows_that_make_no_sense_name_no_server_and_harm_no_other() {
    let beliefs = beliefs();
    beliefs.apply(
        vec![
            server("a", 1, "10.0.0.1:1"),
            row("servers", "b", 2, "nonsense"),
            server("a", 3, "x"),
        ],
        &[known("servers", 3)],
    );
    assert!(ids(&beliefs.view()).is_empty());
    beliefs.apply(vec![server("a", 4, "10.0.0.1:1")], &[]);
    assert_eq!(ids(&beliefs.view()), ["a"]);
}

#[test]
fn large_rows_reach_another_daemon_whole() {
    let (first, second) = (beliefs(), beliefs());
    let long = format!("server {:>9000}", "10.0.0.1:1");
    first.apply(vec![row("servers", "a", 1, &long)], &[known("servers", 1)]);
    let rows = first.rows_since(&[]);
    assert!(rows[0].packed && rows[0].value.as_ref().len() < 1000);
    second.apply(rows, &first.known());
    assert_eq!(ids(&second.view()), ["a"]);
    assert!(!first.is_ahead_of(&second.known()));
}

fn bounds() -> Bounds {
    Bounds {
        grace: Duration::from_secs(8),
        retry_ratio: 0.2,
        retry_extra: 1.0,
        retry_window: Duration::from_secs(10),
        settling: Duration::from_secs(3),
        weights_in_force: Duration::from_secs(8),
    }
}

fn named(names: &[(u64, f64)]) -> Snapshot {
    let mut view = Snapshot::default();
    let names = names.iter().map(|(version, at)| NamedWeights {
        version: *version,
        since: Duration::from_secs_f64(100.0 + at),
        before_start: false,
    });
    view.weights.insert("m".into(), names.collect());
    view
}

/// A second name while the first is due: the first is still insisted on.
#[rstest]
#[case::fresh(&[(2, 0.0)], 3.0, 1)]
#[case::due(&[(2, 0.0)], 7.0, 2)]
#[case::both_fresh(&[(2, 0.0), (3, 4.0)], 5.0, 1)]
#[case::first_due(&[(2, 0.0), (3, 4.0)], 7.5, 2)]
#[case::both_due(&[(2, 0.0), (3, 4.0)], 11.0, 3)]
fn requests_insist_on_what_is_due(
    #[case] names: &[(u64, f64)],
    #[case] now: f64,
    #[case] oldest: u64,
) {
    let uptime = Duration::from_secs_f64(100.0 + now);
    assert_eq!(named(names).oldest_allowed("m", &bounds(), uptime), oldest);
}

#[test]
fn a_daemon_that_starts_late_insists_once_it_counts_as_in_touch() {
    let mut view = named(&[(2, 0.0)]);
    if let Some(names) = view.weights.get_mut("m") {
        names[0].before_start = true;
    }
    let at = |s| view.oldest_allowed("m", &bounds(), Duration::from_secs_f64(100.0 + s));
    assert_eq!((at(2.9), at(3.0)), (1, 2));
}

/// Names in quick succession: one is loaded only if it has to be.
#[rstest]
#[case::no_name_and_empty(&[], 0, 0.0, Some(1))]
#[case::no_name(&[], 1, 0.0, None)]
#[case::one(&[(2, 0.0)], 1, 1.0, Some(2))]
#[case::soon_after(&[(2, 0.0), (3, 1.5)], 1, 2.0, Some(3))]
#[case::long_after(&[(2, 0.0), (3, 4.0)], 1, 4.5, Some(2))]
#[case::then_the_next(&[(2, 0.0), (3, 4.0)], 2, 5.0, Some(3))]
#[case::too_late_for_the_first(&[(2, 0.0), (3, 4.0)], 1, 7.5, Some(3))]
#[case::done(&[(2, 0.0), (3, 4.0)], 3, 9.0, None)]
fn hosts_bring_the_versions_that_are_needed(
    #[case] names: &[(u64, f64)],
    #[case] loaded: u64,
    #[case] now: f64,
    #[case] next: Option<u64>,
) {
    let uptime = Duration::from_secs_f64(100.0 + now);
    assert_eq!(
        named(names).next_weights("m", loaded, &bounds(), uptime),
        next
    );
}

/// A host's daemon that said "busy" and fell silent.
#[test]
fn a_server_is_paused_only_while_its_daemon_says_so() {
    let beliefs = beliefs();
    beliefs.notice(ServerStatus {
        server: "a".into(),
        model: "m".into(),
        weights: 1,
        accepting: false,
        sequence: 5,
    });
    let now = rw_coord::uptime();
    let paused = |s| {
        beliefs
            .view()
            .is_paused(&"a".into(), now + Duration::from_secs(s))
    };
    assert!(paused(0) && paused(4));
    assert!(!paused(7));
}
