//! Which claims a supervisor counts as unresolved.

use rstest::rstest;
use rw_coord::unix_ms;
use rw_daemon::control::collect_reports;
use rw_daemon::Context;
use rw_observe::{Metrics, Recorder};
use rw_platform::{Put, TableService, Transaction};
use rw_protocol::{Claim, ClaimState, Name};
use rw_standins::layout::Layout;

const AGE_MS: u64 = 40_000;

// Guards against a running call that operators see as a call with an unknown end,
// because its deadline is longer than the default.
#[rstest]
#[case::default_deadline(None, 1)]
#[case::longer_deadline(Some(600_000), 0)]
#[case::passed_deadline(Some(31_000), 1)]
fn claim_counts_as_unresolved_after_its_deadline(
    #[case] timeout_ms: Option<u64>,
    #[case] expected: u64,
) {
    let cluster = Layout::default().start_without_daemons("unresolved");
    let name = Name::from("entry-0");
    let daemon = cluster.daemon(&name).clone();
    let recorder = Recorder::new(name.clone(), Metrics::new());
    let cx = Context::new(name.clone(), daemon, cluster.deployment.clone(), recorder);
    let claim = Claim {
        team: "penal".into(),
        key: "order-1".into(),
        request_hash: "h".into(),
        attempt: 7,
        state: ClaimState::Started,
        status: 0,
        body: String::new(),
        owner: name,
        at_ms: unix_ms() - AGE_MS,
        timeout_ms,
    };
    let put = |key: &str, value: String| Put {
        key: key.to_string(),
        value,
    };
    let key = "claim/penal/order-1";
    let txn = Transaction {
        puts: vec![
            put(key, serde_json::to_string(&claim).expect("a claim")),
            put("open/0000000000000007", key.to_string()),
        ],
        ..Transaction::default()
    };
    assert!(cx.platform.commit(&txn).expect("an answer").committed);
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let observed = runtime.block_on(collect_reports(&cx));
    assert!(observed.table_reachable);
    assert_eq!(observed.unresolved, expected);
}
