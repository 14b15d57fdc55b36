//! Limits that backend servers name for all entries together: no more arrives than they
//! asked for, and what they asked for is used.

mod limit_simulation;

use limit_simulation::{
    assert_limit_kept, assert_limit_used, ms, seeds, Demand, Setup, Simulation, CONTACT_WINDOW,
    KNOWN_AFTER, MS, NAMED_AT, SECOND,
};
use rstest::rstest;

/// Guards against entries that each keep a limit by themselves, and against shares that
/// are too small to be used.
#[rstest]
#[case::a_fifth(0.2)]
#[case::as_in_the_incident(1.7)]
#[case::two(2.0)]
#[case::forty(40.0)]
fn limit_is_kept_and_used(
    #[case] limit: f64,
    #[values(3, 8, 35)] entries: usize,
    #[values(Demand::AllAlike, Demand::OneEntry, Demand::MovingAbout)] demand: Demand,
) {
    for seed in seeds() {
        let seconds = if limit < 1.0 { 120 } else { 30 };
        let setup = Setup {
            entries,
            servers: vec![vec![(NAMED_AT, Some(limit))]],
            per_s: 20.0 + 3.0 * limit,
            demand,
            seconds,
            ..Setup::default()
        };
        let out = Simulation::run(setup, seed);
        let (from, to) = (NAMED_AT + KNOWN_AFTER, seconds * SECOND);
        assert_limit_kept(&out, 0, limit, from, to, seed);
        // A window begins with the first permit, one interval after the naming.
        let first = from + (SECOND as f64 * 1.1 / limit) as u64;
        assert_limit_used(&out, 0, limit, first, to, seed);
    }
}

/// Sizes of the target, with fewer seeds.
#[rstest]
#[case::small_limit(250, 2.0, 400.0)]
#[case::large_limit(40, 400.0, 1000.0)]
fn limit_is_kept_and_used_by_many_entries(
    #[case] entries: usize,
    #[case] limit: f64,
    #[case] per_s: f64,
) {
    let setup = Setup {
        entries,
        servers: vec![vec![(NAMED_AT, Some(limit))]],
        per_s,
        seconds: 20,
        ..Setup::default()
    };
    let out = Simulation::run(setup, 1);
    let (from, to) = (NAMED_AT + KNOWN_AFTER, 20 * SECOND);
    assert_limit_kept(&out, 0, limit, from, to, 1);
    assert_limit_used(&out, 0, limit, from + SECOND, to, 1);
}

/// Guards against a response that was sent before the limit was named, and ends it because
/// it arrives later.
#[rstest]
fn limit_is_kept_although_responses_overtake_each_other(#[values(1.7, 20.0)] limit: f64) {
    for seed in seeds() {
        let setup = Setup {
            servers: vec![vec![(10 * SECOND, Some(limit))]],
            per_s: 20.0 + 3.0 * limit,
            max_response_time: 3 * SECOND,
            ..Setup::default()
        };
        let out = Simulation::run(setup, seed);
        // No entry can know of the limit before a response that names it arrives.
        let from = out.told_at[0].expect("an entry is told") + KNOWN_AFTER;
        assert_limit_kept(&out, 0, limit, from, 40 * SECOND, seed);
    }
}

/// Guards against a limit that is broken because entries miss what others know.
#[rstest]
fn limit_is_kept_although_messages_are_lost_late_and_repeated(
    #[values(0.2, 2.0, 20.0)] limit: f64,
    #[values(0.02, 0.2)] loss: f64,
) {
    for seed in seeds() {
        let setup = Setup {
            entries: 8,
            servers: vec![vec![(NAMED_AT, Some(limit))]],
            per_s: 40.0 + 3.0 * limit,
            loss,
            max_delay: 50 * MS,
            ..Setup::default()
        };
        let out = Simulation::run(setup, seed);
        let (from, to) = (NAMED_AT + CONTACT_WINDOW, 40 * SECOND);
        assert_limit_kept(&out, 0, limit, from, to, seed);
        assert!(
            out.count(0, from, to) > 0,
            "seed {seed}: the limit is not used"
        );
    }
}

/// Guards against a limit that outlasts its end, and one that is not followed when it
/// changes.
#[rstest]
fn limit_is_followed_when_it_changes_and_ends(#[values(3, 8)] entries: usize) {
    let changes = vec![
        (NAMED_AT, Some(10.0)),
        (12 * SECOND, Some(2.0)),
        (22 * SECOND, Some(20.0)),
        (32 * SECOND, None),
    ];
    for seed in seeds() {
        let setup = Setup {
            entries,
            servers: vec![changes.clone()],
            per_s: 80.0,
            seconds: 42,
            ..Setup::default()
        };
        let out = Simulation::run(setup, seed);
        for (n, (at, limit)) in changes[..3].iter().enumerate() {
            let (limit, end) = (limit.expect("a limit"), changes[n + 1].0);
            assert_limit_kept(&out, 0, limit, at + KNOWN_AFTER, end, seed);
            assert_limit_used(&out, 0, limit, at + 2 * SECOND, end, seed);
        }
        // All the work goes to the server again within a second of the end.
        let count = out.count(0, 33 * SECOND, 42 * SECOND);
        assert!(
            count > 600,
            "seed {seed}: {count} requests in 9 s after the end"
        );
    }
}

/// A server that wants no requests gets one each ten seconds, whose response shows whether
/// that still holds.
#[rstest]
fn limit_of_zero_is_kept_and_its_end_is_noticed(#[values(1, 3, 8)] entries: usize) {
    for seed in seeds() {
        let setup = Setup {
            entries,
            servers: vec![vec![(NAMED_AT, Some(0.0)), (40 * SECOND, None)]],
            seconds: 60,
            ..Setup::default()
        };
        let out = Simulation::run(setup, seed);
        assert_limit_kept(&out, 0, 0.0, NAMED_AT + KNOWN_AFTER, 40 * SECOND, seed);
        let later = out.count(0, 51 * SECOND, 60 * SECOND);
        assert!(later > 400, "seed {seed}: {later} requests after the end");
    }
}

/// A limit that comes and goes each second: no more arrives than while it held all along.
#[rstest]
fn limit_that_comes_and_goes_causes_no_storm(#[values(3, 8)] entries: usize) {
    let changes = (0..40).map(|n| {
        let limit = (n % 2 == 0).then_some(2.0);
        (NAMED_AT + n * SECOND, limit)
    });
    for seed in seeds() {
        let setup = Setup {
            entries,
            servers: vec![changes.clone().collect()],
            seconds: 42,
            ..Setup::default()
        };
        let out = Simulation::run(setup, seed);
        assert!(
            out.asks < 40 * 60,
            "seed {seed}: {} requests for permits",
            out.asks
        );
        assert!(out.count(0, NAMED_AT, 42 * SECOND) > 0);
    }
}

/// Guards against limits that push the work of a service onto too few servers, or that are
/// left unused beside servers without one.
#[rstest]
fn limits_of_some_servers_are_kept_and_used_beside_others(#[values(3, 8)] entries: usize) {
    for seed in seeds() {
        let setup = Setup {
            entries,
            servers: vec![
                vec![(NAMED_AT, Some(2.0))],
                vec![(NAMED_AT, Some(10.0))],
                vec![],
                vec![],
            ],
            per_s: 150.0,
            patience: ms(0),
            ..Setup::default()
        };
        let out = Simulation::run(setup, seed);
        let (from, to) = (NAMED_AT + KNOWN_AFTER, 40 * SECOND);
        for (server, limit) in [(0, 2.0), (1, 10.0)] {
            assert_limit_kept(&out, server, limit, from, to, seed);
            assert_limit_used(&out, server, limit, from + SECOND, to, seed);
        }
        assert_eq!(out.refused, 0, "seed {seed}");
    }
}

/// Guards against a service all of whose servers have limits: each gets what it asked for,
/// and the rest is refused.
#[rstest]
fn limits_of_all_servers_are_kept_and_used(#[values(3, 8)] entries: usize) {
    let limits = [1.7, 5.0, 20.0];
    for seed in seeds() {
        let setup = Setup {
            entries,
            servers: limits.map(|limit| vec![(NAMED_AT, Some(limit))]).into(),
            per_s: 120.0,
            ..Setup::default()
        };
        let out = Simulation::run(setup, seed);
        let (from, to) = (NAMED_AT + KNOWN_AFTER, 40 * SECOND);
        for (server, limit) in limits.into_iter().enumerate() {
            assert_limit_kept(&out, server, limit, from, to, seed);
            assert_limit_used(&out, server, limit, from + SECOND, to, seed);
        }
        assert!(out.refused > 0, "seed {seed}");
    }
}

/// Guards against permits that are saved up while there are no requests.
#[rstest]
fn limit_is_kept_in_bursts(#[values(0.2, 1.7, 20.0)] limit: f64) {
    for seed in seeds() {
        let setup = Setup {
            servers: vec![vec![(NAMED_AT, Some(limit))]],
            per_s: 300.0,
            demand: Demand::Bursts,
            seconds: 60,
            ..Setup::default()
        };
        let out = Simulation::run(setup, seed);
        // The second burst is the first that meets the limit.
        let from = out.told_at[0].expect("an entry is told") + KNOWN_AFTER;
        assert_limit_kept(&out, 0, limit, from, 60 * SECOND, seed);
    }
}
