//! Memory account and connection table over random histories.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use rw_routing::{
    ConnectionActivity, ConnectionRoom, ConnectionTable, MemoryAccount, MemoryGrant, MemoryLimits,
};

const MEMORY: u64 = 112 << 20;
/// Largest body that the deployments permit.
const BODY: u64 = 4 << 20;

fn limits() -> MemoryLimits {
    MemoryLimits::for_machine(MEMORY).expect("a limit")
}

#[derive(Clone, Debug)]
enum Step {
    Open,
    Take(usize, u64),
    GiveBack(usize, u64),
    Owe(usize, bool),
    Close(usize),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Open),
        8 => (0..64usize, 1..2 * BODY).prop_map(|(n, bytes)| Step::Take(n, bytes)),
        2 => (0..64usize, 1..BODY).prop_map(|(n, bytes)| Step::GiveBack(n, bytes)),
        3 => (0..64usize, any::<bool>()).prop_map(|(n, owes)| Step::Owe(n, owes)),
        1 => (0..64usize).prop_map(Step::Close),
        2 => (1..3000u64).prop_map(Step::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(17), ..ProptestConfig::default() })]

    /// Guards against grants beyond the bound, bytes that are lost to the account, and small
    /// requests that larger ones starve.
    #[test]
    fn account_keeps_to_its_bound(steps in proptest::collection::vec(step(), 1..400)) {
        let (limits, mut account) = (limits(), MemoryAccount::new(limits()));
        let mut held: BTreeMap<u64, u64> = BTreeMap::new();
        let (mut next_id, mut now) = (0, Duration::ZERO);
        for step in steps {
            let pick = |n: usize| held.keys().nth(n % held.len().max(1)).copied();
            match step {
                Step::Open => {
                    account.open(next_id);
                    held.insert(next_id, 0);
                    next_id += 1;
                }
                Step::Take(n, bytes) => if let Some(id) = pick(n) {
                    match account.take(id, bytes, now) {
                        MemoryGrant::Granted => *held.entry(id).or_default() += bytes,
                        MemoryGrant::AfterClosing(other) => {
                            prop_assert!(other != id);
                            account.close(other);
                            prop_assert!(held.remove(&other).unwrap_or(0) > 0);
                        }
                        MemoryGrant::Wait | MemoryGrant::Refused => {}
                    }
                },
                Step::GiveBack(n, bytes) => if let Some(id) = pick(n) {
                    account.give_back(id, bytes);
                    let left = held.entry(id).or_default();
                    *left = left.saturating_sub(bytes);
                },
                Step::Owe(n, owes) => if let Some(id) = pick(n) { account.set_awaiting_transfer(id, owes, now) },
                Step::Close(n) => if let Some(id) = pick(n) {
                    account.close(id);
                    held.remove(&id);
                },
                Step::Pass(ms) => now += Duration::from_millis(ms),
            }
            prop_assert_eq!(account.held(), held.values().sum::<u64>());
            prop_assert!(account.held() <= limits.total);
            prop_assert!(held.values().all(|bytes| *bytes <= limits.per_connection));
            let large: u64 = held.values().filter(|bytes| **bytes > limits.small).sum();
            prop_assert!(large <= limits.total - limits.reserve);
        }
    }

    /// Guards against the refusal of a single permitted request while nothing else is held.
    #[test]
    fn single_request_is_granted(parts in proptest::collection::vec(1..BODY / 8, 1..8)) {
        let mut account = MemoryAccount::new(limits());
        account.open(1);
        for part in parts {
            prop_assert_eq!(account.take(1, part, Duration::ZERO), MemoryGrant::Granted);
        }
    }

    /// Guards against ports that hold more connections than they may, and against closing one
    /// whose request is being worked on.
    #[test]
    fn table_keeps_to_its_bound(steps in proptest::collection::vec((0..40u64, 0..3u8), 1..300)) {
        let mut table = ConnectionTable::new(8);
        let mut working = BTreeMap::new();
        for (at, (id, action)) in steps.into_iter().enumerate() {
            let now = Duration::from_millis(at as u64);
            match action {
                0 if !working.contains_key(&id) => match table.open(id, now) {
                    ConnectionRoom::Free => { working.insert(id, false); }
                    ConnectionRoom::Closing(other) => {
                        prop_assert_eq!(working.remove(&other), Some(false));
                        working.insert(id, false);
                    }
                    ConnectionRoom::Full => prop_assert!(working.values().all(|w| *w)),
                },
                1 if working.contains_key(&id) => {
                    table.set(id, ConnectionActivity::Working, now);
                    working.insert(id, true);
                }
                2 => {
                    table.close(id);
                    working.remove(&id);
                }
                _ => {}
            }
            prop_assert!(table.count() <= 8);
            prop_assert_eq!(table.count(), working.len());
        }
    }
}

/// Guards against a slow client that is cut off although it keeps the minimum rate, and one
/// that holds memory while it sends less.
#[test]
fn only_clients_below_the_minimum_rate_are_too_slow() {
    let (limits, mut account) = (limits(), MemoryAccount::new(limits()));
    for id in [1, 2] {
        account.open(id);
        account.set_awaiting_transfer(id, true, Duration::ZERO);
    }
    for s in 1..=60 {
        let now = Duration::from_secs(s);
        account.on_transfer(1, limits.min_bytes_per_s, now);
        account.on_transfer(2, 100, now);
        assert!(!account.is_too_slow(1, now));
    }
    assert!(account.is_too_slow(2, Duration::from_secs(60)));
}

/// Guards against closing a connection to make room for others that makes progress, or whose
/// request waits for a server.
#[test]
fn only_the_largest_stalled_connection_makes_room() {
    let mut account = MemoryAccount::new(limits());
    let (mut id, later) = (0, Duration::from_secs(2));
    loop {
        account.open(id);
        if account.take(id, BODY, Duration::ZERO) != MemoryGrant::Granted {
            break;
        }
        id += 1;
        assert!(id * BODY < MEMORY, "more is granted than there is");
    }
    assert_eq!(account.take(id, BODY, later), MemoryGrant::Refused);
    account.give_back(2, BODY / 2);
    for stalled in [1, 2] {
        account.set_awaiting_transfer(stalled, true, Duration::ZERO);
    }
    assert_eq!(
        account.take(id, 2 * BODY, later),
        MemoryGrant::AfterClosing(1)
    );
    account.close(1);
    assert_eq!(account.take(id, BODY, later), MemoryGrant::Granted);
}

/// Guards against new callers that displace each other on a full port while idle
/// connections keep their places.
#[test]
fn new_connections_do_not_displace_each_other() {
    let at = Duration::from_millis;
    let mut table = ConnectionTable::new(3);
    for id in 0..3 {
        table.open(id, Duration::ZERO);
        table.set(id, ConnectionActivity::Working, at(1));
        table.set(id, ConnectionActivity::Waiting, at(2 + id));
    }
    assert_eq!(table.open(3, at(5000)), ConnectionRoom::Closing(0));
    assert_eq!(table.open(4, at(5100)), ConnectionRoom::Closing(1));
    assert_eq!(table.open(5, at(6500)), ConnectionRoom::Closing(3));
}
