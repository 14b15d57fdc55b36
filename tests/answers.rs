//! Callers get complete answers to their own requests, and requests reported as
//! not run did not run.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use rstest::rstest;
use rw_standins::caller::{request_completion, Outcome};
use rw_standins::client::wait_for;
use rw_standins::cluster::Cluster;
use rw_standins::engine::{Behaviour, Records};
use rw_standins::layout::Layout;
use rw_standins::plain::CallRecord;
use rw_standins::proxy::LinkFault;
use rw_tests::{deploy_v1, LoadGenerator, TOKENS};

const ENGINES: usize = 4;

fn layout() -> Layout {
    Layout {
        entries: 2,
        engines: ENGINES,
        plain: 2,
        proxied: true,
        extra_settings: "[control]\nsuspect_ms = 1000".into(),
        ..Layout::default()
    }
}

fn start(name: &str) -> Cluster {
    let cluster = layout().start(name);
    deploy_v1(&cluster, ENGINES, 1);
    cluster
}

fn engine_names() -> impl Iterator<Item = String> {
    (0..ENGINES).map(|index| format!("engine-{index}"))
}

fn engine_runs(cluster: &Cluster) -> Vec<rw_standins::engine::CompletionRecord> {
    engine_names()
        .filter(|name| cluster.deployment.daemons.contains_key(name.as_str()))
        .flat_map(|name| cluster.records::<Records>(&name).runs)
        .collect()
}

// Asserts that no caller took a wrong, mixed or truncated answer for a complete
// one, and that no backend server recorded a request reported as not run.
fn check_outcomes(cluster: &Cluster, outcomes: &[(String, Outcome)]) {
    let wrong: Vec<_> = outcomes
        .iter()
        .filter(|(_, o)| matches!(o, Outcome::Wrong(_)))
        .collect();
    assert!(wrong.is_empty(), "{wrong:?}");
    let ran: Vec<CallRecord> = cluster.records("plain-0");
    let mut keys: BTreeSet<&str> = BTreeSet::new();
    for call in &ran {
        assert_eq!(call.operation, "charge", "{call:?} was never requested");
        assert_eq!(call.key, call.body, "key and body of one request");
        assert!(keys.insert(&call.key), "{} ran twice", call.key);
    }
    for (id, outcome) in outcomes {
        if matches!(outcome, Outcome::NotRun(_)) {
            assert!(!keys.contains(id.as_str()), "{id} was reported as not run");
        }
    }
}

#[rstest]
#[case::corrupt(LinkFault { corrupt_every: 50, ..LinkFault::default() })]
#[case::slow(LinkFault { bytes_per_s: 100_000, ..LinkFault::default() })]
#[case::late(LinkFault { delay_ms: 30, ..LinkFault::default() })]
#[case::corrupt_and_late(LinkFault { corrupt_every: 80, delay_ms: 10, ..LinkFault::default() })]
fn faulty_links_never_alter_an_answer(#[case] fault: LinkFault) {
    let cluster = start("faulty-links");
    for name in engine_names().chain(["plain-0".into(), "plain-1".into()]) {
        cluster.set_link_fault(&name, fault.clone());
    }
    let load = LoadGenerator::start(&cluster, 8);
    wait_for("calls", || (load.count() > 200).then_some(()));
    check_outcomes(&cluster, &load.stop());
}

#[rstest]
#[case::kill("KILL")]
#[case::freeze("STOP")]
#[case::cut("cut")]
#[case::answers_held_back("one-way")]
fn host_failures_under_load_cause_no_wrong_answer(#[case] fault: &str) {
    let mut cluster = start(&format!("fail-{fault}"));
    let load = LoadGenerator::start(&cluster, 8);
    wait_for("calls", || (load.count() > 100).then_some(()));
    for name in ["engine-1", "plain-1"] {
        match fault {
            "KILL" => cluster.kill(name),
            "STOP" => cluster.signal(name, "STOP"),
            "cut" => cluster.set_link_fault(
                name,
                LinkFault {
                    cut: true,
                    ..LinkFault::default()
                },
            ),
            _ => cluster.set_link_fault(
                name,
                LinkFault {
                    stall_down: true,
                    ..LinkFault::default()
                },
            ),
        }
    }
    let before = load.count();
    wait_for("further calls", || {
        (load.count() > before + 200).then_some(())
    });
    match fault {
        "KILL" => ["engine-1", "plain-1"]
            .iter()
            .for_each(|name| cluster.start_daemon(name)),
        "STOP" => ["engine-1", "plain-1"]
            .iter()
            .for_each(|name| cluster.signal(name, "CONT")),
        _ => ["engine-1", "plain-1"]
            .iter()
            .for_each(|name| cluster.set_link_fault(name, LinkFault::default())),
    }
    let before = load.count();
    wait_for("further calls", || {
        (load.count() > before + 100).then_some(())
    });
    check_outcomes(&cluster, &load.stop());
}

#[test]
fn truncated_stream_is_reported_as_cut_or_retried_completely() {
    let cluster = start("truncated");
    for name in engine_names() {
        cluster.set_behaviour(
            &name,
            &Behaviour {
                truncate_every: 3,
                ..Behaviour::default()
            },
        );
    }
    let url = cluster.entry_url("entry-0");
    let outcomes: Vec<Outcome> = (0..40)
        .map(|n| request_completion(&url, "arima", &format!("shop|{n}"), TOKENS, 5_000))
        .collect();
    let cut = outcomes
        .iter()
        .filter(|o| matches!(o, Outcome::Cut(_)))
        .count();
    let answered = outcomes
        .iter()
        .filter(|o| matches!(o, Outcome::Answered(_)))
        .count();
    assert_eq!(cut + answered, outcomes.len(), "{outcomes:?}");
    assert!(cut > 0 && answered > 0, "{outcomes:?}");
}

#[test]
fn truncated_non_streaming_answer_is_retried_until_complete() {
    let cluster = start("collected");
    for name in engine_names() {
        cluster.set_behaviour(
            &name,
            &Behaviour {
                truncate_every: 4,
                ..Behaviour::default()
            },
        );
    }
    for n in 0..20 {
        let body = rw_standins::caller::completion_body(&format!("shop|{n}"), TOKENS, false);
        let res = minreq::post(format!(
            "{}/v1/chat/completions",
            cluster.entry_url("entry-0")
        ))
        .with_header("x-team", "arima")
        .with_body(body.to_string())
        .with_timeout(20)
        .send()
        .expect("the entry answers");
        let json: serde_json::Value = serde_json::from_slice(res.as_bytes()).expect("JSON");
        if res.status_code == 200 {
            let content = json["choices"][0]["message"]["content"]
                .as_str()
                .unwrap_or("");
            assert_eq!(content.split_whitespace().count() as u64, TOKENS);
        } else {
            // Once the retry budget is spent, the error states the outcome.
            assert!(json["error"]["outcome"].is_string(), "{json}");
        }
    }
}

#[test]
fn overload_is_refused_early_and_refused_requests_did_not_run() {
    let cluster = Layout {
        engines: 1,
        concurrency: 2,
        extra_settings: "[limits]\nqueue_per_team = 4".into(),
        ..layout()
    }
    .start("overload");
    deploy_v1(&cluster, 1, 1);
    cluster.set_behaviour(
        "engine-0",
        &Behaviour {
            token_ms: 30,
            ..Behaviour::default()
        },
    );
    let urls: Vec<String> = ["entry-0", "entry-1"]
        .iter()
        .map(|e| cluster.entry_url(e))
        .collect();
    let outcomes: Vec<(String, Outcome)> = std::thread::scope(|scope| {
        let call = |n: usize| {
            let url = &urls[n % 2];
            scope.spawn(move || {
                let id = format!("prompt-{n}");
                let outcome = request_completion(url, "arima", &id, 4, 20_000);
                (id, outcome)
            })
        };
        let threads: Vec<_> = (0..60).map(call).collect();
        threads
            .into_iter()
            .map(|t| t.join().expect("no panic"))
            .collect()
    });
    let refused = outcomes
        .iter()
        .filter(|(_, o)| matches!(o, Outcome::NotRun(refusal) if refusal.retry_after_ms > 0))
        .count();
    let answered = outcomes
        .iter()
        .filter(|(_, o)| matches!(o, Outcome::Answered(_)))
        .count();
    assert_eq!(refused + answered, outcomes.len(), "{outcomes:?}");
    assert!(refused > 0);
    assert_eq!(engine_runs(&cluster).len(), answered);
}

#[test]
fn queued_request_past_its_deadline_is_refused_without_running() {
    let cluster = Layout {
        engines: 1,
        concurrency: 1,
        entries: 1,
        ..layout()
    }
    .start("deadline");
    deploy_v1(&cluster, 1, 1);
    cluster.set_behaviour(
        "engine-0",
        &Behaviour {
            token_ms: 300,
            ..Behaviour::default()
        },
    );
    let url = cluster.entry_url("entry-0");
    let long_call = std::thread::spawn({
        let url = url.clone();
        move || request_completion(&url, "arima", "long", 10, 20_000)
    });
    wait_for("the long call runs", || {
        (engine_runs(&cluster).len() == 1).then_some(())
    });
    let start = Instant::now();
    let answer = request_completion(&url, "penal", "short", 2, 400);
    assert!(matches!(answer, Outcome::NotRun(_)), "{answer:?}");
    assert!(
        start.elapsed() < Duration::from_secs(10),
        "the refusal waited for the long call"
    );
    assert!(matches!(
        long_call.join().expect("no panic"),
        Outcome::Answered(_)
    ));
    assert_eq!(engine_runs(&cluster).len(), 1);
}

#[test]
fn caller_disconnect_cancels_its_request_at_the_engine() {
    let cluster = start("leaves");
    for name in engine_names() {
        cluster.set_behaviour(
            &name,
            &Behaviour {
                token_ms: 50,
                ..Behaviour::default()
            },
        );
    }
    let addr = cluster.daemon("entry-0").caller_listen.clone();
    let mut conn = TcpStream::connect(addr).expect("the entry listens");
    let body = rw_standins::caller::completion_body("shop|leaves", 400, true).to_string();
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-team: arima\r\nx-request-id: leaver\r\n";
    write!(conn, "{head}content-length: {}\r\n\r\n{body}", body.len()).expect("sent");
    let mut buf = [0; 64];
    assert!(conn.read(&mut buf).expect("an answer begins") > 0);
    drop(conn);
    wait_for("the engine stopped", || {
        let runs = engine_runs(&cluster);
        let run = runs.iter().find(|r| r.request_id == "leaver")?;
        run.cancelled.then_some(())
    });
}
