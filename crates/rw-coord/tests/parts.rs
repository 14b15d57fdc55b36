//! Leases, the append-only log and group commit against a table in memory
//! that fails in chosen ways.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rstest::rstest;
use rw_coord::{
    AppendLog, Appended, Error, GroupCommit, Index, LeaseKeeper, Outcome, Timer, TokenBucket,
    WriteItem,
};
use rw_platform::{Commit, Error as PlatformError, Result, Row, TableService, Transaction};

#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Fault {
    #[default]
    None,
    /// The write takes effect, its answer is lost.
    AnswerLost,
    /// The write is lost.
    RequestLost,
    /// The write is refused.
    Refused,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<String, Row>,
    version: u64,
    fault: Fault,
    commits: usize,
}

#[derive(Clone, Default)]
struct Table(Arc<Mutex<State>>);

impl Table {
    fn fail(&self, fault: Fault) {
        self.0.lock().expect("no panic").fault = fault;
    }

    fn commits(&self) -> usize {
        self.0.lock().expect("no panic").commits
    }
}

impl TableService for Table {
    fn commit(&self, txn: &Transaction) -> Result<Commit> {
        // Long enough for others to join the next transaction.
        std::thread::sleep(Duration::from_millis(5));
        let mut state = self.0.lock().expect("no panic");
        state.commits += 1;
        match state.fault {
            Fault::RequestLost => return Err(PlatformError::Unknown("lost".into())),
            Fault::Refused => return Err(PlatformError::Refused("down".into())),
            Fault::None | Fault::AnswerLost => {}
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
        if state.fault == Fault::AnswerLost {
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

#[test]
fn a_lease_has_one_holder_and_its_epoch_rises() {
    let table = Table::default();
    let a = LeaseKeeper::new(table.clone(), "a", Duration::from_millis(200));
    let b = LeaseKeeper::new(table, "b", Duration::from_millis(200));
    let first = a.acquire("x", 1).expect("free");
    assert!(matches!(b.acquire("x", 2), Err(Error::Held(holder, _)) if holder == "a"));
    std::thread::sleep(Duration::from_millis(250));
    assert!(!first.is_live());
    let second = b.acquire("x", 3).expect("lapsed");
    assert!(second.epoch > first.epoch);
    // The former holder cannot release what is no longer its own.
    a.release("x", &first).expect("answers");
    assert!(a.acquire("x", 4).is_err());
    b.release("x", &second).expect("released");
    assert!(a.acquire("x", 5).expect("free").epoch > second.epoch);
}

#[rstest]
#[case::answer_lost(Fault::AnswerLost, true)]
#[case::request_lost(Fault::RequestLost, false)]
#[case::refused(Fault::Refused, false)]
fn a_lease_whose_answer_was_lost_is_read_back(#[case] fault: Fault, #[case] held: bool) {
    let table = Table::default();
    let keeper = LeaseKeeper::new(table.clone(), "a", Duration::from_secs(10));
    table.fail(fault);
    assert_eq!(keeper.acquire("x", 1).is_ok(), held);
}

#[test]
fn of_two_appends_to_one_base_one_is_stale() {
    let log = AppendLog::new(Table::default(), "config");
    assert_eq!(log.append(0, "plan-a", "plan-a"), Ok(Appended::Done(1)));
    assert_eq!(log.append(0, "plan-b", "plan-b"), Ok(Appended::Stale(1)));
    assert_eq!(log.append(0, "plan-a", "plan-a"), Ok(Appended::Done(1)));
    assert_eq!(log.append(1, "plan-b", "plan-b"), Ok(Appended::Done(2)));
    assert_eq!(log.since(1), Ok(vec![(2, "plan-b".to_string())]));
}

#[test]
fn a_lost_append_is_resolved_or_unknown_but_never_doubled() {
    let table = Table::default();
    let log = AppendLog::new(table.clone(), "config");
    table.fail(Fault::AnswerLost);
    assert_eq!(log.append(0, "plan-a", "plan-a"), Ok(Appended::Done(1)));
    table.fail(Fault::RequestLost);
    assert!(log.append(1, "plan-b", "plan-b").is_err());
    table.fail(Fault::None);
    assert_eq!(log.append(1, "plan-b", "plan-b"), Ok(Appended::Done(2)));
    assert_eq!(log.since(0).map(|e| e.len()), Ok(2));
}

#[test]
fn a_long_log_is_read_in_pages() {
    let log = AppendLog::new(Table::default(), "config");
    for n in 0..600 {
        let text = format!("plan-{n}");
        assert_eq!(log.append(n, &text, &text), Ok(Appended::Done(n + 1)));
    }
    assert_eq!(log.since(0).map(|e| e.len()), Ok(600));
}

fn item(key: &str, version: u64, value: &str) -> WriteItem {
    WriteItem {
        key: key.into(),
        version,
        value: value.into(),
        index: Index::Keep,
    }
}

#[test]
fn writes_of_many_callers_share_transactions_and_a_conflict_fails_alone() {
    let table = Table::default();
    let commit = GroupCommit::start(table.clone(), 1000);
    assert_eq!(
        commit.submit(item("taken", 0, "x")).recv(),
        Ok(Outcome::Written(1))
    );
    let rxs: Vec<_> = (0..200)
        .map(|n| commit.submit(item(&format!("k{n}"), 0, &format!("v{n}"))))
        .collect();
    let lost = commit.submit(item("taken", 0, "y"));
    assert!(rxs
        .into_iter()
        .all(|rx| matches!(rx.recv(), Ok(Outcome::Written(_)))));
    assert_eq!(lost.recv(), Ok(Outcome::Conflict));
    assert!(table.commits() < 20, "{} transactions", table.commits());
}

#[test]
fn two_writes_to_one_key_do_not_share_a_transaction() {
    let commit = GroupCommit::start(Table::default(), 1000);
    let rxs: Vec<_> = (0..20)
        .map(|n| commit.submit(item("one", 0, &format!("v{n}"))))
        .collect();
    let written = rxs
        .into_iter()
        .filter(|rx| matches!(rx.recv(), Ok(Outcome::Written(_))));
    assert_eq!(written.count(), 1);
}

#[rstest]
#[case::answer_lost(Fault::AnswerLost, Outcome::Written(1))]
#[case::request_lost(Fault::RequestLost, Outcome::Unknown("lost".into()))]
#[case::refused(Fault::Refused, Outcome::Refused("platform refused the call: down".into()))]
fn a_lost_write_is_read_back(#[case] fault: Fault, #[case] expected: Outcome) {
    let table = Table::default();
    table.fail(fault);
    let commit = GroupCommit::start(table, 10);
    assert_eq!(commit.submit(item("k", 0, "v")).recv(), Ok(expected));
}

#[test]
fn the_timer_ends_subscriptions_whose_receiver_is_gone() {
    let timer = Timer::start();
    let gone = timer.subscribe(Duration::from_millis(1));
    drop(gone);
    let kept = timer.subscribe(Duration::from_millis(2));
    for _ in 0..5 {
        kept.recv().expect("ticks");
    }
    drop(timer);
    while kept.recv_timeout(Duration::from_secs(20)).is_ok() {}
    assert!(kept.is_disconnected());
}

#[test]
fn a_bucket_gives_its_rate_and_no_more() {
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
