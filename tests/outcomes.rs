//! What goes wrong is seen: status, exit code, metrics and events.

use std::process::Command;

use rw_protocol::EventRecord;
use rw_standins::caller::call_plain_service;
use rw_standins::client::{get, wait_for};
use rw_standins::cluster::Cluster;
use rw_standins::layout::{intent, Layout};
use rw_standins::plain::Behaviour;
use rw_standins::platform::PlatformFaults;
use rw_tests::{serve_v1, CHUNK_BYTES, MODEL_BYTES};

fn layout() -> Layout {
    Layout {
        entries: 2,
        engines: 4,
        plain: 1,
        extra_settings: "[control]\nsuspect_ms = 1000".into(),
        ..Layout::default()
    }
}

fn binary() -> std::path::PathBuf {
    let exe = std::env::current_exe().expect("the test has a path");
    let dir = exe
        .parent()
        .and_then(|d| d.parent())
        .expect("the test is in deps");
    dir.join("ragworttack")
}

fn command(cluster: &Cluster, args: &[&str]) -> (Option<i32>, String) {
    let out = Command::new(binary())
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

fn events(cluster: &Cluster) -> Vec<EventRecord> {
    get(&format!("{}/timeline", cluster.operator_url("entry-0"))).unwrap_or_default()
}

fn wait_for_event(cluster: &Cluster, name: &str) -> EventRecord {
    wait_for(name, || {
        events(cluster).into_iter().find(|e| &*e.event == name)
    })
}

#[test]
fn a_healthy_deployment_exits_with_zero() {
    let cluster = layout().start("healthy");
    serve_v1(&cluster, 3, 1);
    wait_for("healthy", || {
        (command(&cluster, &["status"]).0 == Some(0)).then_some(())
    });
    let (code, text) = command(&cluster, &["hosts"]);
    assert_eq!(code, Some(0));
    assert_eq!(text.matches("serves assistant v1").count(), 3, "{text}");
    let (code, text) = command(&cluster, &["--json", "timeline"]);
    assert_eq!(code, Some(0));
    assert!(text.contains("GenerationConfirmed"), "{text}");
    assert_eq!(command(&cluster, &["unresolved"]).0, Some(0));
    wait_for_event(&cluster, "IntentFulfilled");
}

#[test]
fn a_dead_host_is_reported_and_replaced_by_a_spare_one() {
    let mut cluster = layout().start("replaced");
    serve_v1(&cluster, 3, 1);
    let status = cluster.status("entry-0").expect("status");
    assert!(status.intents[0].missing.is_empty());
    let served = |at: &usize| {
        let records: rw_standins::engine::Records = cluster.records(&format!("engine-{at}"));
        !records.loads.is_empty()
    };
    let victim = (0..4).find(served).expect("one serves");
    cluster.kill(&format!("engine-{victim}"));
    wait_for("amiss", || {
        (command(&cluster, &["status"]).0 == Some(1)).then_some(())
    });
    wait_for_event(&cluster, "HostUnreachable");
    wait_for_event(&cluster, "HostsReplaced");
    cluster.wait_fulfilled("entry-0", "cuts", "v1");
}

#[test]
fn without_a_spare_host_the_lack_is_reported() {
    let mut cluster = layout().start("no-spare");
    serve_v1(&cluster, 4, 1);
    cluster.kill("engine-2");
    wait_for_event(&cluster, "ReplaceFailed");
    let (code, text) = command(&cluster, &["status"]);
    assert_eq!(code, Some(1));
    assert!(text.contains("3 of 4 hosts serve"), "{text}");
}

#[test]
fn a_missed_deadline_is_reported() {
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
    let (code, text) = command(&cluster, &["status"]);
    assert_eq!(code, Some(1));
    assert!(text.contains("LATE"), "{text}");
}

#[test]
fn a_call_with_an_unknown_end_is_reported() {
    let cluster = layout().start("unknown-end");
    let url = cluster.entry_url("entry-0");
    wait_for("checkout answers", || {
        let answer = call_plain_service(&url, "arima", "stock", "", "x");
        matches!(answer, rw_standins::caller::Outcome::Answered(_)).then_some(())
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
    let (code, text) = command(&cluster, &["unresolved", "--older-ms", "0"]);
    assert_eq!(code, Some(1));
    assert!(text.contains("key order-1"), "{text}");
}

#[test]
fn a_table_outage_is_reported_and_its_end_too() {
    let cluster = layout().start("outage");
    cluster.set_platform_faults(&PlatformFaults {
        table_down: true,
        ..PlatformFaults::default()
    });
    wait_for_event(&cluster, "TableUnreachable");
    assert_eq!(command(&cluster, &["status"]).0, Some(1));
    cluster.set_platform_faults(&PlatformFaults::default());
    wait_for_event(&cluster, "TableReachable");
    wait_for("healthy", || {
        (command(&cluster, &["status"]).0 == Some(0)).then_some(())
    });
}

#[test]
fn commands_fail_with_the_documented_codes() {
    let cluster = layout().start("codes");
    let (code, text) = command(&cluster, &["confirm", "0123"]);
    assert_eq!(
        (code, text.contains("no plan is called")),
        (Some(4), true),
        "{text}"
    );
    let (code, _) = command(&cluster, &["plan", "/nonexistent"]);
    assert_eq!(code, Some(2));
    let (code, _) = command(&cluster, &["--daemon", "127.0.0.1:1", "status"]);
    // A flag given twice is refused by the parser.
    assert_eq!(code, Some(2));
    let out = Command::new(binary())
        .args(["--daemon", "127.0.0.1:1", "status"])
        .output();
    assert_eq!(out.expect("the command runs").status.code(), Some(3));
    let faulty = std::env::temp_dir().join(format!("faulty-{}.ini", std::process::id()));
    std::fs::write(&faulty, "[limits]\nqueue_per_team = none\n").expect("written");
    let (code, text) = command(&cluster, &["check-settings", &faulty.to_string_lossy()]);
    assert_eq!(code, Some(2));
    assert!(
        text.contains("limits.queue_per_team") && text.contains("platform.url"),
        "{text}"
    );
}
