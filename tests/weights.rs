//! No draft is ever produced from partial or mixed weights.

use rstest::rstest;
use rw_protocol::manifest_id;
use rw_standins::caller::{request_completion, Outcome};
use rw_standins::client::{get, post, wait_for};
use rw_standins::cluster::Cluster;
use rw_standins::engine::{Behaviour, Records};
use rw_standins::layout::{intent, Layout};
use rw_standins::model::{manifest, model_hash};
use rw_standins::platform::{OriginModel, PlatformFaults};
use rw_standins::proxy::LinkFault;
use rw_tests::{failures, serve_v1, Load, CHUNK_BYTES, MODEL_BYTES};

const ENGINES: usize = 6;

fn layout() -> Layout {
    Layout {
        entries: 2,
        engines: ENGINES,
        plain: 0,
        regions: 2,
        proxied: true,
        extra_settings: "[weights]\nchunk_timeout_ms = 500\nwave_timeout_ms = 2000\n[control]\nlease_ms = 2000\nsuspect_ms = 1000".into(),
        ..Layout::default()
    }
}

fn expected(version: &str) -> String {
    model_hash("cutlist", version, MODEL_BYTES, CHUNK_BYTES)
}

// Every load that took effect, by the engines' own hashes.
fn check_loads(cluster: &Cluster) {
    let hashes = [expected("v1"), expected("v2")];
    for at in 0..ENGINES {
        let records: Records = cluster.records(&format!("engine-{at}"));
        assert!(
            records.loads.iter().all(|l| hashes.contains(&l.hash)),
            "{:?}",
            records.loads
        );
        assert!(records.runs.iter().filter(|r| r.finished).all(|r| !r.mixed));
    }
}

fn got_bytes(cluster: &Cluster) -> u64 {
    let flows = [
        "from_zone",
        "from_region",
        "from_other_region",
        "from_origin",
    ];
    let bytes = |at: usize| {
        let line = |flow| format!("ragworttack_weight_bytes_total{{flow=\"{flow}\"}}");
        flows
            .map(|flow| cluster.metric(&format!("engine-{at}"), &line(flow)))
            .iter()
            .sum::<f64>()
    };
    (0..ENGINES).map(bytes).sum::<f64>() as u64
}

fn events(cluster: &Cluster, name: &str, event: &str) -> u64 {
    cluster.metric(
        name,
        &format!("ragworttack_events_total{{event=\"{event}\"}}"),
    ) as u64
}

#[rstest]
#[case::corrupt_origin(PlatformFaults { corrupt_every: 3, ..PlatformFaults::default() }, LinkFault::default())]
#[case::corrupt_links(PlatformFaults::default(), LinkFault { corrupt_every: 40, ..LinkFault::default() })]
#[case::slow_links(PlatformFaults::default(), LinkFault { bytes_per_s: 1_000_000, ..LinkFault::default() })]
#[case::slow_origin(PlatformFaults { origin_bytes_per_s: 1_000_000, ..PlatformFaults::default() }, LinkFault::default())]
#[case::both_corrupt(
    PlatformFaults { corrupt_every: 4, ..PlatformFaults::default() },
    LinkFault { corrupt_every: 60, ..LinkFault::default() }
)]
fn damaged_and_slow_transfers_end_in_whole_models(
    #[case] platform: PlatformFaults,
    #[case] link: LinkFault,
) {
    let cluster = layout().start("damaged");
    cluster.set_platform_faults(&platform);
    for at in 0..ENGINES {
        cluster.set_link_fault(&format!("engine-{at}"), link.clone());
    }
    serve_v1(&cluster, ENGINES, 2);
    check_loads(&cluster);
}

#[test]
fn a_host_killed_during_a_transfer_does_not_hold_the_others_up() {
    let mut cluster = layout().start("killed-transfer");
    cluster.add_model("cutlist", "v1", MODEL_BYTES, CHUNK_BYTES);
    cluster.set_platform_faults(&PlatformFaults {
        origin_bytes_per_s: 500_000,
        ..PlatformFaults::default()
    });
    cluster.apply("entry-0", &intent("v1", ENGINES, 2));
    wait_for("chunks arrive", || {
        (got_bytes(&cluster) > 2 * CHUNK_BYTES).then_some(())
    });
    cluster.kill("engine-0");
    wait_for("the others serve", || {
        let status = cluster.status("entry-0")?;
        let cuts = status.intents.iter().find(|i| &*i.intent == "cuts")?;
        (cuts.serving as usize == ENGINES - 1).then_some(())
    });
    cluster.start_daemon("engine-0");
    cluster.wait_fulfilled("entry-0", "cuts", "v1");
    check_loads(&cluster);
}

#[test]
fn a_version_that_changes_during_a_transfer_never_mixes() {
    let cluster = layout().start("changed-transfer");
    cluster.add_model("cutlist", "v1", MODEL_BYTES, CHUNK_BYTES);
    cluster.add_model("cutlist", "v2", MODEL_BYTES, CHUNK_BYTES);
    cluster.set_platform_faults(&PlatformFaults {
        origin_bytes_per_s: 1_000_000,
        ..PlatformFaults::default()
    });
    cluster.apply("entry-0", &intent("v1", ENGINES, 2));
    wait_for("chunks arrive", || {
        (got_bytes(&cluster) > 2 * CHUNK_BYTES).then_some(())
    });
    cluster.apply("entry-1", &intent("v2", ENGINES, 2));
    cluster.wait_fulfilled("entry-0", "cuts", "v2");
    check_loads(&cluster);
}

#[test]
fn an_origin_that_swaps_bytes_under_a_version_is_found_out() {
    let cluster = layout().start("swapped");
    serve_v1(&cluster, ENGINES, 2);
    // The manifest stays that of v2, the bytes are those of v1.
    cluster.publish_model(&OriginModel {
        model: "cutlist".into(),
        version: "v2".into(),
        length: MODEL_BYTES,
        chunk_bytes: CHUNK_BYTES,
        bytes_of: "v1".into(),
    });
    cluster.apply("entry-0", &intent("v2", ENGINES, 2));
    wait_for("the mismatch is reported", || {
        let counts =
            (0..ENGINES).map(|at| events(&cluster, &format!("engine-{at}"), "ManifestMismatch"));
        (counts.sum::<u64>() > 0).then_some(())
    });
    // Everybody still serves v1.
    for at in 0..ENGINES {
        let records: Records = cluster.records(&format!("engine-{at}"));
        assert!(records.loads.iter().all(|l| l.version == "v1"));
    }
    cluster.add_model("cutlist", "v2", MODEL_BYTES, CHUNK_BYTES);
    cluster.wait_fulfilled("entry-0", "cuts", "v2");
    check_loads(&cluster);
}

#[test]
fn with_the_origin_down_a_new_host_gets_the_model_from_the_others() {
    let mut cluster = layout().start("origin-down");
    serve_v1(&cluster, ENGINES, 2);
    cluster.set_platform_faults(&PlatformFaults {
        origin_down: true,
        objects_down: true,
        ..PlatformFaults::default()
    });
    cluster.kill("engine-1");
    // The host comes back empty, daemon and engine.
    let url = format!("{}/control/records", cluster.daemon("engine-1").backend_url);
    let before: Records = get(&url).expect("records");
    cluster.start_daemon("engine-1");
    cluster.wait_fulfilled("entry-0", "cuts", "v1");
    let after: Records = get(&url).expect("records");
    assert_eq!(before.loads, after.loads, "a loaded engine needs no order");
    check_loads(&cluster);
}

// The origin goes down before any chunk left it; the weight store has the rest.
#[test]
fn with_the_origin_down_the_weight_store_stands_in() {
    let cluster = layout().start("weight-store");
    cluster.add_model("cutlist", "v1", MODEL_BYTES, CHUNK_BYTES);
    let (status, plan) = cluster.plan("entry-0", &intent("v1", ENGINES, 2));
    assert_eq!(status, 200, "{plan}");
    cluster.set_platform_faults(&PlatformFaults {
        origin_down: true,
        ..PlatformFaults::default()
    });
    let (status, answer) = cluster.confirm("entry-0", plan["id"].as_str().expect("an id"));
    assert_eq!(status, 200, "{answer}");
    cluster.wait_fulfilled("entry-0", "cuts", "v1");
    check_loads(&cluster);
}

// Somebody else orders an engine to load something: no call reaches it until
// it holds the confirmed version again.
#[rstest]
#[case::checks_fencing(true)]
#[case::ignores_fencing(false)]
fn a_foreign_order_is_undone_and_never_answers(#[case] fencing: bool) {
    let cluster = layout().start("foreign");
    for at in 0..ENGINES {
        cluster.set_behaviour(
            &format!("engine-{at}"),
            &Behaviour {
                fencing,
                ..Behaviour::default()
            },
        );
    }
    serve_v1(&cluster, ENGINES, 2);
    let load = Load::start(&cluster, 8);
    wait_for("calls", || (load.count() > 50).then_some(()));
    let id = manifest_id(&manifest("cutlist", "v2", MODEL_BYTES, CHUNK_BYTES));
    let source = format!(
        "{}/origin/manifest?model=cutlist&version=v1",
        cluster.deployment.platform.url
    );
    let order = serde_json::json!({
        "model": "cutlist", "version": "rogue", "manifest": &*id, "source": source, "fence": 0,
    });
    for at in 0..ENGINES {
        let (status, _) = post(
            &format!(
                "{}/orders/load",
                cluster.daemon(&format!("engine-{at}")).backend_url
            ),
            &order,
        );
        assert_eq!(status, if fencing { 409 } else { 200 });
    }
    wait_for("every engine is back", || {
        let back = |at| {
            let records: Records = cluster.records(&format!("engine-{at}"));
            records.loads.last().is_some_and(|l| l.version == "v1")
        };
        (0..ENGINES).all(back).then_some(())
    });
    cluster.wait_fulfilled("entry-0", "cuts", "v1");
    let outcomes = load.stop();
    // A draft cut by the foreign order is told as cut; none is wrong.
    let wrong = |o: &&&(String, Outcome)| matches!(o.1, Outcome::Wrong(_));
    let failed = failures(&outcomes);
    assert_eq!(failed.iter().filter(wrong).count(), 0, "{failed:?}");
    for (id, outcome) in &outcomes {
        if let Outcome::Answered(version) = outcome {
            assert!(
                version.is_empty() || version == "cutlist@v1",
                "{id}: {version}"
            );
        }
    }
}

// The engine is switched in the middle of a stream: the caller learns that its
// draft was cut, and never takes words of two versions for one draft.
#[test]
fn a_stream_under_which_the_version_changes_is_told_as_cut() {
    let cluster = layout().start("switched-stream");
    serve_v1(&cluster, ENGINES, 2);
    for at in 0..ENGINES {
        let behaviour = Behaviour {
            token_ms: 50,
            ..Behaviour::default()
        };
        cluster.set_behaviour(&format!("engine-{at}"), &behaviour);
    }
    let url = cluster.entry_url("entry-0");
    let callers: Vec<_> = (0..6)
        .map(|n| {
            let url = url.clone();
            std::thread::spawn(move || {
                request_completion(&url, "arima", &format!("long|{n}"), 60, 20_000)
            })
        })
        .collect();
    let running = || {
        let count = |at| {
            cluster
                .records::<Records>(&format!("engine-{at}"))
                .runs
                .len()
        };
        (0..ENGINES).map(count).sum::<usize>()
    };
    wait_for("streams run", || (running() == 6).then_some(()));
    let source = format!(
        "{}/origin/manifest?model=cutlist&version=v1",
        cluster.deployment.platform.url
    );
    let order = serde_json::json!({
        "model": "cutlist", "version": "rogue", "manifest": "rogue", "source": source, "fence": 9,
    });
    for at in 0..ENGINES {
        post(
            &format!(
                "{}/orders/load",
                cluster.daemon(&format!("engine-{at}")).backend_url
            ),
            &order,
        );
    }
    for caller in callers {
        let outcome = caller.join().expect("no panic");
        assert!(matches!(outcome, Outcome::Cut(_)), "{outcome:?}");
    }
}

// A daemon is frozen past its lease while a second process takes its place.
#[rstest]
#[case::checks_fencing(true)]
#[case::ignores_fencing(false)]
fn a_daemon_frozen_past_its_lease_does_no_harm_when_it_thaws(#[case] fencing: bool) {
    let mut cluster = layout().start("frozen-lease");
    for at in 0..ENGINES {
        cluster.set_behaviour(
            &format!("engine-{at}"),
            &Behaviour {
                fencing,
                load_ms: 400,
                ..Behaviour::default()
            },
        );
    }
    serve_v1(&cluster, ENGINES, 2);
    cluster.apply("entry-0", &intent("v2", ENGINES, 2));
    wait_for("an order is on its way", || {
        let sent = events(&cluster, "engine-0", "OrderSent");
        (sent > 1).then_some(())
    });
    cluster.signal("engine-0", "STOP");
    // Past the lease of two seconds.
    std::thread::sleep(std::time::Duration::from_millis(2500));
    cluster.apply("entry-0", &intent("v1", ENGINES, 2));
    cluster.signal("engine-0", "CONT");
    cluster.wait_fulfilled("entry-0", "cuts", "v1");
    wait_for("the engine holds v1", || {
        let records: Records = cluster.records("engine-0");
        records
            .loads
            .last()
            .is_some_and(|l| l.version == "v1")
            .then_some(())
    });
    check_loads(&cluster);
    let records: Records = cluster.records("engine-0");
    let fences: Vec<u64> = records.loads.iter().map(|l| l.fence).collect();
    assert!(fences.windows(2).all(|w| w[0] < w[1]), "{fences:?}");
}
