//! Failures show in the status, exit codes, metrics and events.

use std::process::Command;

use rw_protocol::EventRecord;
use rw_standins::caller::{call_plain_service, Outcome};
use rw_standins::client::{get, post, wait_for};
use rw_standins::cluster::Cluster;
use rw_standins::layout::{intent, Layout};
use rw_standins::plain::Behaviour;
use rw_standins::platform::PlatformFaults;
use rw_tests::{deploy_v1, CHUNK_BYTES, MODEL_BYTES};

fn layout() -> Layout {
    Layout {
        entries: 2,
        engines: 4,
        plain: 1,
        extra_settings: "[control]\nsuspect_ms = 1000".into(),
        ..Layout::default()
    }
}

fn cli_path() -> std::path::PathBuf {
    let exe = std::env::current_exe().expect("the test has a path");
    let dir = exe
        .parent()
        .and_then(|d| d.parent())
        .expect("the test is in deps");
    dir.join("ragworttack")
}

fn run_cli(cluster: &Cluster, args: &[&str]) -> (Option<i32>, String) {
    let out = Command::new(cli_path())
        .args(["--daemon", &cluster.daemon("entry-0").operator_listen])
        .args(args)
        .output()
        .expect("the command runs");
    let text = format!(
        "{}{}",
        String::from_utf8_lossy(&out.stdout),
        String::from_utf8_lossy(&out.stderr)
    );
    (out.status.code(), text)
}

fn timeline_events(cluster: &Cluster) -> Vec<EventRecord> {
    get(&format!("{}/timeline", cluster.operator_url("entry-0"))).unwrap_or_default()
}

fn wait_for_event(cluster: &Cluster, name: &str) -> EventRecord {
    wait_for(name, || {
        timeline_events(cluster)
            .into_iter()
            .find(|e| &*e.event == name)
    })
}

#[test]
fn commands_on_a_healthy_deployment_exit_with_zero() {
    let cluster = layout().start("healthy");
    deploy_v1(&cluster, 3, 1);
    wait_for("a healthy status", || {
        (run_cli(&cluster, &["status"]).0 == Some(0)).then_some(())
    });
    let (code, text) = run_cli(&cluster, &["hosts"]);
    assert_eq!(code, Some(0));
    assert_eq!(text.matches("serves assistant v1").count(), 3, "{text}");
    let (code, text) = run_cli(&cluster, &["--json", "timeline"]);
    assert_eq!(code, Some(0));
    assert!(text.contains("GenerationConfirmed"), "{text}");
    assert_eq!(run_cli(&cluster, &["unresolved"]).0, Some(0));
    wait_for_event(&cluster, "IntentFulfilled");
}

#[test]
fn failed_host_is_reported_and_replaced_by_a_spare() {
    let mut cluster = layout().start("replaced");
    deploy_v1(&cluster, 3, 1);
    let status = cluster.status("entry-0").expect("status");
    assert!(status.intents[0].missing.is_empty());
    let has_loads = |index: &usize| {
        let records: rw_standins::engine::Records = cluster.records(&format!("engine-{index}"));
        !records.loads.is_empty()
    };
    let victim = (0..4).find(has_loads).expect("a host serves");
    cluster.kill(&format!("engine-{victim}"));
    wait_for("an unhealthy status", || {
        (run_cli(&cluster, &["status"]).0 == Some(1)).then_some(())
    });
    wait_for_event(&cluster, "HostUnreachable");
    wait_for_event(&cluster, "HostsReplaced");
    cluster.wait_fulfilled("entry-0", "cuts", "v1");
}

/// Guards against a host that is never replaced because an entry whose clock was far
/// ahead died while it held the lease.
#[test]
fn failed_host_is_replaced_despite_a_lease_of_a_dead_entry_with_a_clock_ahead() {
    let layout = Layout {
        extra_settings: "[control]\nsuspect_ms = 1000\nlease_ms = 2000".into(),
        ..layout()
    };
    let mut cluster = layout.start("lease-ahead");
    deploy_v1(&cluster, 3, 1);
    let in_an_hour_ms = rw_standins::plain::unix_ms() + 3_600_000;
    let lease = serde_json::json!({
        "holder": "dead", "attempt": 1, "epoch": 1, "until_ms": in_an_hour_ms,
    });
    commit_row(&cluster, "lease/replace/cuts", &lease.to_string());
    let serving = (0..4).find(|index| {
        let records: rw_standins::engine::Records = cluster.records(&format!("engine-{index}"));
        !records.loads.is_empty()
    });
    cluster.kill(&format!("engine-{}", serving.expect("a host serves")));
    wait_for_event(&cluster, "HostsReplaced");
    cluster.wait_fulfilled("entry-0", "cuts", "v1");
}

#[test]
fn missing_spare_host_is_reported() {
    let mut cluster = layout().start("no-spare");
    deploy_v1(&cluster, 4, 1);
    cluster.kill("engine-2");
    wait_for_event(&cluster, "ReplaceFailed");
    let (code, text) = run_cli(&cluster, &["status"]);
    assert_eq!(code, Some(1));
    assert!(text.contains("3 of 4 hosts serve"), "{text}");
}

fn commit_row(cluster: &Cluster, key: &str, value: &str) {
    let put = serde_json::json!({ "key": key, "value": value });
    let txn = serde_json::json!({ "conditions": [], "puts": [put], "deletes": [] });
    let url = format!("{}/table/commit", cluster.deployment.platform.url);
    assert_eq!(post(&url, &txn).0, 200);
}

/// Guards against an alarm about calls that still run, whose claims look older on the
/// clock of the entry that counts them.
#[test]
fn claims_of_calls_within_the_default_deadline_do_not_count_as_unresolved() {
    let layout = Layout {
        extra_settings: "[limits]\ndefault_deadline_ms = 600000".into(),
        ..layout()
    };
    let cluster = layout.start("claim-ages");
    for (attempt, age_ms) in [(1, 32_000), (2, 560_000), (3, 3_600_000)] {
        let claim = rw_protocol::Claim {
            team: "penal".into(),
            key: format!("k{attempt}").into(),
            request_hash: "h".into(),
            attempt,
            state: rw_protocol::ClaimState::Started,
            status: 0,
            body: String::new(),
            owner: "entry-1".into(),
            at_ms: rw_standins::plain::unix_ms() - age_ms,
            timeout_ms: None,
        };
        let value = serde_json::to_string(&claim).expect("a claim is JSON");
        let key = format!("claim/penal/{}", claim.key);
        commit_row(&cluster, &key, &value);
        commit_row(&cluster, &format!("open/{attempt:016x}"), &key);
    }
    let unresolved = wait_for("unresolved claims", || {
        let count = cluster.metric("entry-0", "ragworttack_claims_unresolved");
        (count > 0.0).then_some(count)
    });
    assert_eq!(unresolved, 1.0);
}

#[test]
fn missed_intent_deadline_is_reported() {
    let cluster = layout().start("late");
    cluster.add_model("cutlist", "v1", MODEL_BYTES, CHUNK_BYTES);
    cluster.set_platform_faults(&PlatformFaults {
        origin_bytes_per_s: 20_000,
        ..PlatformFaults::default()
    });
    let text = intent("v1", 4, 1).replace("finish_within_s = 600", "finish_within_s = 1");
    cluster.apply("entry-0", &text);
    let event = wait_for_event(&cluster, "IntentLate");
    assert!(event.detail.contains("intent=cuts"), "{}", event.detail);
    let (code, text) = run_cli(&cluster, &["status"]);
    assert_eq!(code, Some(1));
    assert!(text.contains("LATE"), "{text}");
}

#[test]
fn call_with_an_unknown_outcome_is_reported() {
    let cluster = layout().start("unknown-end");
    let url = cluster.entry_url("entry-0");
    wait_for("checkout answers", || {
        let answer = call_plain_service(&url, "arima", "stock", "", "x");
        matches!(answer, Outcome::Answered(_)).then_some(())
    });
    cluster.set_behaviour(
        "plain-0",
        &Behaviour {
            call_ms: 0,
            lose_every: 1,
            ..Behaviour::default()
        },
    );
    call_plain_service(&url, "penal", "charge", "order-1", "goat");
    wait_for_event(&cluster, "ClaimUnresolved");
    let (code, text) = run_cli(&cluster, &["unresolved", "--older-ms", "0"]);
    assert_eq!(code, Some(1));
    assert!(text.contains("key order-1"), "{text}");
}

// A caller was told that its call did not run, but no daemon's log said why.
#[test]
fn call_that_did_not_run_leaves_a_line_with_its_id_and_reason() {
    let cluster = layout().start("not-run-line");
    cluster.set_platform_faults(&PlatformFaults {
        table_down: true,
        ..PlatformFaults::default()
    });
    let url = cluster.entry_url("entry-0");
    let answer = call_plain_service(&url, "penal", "charge", "order-1", "goat");
    let Outcome::NotRun(refusal) = answer else {
        panic!("{answer:?}");
    };
    assert!(refusal.reason.contains("table service is down"));
    wait_for("the line", || {
        let lines = cluster.log_lines(|l| l.contains(&format!("request={} ", refusal.request_id)));
        let has_reason = |l: &String| l.contains(&format!("reason={:?}", refusal.reason));
        lines.iter().any(has_reason).then_some(())
    });
}

#[test]
fn table_outage_and_recovery_are_reported() {
    let cluster = layout().start("outage");
    cluster.set_platform_faults(&PlatformFaults {
        table_down: true,
        ..PlatformFaults::default()
    });
    wait_for_event(&cluster, "TableUnreachable");
    assert_eq!(run_cli(&cluster, &["status"]).0, Some(1));
    cluster.set_platform_faults(&PlatformFaults::default());
    wait_for_event(&cluster, "TableReachable");
    wait_for("a healthy status", || {
        (run_cli(&cluster, &["status"]).0 == Some(0)).then_some(())
    });
}

#[test]
fn commands_fail_with_the_documented_exit_codes() {
    let cluster = layout().start("codes");
    let (code, text) = run_cli(&cluster, &["confirm", "0123"]);
    assert_eq!(
        (code, text.contains("no plan is called")),
        (Some(4), true),
        "{text}"
    );
    let (code, _) = run_cli(&cluster, &["plan", "/nonexistent"]);
    assert_eq!(code, Some(2));
    let (code, _) = run_cli(&cluster, &["--daemon", "127.0.0.1:1", "status"]);
    // The parser refuses a flag that is given twice.
    assert_eq!(code, Some(2));
    let out = Command::new(cli_path())
        .args(["--daemon", "127.0.0.1:1", "status"])
        .output();
    assert_eq!(out.expect("the command runs").status.code(), Some(3));
    let faulty = std::env::temp_dir().join(format!("faulty-{}.ini", std::process::id()));
    std::fs::write(&faulty, "[limits]\nqueue_per_team = none\n").expect("written");
    let (code, text) = run_cli(&cluster, &["check-settings", &faulty.to_string_lossy()]);
    assert_eq!(code, Some(2));
    assert!(
        text.contains("limits.queue_per_team") && text.contains("platform.url"),
        "{text}"
    );
}
