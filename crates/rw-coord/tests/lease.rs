//! Leases against an in-memory table service, on clocks that step.

mod common;

use std::time::Duration;

use common::{InMemoryTable, InjectedFault, SteppedClock};
use rstest::rstest;
use rw_coord::{Clock, Error, LeaseManager};
use rw_platform::{Put, TableService, Transaction};

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

/// Guards against a lease that is taken from its holder, or withheld after its expiry,
/// because machines disagree about the time of day.
#[rstest]
fn lease_expires_after_its_ttl_whatever_the_time_of_day(
    #[values(-3_600_000, -2_000, 0, 2_000, 3_600_000)] offset_ms: i64,
    #[values(false, true)] steps_while_waiting: bool,
) {
    let (table, ttl) = (InMemoryTable::default(), Duration::from_secs(10));
    let clock = SteppedClock::default();
    let other = clock.other_machine();
    let a = LeaseManager::with_clock(table.clone(), "a", ttl, clock.clone());
    let b = LeaseManager::with_clock(table, "b", ttl, other.clone());
    if !steps_while_waiting {
        other.step(offset_ms);
    }
    let lease = a.acquire("x", 1).expect("free");
    assert!(matches!(b.acquire("x", 2), Err(Error::Held(..))));
    other.step(offset_ms);
    clock.set_elapsed_ms(9_999);
    assert!(!lease.remaining_at(clock.uptime()).is_zero());
    assert!(matches!(b.acquire("x", 3), Err(Error::Held(_, 1))));
    clock.set_elapsed_ms(10_000);
    assert!(lease.remaining_at(clock.uptime()).is_zero());
    let taken = b.acquire("x", 4).expect("expired");
    b.release("x", &taken).expect("released");
    a.acquire("x", 5).expect("free at once after its release");
}

/// Guards against a lease that is taken early by a machine that saw it late, while its
/// holder acquires it again, or with a shorter ttl than the holder's.
#[test]
fn lease_is_taken_only_after_its_row_was_seen_unchanged_for_the_ttl_of_its_holder() {
    let table = InMemoryTable::default();
    let clock = SteppedClock::default();
    let manager = |holder, ttl_s| {
        let ttl = Duration::from_secs(ttl_s);
        LeaseManager::with_clock(table.clone(), holder, ttl, clock.clone())
    };
    let (a, b) = (manager("a", 10), manager("b", 5));
    let held_for_ms = |attempt| match b.acquire("x", attempt) {
        Err(Error::Held(holder, left_ms)) if holder == "a" => left_ms,
        other => panic!("{other:?}"),
    };
    a.acquire("x", 1).expect("free");
    clock.set_elapsed_ms(9_000);
    assert_eq!(held_for_ms(2), 10_000, "the time of the write is not known");
    clock.set_elapsed_ms(18_000);
    assert_eq!(held_for_ms(3), 1_000);
    a.acquire("x", 4).expect("its own");
    clock.set_elapsed_ms(20_000);
    assert_eq!(held_for_ms(5), 10_000, "the row has changed");
    clock.set_elapsed_ms(30_000);
    b.acquire("x", 6).expect("expired");
}

/// Guards against rows of the previous build, without a ttl, that cannot be read.
#[test]
fn lease_row_without_a_ttl_expires_after_the_ttl_of_the_reader() {
    let table = InMemoryTable::default();
    let value = r#"{"holder":"a","attempt":1,"epoch":7,"until_ms":5}"#;
    let put = Put {
        key: "lease/x".into(),
        value: value.into(),
    };
    let txn = Transaction {
        conditions: Vec::new(),
        puts: vec![put],
        deletes: Vec::new(),
    };
    table.commit(&txn).expect("written");
    let clock = SteppedClock::default();
    let ttl = Duration::from_secs(10);
    let b = LeaseManager::with_clock(table, "b", ttl, clock.clone());
    assert!(matches!(b.acquire("x", 2), Err(Error::Held(_, 10_000))));
    clock.set_elapsed_ms(10_000);
    assert_eq!(b.acquire("x", 3).expect("expired").epoch, 8);
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
