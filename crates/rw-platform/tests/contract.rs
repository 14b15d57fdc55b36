//! Contract tests of the platform interfaces over HTTP.
//!
//! If `RAGWORTTACK_PLATFORM_URL` is set, they run against the platform there;
//! tests that inject faults or prepare data on the stand-in are skipped.

use rstest::rstest;
use rw_platform::{
    Commit, Condition, Error, HostList, HttpPlatform, ObjectStore, Origin, Put, TableService,
    Transaction, WeightStore,
};
use rw_protocol::{manifest_id, verify_chunk};
use rw_standins::cluster::Cluster;
use rw_standins::layout::Layout;
use rw_standins::platform::PlatformFaults;

struct Fixture {
    platform: HttpPlatform,
    cluster: Option<Cluster>,
}

fn fixture() -> Fixture {
    if let Ok(url) = std::env::var("RAGWORTTACK_PLATFORM_URL") {
        return Fixture {
            platform: HttpPlatform::new(&url, &url, 2000),
            cluster: None,
        };
    }
    let layout = Layout {
        entries: 1,
        engines: 0,
        plain: 0,
        ..Layout::default()
    };
    let cluster = layout.start_without_daemons("contract");
    let url = cluster.deployment.platform.url.to_string();
    Fixture {
        platform: HttpPlatform::new(&url, &url, 1000),
        cluster: Some(cluster),
    }
}

fn conditional_write(key: &str, version: u64, value: &str) -> Transaction {
    Transaction {
        conditions: vec![Condition {
            key: key.into(),
            version,
        }],
        puts: vec![Put {
            key: key.into(),
            value: value.into(),
        }],
        deletes: Vec::new(),
    }
}

#[test]
fn a_conditional_write_takes_effect_once() {
    let fixture = fixture();
    let platform = &fixture.platform;
    let first = platform
        .commit(&conditional_write("contract/a b&c", 0, "1"))
        .expect("commits");
    assert!(first.committed);
    let row = platform
        .read("contract/a b&c")
        .expect("reads")
        .expect("exists");
    assert_eq!((row.value.as_str(), row.version), ("1", first.version));
    let again = platform
        .commit(&conditional_write("contract/a b&c", 0, "2"))
        .expect("answers");
    assert_eq!(
        again,
        Commit {
            committed: false,
            version: 0,
            conflicts: vec!["contract/a b&c".into()]
        }
    );
    let next = platform
        .commit(&conditional_write("contract/a b&c", first.version, "2"))
        .expect("commits");
    assert!(next.committed && next.version > first.version);
}

#[test]
fn a_transaction_is_atomic() {
    let fixture = fixture();
    let platform = &fixture.platform;
    platform
        .commit(&conditional_write("contract/x", 0, "1"))
        .expect("commits");
    let mut both = conditional_write("contract/y", 0, "1");
    both.conditions.push(Condition {
        key: "contract/x".into(),
        version: 0,
    });
    both.deletes.push("contract/x".into());
    let refused = platform.commit(&both).expect("answers");
    assert_eq!(
        (refused.committed, refused.conflicts),
        (false, vec!["contract/x".to_string()])
    );
    assert_eq!(platform.read("contract/y"), Ok(None));
    assert!(platform.read("contract/x").expect("reads").is_some());
}

#[test]
fn a_scan_is_sorted_limited_and_resumable() {
    let fixture = fixture();
    let platform = &fixture.platform;
    for n in [3, 1, 2, 5, 4] {
        platform
            .commit(&conditional_write(&format!("contract/scan/{n}"), 0, "v"))
            .expect("commits");
    }
    let first = platform.scan("contract/scan/", "", 3).expect("scans");
    let keys: Vec<&str> = first.iter().map(|r| &r.key[r.key.len() - 1..]).collect();
    assert_eq!(keys, ["1", "2", "3"]);
    let rest = platform
        .scan("contract/scan/", &first[2].key, 3)
        .expect("scans");
    assert_eq!(rest.len(), 2);
}

#[test]
fn objects_are_stored_completely() {
    let fixture = fixture();
    let platform = &fixture.platform;
    let body: Vec<u8> = (0..100_000u32).map(|n| n as u8).collect();
    ObjectStore::put(platform, "contract/object", &body).expect("written");
    assert_eq!(ObjectStore::get(platform, "contract/object"), Ok(body));
    assert!(matches!(
        ObjectStore::get(platform, "contract/none"),
        Err(Error::NotFound(_))
    ));
}

#[test]
fn the_origin_serves_chunks_that_match_their_manifest() {
    let Fixture { platform, cluster } = fixture();
    let Some(cluster) = cluster else { return };
    cluster.add_model("m", "1", 100_000, 30_000);
    let manifest = platform.manifest("m", "1").expect("served");
    assert_eq!((manifest.chunks.len(), manifest.length), (4, 100_000));
    assert_eq!(
        manifest_id(&manifest),
        manifest_id(&platform.manifest("m", "1").expect("served"))
    );
    for chunk in 0..4 {
        let body = platform.chunk("m", "1", chunk).expect("served");
        assert!(verify_chunk(&manifest, chunk, &body));
    }
    assert!(matches!(
        platform.manifest("m", "2"),
        Err(Error::NotFound(_))
    ));
}

#[test]
fn the_weight_store_serves_the_same_chunks_up_to_its_rate_limit() {
    let fixture = fixture();
    let platform = &fixture.platform;
    let Some(cluster) = &fixture.cluster else {
        return;
    };
    cluster.add_model("m", "1", 1000, 10);
    let manifest = platform.manifest("m", "1").expect("served");
    let body = platform.stored_chunk("m", "1", 7).expect("served");
    assert!(verify_chunk(&manifest, 7, &body));
    let refused = (0..1000).find_map(|n| platform.stored_chunk("m", "1", n % 100).err());
    assert!(matches!(refused, Some(Error::Refused(_))), "{refused:?}");
}

#[test]
fn the_host_list_returns_changes_with_a_lag() {
    let Fixture { platform, cluster } = fixture();
    let Some(cluster) = cluster else { return };
    cluster.set_host_state("entry-0", rw_protocol::HostState::Live);
    let first = platform.hosts(0).expect("listed");
    assert_eq!(first.hosts.len(), 1);
    assert!(platform
        .hosts(first.version)
        .expect("listed")
        .hosts
        .is_empty());
    cluster.set_platform_faults(&PlatformFaults {
        list_lag_ms: 60_000,
        ..PlatformFaults::default()
    });
    cluster.set_host_state("entry-0", rw_protocol::HostState::Leaving);
    let lagging = platform.hosts(first.version).expect("listed");
    assert!(lagging.hosts.is_empty());
    assert_eq!(lagging.version, first.version);
}

// After `Refused` the write must not have taken effect; after `Unknown` it may
// have.
#[rstest]
#[case::down(PlatformFaults { table_down: true, ..PlatformFaults::default() }, true, false)]
#[case::response_lost(PlatformFaults { lose_every: 1, ..PlatformFaults::default() }, false, true)]
#[case::too_slow(PlatformFaults { table_delay_ms: 1500, ..PlatformFaults::default() }, false, true)]
fn faults_are_classified_as_refused_or_unknown(
    #[case] faults: PlatformFaults,
    #[case] refused: bool,
    #[case] took_effect: bool,
) {
    let Fixture { platform, cluster } = fixture();
    let Some(cluster) = cluster else { return };
    cluster.set_platform_faults(&faults);
    let err = platform
        .commit(&conditional_write("contract/fault", 0, "1"))
        .expect_err("fails");
    assert_eq!(matches!(err, Error::Refused(_)), refused, "{err}");
    assert_eq!(matches!(err, Error::Unknown(_)), !refused, "{err}");
    cluster.set_platform_faults(&PlatformFaults::default());
    let row = rw_standins::client::wait_for("settled", || {
        let row = platform.read("contract/fault").ok()?;
        (row.is_some() == took_effect).then_some(row)
    });
    assert_eq!(row.is_some(), took_effect);
}

#[test]
fn a_connection_refused_by_the_platform_is_reported_as_refused() {
    let platform = HttpPlatform::new("http://127.0.0.1:1", "http://127.0.0.1:1", 1000);
    assert!(matches!(
        platform.commit(&conditional_write("k", 0, "v")),
        Err(Error::Refused(_))
    ));
}
