//! A confirmed configuration takes effect on every daemon within seconds and
//! never reverts.

use rw_protocol::Name;
use rw_settings::DaemonRole;
use rw_standins::client::wait_for;
use rw_standins::cluster::Cluster;
use rw_standins::layout::{intent, Layout};
use rw_standins::platform::PlatformFaults;
use rw_standins::proxy::LinkFault;
use rw_tests::{deploy_v1, CHUNK_BYTES, MODEL_BYTES};

const ENGINES: usize = 4;

fn layout() -> Layout {
    Layout {
        entries: 3,
        engines: ENGINES,
        plain: 0,
        regions: 3,
        proxied: true,
        ..Layout::default()
    }
}

fn start(name: &str) -> Cluster {
    let cluster = layout().start(name);
    deploy_v1(&cluster, ENGINES, 3);
    cluster
}

fn request_plan_id(cluster: &Cluster, daemon: &str, version: &str) -> String {
    wait_for("plan", || {
        let (status, plan) = cluster.plan(daemon, &intent(version, ENGINES, 3));
        (status == 200).then(|| plan["id"].as_str().map(str::to_string))?
    })
}

// Reads the generation of a daemon from the daemon's own metrics.
fn generation(cluster: &Cluster, name: &str) -> Option<u64> {
    let url = format!("{}/metrics", cluster.operator_url(name));
    let res = minreq::get(url).with_timeout(5).send().ok()?;
    let text = res.as_str().ok()?.to_string();
    let line = text
        .lines()
        .find(|l| l.starts_with("ragworttack_generation "))?;
    line.rsplit(' ').next()?.parse().ok()
}

fn wait_for_generation(cluster: &Cluster, number: u64, except: &[&str]) {
    let all = cluster
        .names(DaemonRole::Entry)
        .into_iter()
        .chain(cluster.names(DaemonRole::Host));
    let names: Vec<Name> = all.filter(|n| !except.contains(&&**n)).collect();
    for name in names {
        wait_for(&format!("generation {number} on {name}"), || {
            (generation(cluster, &name) == Some(number)).then_some(())
        });
    }
}

#[test]
fn rejected_concurrent_confirmation_names_the_conflicting_change() {
    let cluster = start("race-operators");
    let first_plan = request_plan_id(&cluster, "entry-0", "v2");
    let second_plan = request_plan_id(&cluster, "entry-1", "v1");
    let answers: Vec<(i32, serde_json::Value)> = std::thread::scope(|scope| {
        let cluster = &cluster;
        let a = scope.spawn(move || cluster.confirm("entry-0", &first_plan));
        let b = scope.spawn(move || cluster.confirm("entry-1", &second_plan));
        vec![a.join().expect("no panic"), b.join().expect("no panic")]
    });
    let confirmed = answers.iter().filter(|(status, _)| *status == 200).count();
    assert_eq!(confirmed, 1, "{answers:?}");
    let (_, stale) = answers
        .iter()
        .find(|(status, _)| *status == 409)
        .expect("one is stale");
    let text = stale["error"].as_str().unwrap_or("");
    assert!(
        text.contains("generation 2 came") && text.contains("intent cuts"),
        "{text}"
    );
    wait_for_generation(&cluster, 2, &[]);
}

#[test]
fn confirmation_is_idempotent_even_after_a_lost_answer() {
    let cluster = start("confirm-twice");
    let plan = request_plan_id(&cluster, "entry-0", "v2");
    cluster.set_platform_faults(&PlatformFaults {
        lose_every: 1,
        ..PlatformFaults::default()
    });
    let (status, first) = cluster.confirm("entry-0", &plan);
    assert_eq!((status, first["generation"].as_u64()), (200, Some(2)));
    cluster.set_platform_faults(&PlatformFaults::default());
    let (status, second) = cluster.confirm("entry-2", &plan);
    assert_eq!((status, second["generation"].as_u64()), (200, Some(2)));
    wait_for_generation(&cluster, 2, &[]);
}

#[test]
fn table_outage_blocks_confirmation_and_reverts_nothing() {
    let mut cluster = start("table-down-config");
    let plan = request_plan_id(&cluster, "entry-0", "v2");
    cluster.set_platform_faults(&PlatformFaults {
        table_down: true,
        ..PlatformFaults::default()
    });
    let (status, answer) = cluster.confirm("entry-0", &plan);
    assert_eq!(status, 503, "{answer}");
    // A daemon that starts now gets the configuration from its peers.
    cluster.kill("engine-0");
    cluster.start_daemon("engine-0");
    wait_for_generation(&cluster, 1, &[]);
    cluster.wait_fulfilled("entry-1", "cuts", "v1");
    cluster.set_platform_faults(&PlatformFaults::default());
    let (status, answer) = cluster.confirm("entry-0", &plan);
    assert_eq!(status, 200, "{answer}");
    wait_for_generation(&cluster, 2, &[]);
}

#[test]
fn partitioned_region_catches_up_and_never_reverts() {
    let cluster = start("region-partitioned");
    // Region r2 consists of entry-2 and engine-2. No peer reaches them while
    // their links are cut.
    let partitioned = ["entry-2", "engine-2"];
    for name in partitioned {
        cluster.set_link_fault(
            name,
            LinkFault {
                cut: true,
                ..LinkFault::default()
            },
        );
    }
    cluster.apply("entry-0", &intent("v2", ENGINES, 3));
    wait_for_generation(&cluster, 2, &partitioned);
    for name in partitioned {
        cluster.set_link_fault(name, LinkFault::default());
    }
    wait_for_generation(&cluster, 2, &[]);
    cluster.wait_fulfilled("entry-2", "cuts", "v2");
}

#[test]
fn resumed_daemon_does_not_restore_the_old_configuration() {
    let mut cluster = start("frozen");
    for name in ["entry-1", "engine-1"] {
        cluster.signal(name, "STOP");
    }
    cluster.apply("entry-0", &intent("v2", ENGINES, 3));
    wait_for_generation(&cluster, 2, &["entry-1", "engine-1"]);
    for name in ["entry-1", "engine-1"] {
        cluster.signal(name, "CONT");
    }
    wait_for_generation(&cluster, 2, &[]);
    cluster.wait_fulfilled("entry-1", "cuts", "v2");
}

#[test]
fn simultaneous_restart_of_all_daemons_keeps_the_configuration() {
    let mut cluster = start("all-replaced");
    let names: Vec<Name> = cluster.deployment.daemons.keys().cloned().collect();
    for name in &names {
        cluster.kill(name);
    }
    for name in &names {
        cluster.start_daemon(name);
    }
    cluster.wait_ready(&names);
    wait_for_generation(&cluster, 1, &[]);
    cluster.wait_fulfilled("entry-0", "cuts", "v1");
}

#[test]
fn invalid_intents_are_refused_with_a_reason() {
    let cluster = layout().start("bad-intents");
    cluster.add_model("cutlist", "v1", MODEL_BYTES, CHUNK_BYTES);
    let text = intent("v1", 4, 3).replace("service = assistant", "service = nothing\nsize = 3");
    let (status, answer) = cluster.plan("entry-0", &text);
    assert_eq!(status, 400);
    assert!(
        answer["error"]
            .as_str()
            .is_some_and(|e| e.contains("intent.size: unknown key")),
        "{answer}"
    );
    let (status, answer) = cluster.plan("entry-0", &intent("v9", 4, 3));
    assert_eq!(status, 404, "{answer}");
    let (status, answer) = cluster.plan("entry-0", &intent("v1", 40, 3));
    assert_eq!(status, 409, "{answer}");
    let (status, _) = cluster.confirm("entry-0", "00ff");
    assert_eq!(status, 404);
}

#[test]
fn daemon_started_after_many_changes_restores_a_snapshot() {
    let mut cluster = start("snapshot");
    for number in 2..=140u64 {
        let version = if number.is_multiple_of(2) { "v2" } else { "v1" };
        cluster.apply("entry-0", &intent(version, ENGINES, 3));
    }
    wait_for_generation(&cluster, 140, &[]);
    let url = format!(
        "{}/table/row?key=config%2Fsnapshot",
        cluster.deployment.platform.url
    );
    wait_for("a snapshot", || {
        let row: serde_json::Value = rw_standins::client::get(&url)?;
        row["value"]
            .as_str()?
            .parse::<u64>()
            .ok()
            .filter(|n| *n >= 64)
    });
    cluster.kill("engine-0");
    cluster.start_daemon("engine-0");
    wait_for_generation(&cluster, 140, &[]);
    cluster.wait_fulfilled("entry-0", "cuts", "v2");
    // Only the generations after the snapshot were applied.
    let url = format!("{}/events", cluster.operator_url("engine-0"));
    let events: Vec<rw_protocol::EventRecord> =
        wait_for("events", || rw_standins::client::get(&url));
    let applied = events
        .iter()
        .filter(|e| &*e.event == "GenerationApplied")
        .count();
    assert!(
        applied < 100,
        "{applied} generations were applied one by one"
    );
}
