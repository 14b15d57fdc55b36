//! Parts of prompts that end servers, beside sound requests and ordinary trouble: seeded
//! simulations of entries that exchange what they know over lossy links. Each checks both
//! sides: how many crashing requests reach servers, and how many sound ones are held back.

mod poison_simulation;

use std::collections::BTreeMap;

use poison_simulation::{ms, Setup, Simulation};
use rstest::rstest;
use rw_protocol::Name;
use rw_routing::{CrashedServer, PoisonDetector};

const MAX_LATER: u32 = 3;
/// The target: sound requests held back at their first attempt, in a hundred.
const MAX_SOUND_HELD_PERCENT: u32 = 10;

/// Seeds of each case; more of them are tried by hand with `POISON_SEEDS`.
fn seeds() -> u64 {
    let seeds = std::env::var("POISON_SEEDS").ok();
    seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(20)
}

fn check_seeds(setup: &Setup, seeds: std::ops::Range<u64>) {
    let mut failures = BTreeMap::new();
    for seed in seeds {
        let out = Simulation::new(setup.clone(), seed).run();
        let later: Vec<u32> = (0..setup.poison_per_s.len())
            .map(|part| out.later_arrivals(part))
            .collect();
        let holds_sound = out.sound_held_late * 100 > out.sound_sent_late * MAX_SOUND_HELD_PERCENT
            || out.sound_held * 100 > out.sound_sent * MAX_SOUND_HELD_PERCENT;
        if holds_sound || later.iter().any(|later| *later > MAX_LATER) {
            let held = (out.sound_held, out.sound_sent, out.sound_quarantines);
            failures.insert(seed, (later, held));
        }
    }
    assert!(failures.is_empty(), "by seed: {failures:?}");
}

/// Guards against sending crashing requests on, and against holding back sound ones that
/// share their other parts (incident inc1 of Lavaclick).
#[rstest]
#[case::first_part(Setup { poison_position: 0, ..Setup::default() })]
#[case::part_in_the_middle(Setup::default())]
#[case::often(Setup { poison_per_s: vec![12.0], ..Setup::default() })]
#[case::rarely(Setup { poison_per_s: vec![0.1], seconds: 90, ..Setup::default() })]
#[case::from_the_first_request_on(Setup { poison_from_ms: 0, ..Setup::default() })]
#[case::three_parts_at_once(Setup { poison_per_s: vec![2.0, 2.0, 2.0], ..Setup::default() })]
#[case::many_requests_at_each_server(Setup { servers: 4, sound_per_s: 40.0, ..Setup::default() })]
#[case::lost_late_and_repeated_reports(Setup { loss: 0.3, ..Setup::default() })]
#[case::many_entries(Setup { entries: 12, servers: 30, sound_per_s: 95.0, ..Setup::default() })]
#[case::all_entries_restart(Setup { restart_ms: Some(16_000), ..Setup::default() })]
#[case::beside_ordinary_crashes(Setup { ordinary_crashes: 3, poison_from_ms: 10_000, ..Setup::default() })]
#[case::beside_a_loss_of_power(Setup { power_loss: 4, poison_from_ms: 10_000, ..Setup::default() })]
#[case::beside_grey_servers(Setup { grey: 0.06, ..Setup::default() })]
fn crashing_part_is_held_back_and_sound_requests_go_on(#[case] setup: Setup) {
    check_seeds(&setup, 0..seeds());
}

/// Guards against a quarantine where no part is at fault.
#[rstest]
#[case::servers_that_crash(Setup { ordinary_crashes: 3, ..Setup::default() })]
#[case::many_servers_that_crash(Setup { ordinary_crashes: 10, ..Setup::default() })]
#[case::zone_without_power(Setup { power_loss: 4, ..Setup::default() })]
#[case::all_servers_without_power(Setup { power_loss: 12, ..Setup::default() })]
#[case::grey_servers(Setup { grey: 0.06, ..Setup::default() })]
#[case::grey_servers_and_lost_reports(Setup { grey: 0.06, loss: 0.3, ..Setup::default() })]
fn ordinary_trouble_holds_nothing_back(#[case] setup: Setup) {
    for seed in 0..seeds() {
        let calm = Setup {
            poison_per_s: Vec::new(),
            ..setup.clone()
        };
        let out = Simulation::new(calm, seed).run();
        assert_eq!(
            out.sound_held, 0,
            "seed {seed}: {:?}",
            out.sound_quarantines
        );
    }
}

/// Seeds on which the simulations above failed when more of them were tried by hand. All
/// servers end within 1.3 s of the first request: the routes' parts are held for 10 s.
#[test]
fn found_by_hand_routes_are_held_when_all_servers_end_at_once_seed_47() {
    let setup = Setup {
        poison_from_ms: 0,
        ..Setup::default()
    };
    check_seeds(&setup, 47..48);
}

fn assert_nothing_held_when_most_servers_crash(seed: u64) {
    let setup = Setup {
        ordinary_crashes: 10,
        poison_per_s: Vec::new(),
        ..Setup::default()
    };
    let out = Simulation::new(setup, seed).run();
    assert_eq!(out.sound_held, 0, "{:?}", out.sound_quarantines);
}

/// Ten of twelve servers end by themselves within 5 s: a session's part is held for two
/// requests.
#[test]
fn found_by_hand_session_is_held_when_most_servers_crash_seed_46() {
    assert_nothing_held_when_most_servers_crash(46);
}

/// The same with another seed, hidden behind the one above, which ends the loop over seeds.
#[test]
fn found_by_hand_session_is_held_when_most_servers_crash_seed_73() {
    assert_nothing_held_when_most_servers_crash(73);
}

/// Guards against a quarantine that outlives its cause, and against one that returns
/// from reports of entries that have not heard of its end.
#[test]
fn released_part_is_not_quarantined_again_by_old_reports() {
    let parts = [Name::from("bad0")];
    let mut first = PoisonDetector::default();
    let mut second = PoisonDetector::default();
    assert!(first.adopt(&parts, ms(1000)));
    let stale = first.report(ms(2000));
    second.on_report("e-1".into(), &stale, ms(2000));
    assert_eq!(second.evaluate(ms(2000)).len(), 1);
    second.release(&parts, ms(5000));
    second.on_report("e-1".into(), &first.report(ms(5100)), ms(5200));
    assert!(second.evaluate(ms(5200)).is_empty());
    assert!(second.quarantine_of(&parts).is_none());
}

/// Guards against a combination that is quarantined again each time it is weighed.
#[test]
fn parts_that_cannot_be_told_apart_are_quarantined_once() {
    let parts = [Name::from("a"), Name::from("b")];
    let mut detector = PoisonDetector::default();
    for n in 0..5 {
        let server = CrashedServer {
            id: format!("s-{n}").into(),
            started_ms: 0,
        };
        detector.on_crash(&server, &parts, false, ms(n * 300));
    }
    for round in 0..10 {
        detector.evaluate(ms(3000 + round * 100));
    }
    assert_eq!(detector.quarantines().len(), 1);
    assert!(detector.quarantine_of(&parts).is_some());
    assert!(detector.quarantine_of(&parts[..1]).is_none());
}

/// Guards against memory that grows with the number of parts.
#[test]
fn memory_is_bounded_over_hundreds_of_thousands_of_parts() {
    let mut detector = PoisonDetector::default();
    for n in 0..300_000u64 {
        let parts = [Name::from(format!("p{n}"))];
        detector.on_run(&parts, ms(n / 5));
        if n % 100 == 0 {
            let server = CrashedServer {
                id: format!("s-{n}").into(),
                started_ms: 0,
            };
            detector.on_crash(&server, &parts, false, ms(n / 5 + 1));
            detector.evaluate(ms(n / 5 + 1));
        }
    }
    assert!(detector.size() < 20_000, "{}", detector.size());
}
