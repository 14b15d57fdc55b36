//! When daemons believe that weights were requested, in a simulation without I/O: readers
//! of the store that do not run for a while, whose calls are reset, or that find the store
//! away. Times are milliseconds; the store's clock and the uptimes differ by an offset.

mod common;

use std::time::Duration;

use common::{cluster, row, table_version};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use rw_fleet::{
    waits_at_store, Bounds, CallTimes, ChangeTimes, ClockReading, RequestedWeights, Snapshot,
    StoreClock, TimeSpan, ARRIVAL_TIME,
};
use rw_platform::Error;
use rw_protocol::{RequestedVersionTime, RowsReply, StoreClockReading};

/// Time of the store's clock at uptime 0.
const CLOCK_OFFSET_MS: u64 = 5_000_000;
/// Margin before the rollout deadline from which requests require new weights.
const MARGIN_MS: u64 = 1300;
/// Longest poll of a reader, the time after which it is given up, and the pause before the
/// next one.
const POLL_MS: u64 = 2000;
const POLL_LIMIT_MS: u64 = 2700;
const POLL_PAUSE_MS: u64 = 60;
/// Number of calls in succession that are reset at most; more are an outage.
const MAX_RESETS: u32 = 3;
/// Longest way between a reader and the store.
const MAX_DELAY_MS: u64 = 20;
/// Time by which an undisturbed reader may require a version too early: a request made
/// between two polls, or before a poll surely waits at the store.
const MAX_EARLY_MS: u64 = POLL_PAUSE_MS + ARRIVAL_TIME.as_millis() as u64 + 4 * MAX_DELAY_MS;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A reader of the store, and when it is disturbed.
struct Reader {
    rng: SmallRng,
    // Time in which the reader does not run.
    paused: std::ops::Range<u64>,
    // Share of the calls that are reset, in percent.
    reset_percent: u64,
    resets: u32,
    // Uptime at the last call that showed that the store was away.
    away_at: Option<Duration>,
    clock: StoreClock,
    times: ChangeTimes,
}

/// What a reader knows of a request for weights.
struct Learned {
    at: u64,
    span: Option<TimeSpan>,
}

impl Reader {
    // Time at which the reader acts on what is due at `at`.
    fn runs_at(&self, at: u64) -> u64 {
        match self.paused.contains(&at) {
            true => self.paused.end,
            false => at,
        }
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(1..=MAX_DELAY_MS)
    }

    // Reads the table, which has no request yet.
    fn read_table(&mut self, at: u64) {
        let answered_at = at + self.delay();
        let received_at = answered_at + self.delay();
        let clock_ms = CLOCK_OFFSET_MS + answered_at;
        let reading = ClockReading {
            era: 0,
            time: TimeSpan::at(clock_ms),
        };
        self.clock.observe(reading, ms(at), ms(received_at));
        self.times.on_table_read(Some(clock_ms), ms(3000));
    }

    // Polls the store until it delivers a request made at `requested_at`. The store refuses
    // calls, or leaves them without a response, while it is away.
    fn learn(&mut self, requested_at: u64, away: &std::ops::Range<u64>) -> Learned {
        let mut at = self.rng.random_range(0..POLL_MS);
        self.read_table(at);
        loop {
            let called_at = self.runs_at(at);
            let prepared_at = called_at + self.rng.random_range(0..3);
            let sent_at = self.runs_at(prepared_at);
            let arrived_at = sent_at + self.delay();
            if let Some(ended_at) = self.failure(called_at, arrived_at, away) {
                at = self.runs_at(ended_at) + self.rng.random_range(50..500);
                continue;
            }
            let answered_at = requested_at.clamp(arrived_at, arrived_at + POLL_MS);
            let delivered_at = answered_at + self.delay();
            let received_at = self.runs_at(delivered_at);
            let checked_at = self.runs_at(called_at + ARRIVAL_TIME.as_millis() as u64);
            let was_waiting =
                received_at > checked_at && waits_at_store(ms(called_at), ms(checked_at));
            let clock_ms = CLOCK_OFFSET_MS + answered_at;
            let reading = ClockReading {
                era: 0,
                time: TimeSpan::at(clock_ms),
            };
            self.clock.observe(reading, ms(called_at), ms(received_at));
            let outage_end = self.away_at.and_then(|at| self.clock.read(at));
            let outage_end_ms = outage_end.map(|reading| reading.time.earliest_ms);
            let span = self.times.of_changes(clock_ms, was_waiting, outage_end_ms);
            self.times.on_changes(Some(clock_ms));
            if answered_at >= requested_at {
                return Learned {
                    at: received_at,
                    span,
                };
            }
            at = received_at + POLL_PAUSE_MS;
        }
    }

    // Time at which a call fails; `None` if it does not.
    fn failure(
        &mut self,
        called_at: u64,
        arrived_at: u64,
        away: &std::ops::Range<u64>,
    ) -> Option<u64> {
        let (err, ended_at) = if away.contains(&arrived_at) {
            match self.rng.random_bool(0.5) {
                true => (Error::Refused("away".into()), arrived_at + 1),
                false => (Error::Unknown("hung".into()), called_at + POLL_LIMIT_MS),
            }
        } else if self.resets < MAX_RESETS && self.rng.random_range(0..100) < self.reset_percent {
            self.resets += 1;
            (Error::Unknown("reset".into()), arrived_at + 1)
        } else {
            self.resets = 0;
            return None;
        };
        let ended_at = self.runs_at(ended_at);
        let call = CallTimes {
            called_at: ms(called_at),
            ended_at: ms(ended_at),
            limit: ms(POLL_LIMIT_MS),
        };
        if self.times.on_failure(&err, call) {
            self.away_at = Some(ms(called_at));
        }
        Some(ended_at)
    }
}

/// Whether a reader requires version 2 at an uptime.
fn requires(reader: &Reader, span: Option<TimeSpan>, bounds: &Bounds, at: u64) -> bool {
    let mut snapshot = Snapshot {
        store_clock: reader.clock,
        ..Snapshot::default()
    };
    let requested = RequestedWeights {
        version: 2,
        requested: span,
        started_at: Duration::ZERO,
    };
    snapshot
        .requested_weights
        .insert("m".into(), vec![requested]);
    snapshot.min_version("m", bounds, ms(at)) == 2
}

#[derive(Clone, Copy)]
enum Disturbance {
    None,
    Pauses,
    Resets,
    PausesAndResets,
    Outage,
}

fn reader(disturbance: Disturbance, seed: u64, requested_at: u64) -> Reader {
    let mut rng = SmallRng::seed_from_u64(seed);
    let pauses = matches!(
        disturbance,
        Disturbance::Pauses | Disturbance::PausesAndResets
    );
    // Most pauses begin shortly before the request.
    let begin = requested_at.saturating_sub(rng.random_range(0..3000));
    let paused = match pauses {
        true => begin..begin + rng.random_range(1..8000),
        false => 0..0,
    };
    let resets = matches!(
        disturbance,
        Disturbance::Resets | Disturbance::PausesAndResets
    );
    Reader {
        rng,
        paused,
        reset_percent: if resets { 40 } else { 0 },
        resets: 0,
        away_at: None,
        clock: StoreClock::default(),
        times: ChangeTimes::default(),
    }
}

/// Guards against requests that begin on old weights past their deadline, at any pair of
/// deadline and settling time, whatever delayed the reader that learned of the request;
/// and against refusals before they are due while nothing is wrong.
#[rstest]
fn a_version_is_required_in_time_and_not_before(
    #[values(1, 2, 4, 8, 13, 30)] deadline_s: u64,
    #[values(1, 3, 4, 30)] settling_s: u64,
    #[values(
        Disturbance::None,
        Disturbance::Pauses,
        Disturbance::Resets,
        Disturbance::PausesAndResets,
        Disturbance::Outage
    )]
    disturbance: Disturbance,
) {
    let bounds = Bounds {
        drain: ms(2000),
        grace: ms(8000),
        retry_ratio: 0.2,
        retry_extra: 1.0,
        retry_window: ms(10_000),
        settling: ms(settling_s * 1000),
        rollout_deadline: ms(deadline_s * 1000),
        ..Bounds::default()
    };
    let required_after = (deadline_s * 1000).saturating_sub(MARGIN_MS);
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(1000 + seed);
        let requested_at = rng.random_range(60_000..70_000);
        let outage_s = rng.random_range(0..8);
        let away = match disturbance {
            Disturbance::Outage => requested_at - outage_s * 1000..requested_at,
            _ => 0..0,
        };
        let mut readers: Vec<Reader> = (0..3)
            .map(|n| reader(disturbance, 3 * seed + n, requested_at))
            .collect();
        let learned: Vec<Learned> = readers
            .iter_mut()
            .map(|reader| reader.learn(requested_at, &away))
            .collect();
        let spans = learned.iter().filter_map(|learned| learned.span);
        let combined = spans.reduce(TimeSpan::combine);
        for (reader, learned) in readers.iter().zip(&learned) {
            let due = requested_at + required_after;
            for span in [learned.span, combined] {
                let at = learned.at.max(due);
                assert!(requires(reader, span, &bounds, at), "late at seed {seed}");
            }
            let early = due.saturating_sub(MAX_EARLY_MS + 1);
            if matches!(disturbance, Disturbance::None) && early > learned.at {
                let is_early = requires(reader, combined, &bounds, early);
                assert!(!is_early, "early at seed {seed}");
            }
        }
    }
}

fn exact(clock_ms: u64) -> ClockReading {
    ClockReading {
        era: 0,
        time: TimeSpan::at(clock_ms),
    }
}

/// Guards against requests that become younger by a reading from a copy that lags.
#[test]
fn a_reading_behind_the_known_clock_is_ignored() {
    let mut clock = StoreClock::default();
    clock.observe(exact(70_000), ms(1000), ms(1000));
    clock.observe(exact(68_000), ms(2000), ms(2000));
    assert_eq!(clock.read(ms(2000)), Some(exact(71_000)));
}

/// Guards against ages that are wrong for good after a long time on a machine whose clock
/// goes faster or slower than the store's.
#[rstest]
#[case::faster(3_600_300)]
#[case::slower(3_599_700)]
fn the_bounds_of_the_clock_allow_for_drift(#[case] uptime_ms: u64) {
    let hour_ms = 3_600_000;
    let mut clock = StoreClock::default();
    clock.observe(exact(0), ms(0), ms(0));
    let time = clock.read(ms(uptime_ms)).expect("a reading").time;
    assert!((time.earliest_ms..=time.latest_ms).contains(&hour_ms));
    clock.observe(exact(hour_ms), ms(uptime_ms), ms(uptime_ms));
    assert_eq!(clock.read(ms(uptime_ms)), Some(exact(hour_ms)));
}

/// Guards against a request that counts as new because a read that lags lacked it.
#[test]
fn a_change_right_after_a_read_may_be_as_old_as_the_read_lags() {
    let mut times = ChangeTimes::default();
    times.on_table_read(Some(10_000), ms(3000));
    let span = times.of_changes(10_100, false, None).expect("bounded");
    assert_eq!((span.earliest_ms, span.latest_ms), (7000, 10_100));
}

fn reply(cluster_clock_ms: u64, requested: Option<u64>) -> RowsReply {
    let times = requested.map(|at_ms| RequestedVersionTime {
        model: "m".into(),
        version: 2,
        era: 0,
        earliest_ms: at_ms,
        latest_ms: at_ms,
    });
    RowsReply {
        rows: vec![row("operator", "w", 2, "weights 2")],
        known: vec![table_version("operator", 2)],
        in_touch: true,
        requested: times.into_iter().collect(),
        clock: StoreClockReading {
            era: 0,
            earliest_ms: cluster_clock_ms,
            latest_ms: cluster_clock_ms,
        },
    }
}

/// Guards against an entry that takes a request for new because it learned of it from
/// another entry, whose reply it read late.
#[test]
fn a_reply_that_is_read_late_does_not_make_a_request_younger() {
    let cluster = cluster();
    cluster.replace_table(&"operator".into(), Vec::new(), 1);
    let now = rw_coord::uptime();
    let late = Duration::from_secs(5);
    cluster.apply_reply(&reply(70_000, Some(69_000)), now - late);
    let age = cluster.snapshot().requested_age("m", 2, now);
    assert!(age >= Some(Duration::from_secs(6)), "{age:?}");
}

/// Guards against an entry that never learns when weights were requested, because another
/// daemon sent it the row before the store's feed did.
#[test]
fn the_time_of_a_row_that_is_known_already_counts() {
    let cluster = cluster();
    cluster.replace_table(&"operator".into(), Vec::new(), 1);
    let now = rw_coord::uptime();
    cluster.apply_reply(&reply(70_000, None), now);
    assert_eq!(cluster.snapshot().requested_age("m", 2, now), None);
    cluster.apply_changes(
        vec![row("operator", "w", 2, "weights 2")],
        &[table_version("operator", 2)],
        Some(TimeSpan::at(69_000)),
    );
    let age = cluster.snapshot().requested_age("m", 2, now);
    assert!(age >= Some(Duration::from_secs(1)), "{age:?}");
}

/// Guards against ages that jump with the clock of a store that came back from a copy.
#[test]
fn a_store_that_comes_back_with_another_clock_keeps_ages() {
    let cluster = cluster();
    cluster.replace_table(&"operator".into(), Vec::new(), 1);
    let now = rw_coord::uptime();
    cluster.apply_reply(&reply(70_000, Some(60_000)), now);
    let version = u64::from(rw_platform::Revision::new(1, 1));
    cluster.observe_store_clock(version, 3000, rw_coord::uptime());
    let age = cluster.snapshot().requested_age("m", 2, now);
    let (expected, skew) = (Duration::from_secs(10), Duration::from_millis(100));
    // An age below zero on the new clock cannot be expressed, so it counts as unknown.
    assert!(age.is_none_or(|age| age + skew >= expected), "{age:?}");
}
