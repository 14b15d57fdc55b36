//! Leases, the append-only log, group commit, the timer and the token bucket,
//! against an in-memory table service with injected faults.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rstest::rstest;
use rw_coord::{
    AppendLog, AppendOutcome, ConditionalWrite, Error, GroupCommit, IndexUpdate, LeaseManager,
    Timer, TokenBucket, WriteOutcome,
};
use rw_platform::{Commit, Error as PlatformError, Result, Row, TableService, Transaction};

#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum InjectedFault {
    #[default]
    None,
    /// The write takes effect, but its answer is lost.
    AnswerLost,
    /// The request is lost and does not take effect.
    RequestLost,
    /// The table service refuses the request.
    Refused,
}

#[derive(Default)]
struct TableState {
    rows: BTreeMap<String, Row>,
    version: u64,
    fault: InjectedFault,
    commits: usize,
}

#[derive(Clone, Default)]
struct InMemoryTable(Arc<Mutex<TableState>>);

impl InMemoryTable {
    fn inject(&self, fault: InjectedFault) {
        self.0.lock().expect("no panic").fault = fault;
    }

    fn commits(&self) -> usize {
        self.0.lock().expect("no panic").commits
    }
}

impl TableService for InMemoryTable {
    fn commit(&self, txn: &Transaction) -> Result<Commit> {
        // Long enough for further writes to queue up for the next transaction.
        std::thread::sleep(Duration::from_millis(5));
        let mut state = self.0.lock().expect("no panic");
        state.commits += 1;
        match state.fault {
            InjectedFault::RequestLost => return Err(PlatformError::Unknown("lost".into())),
            InjectedFault::Refused => return Err(PlatformError::Refused("down".into())),
            InjectedFault::None | InjectedFault::AnswerLost => {}
        }
        let version_of = |key: &str| state.rows.get(key).map_or(0, |r| r.version);
        let failed = txn
            .conditions
            .iter()
            .filter(|c| version_of(&c.key) != c.version);
        let conflicts: Vec<String> = failed.map(|c| c.key.clone()).collect();
        let committed = conflicts.is_empty();
        if committed {
            state.version += 1;
            let version = state.version;
            for put in &txn.puts {
                let row = Row {
                    key: put.key.clone(),
                    value: put.value.clone(),
                    version,
                };
                state.rows.insert(put.key.clone(), row);
            }
            for key in &txn.deletes {
                state.rows.remove(key);
            }
        }
        if state.fault == InjectedFault::AnswerLost {
            return Err(PlatformError::Unknown("lost".into()));
        }
        Ok(Commit {
            committed,
            version: state.version,
            conflicts,
        })
    }

    fn read(&self, key: &str) -> Result<Option<Row>> {
        Ok(self.0.lock().expect("no panic").rows.get(key).cloned())
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>> {
        let state = self.0.lock().expect("no panic");
        let rows = state
            .rows
            .values()
            .filter(|r| r.key.starts_with(prefix) && r.key.as_str() > after);
        Ok(rows.take(limit).cloned().collect())
    }
}

/// A process or machine that is suspended wakes up later on the clock that includes
/// suspended time.
#[test]
fn lease_has_expired_for_a_holder_that_wakes_up_after_its_time() {
    let ttl = Duration::from_secs(10);
    let leases = LeaseManager::new(InMemoryTable::default(), "a", ttl);
    let before = rw_coord::uptime();
    let lease = leases.acquire("x", 1).expect("free");
    let after = rw_coord::uptime();
    assert!(lease.remaining_at(after) > Duration::ZERO);
    assert!(lease.remaining_at(before) <= after - before + ttl);
    assert_eq!(lease.remaining_at(after + ttl), Duration::ZERO);
}

#[test]
fn lease_has_one_holder_and_its_epoch_increases() {
    let table = InMemoryTable::default();
    let a = LeaseManager::new(table.clone(), "a", Duration::from_millis(200));
    let b = LeaseManager::new(table, "b", Duration::from_millis(200));
    let first = a.acquire("x", 1).expect("free");
    assert!(matches!(b.acquire("x", 2), Err(Error::Held(holder, _)) if holder == "a"));
    std::thread::sleep(Duration::from_millis(250));
    assert!(!first.is_valid());
    let second = b.acquire("x", 3).expect("expired");
    assert!(second.epoch > first.epoch);
    // The previous holder cannot release a lease that another one holds now.
    a.release("x", &first).expect("answers");
    assert!(a.acquire("x", 4).is_err());
    b.release("x", &second).expect("released");
    assert!(a.acquire("x", 5).expect("free").epoch > second.epoch);
}

#[rstest]
#[case::answer_lost(InjectedFault::AnswerLost, true)]
#[case::request_lost(InjectedFault::RequestLost, false)]
#[case::refused(InjectedFault::Refused, false)]
fn lease_is_read_back_when_the_answer_to_its_write_is_lost(
    #[case] fault: InjectedFault,
    #[case] held: bool,
) {
    let table = InMemoryTable::default();
    let leases = LeaseManager::new(table.clone(), "a", Duration::from_secs(10));
    table.inject(fault);
    assert_eq!(leases.acquire("x", 1).is_ok(), held);
}

#[test]
fn second_append_to_the_same_base_is_stale() {
    let log = AppendLog::new(InMemoryTable::default(), "config");
    assert_eq!(
        log.append(0, "plan-a", "plan-a"),
        Ok(AppendOutcome::Written(1))
    );
    assert_eq!(
        log.append(0, "plan-b", "plan-b"),
        Ok(AppendOutcome::Stale(1))
    );
    assert_eq!(
        log.append(0, "plan-a", "plan-a"),
        Ok(AppendOutcome::Written(1))
    );
    assert_eq!(
        log.append(1, "plan-b", "plan-b"),
        Ok(AppendOutcome::Written(2))
    );
    assert_eq!(log.entries_after(1), Ok(vec![(2, "plan-b".to_string())]));
}

#[test]
fn append_with_a_lost_answer_is_resolved_or_unknown_but_never_duplicated() {
    let table = InMemoryTable::default();
    let log = AppendLog::new(table.clone(), "config");
    table.inject(InjectedFault::AnswerLost);
    assert_eq!(
        log.append(0, "plan-a", "plan-a"),
        Ok(AppendOutcome::Written(1))
    );
    table.inject(InjectedFault::RequestLost);
    assert!(log.append(1, "plan-b", "plan-b").is_err());
    table.inject(InjectedFault::None);
    assert_eq!(
        log.append(1, "plan-b", "plan-b"),
        Ok(AppendOutcome::Written(2))
    );
    assert_eq!(log.entries_after(0).map(|e| e.len()), Ok(2));
}

#[test]
fn long_log_is_read_in_pages() {
    let log = AppendLog::new(InMemoryTable::default(), "config");
    for n in 0..600 {
        let text = format!("plan-{n}");
        assert_eq!(
            log.append(n, &text, &text),
            Ok(AppendOutcome::Written(n + 1))
        );
    }
    assert_eq!(log.entries_after(0).map(|e| e.len()), Ok(600));
}

fn conditional_write(key: &str, version: u64, value: &str) -> ConditionalWrite {
    ConditionalWrite {
        key: key.into(),
        version,
        value: value.into(),
        index: IndexUpdate::Unchanged,
    }
}

#[test]
fn concurrent_writes_share_transactions_and_a_conflict_fails_only_its_own_write() {
    let table = InMemoryTable::default();
    let commit = GroupCommit::start(table.clone(), 1000);
    assert_eq!(
        commit.submit(conditional_write("taken", 0, "x")).recv(),
        Ok(WriteOutcome::Written(1))
    );
    let rxs: Vec<_> = (0..200)
        .map(|n| commit.submit(conditional_write(&format!("k{n}"), 0, &format!("v{n}"))))
        .collect();
    let conflicting = commit.submit(conditional_write("taken", 0, "y"));
    assert!(rxs
        .into_iter()
        .all(|rx| matches!(rx.recv(), Ok(WriteOutcome::Written(_)))));
    assert_eq!(conflicting.recv(), Ok(WriteOutcome::Conflict));
    assert!(table.commits() < 20, "{} transactions", table.commits());
}

#[test]
fn writes_to_the_same_key_do_not_share_a_transaction() {
    let commit = GroupCommit::start(InMemoryTable::default(), 1000);
    let rxs: Vec<_> = (0..20)
        .map(|n| commit.submit(conditional_write("one", 0, &format!("v{n}"))))
        .collect();
    let written = rxs
        .into_iter()
        .filter(|rx| matches!(rx.recv(), Ok(WriteOutcome::Written(_))));
    assert_eq!(written.count(), 1);
}

#[rstest]
#[case::answer_lost(InjectedFault::AnswerLost, WriteOutcome::Written(1))]
#[case::request_lost(InjectedFault::RequestLost, WriteOutcome::Unknown("lost".into()))]
#[case::refused(InjectedFault::Refused, WriteOutcome::Refused("platform refused the call: down".into()))]
fn write_is_read_back_when_its_answer_is_lost(
    #[case] fault: InjectedFault,
    #[case] expected: WriteOutcome,
) {
    let table = InMemoryTable::default();
    table.inject(fault);
    let commit = GroupCommit::start(table, 10);
    assert_eq!(
        commit.submit(conditional_write("k", 0, "v")).recv(),
        Ok(expected)
    );
}

#[test]
fn timer_ends_the_subscription_of_a_dropped_receiver() {
    let timer = Timer::start();
    let dropped = timer.subscribe(Duration::from_millis(1));
    drop(dropped);
    let kept = timer.subscribe(Duration::from_millis(2));
    for _ in 0..5 {
        kept.recv().expect("ticks");
    }
    drop(timer);
    while kept.recv_timeout(Duration::from_secs(20)).is_ok() {}
    assert!(kept.is_disconnected());
}

#[test]
fn token_bucket_sustains_exactly_its_rate() {
    let mut bucket = TokenBucket::new(1000, 100);
    let mut now = Duration::ZERO;
    for _ in 0..100 {
        now += bucket.take(50, now);
    }
    let seconds = now.as_secs_f64();
    assert!(
        (4.8..=5.0).contains(&seconds),
        "5000 bytes took {seconds} s"
    );
    assert_eq!(TokenBucket::new(0, 0).take(1 << 40, now), Duration::ZERO);
}
