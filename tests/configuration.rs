//! A confirmed configuration is in force everywhere within seconds and never
//! reverts.

use rw_protocol::Name;
use rw_settings::DaemonRole;
use rw_standins::client::wait_for;
use rw_standins::cluster::Cluster;
use rw_standins::layout::{intent, Layout};
use rw_standins::platform::PlatformFaults;
use rw_standins::proxy::LinkFault;
use rw_tests::{serve_v1, CHUNK_BYTES, MODEL_BYTES};

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
    serve_v1(&cluster, ENGINES, 3);
    cluster
}

fn plan_id(cluster: &Cluster, daemon: &str, version: &str) -> String {
    wait_for("plan", || {
        let (status, plan) = cluster.plan(daemon, &intent(version, ENGINES, 3));
        (status == 200).then(|| plan["id"].as_str().map(str::to_string))?
    })
}

// Every daemon's generation, read from its own metrics.
fn generation(cluster: &Cluster, name: &str) -> Option<u64> {
    let url = format!("{}/metrics", cluster.operator_url(name));
    let res = minreq::get(url).with_timeout(5).send().ok()?;
    let text = res.as_str().ok()?.to_string();
    let line = text
        .lines()
        .find(|l| l.starts_with("ragworttack_generation "))?;
    line.rsplit(' ').next()?.parse().ok()
}

fn everywhere(cluster: &Cluster, number: u64, but: &[&str]) {
    let all = cluster
        .names(DaemonRole::Entry)
        .into_iter()
        .chain(cluster.names(DaemonRole::Host));
    let names: Vec<Name> = all.filter(|n| !but.contains(&&**n)).collect();
    for name in names {
        wait_for(&format!("generation {number} on {name}"), || {
            (generation(cluster, &name) == Some(number)).then_some(())
        });
    }
}

#[test]
fn of_two_racing_operators_one_is_told_what_overtook_it() {
    let cluster = start("race-operators");
    let mine = plan_id(&cluster, "entry-0", "v2");
    let theirs = plan_id(&cluster, "entry-1", "v1");
    let answers: Vec<(i32, serde_json::Value)> = std::thread::scope(|scope| {
        let cluster = &cluster;
        let a = scope.spawn(move || cluster.confirm("entry-0", &mine));
        let b = scope.spawn(move || cluster.confirm("entry-1", &theirs));
        vec![a.join().expect("no panic"), b.join().expect("no panic")]
    });
    let done = answers.iter().filter(|(status, _)| *status == 200).count();
    assert_eq!(done, 1, "{answers:?}");
    let (_, stale) = answers
        .iter()
        .find(|(status, _)| *status == 409)
        .expect("one is stale");
    let text = stale["error"].as_str().unwrap_or("");
    assert!(
        text.contains("generation 2 came") && text.contains("intent cuts"),
        "{text}"
    );
    everywhere(&cluster, 2, &[]);
}

#[test]
fn confirming_twice_or_after_a_lost_answer_changes_nothing_more() {
    let cluster = start("confirm-twice");
    let plan = plan_id(&cluster, "entry-0", "v2");
    cluster.set_platform_faults(&PlatformFaults {
        lose_every: 1,
        ..PlatformFaults::default()
    });
    let (status, first) = cluster.confirm("entry-0", &plan);
    assert_eq!((status, first["generation"].as_u64()), (200, Some(2)));
    cluster.set_platform_faults(&PlatformFaults::default());
    let (status, second) = cluster.confirm("entry-2", &plan);
    assert_eq!((status, second["generation"].as_u64()), (200, Some(2)));
    everywhere(&cluster, 2, &[]);
}

#[test]
fn with_the_table_down_nothing_is_confirmed_and_nothing_reverts() {
    let mut cluster = start("table-down-config");
    let plan = plan_id(&cluster, "entry-0", "v2");
    cluster.set_platform_faults(&PlatformFaults {
        table_down: true,
        ..PlatformFaults::default()
    });
    let (status, answer) = cluster.confirm("entry-0", &plan);
    assert_eq!(status, 503, "{answer}");
    // A daemon that starts now learns the configuration from the others.
    cluster.kill("engine-0");
    cluster.start_daemon("engine-0");
    everywhere(&cluster, 1, &[]);
    cluster.wait_fulfilled("entry-1", "cuts", "v1");
    cluster.set_platform_faults(&PlatformFaults::default());
    let (status, answer) = cluster.confirm("entry-0", &plan);
    assert_eq!(status, 200, "{answer}");
    everywhere(&cluster, 2, &[]);
}

#[test]
fn a_region_that_was_cut_off_catches_up_and_never_goes_back() {
    let cluster = start("region-cut");
    // Region r2 holds entry-2 and engine-2; nobody reaches them, and their
    // part of the platform is out of reach for the table's readers there too.
    let cut = ["entry-2", "engine-2"];
    for name in cut {
        cluster.set_link_fault(
            name,
            LinkFault {
                cut: true,
                ..LinkFault::default()
            },
        );
    }
    cluster.apply("entry-0", &intent("v2", ENGINES, 3));
    everywhere(&cluster, 2, &cut);
    for name in cut {
        cluster.set_link_fault(name, LinkFault::default());
    }
    everywhere(&cluster, 2, &[]);
    cluster.wait_fulfilled("entry-2", "cuts", "v2");
}

#[test]
fn a_frozen_daemon_that_thaws_does_not_bring_the_old_configuration_back() {
    let mut cluster = start("frozen");
    for name in ["entry-1", "engine-1"] {
        cluster.signal(name, "STOP");
    }
    cluster.apply("entry-0", &intent("v2", ENGINES, 3));
    everywhere(&cluster, 2, &["entry-1", "engine-1"]);
    for name in ["entry-1", "engine-1"] {
        cluster.signal(name, "CONT");
    }
    everywhere(&cluster, 2, &[]);
    cluster.wait_fulfilled("entry-1", "cuts", "v2");
}

#[test]
fn all_daemons_replaced_at_once_come_back_with_the_configuration() {
    let mut cluster = start("all-replaced");
    let names: Vec<Name> = cluster.deployment.daemons.keys().cloned().collect();
    for name in &names {
        cluster.kill(name);
    }
    for name in &names {
        cluster.start_daemon(name);
    }
    cluster.wait_ready(&names);
    everywhere(&cluster, 1, &[]);
    cluster.wait_fulfilled("entry-0", "cuts", "v1");
}

#[test]
fn bad_intents_are_refused_with_every_fault_named() {
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
fn a_daemon_that_starts_after_many_changes_begins_with_a_snapshot() {
    let mut cluster = start("snapshot");
    for number in 2..=140u64 {
        let version = if number.is_multiple_of(2) { "v2" } else { "v1" };
        cluster.apply("entry-0", &intent(version, ENGINES, 3));
    }
    everywhere(&cluster, 140, &[]);
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
    everywhere(&cluster, 140, &[]);
    cluster.wait_fulfilled("entry-0", "cuts", "v2");
    // It applied only what came after the snapshot.
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
