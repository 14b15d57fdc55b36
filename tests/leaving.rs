//! A leaving backend server gets no new work after a few seconds, and a
//! planned stop cuts nothing off.

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
use rw_tests::{serve_v1, unanswered, Load};

const ENGINES: usize = 4;
const STREAMS: usize = 24;
/// The brief's few seconds.
const FEW_SECONDS_MS: u64 = 4_000;

fn start(name: &str) -> Cluster {
    let layout = Layout {
        entries: 3,
        engines: ENGINES,
        plain: 2,
        ..Layout::default()
    };
    let cluster = layout.start(name);
    serve_v1(&cluster, ENGINES, 1);
    cluster
}

fn last_run_ms(cluster: &Cluster, name: &str) -> u64 {
    let records: Records = cluster.records(name);
    records.runs.iter().map(|r| r.at_ms).max().unwrap_or(0)
}

#[test]
fn a_stopping_host_gets_no_new_call_though_the_list_lags() {
    let mut cluster = start("lagging-list");
    cluster.set_platform_faults(&PlatformFaults {
        list_lag_ms: 20_000,
        ..PlatformFaults::default()
    });
    let load = Load::start(&cluster, 8);
    wait_for("calls", || (load.count() > 100).then_some(()));
    cluster.set_host_state("engine-0", HostState::Leaving);
    cluster.signal("engine-0", "TERM");
    let told = unix_ms();
    assert_eq!(cluster.wait_exit("engine-0"), Some(0));
    let before = load.count();
    wait_for("calls go on", || {
        (load.count() > before + 100).then_some(())
    });
    let outcomes = load.stop();
    assert!(
        unanswered(&outcomes).is_empty(),
        "{:?}",
        unanswered(&outcomes)
    );
    let last = last_run_ms(&cluster, "engine-0").saturating_sub(told);
    assert!(
        last <= FEW_SECONDS_MS,
        "last new call {last} ms after the stop"
    );
}

#[test]
fn a_host_that_the_list_says_is_leaving_gets_no_new_call() {
    let cluster = start("listed-leaving");
    let load = Load::start(&cluster, 8);
    wait_for("calls", || (load.count() > 100).then_some(()));
    cluster.set_host_state("engine-1", HostState::Leaving);
    let told = unix_ms();
    std::thread::sleep(Duration::from_millis(FEW_SECONDS_MS + 500));
    let outcomes = load.stop();
    assert!(
        unanswered(&outcomes).is_empty(),
        "{:?}",
        unanswered(&outcomes)
    );
    let last = last_run_ms(&cluster, "engine-1").saturating_sub(told);
    assert!(
        last <= FEW_SECONDS_MS,
        "last new call {last} ms after the listing"
    );
}

#[test]
fn long_streams_finish_on_a_stopping_host_and_a_stopping_entry() {
    let mut cluster = start("long-streams");
    for at in 0..ENGINES {
        cluster.set_behaviour(
            &format!("engine-{at}"),
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
    let runs = |at: usize| {
        cluster
            .records::<Records>(&format!("engine-{at}"))
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
fn restarting_every_host_in_turn_loses_no_call() {
    let mut cluster = start("rolling");
    let load = Load::start(&cluster, 6);
    wait_for("calls", || (load.count() > 50).then_some(()));
    for at in 0..ENGINES {
        let name = format!("engine-{at}");
        cluster.signal(&name, "TERM");
        assert_eq!(cluster.wait_exit(&name), Some(0));
        cluster.start_daemon(&name);
        let start = Instant::now();
        cluster.wait_fulfilled("entry-0", "cuts", "v1");
        assert!(start.elapsed() < Duration::from_secs(30));
    }
    let outcomes = load.stop();
    assert!(
        unanswered(&outcomes).is_empty(),
        "{:?}",
        unanswered(&outcomes)
    );
}

// A caller that reads slowly still gets its whole answer from an entry that
// stops meanwhile.
#[test]
fn a_slow_reader_gets_its_whole_answer_from_a_stopping_entry() {
    let mut cluster = start("slow-reader");
    let addr = cluster.daemon("entry-0").caller_listen.clone();
    let mut conn = TcpStream::connect(addr).expect("the entry listens");
    let body = rw_standins::caller::completion_body("shop|slow", 2000, true).to_string();
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-team: arima\r\n";
    write!(conn, "{head}content-length: {}\r\n\r\n{body}", body.len()).expect("sent");
    let mut buf = vec![0; 16 << 10];
    let mut text = Vec::new();
    let mut told = false;
    loop {
        let len = conn.read(&mut buf).expect("the entry goes on");
        if len == 0 {
            break;
        }
        text.extend_from_slice(&buf[..len]);
        if !told {
            cluster.signal("entry-0", "TERM");
            told = true;
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

// While the table is down no host can be ordered, so none stops serving the
// version before.
#[test]
fn a_version_confirmed_before_an_outage_of_the_table_stops_nobody() {
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
    let whole = |at: usize| {
        let line = "ragworttack_events_total{event=\"TransferComplete\"}";
        cluster.metric(&format!("engine-{at}"), line) >= 2.0
    };
    wait_for("v2 is here", || (0..ENGINES).all(whole).then_some(()));
    let served = |at: usize| {
        let line = "ragworttack_events_total{event=\"RunnerServing\"}";
        cluster.metric(&format!("engine-{at}"), line)
    };
    let before: Vec<f64> = (0..ENGINES).map(served).collect();
    let load = Load::start(&cluster, 4);
    wait_for("calls go on", || (load.count() > 400).then_some(()));
    let outcomes = load.stop();
    let after: Vec<f64> = (0..ENGINES).map(served).collect();
    assert_eq!(before, after, "a host stopped serving and began again");
    // Charges need the table; drafts do not.
    let drafts: Vec<_> = unanswered(&outcomes)
        .into_iter()
        .filter(|(id, _)| !is_charge(id))
        .collect();
    assert!(drafts.is_empty(), "{drafts:?}");
    cluster.set_platform_faults(&PlatformFaults::default());
    cluster.wait_fulfilled("entry-0", "cuts", "v2");
}

// Every fourth call of a caller is a charge.
fn is_charge(id: &str) -> bool {
    let number = id.rsplit('-').next().and_then(|n| n.parse::<u32>().ok());
    number.is_some_and(|n| n.is_multiple_of(4))
}
