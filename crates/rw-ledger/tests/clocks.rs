//! Claims of machines whose clocks differ, against an in-memory platform.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use rstest::rstest;
use rw_ledger::{unresolved_claims, ClaimOutcome, ClaimRequest, Ledger, RecordedOutcome};
use rw_platform::{Commit, Error, ObjectStore, Put, Result, Row, TableService, Transaction};
use rw_protocol::{Claim, ClaimState};

const NOW_MS: u64 = 1_800_000_000_000;

#[derive(Clone, Default)]
struct InMemoryPlatform(Arc<Mutex<BTreeMap<String, Row>>>);

impl TableService for InMemoryPlatform {
    fn commit(&self, txn: &Transaction) -> Result<Commit> {
        let mut rows = self.0.lock().expect("no panic");
        let version_of = |key: &str| rows.get(key).map_or(0, |row| row.version);
        let conditions = txn.conditions.iter();
        let failed = conditions.filter(|c| version_of(&c.key) != c.version);
        let conflicts: Vec<String> = failed.map(|c| c.key.clone()).collect();
        let committed = conflicts.is_empty();
        let version = rows.values().map(|row| row.version).max().unwrap_or(0) + 1;
        if committed {
            for Put { key, value } in txn.puts.clone() {
                let row = Row {
                    key: key.clone(),
                    value,
                    version,
                };
                rows.insert(key, row);
            }
            rows.retain(|key, _| !txn.deletes.contains(key));
        }
        Ok(Commit {
            committed,
            version,
            conflicts,
        })
    }

    fn read(&self, key: &str) -> Result<Option<Row>> {
        Ok(self.0.lock().expect("no panic").get(key).cloned())
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>> {
        let rows = self.0.lock().expect("no panic");
        let found = rows
            .values()
            .filter(|row| row.key.starts_with(prefix) && *row.key > *after);
        Ok(found.take(limit).cloned().collect())
    }
}

impl ObjectStore for InMemoryPlatform {
    fn put(&self, _key: &str, _body: &[u8]) -> Result<()> {
        Err(Error::Refused("no objects".into()))
    }

    fn get(&self, _key: &str) -> Result<Vec<u8>> {
        Err(Error::Refused("no objects".into()))
    }
}

// A platform with an open claim that another machine made, at `at_ms` on its clock.
fn platform_with_claim(at_ms: u64) -> InMemoryPlatform {
    let claim = Claim {
        team: "penal".into(),
        key: "k".into(),
        request_hash: "h".into(),
        attempt: 7,
        state: ClaimState::Started,
        status: 0,
        body: String::new(),
        owner: "other".into(),
        at_ms,
        timeout_ms: None,
    };
    let put = |key: &str, value: String| Put {
        key: key.into(),
        value,
    };
    let value = serde_json::to_string(&claim).expect("a claim is JSON");
    let txn = Transaction {
        conditions: Vec::new(),
        puts: vec![
            put("claim/penal/k", value),
            put("open/0000000000000007", "claim/penal/k".into()),
        ],
        deletes: Vec::new(),
    };
    let platform = InMemoryPlatform::default();
    platform.commit(&txn).expect("written");
    platform
}

/// Guards against open claims that operators do not see because they were made by a
/// machine whose clock is ahead.
#[rstest]
fn every_open_claim_is_listed_whatever_its_clock(
    #[values(-3_600_000, -2_000, 0, 2_000, 3_600_000)] offset_ms: i64,
) {
    let platform = platform_with_claim(NOW_MS.saturating_add_signed(offset_ms));
    let listed = |min_age_ms| {
        let claims = unresolved_claims(&platform, min_age_ms, NOW_MS);
        claims.expect("the table answers").len()
    };
    assert_eq!(listed(0), 1);
    assert_eq!(listed(4_000_000), 0);
}

/// Guards against an operator's request with a huge age that ends in an overflow.
#[test]
fn no_claim_is_older_than_the_largest_age() {
    let platform = platform_with_claim(NOW_MS);
    assert_eq!(
        unresolved_claims(&platform, u64::MAX, NOW_MS),
        Ok(Vec::new())
    );
}

/// Guards against a call that runs again because its claim looks old on another clock.
#[rstest]
fn an_open_claim_is_never_taken_over_whatever_its_clock(
    #[values(-3_600_000, -2_000, 0, 2_000, 3_600_000)] offset_ms: i64,
) {
    let at_ms = rw_coord::unix_ms().saturating_add_signed(offset_ms);
    let platform = platform_with_claim(at_ms);
    let ledger = Ledger::new(platform, "own".into());
    let mut req = ClaimRequest {
        team: "penal".into(),
        key: "k".into(),
        hash: "h".into(),
        attempt: 8,
        timeout_ms: None,
    };
    let started = ClaimOutcome::Started {
        at_ms,
        timeout_ms: None,
    };
    assert_eq!(ledger.claim(&req), Ok(started));
    req.key = "other".into();
    let Ok(ClaimOutcome::Claimed(open)) = ledger.claim(&req) else {
        panic!("a new key is claimed");
    };
    let answered = RecordedOutcome::Answered(200, b"done".to_vec());
    ledger.close(open, answered).expect("closed");
    let outcome = ClaimOutcome::Answered(200, b"done".to_vec());
    assert_eq!(ledger.claim(&req), Ok(outcome));
}
