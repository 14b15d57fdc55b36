//! Charges while the table service answers claims late.

use rstest::rstest;
use rw_standins::caller::{call_plain_service, Outcome};
use rw_standins::client::wait_for;
use rw_standins::cluster::Cluster;
use rw_standins::layout::Layout;
use rw_standins::plain::CallRecord;
use rw_standins::platform::PlatformFaults;
use rw_tests::{assert_all_answered, deploy_v1, is_charge, LoadGenerator};

const ENGINES: usize = 3;
/// Longer than the time limit of one platform call that [`start`] sets.
const SLOW_CLAIM_MS: u64 = 1_500;
/// Deadline that passes during the first claim of a charge.
const DEADLINE_MS: u64 = 500;

fn start(name: &str) -> Cluster {
    let layout = Layout {
        engines: ENGINES,
        extra_settings: "timeout_ms = 1000".to_string(),
        ..Layout::default()
    };
    let cluster = layout.start(name);
    deploy_v1(&cluster, ENGINES, 1);
    wait_for("checkout answers", || {
        let url = cluster.entry_url("entry-0");
        let answer = call_plain_service(&url, "arima", "stock", "", "hello");
        matches!(answer, Outcome::Answered(_)).then_some(())
    });
    cluster
}

fn run_count(cluster: &Cluster, key: &str) -> usize {
    let ran: Vec<CallRecord> = cluster.records("plain-0");
    ran.iter().filter(|r| r.key == key).count()
}

// Charges were refused, with most of their deadline left, because one reply of the
// table service took longer than the time limit of a platform call.
#[rstest]
#[case::read(2, 0)]
#[case::write(0, 2)]
#[case::both(1, 1)]
fn late_claim_replies_during_a_planned_stop_refuse_no_charge(
    #[case] slow_claim_reads: u32,
    #[case] slow_claim_commits: u32,
) {
    let mut cluster = start("late-claims");
    let load = LoadGenerator::start(&cluster, 4);
    wait_for("calls", || (load.count() > 50).then_some(()));
    cluster.signal("engine-0", "TERM");
    cluster.set_platform_faults(&PlatformFaults {
        slow_claim_ms: SLOW_CLAIM_MS,
        slow_claim_reads,
        slow_claim_commits,
        ..PlatformFaults::default()
    });
    assert_eq!(cluster.wait_exit("engine-0"), Some(0));
    let before = load.count();
    wait_for("further calls", || {
        (load.count() > before + 100).then_some(())
    });
    let outcomes = load.stop();
    assert_all_answered(&cluster, &outcomes);
    for (id, _) in outcomes.iter().filter(|(id, _)| is_charge(id)) {
        assert_eq!(run_count(&cluster, id), 1, "{id}");
    }
}

// A claim that had no answer at the deadline of its call kept the caller waiting.
// Whenever its write arrives, the call runs once, for the repeat.
#[test]
fn charge_without_a_claim_at_its_deadline_runs_only_when_repeated() {
    let cluster = start("claim-deadline");
    cluster.set_platform_faults(&PlatformFaults {
        slow_claim_ms: SLOW_CLAIM_MS,
        slow_claim_commits: u32::MAX,
        ..PlatformFaults::default()
    });
    let url = cluster.entry_url("entry-0");
    let res = minreq::post(format!("{url}/v1/services/checkout/charge"))
        .with_header("x-team", "penal")
        .with_header("x-deadline-ms", DEADLINE_MS.to_string())
        .with_header("idempotency-key", "order-1")
        .with_body("goat")
        .send()
        .expect("an answer");
    let text = res.as_str().expect("text");
    assert!(text.contains("the deadline passed"), "{text}");
    assert_eq!(run_count(&cluster, "order-1"), 0);
    cluster.set_platform_faults(&PlatformFaults::default());
    wait_for("the repeat is answered", || {
        let answer = call_plain_service(&url, "penal", "charge", "order-1", "goat");
        matches!(answer, Outcome::Answered(_)).then_some(())
    });
    assert_eq!(run_count(&cluster, "order-1"), 1);
}
