//! A call that is reported as not run did not run and never will.

use std::collections::BTreeSet;
use std::time::Duration;

use rstest::rstest;
use rw_platform::{HttpPlatform, Put, TableService, Transaction};
use rw_standins::caller::{
    call_plain_service, call_plain_service_within, completion_body, request_completion, Outcome,
};
use rw_standins::client::wait_for;
use rw_standins::cluster::Cluster;
use rw_standins::engine;
use rw_standins::layout::Layout;
use rw_standins::plain::{unix_ms, Behaviour, CallRecord};
use rw_tests::{deploy_v1, TOKENS};

fn start(name: &str, plain: usize) -> Cluster {
    start_with(name, plain, "")
}

fn start_with(name: &str, plain: usize, settings: &str) -> Cluster {
    let layout = Layout {
        entries: 2,
        engines: 0,
        plain,
        extra_settings: settings.to_string(),
        ..Layout::default()
    };
    let cluster = layout.start(name);
    wait_for("checkout answers", || {
        let url = cluster.entry_url("entry-0");
        let answer = call_plain_service(&url, "arima", "stock", "", "hello");
        matches!(answer, Outcome::Answered(_)).then_some(())
    });
    cluster
}

fn runs(cluster: &Cluster, body: &str) -> Vec<CallRecord> {
    let mut records: Vec<CallRecord> = cluster.records("plain-0");
    records.retain(|record| record.body == body);
    records
}

// Guards against "not run" for an idempotent call that ran at hosts whose answers were
// lost, whether no host was left or the attempts were used up.
#[rstest]
#[case::no_host_left(2)]
#[case::attempts_used_up(7)]
fn lookup_that_ran_is_not_reported_as_not_run(#[case] hosts: usize) {
    let cluster = start(&format!("lookup-lost-{hosts}"), hosts);
    let lose_all = Behaviour {
        lose_every: 1,
        ..Behaviour::default()
    };
    cluster.set_behaviour("plain-0", &lose_all);
    let url = cluster.entry_url("entry-0");
    let answer = call_plain_service(&url, "arima", "stock", "", "lookup");
    assert!(runs(&cluster, "lookup").len() > 1);
    assert_eq!(answer, Outcome::Unknown);
}

// Guards against "not run" for an idempotent call that a plain service answered with a
// busy status: it may have run, and the service's answer was withheld from the caller.
#[test]
fn lookup_that_every_host_answers_as_busy_gets_that_answer() {
    let cluster = start("lookup-busy", 2);
    let busy = Behaviour {
        status: 503,
        ..Behaviour::default()
    };
    cluster.set_behaviour("plain-0", &busy);
    let url = cluster.entry_url("entry-0");
    let answer = call_plain_service(&url, "arima", "stock", "", "lookup");
    assert_eq!(runs(&cluster, "lookup").len(), 2);
    assert_eq!(answer, Outcome::Refused(503));
}

// Guards against "not run" for a draft that engines began and failed with an internal
// error, which counted as a refusal.
#[test]
fn draft_that_fails_at_the_engines_is_not_reported_as_not_run() {
    let layout = Layout {
        engines: 2,
        plain: 0,
        ..Layout::default()
    };
    let cluster = layout.start("engine-fails");
    deploy_v1(&cluster, 2, 1);
    let failing = engine::Behaviour {
        fail_status: 500,
        ..engine::Behaviour::default()
    };
    for name in ["engine-0", "engine-1"] {
        cluster.set_behaviour(name, &failing);
    }
    let url = cluster.entry_url("entry-0");
    let answer = request_completion(&url, "arima", "shop|1", TOKENS, 5_000);
    let records: engine::Records = cluster.records("engine-0");
    assert_eq!(records.runs.len(), 1);
    assert_eq!(answer, Outcome::Unknown);
}

// Guards against "not run" for an idempotent call that broke off at one host shortly
// before its deadline and was then refused by another.
#[test]
fn lookup_that_broke_off_and_was_refused_elsewhere_is_not_reported_as_not_run() {
    let mut cluster = start("lookup-refused", 2);
    let slow = Behaviour {
        call_ms: 10_000,
        ..Behaviour::default()
    };
    cluster.set_behaviour("plain-0", &slow);
    let url = cluster.entry_url("entry-0");
    let caller = std::thread::spawn(move || {
        call_plain_service_within(&url, "arima", "stock", "", "lookup", 2_000)
    });
    let record = wait_for("the call runs", || runs(&cluster, "lookup").pop());
    // The other host asks to retry after 200 ms, which is past the deadline.
    let stop_at_ms = record.at_ms + 1_900;
    std::thread::sleep(Duration::from_millis(stop_at_ms.saturating_sub(unix_ms())));
    let url = cluster.daemon("plain-0").backend_url.clone();
    let addr = url
        .trim_start_matches("http://")
        .trim_end_matches("/checkout");
    cluster.kill(&format!("plain@{addr}"));
    assert_eq!(caller.join().expect("no panic"), Outcome::Unknown);
}

// Guards against "unknown" for a repeat while the call still runs: the age of its claim
// was compared with the default deadline, although the caller had given it more time.
#[test]
fn repeat_of_a_call_beyond_the_default_deadline_is_in_progress() {
    let cluster = start_with("long", 1, "[limits]\ndefault_deadline_ms = 1000");
    let slow = Behaviour {
        call_ms: 9_000,
        ..Behaviour::default()
    };
    cluster.set_behaviour("plain-0", &slow);
    let charge = |entry: &str| {
        let url = cluster.entry_url(entry);
        call_plain_service_within(&url, "penal", "charge", "order-1", "order-1", 30_000)
    };
    std::thread::scope(|scope| {
        let caller = scope.spawn(|| charge("entry-0"));
        wait_for(
            "a call older than the default deadline and its grace",
            || {
                let run = runs(&cluster, "order-1").pop()?;
                (unix_ms() > run.at_ms + 6_500).then_some(())
            },
        );
        let repeat = charge("entry-1");
        let acceptable = matches!(repeat, Outcome::InProgress | Outcome::Answered(_));
        assert!(acceptable, "{repeat:?}");
        let answer = caller.join().expect("no panic");
        assert_eq!(answer, Outcome::Answered(String::new()));
    });
    wait_for("the recorded answer", || {
        (charge("entry-1") == Outcome::Answered(String::new())).then_some(())
    });
    assert_eq!(runs(&cluster, "order-1").len(), 1);
}

// Guards against "not run" for a call whose claim exists but cannot be read, for instance
// because an entry of a newer version wrote it: the call may have run.
#[test]
fn call_with_an_unreadable_claim_is_unknown() {
    let cluster = start("unreadable-claim", 1);
    let settings = &cluster.deployment.platform;
    let table = HttpPlatform::new(&settings.url, &settings.origin_url, settings.timeout_ms);
    let txn = Transaction {
        puts: vec![Put {
            key: "claim/penal/order-1".to_string(),
            value: r#"{"state": "settled"}"#.to_string(),
        }],
        ..Transaction::default()
    };
    assert!(table.commit(&txn).expect("an answer").committed);
    let url = cluster.entry_url("entry-0");
    let answer = call_plain_service(&url, "penal", "charge", "order-1", "order-1");
    assert_eq!(answer, Outcome::Unknown);
    assert!(runs(&cluster, "order-1").is_empty());
}

// Guards against retries beyond the budget: a call that hosts refused counted as a
// first attempt each time it was offered to another host, and earned further retries.
#[test]
fn refused_offers_earn_no_retries() {
    const ENGINES: usize = 8;
    const BURST_RETRIES: f64 = 10.0;
    const RETRY_RATIO: f64 = 0.2;
    let layout = Layout {
        entries: 1,
        engines: ENGINES,
        plain: 0,
        extra_settings: format!("[limits]\nretry_ratio = {RETRY_RATIO}"),
        ..Layout::default()
    };
    let cluster = layout.start("retry-budget");
    deploy_v1(&cluster, ENGINES, 1);
    let names: Vec<String> = (0..ENGINES).map(|n| format!("engine-{n}")).collect();
    let set_all = |behaviour: &engine::Behaviour| {
        names
            .iter()
            .for_each(|name| cluster.set_behaviour(name, behaviour));
    };
    let url = format!("{}/v1/chat/completions", cluster.entry_url("entry-0"));
    let mut calls = 0;
    let mut call = |count: usize| {
        for _ in 0..count {
            calls += 1;
            let body = completion_body(&format!("shop|{calls}"), TOKENS, false);
            let req = minreq::post(&url).with_header("x-team", "arima");
            req.with_body(body.to_string()).send().expect("an answer");
        }
    };
    let failing = engine::Behaviour {
        truncate_every: 1,
        ..engine::Behaviour::default()
    };
    let refusing = engine::Behaviour {
        refuse: true,
        ..engine::Behaviour::default()
    };
    set_all(&failing);
    call(3);
    set_all(&refusing);
    call(10);
    set_all(&failing);
    call(3);
    let records = names.iter().map(|n| cluster.records::<engine::Records>(n));
    let run_ids: Vec<String> = records
        .flat_map(|r| r.runs)
        .map(|run| run.request_id)
        .collect();
    let run_calls: BTreeSet<&String> = run_ids.iter().collect();
    let retries = run_ids.len() - run_calls.len();
    let budget = BURST_RETRIES + RETRY_RATIO * f64::from(calls);
    assert!(
        (1.0..=budget).contains(&(retries as f64)),
        "{retries} retries, budget {budget}"
    );
}
