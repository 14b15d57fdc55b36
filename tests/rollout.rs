//! Rollout of a new version and planned stops under load.

use rw_standins::client::wait_for;
use rw_standins::engine::Records;
use rw_standins::layout::{intent, Layout};
use rw_standins::model::model_hash;
use rw_tests::{assert_all_answered, deploy_v1, LoadGenerator, CHUNK_BYTES, MODEL_BYTES};

const ENGINES: usize = 8;

fn layout() -> Layout {
    Layout {
        entries: 3,
        engines: ENGINES,
        plain: 2,
        regions: 3,
        ..Layout::default()
    }
}

#[test]
fn unconfirmed_plan_changes_nothing() {
    let cluster = layout().start("plan-only");
    cluster.add_model("cutlist", "v1", MODEL_BYTES, CHUNK_BYTES);
    let (status, plan) = cluster.plan("entry-0", &intent("v1", ENGINES, 3));
    assert_eq!(status, 200);
    assert_eq!(plan["joining"].as_array().map(Vec::len), Some(ENGINES));
    // A second daemon sees no generation, and no engine got an order.
    assert_eq!(cluster.status("entry-1").map(|s| s.head), Some(0));
    for index in 0..ENGINES {
        let records: Records = cluster.records(&format!("engine-{index}"));
        assert!(records.loads.is_empty());
    }
}

#[test]
fn new_version_and_planned_stop_under_load_interrupt_no_request() {
    let mut cluster = layout().start("rollout");
    deploy_v1(&cluster, ENGINES, 3);
    let load = LoadGenerator::start(&cluster, 12);
    wait_for("calls on v1", || (load.count() > 100).then_some(()));

    cluster.apply("entry-1", &intent("v2", ENGINES, 3));
    cluster.wait_fulfilled("entry-1", "cuts", "v2");
    let before = load.count();
    wait_for("calls on v2", || {
        (load.count() > before + 100).then_some(())
    });

    cluster.signal("engine-0", "TERM");
    assert_eq!(cluster.wait_exit("engine-0"), Some(0));
    let outcomes = load.stop();
    assert_all_answered(&cluster, &outcomes);

    for index in 0..ENGINES {
        let records: Records = cluster.records(&format!("engine-{index}"));
        let hashes: Vec<&str> = records.loads.iter().map(|l| l.hash.as_str()).collect();
        let expected = ["v1", "v2"].map(|v| model_hash("cutlist", v, MODEL_BYTES, CHUNK_BYTES));
        assert_eq!(hashes, expected);
        assert!(records.runs.iter().all(|r| r.finished && !r.mixed));
    }
}

#[test]
fn stopping_entry_finishes_its_requests() {
    let mut cluster = layout().start("stop-entry");
    deploy_v1(&cluster, ENGINES, 3);
    // A load balancer sends no callers to an entry that is not ready.
    let urls = [cluster.entry_url("entry-0")];
    let ready = format!("{}/ready", cluster.operator_url("entry-0"));
    let load = LoadGenerator::start_at(&urls, 6);
    wait_for("calls", || (load.count() > 50).then_some(()));
    cluster.signal("entry-0", "TERM");
    wait_for("an entry that is not ready", || {
        let res = minreq::get(&ready).send().ok()?;
        (res.status_code == 503).then_some(())
    });
    let outcomes = load.stop();
    assert_all_answered(&cluster, &outcomes);
    assert_eq!(cluster.wait_exit("entry-0"), Some(0));
}
