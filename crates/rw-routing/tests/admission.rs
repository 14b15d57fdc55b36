//! Admission under load without a network: entries with delayed load reports, pooled slots,
//! and callers that return once.

mod admission_simulation;

use admission_simulation::{Load, Outcome, Route};
use rstest::rstest;

/// Slots with which about a quarter of the requests of [`three_ranks`] cannot be served.
const FEW_SLOTS: u32 = 366;

fn three_ranks() -> Load {
    Load::new(vec![
        Route::new(0, 400, 139.0),
        Route::new(1, 400, 77.0),
        Route::new(2, 1000, 109.0),
    ])
}

// The floors of every load: by route, by length of the prompt and for returning requests.
fn assert_no_starvation(outcome: &Outcome) {
    println!("{outcome}");
    for route in 0..outcome.routes.len() {
        assert!(
            outcome.served(route) > 0.5 * outcome.served_of_all(),
            "{outcome}"
        );
        assert!(
            outcome.long_served(route) > 0.5 * outcome.served(route),
            "{outcome}"
        );
    }
    assert_eq!(outcome.refused_with_room, 0, "{outcome}");
}

/// Guards against urgent requests that are refused while others are served, and against
/// ranks that are starved.
#[rstest]
fn steady_overload_with_three_ranks(
    #[values(1, 2, 3)] seed: u64,
    #[values(FEW_SLOTS, 408)] slots: u32,
) {
    let load = Load {
        slots,
        ..three_ranks()
    };
    let outcome = load.run(seed);
    assert!(outcome.at_once(0) > 0.9, "{outcome}");
    assert!(outcome.served(0) > 0.98, "{outcome}");
    assert!(outcome.served(1) > outcome.served(2), "{outcome}");
    assert_no_starvation(&outcome);
}

/// Guards against a less urgent burst that takes the slots of urgent requests.
#[rstest]
fn burst_of_the_least_urgent_route(#[values(1, 2, 3)] seed: u64) {
    let mut load = three_ranks();
    load.slots = 520;
    load.routes[2].burst = 2.5;
    let outcome = load.run(seed);
    assert!(outcome.at_once(0) > 0.97, "{outcome}");
    assert!(outcome.served(1) > 0.9, "{outcome}");
    assert_no_starvation(&outcome);
}

/// Guards against returns that are refused again more often than new requests.
#[rstest]
fn returns_after_refusals(#[values(1, 2, 3)] seed: u64) {
    let load = Load {
        slots: FEW_SLOTS,
        ..three_ranks()
    };
    let outcome = load.run(seed);
    for route in 1..3 {
        assert!(
            outcome.returns_served(route) > 1.2 * outcome.at_once(route),
            "{outcome}"
        );
    }
}

/// Guards against a gain for callers that repeat at once: they get no more than those of
/// another team that return when told, who must not be served less for it than before.
#[rstest]
fn immediate_repeaters(#[values(1, 2, 3)] seed: u64) {
    let half = Route::new(2, 1000, 54.0);
    let load = |repeats| {
        let repeater = Route {
            repeats,
            team: "b",
            ..half
        };
        let mut load = three_ranks();
        load.routes = vec![load.routes[0], load.routes[1], half, repeater];
        load.slots = FEW_SLOTS;
        load
    };
    let (calm, outcome) = (load(false).run(seed), load(true).run(seed));
    println!("calm {calm}");
    println!("repeats {outcome}");
    assert!(outcome.at_once(0) > 0.85, "{outcome}");
    assert!(outcome.served(2) > 0.5 * calm.served(2), "{outcome}");
}

/// Guards against a small entry that refuses what a large one could take.
#[rstest]
fn one_entry_small_and_one_large(#[values(1, 2, 3)] seed: u64) {
    let mut load = three_ranks();
    load.entries = vec![0.1, 1.0, 1.0, 1.0, 1.0, 4.0];
    load.slots = FEW_SLOTS;
    let outcome = load.run(seed);
    assert!(
        outcome.entry_served(0) > 0.5 * outcome.entry_served(5),
        "{outcome}"
    );
    assert!(outcome.at_once(0) > 0.85, "{outcome}");
    assert_no_starvation(&outcome);
}

/// Guards against refusals without need: with enough slots, rank must not matter.
#[rstest]
fn enough_slots_for_all(#[values(1, 2, 3)] seed: u64) {
    let load = Load {
        slots: 620,
        ..three_ranks()
    };
    let outcome = load.run(seed);
    for route in 0..3 {
        assert!(outcome.at_once(route) > 0.99, "{outcome}");
    }
    assert_no_starvation(&outcome);
}

/// Guards against an order other than first come, first served where no rank differs: teams
/// are served alike.
#[rstest]
fn equal_ranks(#[values(1, 2, 3)] seed: u64) {
    let route = |team, per_s| Route {
        team,
        ..Route::new(5, 400, per_s)
    };
    let mut load = Load::new(vec![route("a", 139.0), route("b", 77.0), route("c", 109.0)]);
    load.slots = FEW_SLOTS;
    let outcome = load.run(seed);
    let served = [0, 1, 2].map(|route| outcome.served(route));
    let least = served.iter().copied().fold(1.0, f64::min);
    assert!(least > 0.9 * outcome.served_of_all(), "{outcome}");
    assert_no_starvation(&outcome);
}
