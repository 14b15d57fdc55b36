//! No answer is ever generated from partial or mixed weights.

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
use rw_tests::{deploy_v1, failures, LoadGenerator, CHUNK_BYTES, MODEL_BYTES};

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

fn weights_hash(version: &str) -> String {
    model_hash("cutlist", version, MODEL_BYTES, CHUNK_BYTES)
}

// Asserts that the hash of every load, computed by the engine, is that of v1 or
// v2, and that no finished completion mixes versions.
fn check_loaded_weights(cluster: &Cluster) {
    let hashes = [weights_hash("v1"), weights_hash("v2")];
    for index in 0..ENGINES {
        let records: Records = cluster.records(&format!("engine-{index}"));
        assert!(
            records.loads.iter().all(|l| hashes.contains(&l.hash)),
            "{:?}",
            records.loads
        );
        assert!(records.runs.iter().filter(|r| r.finished).all(|r| !r.mixed));
    }
}

fn received_weight_bytes(cluster: &Cluster) -> u64 {
    let flows = [
        "from_zone",
        "from_region",
        "from_other_region",
        "from_origin",
    ];
    let bytes = |index: usize| {
        let line = |flow| format!("ragworttack_weight_bytes_total{{flow=\"{flow}\"}}");
        flows
            .map(|flow| cluster.metric(&format!("engine-{index}"), &line(flow)))
            .iter()
            .sum::<f64>()
    };
    (0..ENGINES).map(bytes).sum::<f64>() as u64
}

fn event_count(cluster: &Cluster, name: &str, event: &str) -> u64 {
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
fn corrupt_and_slow_transfers_yield_complete_models(
    #[case] platform: PlatformFaults,
    #[case] link: LinkFault,
) {
    let cluster = layout().start("damaged");
    cluster.set_platform_faults(&platform);
    for index in 0..ENGINES {
        cluster.set_link_fault(&format!("engine-{index}"), link.clone());
    }
    deploy_v1(&cluster, ENGINES, 2);
    check_loaded_weights(&cluster);
}

#[test]
fn host_killed_during_a_transfer_does_not_block_the_others() {
    let mut cluster = layout().start("killed-transfer");
    cluster.add_model("cutlist", "v1", MODEL_BYTES, CHUNK_BYTES);
    cluster.set_platform_faults(&PlatformFaults {
        origin_bytes_per_s: 500_000,
        ..PlatformFaults::default()
    });
    cluster.apply("entry-0", &intent("v1", ENGINES, 2));
    wait_for("chunks arrive", || {
        (received_weight_bytes(&cluster) > 2 * CHUNK_BYTES).then_some(())
    });
    cluster.kill("engine-0");
    wait_for("the others serve", || {
        let status = cluster.status("entry-0")?;
        let cuts = status.intents.iter().find(|i| &*i.intent == "cuts")?;
        (cuts.serving as usize == ENGINES - 1).then_some(())
    });
    cluster.start_daemon("engine-0");
    cluster.wait_fulfilled("entry-0", "cuts", "v1");
    check_loaded_weights(&cluster);
}

#[test]
fn version_change_during_a_transfer_never_mixes_weights() {
    let cluster = layout().start("changed-transfer");
    cluster.add_model("cutlist", "v1", MODEL_BYTES, CHUNK_BYTES);
    cluster.add_model("cutlist", "v2", MODEL_BYTES, CHUNK_BYTES);
    cluster.set_platform_faults(&PlatformFaults {
        origin_bytes_per_s: 1_000_000,
        ..PlatformFaults::default()
    });
    cluster.apply("entry-0", &intent("v1", ENGINES, 2));
    wait_for("chunks arrive", || {
        (received_weight_bytes(&cluster) > 2 * CHUNK_BYTES).then_some(())
    });
    cluster.apply("entry-1", &intent("v2", ENGINES, 2));
    cluster.wait_fulfilled("entry-0", "cuts", "v2");
    check_loaded_weights(&cluster);
}

#[test]
fn replaced_bytes_of_a_version_at_the_origin_are_detected() {
    let cluster = layout().start("swapped");
    deploy_v1(&cluster, ENGINES, 2);
    // The manifest remains that of v2, but the bytes are those of v1.
    cluster.publish_model(&OriginModel {
        model: "cutlist".into(),
        version: "v2".into(),
        length: MODEL_BYTES,
        chunk_bytes: CHUNK_BYTES,
        bytes_of: "v1".into(),
    });
    cluster.apply("entry-0", &intent("v2", ENGINES, 2));
    wait_for("the mismatch is reported", || {
        let counts = (0..ENGINES)
            .map(|index| event_count(&cluster, &format!("engine-{index}"), "ManifestMismatch"));
        (counts.sum::<u64>() > 0).then_some(())
    });
    // Every engine still serves v1.
    for index in 0..ENGINES {
        let records: Records = cluster.records(&format!("engine-{index}"));
        assert!(records.loads.iter().all(|l| l.version == "v1"));
    }
    cluster.add_model("cutlist", "v2", MODEL_BYTES, CHUNK_BYTES);
    cluster.wait_fulfilled("entry-0", "cuts", "v2");
    check_loaded_weights(&cluster);
}

#[test]
fn restarted_host_gets_the_model_from_peers_during_an_origin_outage() {
    let mut cluster = layout().start("origin-down");
    deploy_v1(&cluster, ENGINES, 2);
    cluster.set_platform_faults(&PlatformFaults {
        origin_down: true,
        objects_down: true,
        ..PlatformFaults::default()
    });
    cluster.kill("engine-1");
    // The daemon restarts; its engine keeps running.
    let url = format!("{}/control/records", cluster.daemon("engine-1").backend_url);
    let before: Records = get(&url).expect("records");
    cluster.start_daemon("engine-1");
    cluster.wait_fulfilled("entry-0", "cuts", "v1");
    let after: Records = get(&url).expect("records");
    assert_eq!(before.loads, after.loads, "a loaded engine needs no order");
    check_loaded_weights(&cluster);
}

// The origin goes down before it has sent any chunk; the weight store supplies
// them.
#[test]
fn weight_store_replaces_the_origin_during_an_outage() {
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
    check_loaded_weights(&cluster);
}

// Another client orders an engine to load a version: no request reaches the
// engine until it has loaded the confirmed version again.
#[rstest]
#[case::checks_fencing(true)]
#[case::ignores_fencing(false)]
fn foreign_order_is_reverted_and_its_version_never_answers(#[case] fencing: bool) {
    let cluster = layout().start("foreign");
    for index in 0..ENGINES {
        cluster.set_behaviour(
            &format!("engine-{index}"),
            &Behaviour {
                fencing,
                ..Behaviour::default()
            },
        );
    }
    deploy_v1(&cluster, ENGINES, 2);
    let load = LoadGenerator::start(&cluster, 8);
    wait_for("calls", || (load.count() > 50).then_some(()));
    let id = manifest_id(&manifest("cutlist", "v2", MODEL_BYTES, CHUNK_BYTES));
    let source = format!(
        "{}/origin/manifest?model=cutlist&version=v1",
        cluster.deployment.platform.url
    );
    let order = serde_json::json!({
        "model": "cutlist", "version": "rogue", "manifest": &*id, "source": source, "fence": 0,
    });
    for index in 0..ENGINES {
        let (status, _) = post(
            &format!(
                "{}/orders/load",
                cluster.daemon(&format!("engine-{index}")).backend_url
            ),
            &order,
        );
        assert_eq!(status, if fencing { 409 } else { 200 });
    }
    wait_for("every engine has v1 again", || {
        let has_v1 = |index| {
            let records: Records = cluster.records(&format!("engine-{index}"));
            records.loads.last().is_some_and(|l| l.version == "v1")
        };
        (0..ENGINES).all(has_v1).then_some(())
    });
    cluster.wait_fulfilled("entry-0", "cuts", "v1");
    let outcomes = load.stop();
    // A stream interrupted by the foreign order is reported as cut; no answer is
    // wrong.
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

// The engine switches versions in the middle of a stream: the caller must see
// that its answer was cut and never get tokens of two versions in one answer.
#[test]
fn stream_interrupted_by_a_version_change_is_reported_as_cut() {
    let cluster = layout().start("switched-stream");
    deploy_v1(&cluster, ENGINES, 2);
    for index in 0..ENGINES {
        let behaviour = Behaviour {
            token_ms: 50,
            ..Behaviour::default()
        };
        cluster.set_behaviour(&format!("engine-{index}"), &behaviour);
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
        let count = |index| {
            cluster
                .records::<Records>(&format!("engine-{index}"))
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
    for index in 0..ENGINES {
        post(
            &format!(
                "{}/orders/load",
                cluster.daemon(&format!("engine-{index}")).backend_url
            ),
            &order,
        );
    }
    for caller in callers {
        let outcome = caller.join().expect("no panic");
        assert!(matches!(outcome, Outcome::Cut(_)), "{outcome:?}");
    }
}

// A daemon is suspended until its lease has expired and another version has been
// confirmed.
#[rstest]
#[case::checks_fencing(true)]
#[case::ignores_fencing(false)]
fn daemon_resumed_after_its_lease_expired_sends_no_stale_order(#[case] fencing: bool) {
    let mut cluster = layout().start("frozen-lease");
    for index in 0..ENGINES {
        cluster.set_behaviour(
            &format!("engine-{index}"),
            &Behaviour {
                fencing,
                load_ms: 400,
                ..Behaviour::default()
            },
        );
    }
    deploy_v1(&cluster, ENGINES, 2);
    cluster.apply("entry-0", &intent("v2", ENGINES, 2));
    wait_for("a second order", || {
        let sent = event_count(&cluster, "engine-0", "OrderSent");
        (sent > 1).then_some(())
    });
    cluster.signal("engine-0", "STOP");
    // Longer than the lease of 2 s.
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
    check_loaded_weights(&cluster);
    let records: Records = cluster.records("engine-0");
    let fences: Vec<u64> = records.loads.iter().map(|l| l.fence).collect();
    assert!(fences.windows(2).all(|w| w[0] < w[1]), "{fences:?}");
}
