//! A leaving backend server gets no new work after a few seconds, and a planned
//! stop interrupts no request.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use rw_protocol::HostState;
use rw_standins::caller::{request_completion, Outcome};
use rw_standins::client::wait_for;
use rw_standins::cluster::Cluster;
use rw_standins::engine::{Behaviour, Records};
use rw_standins::layout::{intent, Layout};
use rw_standins::plain::unix_ms;
use rw_standins::platform::PlatformFaults;
use rw_tests::{assert_all_answered, deploy_v1, is_charge, unanswered, LoadGenerator};

const ENGINES: usize = 4;
const STREAMS: usize = 24;
/// Time during which a host may still get new work after it is stopped or listed
/// as leaving; the requirement is "a few seconds".
const MAX_NEW_WORK_MS: u64 = 4_000;

fn start(name: &str) -> Cluster {
    let layout = Layout {
        entries: 3,
        engines: ENGINES,
        plain: 2,
        ..Layout::default()
    };
    let cluster = layout.start(name);
    deploy_v1(&cluster, ENGINES, 1);
    cluster
}

fn last_run_ms(cluster: &Cluster, name: &str) -> u64 {
    let records: Records = cluster.records(name);
    records.runs.iter().map(|r| r.at_ms).max().unwrap_or(0)
}

#[test]
fn stopping_host_gets_no_new_call_despite_a_lagging_list() {
    let mut cluster = start("lagging-list");
    cluster.set_platform_faults(&PlatformFaults {
        list_lag_ms: 20_000,
        ..PlatformFaults::default()
    });
    let load = LoadGenerator::start(&cluster, 8);
    wait_for("calls", || (load.count() > 100).then_some(()));
    cluster.set_host_state("engine-0", HostState::Leaving);
    cluster.signal("engine-0", "TERM");
    let stop_sent_at_ms = unix_ms();
    assert_eq!(cluster.wait_exit("engine-0"), Some(0));
    let before = load.count();
    wait_for("further calls", || {
        (load.count() > before + 100).then_some(())
    });
    let outcomes = load.stop();
    assert_all_answered(&cluster, &outcomes);
    let last = last_run_ms(&cluster, "engine-0").saturating_sub(stop_sent_at_ms);
    assert!(
        last <= MAX_NEW_WORK_MS,
        "last new call {last} ms after the stop"
    );
}

#[test]
fn host_listed_as_leaving_gets_no_new_call() {
    let cluster = start("listed-leaving");
    let load = LoadGenerator::start(&cluster, 8);
    wait_for("calls", || (load.count() > 100).then_some(()));
    cluster.set_host_state("engine-1", HostState::Leaving);
    let listed_at_ms = unix_ms();
    std::thread::sleep(Duration::from_millis(MAX_NEW_WORK_MS + 500));
    let outcomes = load.stop();
    assert_all_answered(&cluster, &outcomes);
    let last = last_run_ms(&cluster, "engine-1").saturating_sub(listed_at_ms);
    assert!(
        last <= MAX_NEW_WORK_MS,
        "last new call {last} ms after the listing"
    );
}

#[test]
fn long_streams_finish_on_stopping_hosts_and_a_stopping_entry() {
    let mut cluster = start("long-streams");
    for index in 0..ENGINES {
        cluster.set_behaviour(
            &format!("engine-{index}"),
            &Behaviour {
                token_ms: 100,
                ..Behaviour::default()
            },
        );
    }
    let url = cluster.entry_url("entry-0");
    let callers: Vec<_> = (0..STREAMS)
        .map(|n| {
            let url = url.clone();
            std::thread::spawn(move || {
                request_completion(&url, "arima", &format!("long {n}|x"), 30, 20_000)
            })
        })
        .collect();
    let runs = |index: usize| {
        cluster
            .records::<Records>(&format!("engine-{index}"))
            .runs
            .len()
    };
    let running = || (0..ENGINES).map(runs).sum::<usize>();
    wait_for("streams run", || (running() == STREAMS).then_some(()));
    assert!(
        runs(0) > 0 && runs(1) > 0,
        "both stopping hosts have streams"
    );
    for name in ["engine-0", "engine-1", "entry-0"] {
        cluster.signal(name, "TERM");
    }
    for caller in callers {
        let outcome = caller.join().expect("no panic");
        assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
    }
    for name in ["engine-0", "engine-1", "entry-0"] {
        assert_eq!(cluster.wait_exit(name), Some(0));
    }
}

#[test]
fn rolling_restart_of_all_hosts_loses_no_call() {
    let mut cluster = start("rolling");
    let load = LoadGenerator::start(&cluster, 6);
    wait_for("calls", || (load.count() > 50).then_some(()));
    for index in 0..ENGINES {
        let name = format!("engine-{index}");
        cluster.signal(&name, "TERM");
        assert_eq!(cluster.wait_exit(&name), Some(0));
        cluster.start_daemon(&name);
        let start = Instant::now();
        cluster.wait_fulfilled("entry-0", "cuts", "v1");
        assert!(start.elapsed() < Duration::from_secs(30));
    }
    let outcomes = load.stop();
    assert_all_answered(&cluster, &outcomes);
}

// A caller that reads slowly gets its complete answer although the entry stops
// meanwhile.
#[test]
fn slow_reader_gets_its_complete_answer_from_a_stopping_entry() {
    let mut cluster = start("slow-reader");
    let addr = cluster.daemon("entry-0").caller_listen.clone();
    let mut conn = TcpStream::connect(addr).expect("the entry listens");
    let body = rw_standins::caller::completion_body("shop|slow", 2000, true).to_string();
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-team: arima\r\n";
    write!(conn, "{head}content-length: {}\r\n\r\n{body}", body.len()).expect("sent");
    let mut buf = vec![0; 16 << 10];
    let mut text = Vec::new();
    let mut stop_sent = false;
    loop {
        let len = conn.read(&mut buf).expect("the entry keeps sending");
        if len == 0 {
            break;
        }
        text.extend_from_slice(&buf[..len]);
        if !stop_sent {
            cluster.signal("entry-0", "TERM");
            stop_sent = true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let text = String::from_utf8_lossy(&text);
    assert!(
        text.contains("-1999 ") && text.contains("[DONE]"),
        "cut after {} bytes",
        text.len()
    );
    assert_eq!(cluster.wait_exit("entry-0"), Some(0));
}

// While the table is down, no host can be sent an order. So every host must keep
// serving the previous version.
#[test]
fn version_confirmed_before_a_table_outage_stops_no_host() {
    let cluster = start("outage-switch");
    cluster.set_platform_faults(&PlatformFaults {
        origin_bytes_per_s: 200_000,
        ..PlatformFaults::default()
    });
    cluster.apply("entry-0", &intent("v2", ENGINES, 1));
    cluster.set_platform_faults(&PlatformFaults {
        table_down: true,
        ..PlatformFaults::default()
    });
    let has_v2 = |index: usize| {
        let line = "ragworttack_events_total{event=\"TransferComplete\"}";
        cluster.metric(&format!("engine-{index}"), line) >= 2.0
    };
    wait_for("every host has v2", || {
        (0..ENGINES).all(has_v2).then_some(())
    });
    let serving_events = |index: usize| {
        let line = "ragworttack_events_total{event=\"RunnerServing\"}";
        cluster.metric(&format!("engine-{index}"), line)
    };
    let before: Vec<f64> = (0..ENGINES).map(serving_events).collect();
    let load = LoadGenerator::start(&cluster, 4);
    wait_for("further calls", || (load.count() > 400).then_some(()));
    let outcomes = load.stop();
    let after: Vec<f64> = (0..ENGINES).map(serving_events).collect();
    assert_eq!(before, after, "a host stopped serving and began again");
    // Charges need the table; chat completions do not.
    let completions: Vec<_> = unanswered(&outcomes)
        .into_iter()
        .filter(|(id, _)| !is_charge(id))
        .collect();
    assert!(completions.is_empty(), "{completions:?}");
    cluster.set_platform_faults(&PlatformFaults::default());
    cluster.wait_fulfilled("entry-0", "cuts", "v2");
}
