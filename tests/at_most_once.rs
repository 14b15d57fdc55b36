//! A call that must not be retried runs at most once under every failure.

use std::collections::BTreeMap;
use std::thread::JoinHandle;
use std::time::Duration;

use rstest::rstest;
use rw_standins::caller::{call_plain_service, Outcome};
use rw_standins::client::wait_for;
use rw_standins::cluster::Cluster;
use rw_standins::layout::Layout;
use rw_standins::plain::{Behaviour, CallRecord};
use rw_standins::platform::PlatformFaults;
use rw_standins::proxy::LinkFault;

fn layout() -> Layout {
    Layout {
        entries: 3,
        engines: 0,
        plain: 2,
        proxied: true,
        ..Layout::default()
    }
}

fn start(name: &str) -> Cluster {
    let cluster = layout().start(name);
    wait_for("checkout answers", || {
        let answer =
            call_plain_service(&cluster.entry_url("entry-0"), "arima", "stock", "", "hello");
        matches!(answer, Outcome::Answered(_)).then_some(())
    });
    cluster
}

fn run_count(cluster: &Cluster, key: &str) -> usize {
    let ran: Vec<CallRecord> = cluster.records("plain-0");
    ran.iter().filter(|r| r.key == key).count()
}

fn max_run_count(cluster: &Cluster) -> usize {
    let ran: Vec<CallRecord> = cluster.records("plain-0");
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for call in ran.iter().filter(|r| !r.key.is_empty()) {
        *counts.entry(&call.key).or_default() += 1;
    }
    counts.values().copied().max().unwrap_or(0)
}

fn charge(cluster: &Cluster, entry: usize, key: &str) -> Outcome {
    let url = cluster.entry_url(&format!("entry-{entry}"));
    call_plain_service(&url, "penal", "charge", key, &format!("curry duck {key}"))
}

// Starts a charge that takes `call_ms` at the service. Returns its caller's
// thread once the service has begun to run it.
fn running_charge(cluster: &Cluster, call_ms: u64) -> JoinHandle<Outcome> {
    let slow = Behaviour {
        call_ms,
        ..Behaviour::default()
    };
    cluster.set_behaviour("plain-0", &slow);
    let url = cluster.entry_url("entry-0");
    let caller = std::thread::spawn(move || {
        call_plain_service(&url, "penal", "charge", "order-1", "curry duck order-1")
    });
    wait_for("the call runs", || {
        (run_count(cluster, "order-1") == 1).then_some(())
    });
    caller
}

#[test]
fn retry_through_another_entry_gets_the_recorded_answer() {
    let cluster = start("retry");
    let answers = [0, 1, 2, 0].map(|entry| charge(&cluster, entry, "order-1"));
    assert!(
        answers
            .iter()
            .all(|a| *a == Outcome::Answered(String::new())),
        "{answers:?}"
    );
    assert_eq!(run_count(&cluster, "order-1"), 1);
}

#[test]
fn large_answer_is_recorded_completely() {
    let cluster = start("large");
    let body = "goat ".repeat(20_000);
    for entry in 0..3 {
        let url = cluster.entry_url(&format!("entry-{entry}"));
        let answer = call_plain_service(&url, "penal", "charge", "large", &body);
        assert_eq!(answer, Outcome::Answered(String::new()));
    }
    assert_eq!(run_count(&cluster, "large"), 1);
}

#[test]
fn idempotency_key_with_another_body_is_refused() {
    let cluster = start("mismatch");
    assert_eq!(
        charge(&cluster, 0, "order-1"),
        Outcome::Answered(String::new())
    );
    let url = cluster.entry_url("entry-1");
    let answer = call_plain_service(&url, "penal", "charge", "order-1", "something else");
    assert_eq!(answer, Outcome::Refused(422));
    assert_eq!(run_count(&cluster, "order-1"), 1);
}

#[test]
fn concurrent_retries_run_once() {
    let cluster = start("race");
    cluster.set_behaviour(
        "plain-0",
        &Behaviour {
            call_ms: 200,
            lose_every: 0,
            ..Behaviour::default()
        },
    );
    let answers: Vec<Outcome> = std::thread::scope(|scope| {
        let call = |n: usize| {
            let cluster = &cluster;
            scope.spawn(move || charge(cluster, n % 3, "order-1"))
        };
        let threads: Vec<_> = (0..9).map(call).collect();
        threads
            .into_iter()
            .map(|t| t.join().expect("no panic"))
            .collect()
    });
    let acceptable = |o: &Outcome| matches!(o, Outcome::Answered(_) | Outcome::InProgress);
    assert!(answers.iter().all(acceptable), "{answers:?}");
    assert_eq!(run_count(&cluster, "order-1"), 1);
}

#[test]
fn entry_killed_during_a_call_causes_no_second_run() {
    let mut cluster = start("entry-killed");
    let caller = running_charge(&cluster, 500);
    cluster.kill("entry-0");
    assert!(matches!(caller.join().expect("no panic"), Outcome::Cut(_)));
    for _ in 0..5 {
        let answer = charge(&cluster, 1, "order-1");
        assert!(
            matches!(answer, Outcome::InProgress | Outcome::Unknown),
            "{answer:?}"
        );
    }
    assert_eq!(run_count(&cluster, "order-1"), 1);
    // The operator sees that its outcome is unknown.
    let client = rw_cli::Client::new(&cluster.daemon("entry-1").operator_listen);
    let claims: Vec<rw_protocol::Claim> = client
        .get("/unresolved?older_ms=0")
        .expect("entry-1 answers");
    assert_eq!(claims.len(), 1);
    assert_eq!(&*claims[0].key, "order-1");
}

// The hosts fail, or their links to the entries do, while the call runs.
#[rstest]
#[case::host_killed("kill")]
#[case::host_frozen("freeze")]
#[case::cut("cut")]
#[case::answer_held_back("one-way")]
fn call_on_a_failed_host_is_unknown_and_never_runs_again(#[case] fault: &str) {
    let mut cluster = start(&format!("host-{fault}"));
    let caller = running_charge(&cluster, 1500);
    for host in ["plain-0", "plain-1"] {
        match fault {
            "kill" => cluster.kill(host),
            "freeze" => cluster.signal(host, "STOP"),
            "cut" => cluster.set_link_fault(
                host,
                LinkFault {
                    cut: true,
                    ..LinkFault::default()
                },
            ),
            _ => cluster.set_link_fault(
                host,
                LinkFault {
                    stall_down: true,
                    ..LinkFault::default()
                },
            ),
        }
    }
    let answer = caller.join().expect("no panic");
    assert_eq!(answer, Outcome::Unknown);
    for host in ["plain-0", "plain-1"] {
        match fault {
            "kill" => cluster.start_daemon(host),
            "freeze" => cluster.signal(host, "CONT"),
            _ => cluster.set_link_fault(host, LinkFault::default()),
        }
    }
    cluster.set_behaviour("plain-0", &Behaviour::default());
    for entry in 0..3 {
        let answer = charge(&cluster, entry, "order-1");
        assert!(
            matches!(answer, Outcome::InProgress | Outcome::Unknown),
            "{answer:?}"
        );
    }
    wait_for("other calls are answered again", || {
        matches!(charge(&cluster, 0, "order-2"), Outcome::Answered(_)).then_some(())
    });
    assert_eq!(run_count(&cluster, "order-1"), 1);
    assert_eq!(max_run_count(&cluster), 1);
}

#[test]
fn call_with_a_lost_backend_answer_is_not_retried() {
    let cluster = start("answer-lost");
    cluster.set_behaviour(
        "plain-0",
        &Behaviour {
            call_ms: 0,
            lose_every: 1,
            ..Behaviour::default()
        },
    );
    assert_eq!(charge(&cluster, 0, "order-1"), Outcome::Unknown);
    cluster.set_behaviour("plain-0", &Behaviour::default());
    let answer = charge(&cluster, 1, "order-1");
    assert!(
        matches!(answer, Outcome::InProgress | Outcome::Unknown),
        "{answer:?}"
    );
    assert_eq!(run_count(&cluster, "order-1"), 1);
    // A call without a key must not be retried either.
    cluster.set_behaviour(
        "plain-0",
        &Behaviour {
            call_ms: 0,
            lose_every: 1,
            ..Behaviour::default()
        },
    );
    let url = cluster.entry_url("entry-0");
    assert_eq!(
        call_plain_service(&url, "penal", "charge", "", "keyless"),
        Outcome::Unknown
    );
    let ran: Vec<CallRecord> = cluster.records("plain-0");
    assert_eq!(ran.iter().filter(|r| r.body == "keyless").count(), 1);
}

// A service that answers "busy" may have run the call nevertheless.
#[test]
fn charge_refused_as_busy_is_not_retried() {
    let cluster = start("busy");
    let busy = Behaviour {
        status: 503,
        ..Behaviour::default()
    };
    cluster.set_behaviour("plain-0", &busy);
    assert_eq!(charge(&cluster, 0, "order-1"), Outcome::Refused(503));
    let url = cluster.entry_url("entry-0");
    assert_eq!(
        call_plain_service(&url, "penal", "charge", "", "keyless"),
        Outcome::Refused(503)
    );
    let ran: Vec<CallRecord> = cluster.records("plain-0");
    for body in ["curry duck order-1", "keyless"] {
        assert_eq!(ran.iter().filter(|r| r.body == body).count(), 1, "{body}");
    }
    // A lookup is idempotent and is retried at the other host.
    call_plain_service(&url, "arima", "stock", "", "lookup");
    let ran: Vec<CallRecord> = cluster.records("plain-0");
    assert!(ran.iter().filter(|r| r.body == "lookup").count() > 1);
}

#[test]
fn table_outage_runs_nothing_and_loses_nothing() {
    let cluster = start("table-down");
    cluster.set_platform_faults(&PlatformFaults {
        table_down: true,
        ..PlatformFaults::default()
    });
    let answer = charge(&cluster, 0, "order-1");
    assert!(
        matches!(&answer, Outcome::NotRun(refusal) if refusal.retry_after_ms > 0),
        "{answer:?}"
    );
    assert_eq!(run_count(&cluster, "order-1"), 0);
    // Idempotent calls need no table.
    let url = cluster.entry_url("entry-0");
    assert_eq!(
        call_plain_service(&url, "penal", "stock", "", "goat"),
        Outcome::Answered(String::new())
    );
    cluster.set_platform_faults(&PlatformFaults::default());
    assert_eq!(
        charge(&cluster, 1, "order-1"),
        Outcome::Answered(String::new())
    );
    assert_eq!(run_count(&cluster, "order-1"), 1);
}

#[test]
fn answer_is_recorded_after_a_table_outage_during_the_call() {
    let cluster = start("table-down-during");
    let caller = running_charge(&cluster, 500);
    cluster.set_platform_faults(&PlatformFaults {
        table_down: true,
        ..PlatformFaults::default()
    });
    // The caller gets its answer at once; it is recorded later.
    assert_eq!(
        caller.join().expect("no panic"),
        Outcome::Answered(String::new())
    );
    cluster.set_platform_faults(&PlatformFaults::default());
    wait_for("the answer is recorded", || {
        (charge(&cluster, 1, "order-1") == Outcome::Answered(String::new())).then_some(())
    });
    assert_eq!(run_count(&cluster, "order-1"), 1);
}

// The table service loses every second or third answer after the write.
#[rstest]
#[case(2)]
#[case(3)]
fn lost_table_answers_cause_no_second_run(#[case] lose_every: u64) {
    let cluster = start(&format!("lost-{lose_every}"));
    cluster.set_platform_faults(&PlatformFaults {
        lose_every,
        ..PlatformFaults::default()
    });
    for n in 0..20 {
        let key = format!("order-{n}");
        wait_for("an answer", || {
            let answer = charge(&cluster, n % 3, &key);
            matches!(answer, Outcome::Answered(_)).then_some(())
        });
        assert_eq!(
            charge(&cluster, (n + 1) % 3, &key),
            Outcome::Answered(String::new())
        );
    }
    assert_eq!(max_run_count(&cluster), 1);
}

#[test]
fn slow_table_and_killed_entry_run_nothing_twice() {
    let mut cluster = start("slow-and-killed");
    cluster.set_platform_faults(&PlatformFaults {
        table_delay_ms: 300,
        lose_every: 3,
        ..PlatformFaults::default()
    });
    let url = cluster.entry_url("entry-0");
    let callers: Vec<_> = (0..8)
        .map(|n| {
            let url = url.clone();
            std::thread::spawn(move || {
                let key = format!("order-{n}");
                call_plain_service(&url, "penal", "charge", &key, &format!("curry duck {key}"))
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    cluster.kill("entry-0");
    for caller in callers {
        caller.join().expect("no panic");
    }
    cluster.set_platform_faults(&PlatformFaults::default());
    for n in 0..8 {
        let answer = charge(&cluster, 1, &format!("order-{n}"));
        assert!(
            !matches!(answer, Outcome::Wrong(_) | Outcome::Cut(_)),
            "{answer:?}"
        );
    }
    assert!(max_run_count(&cluster) <= 1);
}
