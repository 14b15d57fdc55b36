//! Claims whose write reaches the table service after its time limit.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use rstest::rstest;
use rw_coord::unix_ms;
use rw_ledger::{ClaimOutcome, ClaimRequest, Error, Ledger, RecordedOutcome};
use rw_platform::{Commit, Error as PlatformError, ObjectStore, Result, Row};
use rw_platform::{TableService, Transaction};

#[derive(Default)]
struct State {
    rows: BTreeMap<String, Row>,
    version: u64,
    hold_next: bool,
    deliver_at_next: bool,
    held: Vec<Transaction>,
}

impl State {
    fn apply(&mut self, txn: &Transaction) -> Commit {
        let version_of = |key: &str| self.rows.get(key).map_or(0, |r| r.version);
        let mismatched = txn
            .conditions
            .iter()
            .filter(|c| version_of(&c.key) != c.version);
        let conflicts: Vec<String> = mismatched.map(|c| c.key.clone()).collect();
        let committed = conflicts.is_empty();
        if committed {
            self.version += 1;
            for put in &txn.puts {
                let row = Row {
                    key: put.key.clone(),
                    value: put.value.clone(),
                    version: self.version,
                };
                self.rows.insert(put.key.clone(), row);
            }
            self.rows.retain(|key, _| !txn.deletes.contains(key));
        }
        Commit {
            committed,
            version: self.version,
            conflicts,
        }
    }

    fn deliver(&mut self) {
        for txn in std::mem::take(&mut self.held) {
            self.apply(&txn);
        }
    }
}

/// A table that can hold back a commit: its caller gets no answer, and it takes
/// effect later.
#[derive(Clone, Default)]
struct Table(Arc<Mutex<State>>);

impl Table {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no panic")
    }

    fn hold_next_commit(&self) {
        self.state().hold_next = true;
    }

    fn deliver_held_commits(&self) {
        self.state().deliver();
    }
}

impl TableService for Table {
    fn commit(&self, txn: &Transaction) -> Result<Commit> {
        let mut state = self.state();
        if std::mem::take(&mut state.hold_next) {
            state.held.push(txn.clone());
            return Err(PlatformError::Unknown("no answer".into()));
        }
        if std::mem::take(&mut state.deliver_at_next) {
            state.deliver();
        }
        Ok(state.apply(txn))
    }

    fn read(&self, key: &str) -> Result<Option<Row>> {
        Ok(self.state().rows.get(key).cloned())
    }

    fn scan(&self, _prefix: &str, _after: &str, _limit: usize) -> Result<Vec<Row>> {
        Err(PlatformError::Refused("not needed".into()))
    }
}

impl ObjectStore for Table {
    fn put(&self, _key: &str, _body: &[u8]) -> Result<()> {
        Err(PlatformError::Refused("not needed".into()))
    }

    fn get(&self, _key: &str) -> Result<Vec<u8>> {
        Err(PlatformError::Refused("not needed".into()))
    }
}

fn request(attempt: u64) -> ClaimRequest {
    ClaimRequest {
        team: "penal".into(),
        key: "order-1".into(),
        hash: "hash".into(),
        attempt,
        timeout_ms: None,
    }
}

// Starts with an earlier attempt that did not run, if `has_row`.
fn ledger(has_row: bool) -> (Table, Ledger<Table>) {
    let table = Table::default();
    let ledger = Ledger::new(table.clone(), "entry".into());
    if has_row {
        let Ok(ClaimOutcome::Claimed(open)) = ledger.claim(&request(100)) else {
            panic!("the key is new");
        };
        let closed = ledger.close(open, RecordedOutcome::NotRun);
        assert_eq!(closed, Ok(()));
    }
    (table, ledger)
}

// A charge was answered "not run", its claim took effect after that, and every
// repeat with its key was answered "in progress" and then "unknown".
#[rstest]
#[case::first_claim(false)]
#[case::claim_of_a_repeat(true)]
fn withdrawn_claim_does_not_take_effect_later(#[case] has_row: bool) {
    let (table, ledger) = ledger(has_row);
    table.hold_next_commit();
    let claim = ledger.claim(&request(1));
    assert!(matches!(claim, Err(Error::Unknown(_))), "{claim:?}");
    assert_eq!(ledger.withdraw(&request(1)), Ok(()));
    table.deliver_held_commits();
    let repeat = ledger.claim(&request(2));
    assert!(matches!(repeat, Ok(ClaimOutcome::Claimed(_))), "{repeat:?}");
    // The withdrawal of the first attempt does not affect the second.
    assert_eq!(ledger.withdraw(&request(1)), Ok(()));
    let third = ledger.claim(&request(3));
    assert!(
        matches!(third, Ok(ClaimOutcome::Started { .. })),
        "{third:?}"
    );
}

// A charge whose claim was written late could only be answered "in progress",
// although it was not running.
#[rstest]
#[case::written_before_the_repeat("before")]
#[case::written_during_the_repeat("during")]
#[case::written_after_the_repeat("after")]
fn repeated_claim_of_one_attempt_is_held_once(#[case] delivery: &str) {
    let (table, ledger) = ledger(false);
    table.hold_next_commit();
    let claim = ledger.claim(&request(1));
    assert!(matches!(claim, Err(Error::Unknown(_))), "{claim:?}");
    match delivery {
        "before" => table.deliver_held_commits(),
        "during" => table.state().deliver_at_next = true,
        _ => {}
    }
    // Both writes of the attempt have the time in their value.
    let written_at_ms = unix_ms();
    while unix_ms() == written_at_ms {
        std::thread::yield_now();
    }
    let repeated = ledger.claim(&request(1));
    table.deliver_held_commits();
    let Ok(ClaimOutcome::Claimed(open)) = repeated else {
        panic!("{repeated:?}");
    };
    let other = ledger.claim(&request(2));
    assert!(
        matches!(other, Ok(ClaimOutcome::Started { .. })),
        "{other:?}"
    );
    let answer = RecordedOutcome::Answered(200, b"done".to_vec());
    assert_eq!(ledger.close(open, answer), Ok(()));
    let recorded = ClaimOutcome::Answered(200, b"done".to_vec());
    assert_eq!(ledger.claim(&request(2)), Ok(recorded));
}
