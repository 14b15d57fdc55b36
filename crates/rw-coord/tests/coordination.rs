//! The append-only log, group commit, the timer and the token bucket, against an
//! in-memory table service with injected faults.

mod common;

use std::time::Duration;

use common::{InMemoryTable, InjectedFault};
use rstest::rstest;
use rw_coord::{
    AppendLog, AppendOutcome, ConditionalWrite, GroupCommit, IndexUpdate, Timer, TokenBucket,
    WriteOutcome,
};

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

/// Guards against memory that grows with subscriptions that ended before any change.
#[test]
fn ended_subscriptions_are_forgotten_without_a_change() {
    let notifier = rw_coord::ChangeNotifier::default();
    let kept = notifier.subscribe();
    for _ in 0..10_000 {
        drop(notifier.subscribe());
    }
    assert!(notifier.subscription_count() < 100);
    notifier.notify();
    assert!(kept.try_recv().is_ok());
}
