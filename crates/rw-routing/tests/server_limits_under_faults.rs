//! Limits that backend servers name, while entries die, restart, freeze, leave, are cut off
//! from each other, or join.

mod limit_simulation;

use limit_simulation::{
    allowed, assert_limit_kept, assert_limit_used, seeds, Demand, Fault, Setup, Simulation,
    KNOWN_AFTER, NAMED_AT, SECOND,
};
use rstest::rstest;

/// Time after which the share of an entry that is gone is used by the others.
const WHOLE_AFTER_S: u64 = 12;

/// Guards against two owners, or none, when entries come, go, freeze or are cut off: the
/// limit is kept all the while, and used again some seconds later.
#[rstest]
#[case::one_is_killed(vec![(10, 0, Fault::Kill)])]
#[case::one_is_killed_and_starts_again(vec![(10, 0, Fault::Kill), (14, 0, Fault::Start)])]
#[case::one_leaves(vec![(10, 1, Fault::Leave), (13, 1, Fault::Kill)])]
#[case::one_is_added(vec![(0, 4, Fault::Kill), (10, 4, Fault::Start)])]
#[case::one_freezes(vec![(10, 0, Fault::FreezeFor(3 * SECOND))])]
#[case::one_freezes_for_long(vec![(10, 0, Fault::FreezeFor(9 * SECOND))])]
#[case::one_freezes_shortly(vec![(10, 0, Fault::FreezeFor(SECOND))])]
#[case::all_freeze(all_entries(10, Fault::FreezeFor(3 * SECOND)))]
#[case::several_in_a_row(vec![
    (8, 0, Fault::Kill), (9, 1, Fault::FreezeFor(3 * SECOND)), (11, 0, Fault::Start),
    (13, 2, Fault::Leave), (15, 2, Fault::Kill), (16, 2, Fault::Start), (16, 3, Fault::Kill),
])]
fn limit_is_kept_while_entries_come_and_go(
    #[case] faults: Vec<(u64, usize, Fault)>,
    #[values(0.2, 1.7, 20.0)] limit: f64,
) {
    let last_fault = faults.iter().map(|(at, ..)| *at).max().expect("a fault");
    let seconds = last_fault + WHOLE_AFTER_S + (20.0_f64).max(10.0 / limit) as u64;
    for seed in seeds() {
        // The roles of the entries change with the seed.
        let shifted = faults.iter();
        let shifted =
            shifted.map(|(at, entry, fault)| (*at * SECOND, (entry + seed as usize) % 5, *fault));
        let setup = Setup {
            entries: 5,
            servers: vec![vec![(NAMED_AT, Some(limit))]],
            per_s: 20.0 + 3.0 * limit,
            seconds,
            faults: shifted.collect(),
            ..Setup::default()
        };
        let out = Simulation::run(setup, seed);
        let end = seconds * SECOND;
        assert_limit_kept(&out, 0, limit, NAMED_AT + KNOWN_AFTER, end, seed);
        let whole_from = last_fault + WHOLE_AFTER_S + (2.0 / limit) as u64;
        assert_limit_used(&out, 0, limit, whole_from * SECOND, end, seed);
    }
}

/// Guards against two owners where two entries do not hear each other and others hear both,
/// and against an entry that gets no permits there.
#[rstest]
fn limit_is_kept_while_links_between_entries_fail(
    #[values(0.2, 1.7, 20.0)] limit: f64,
    #[values(Demand::AllAlike, Demand::OneEntry)] demand: Demand,
) {
    for seed in seeds() {
        let first = seed as usize % 5;
        let cut = |n: usize| (10 * SECOND, first, Fault::CutLinkTo((first + n) % 5));
        let heal = |n: usize| (40 * SECOND, first, Fault::HealLinkTo((first + n) % 5));
        let setup = Setup {
            entries: 5,
            servers: vec![vec![(NAMED_AT, Some(limit))]],
            per_s: 20.0 + 3.0 * limit,
            demand,
            seconds: 60,
            faults: vec![cut(1), cut(2), heal(1), heal(2)],
            ..Setup::default()
        };
        let out = Simulation::run(setup, seed);
        let (from, to) = (NAMED_AT + KNOWN_AFTER, 60 * SECOND);
        assert_limit_kept(&out, 0, limit, from, to, seed);
        assert_limit_used(&out, 0, limit, 20 * SECOND, 40 * SECOND, seed);
    }
}

fn all_entries(at: u64, fault: Fault) -> Vec<(u64, usize, Fault)> {
    (0..5).map(|entry| (at, entry, fault)).collect()
}

/// Entries that all start again know of the limit as soon as one of them is told.
#[rstest]
fn limit_is_kept_after_all_entries_restart(#[values(0.2, 1.7, 20.0)] limit: f64) {
    let mut faults = all_entries(10 * SECOND, Fault::Kill);
    faults.extend(all_entries(11 * SECOND, Fault::Start));
    for seed in seeds() {
        let setup = Setup {
            entries: 5,
            servers: vec![vec![(NAMED_AT, Some(limit))]],
            per_s: 20.0 + 3.0 * limit,
            seconds: 60,
            faults: faults.clone(),
            ..Setup::default()
        };
        let out = Simulation::run(setup, seed);
        assert_limit_kept(&out, 0, limit, NAMED_AT + KNOWN_AFTER, 11 * SECOND, seed);
        let known_at = 11 * SECOND + KNOWN_AFTER;
        assert_limit_kept(&out, 0, limit, known_at, 60 * SECOND, seed);
        let used_from = known_at + 2 * SECOND + (SECOND as f64 * 1.1 / limit) as u64;
        assert_limit_used(&out, 0, limit, used_from, 60 * SECOND, seed);
    }
}

/// Entries that are cut off from the others, but not from the servers, use their share of
/// the limit. The users excuse them; the others keep the limit, and all together the
/// users' bound.
#[rstest]
#[case::one_for_a_while(vec![(10, 0, Fault::CutOff), (20, 0, Fault::Heal)])]
#[case::one_shortly(vec![(10, 0, Fault::CutOff), (12, 0, Fault::Heal)])]
#[case::two(vec![
    (10, 0, Fault::CutOff), (10, 1, Fault::CutOff),
    (30, 0, Fault::Heal), (30, 1, Fault::Heal),
])]
fn limit_is_kept_while_entries_are_cut_off(
    #[case] faults: Vec<(u64, usize, Fault)>,
    #[values(0.2, 1.7, 20.0)] limit: f64,
) {
    let faults = faults.into_iter();
    let faults: Vec<_> = faults
        .map(|(at, entry, fault)| (at * SECOND, entry, fault))
        .collect();
    for seed in seeds() {
        let setup = Setup {
            entries: 5,
            servers: vec![vec![(NAMED_AT, Some(limit))]],
            per_s: 20.0 + 3.0 * limit,
            seconds: 60,
            faults: faults.clone(),
            ..Setup::default()
        };
        let out = Simulation::run(setup, seed);
        let (from, to) = (NAMED_AT + KNOWN_AFTER, 60 * SECOND);
        let (most, allowed) = (out.most_in_touch(0, from, to), allowed(limit));
        assert!(
            most <= allowed,
            "seed {seed}: {most} where {allowed} are allowed"
        );
        let (most, allowed) = (
            out.most_in_window(0, from, to),
            (6.0 * limit + 5.0) as usize,
        );
        assert!(
            most <= allowed,
            "seed {seed}: {most} of all, {allowed} are allowed"
        );
        assert_limit_used(&out, 0, limit, 45 * SECOND, to, seed);
    }
}
