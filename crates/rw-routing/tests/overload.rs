//! Patterns of load that ask for more than there is, without any network:
//! several entries that see each other's requests late, callers that come back.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use rw_protocol::Name;
use rw_routing::{
    select_engine, EngineCandidate, EngineLoad, EngineProfile, EngineSelection, EntryPosition,
    RequestRequirements, SlotRotation, WindowedRetryBudget,
};

fn engine() -> EngineProfile {
    EngineProfile {
        slots: 12,
        step_ms: 8.87,
        step_ms_per_request: 0.0388,
        context_ms_per_1000: 0.0227,
        prefill_tokens_per_ms: 19.1,
        steps_per_pass: 5,
        mean_prompt_tokens: 977,
        mean_answer_tokens: 94,
    }
}

fn requirements(late: bool) -> RequestRequirements {
    RequestRequirements {
        prompt_tokens: 977,
        first_event_budget: Duration::from_millis(400),
        max_event_gap: Duration::from_millis(400),
        late,
    }
}

fn candidate<'a>(
    server: &'a Name,
    profile: &'a EngineProfile,
    running: u32,
    unread: u32,
) -> EngineCandidate<'a> {
    EngineCandidate {
        server,
        profile,
        load: EngineLoad {
            running,
            unread_tokens: unread,
        },
        slowdown: 1.0,
        remote: false,
        max_running: profile.slots,
    }
}

/// Entries that all see one slot free at the same moment.
#[rstest]
#[case::few_entries(4, 9)]
#[case::many_entries(14, 40)]
fn entries_that_see_each_other_late_do_not_fill_the_same_slot(
    #[case] entries: usize,
    #[case] servers: usize,
) {
    let now = Duration::from_secs(100);
    for server in 0..servers {
        let server = Name::from(format!("s-{server}"));
        for free in 0..4u32 {
            let takers = (0..entries).filter(|index| {
                let position = EntryPosition {
                    index: *index,
                    count: entries,
                };
                SlotRotation::default().may_acquire(&server, free, position, now, now)
            });
            assert_eq!(takers.count(), (free as usize).min(entries));
        }
    }
}

#[test]
fn a_slot_that_a_request_left_is_its_own_entrys_first() {
    let (server, now) = (Name::from("s"), Duration::from_secs(100));
    let mut rotations = SlotRotation::default();
    let others = |rotations: &SlotRotation| {
        let position = |index| EntryPosition { index, count: 100 };
        (0..100)
            .filter(|i| rotations.may_acquire(&server, 1, position(*i), now, now))
            .count()
    };
    assert_eq!(others(&rotations), 1);
    rotations.on_released(now);
    assert_eq!(
        others(&rotations),
        100,
        "the leaver may take it whatever the turn"
    );
    rotations.on_acquired(now, now);
    assert_eq!(others(&rotations), 1);
}

/// An engine that comes up empty beside full ones, seen by many at once.
#[test]
fn an_empty_engine_is_not_rushed() {
    let profile = engine();
    let names: Vec<Name> = (0..40).map(|n| Name::from(format!("s-{n}"))).collect();
    let mut rng = SmallRng::seed_from_u64(7);
    let mut sent: BTreeMap<Name, u32> = BTreeMap::new();
    for _ in 0..400 {
        let mut engines: Vec<_> = names
            .iter()
            .enumerate()
            .map(|(at, name)| candidate(name, &profile, if at == 0 { 0 } else { 6 }, 0))
            .collect();
        engines.shuffle(&mut rng);
        if let EngineSelection::Selected(server, _) =
            select_engine(&requirements(false), &engines, 0)
        {
            *sent.entry(server).or_default() += 1;
        }
    }
    let to_empty = sent.get("s-0").copied().unwrap_or(0);
    assert!(to_empty > 0);
    assert!(
        to_empty < 400 / 10,
        "{to_empty} of 400 went to one of 40 engines"
    );
}

/// Callers that were refused come back while the rush goes on.
#[rstest]
#[case::busy(11, false)]
#[case::half(6, true)]
fn callers_that_waited_get_what_is_spare(#[case] running: u32, #[case] placed: bool) {
    let (profile, name) = (engine(), Name::from("s"));
    let engines = [candidate(&name, &profile, running, 0)];
    let first = select_engine(&requirements(false), &engines, 0);
    assert!(
        matches!(first, EngineSelection::Selected(..)),
        "a fresh request fits"
    );
    let again = select_engine(&requirements(true), &engines, 0);
    assert_eq!(matches!(again, EngineSelection::Selected(..)), placed);
}

/// Long prompts let in together would stretch the pauses of every stream.
#[test]
fn unread_prompts_keep_others_out_until_they_are_read() {
    let (profile, name) = (engine(), Name::from("s"));
    let room = |unread| {
        let engines = [candidate(&name, &profile, 4, unread)];
        matches!(
            select_engine(&requirements(false), &engines, 0),
            EngineSelection::Selected(..)
        )
    };
    assert!(room(1000));
    assert!(!room(6000));
}

/// Offered load from half to three times what the engines can do.
#[test]
fn goodput_does_not_fall_when_more_is_offered() {
    let runs: Vec<(f64, u32)> = [0.5, 0.8, 1.0, 1.25, 1.5, 2.0, 3.0].map(offer).to_vec();
    let peak = runs.iter().map(|(goodput, _)| *goodput).fold(0.0, f64::max);
    let at = runs
        .iter()
        .position(|(goodput, _)| *goodput == peak)
        .expect("a peak");
    assert!(peak > 0.9, "{runs:?}");
    for (goodput, most) in &runs[at..] {
        assert!(*goodput >= 0.95 * peak, "{runs:?}");
        assert!(*most <= 18, "{most} on an engine of 12 slots");
    }
}

// Plays a load of so many times the capacity; returns the share of the capacity
// that was used, and the most requests that one engine held.
fn offer(factor: f64) -> (f64, u32) {
    let profile = engine();
    let (entries, servers, step) = (11usize, 34usize, Duration::from_millis(5));
    let names: Vec<Name> = (0..servers).map(|n| Name::from(format!("s-{n}"))).collect();
    let service = Duration::from_millis(1560);
    let capacity = f64::from(profile.slots) * servers as f64 / service.as_secs_f64();
    let mut rng = SmallRng::seed_from_u64(11);
    // (server, entry, end) of what runs; counts as each entry last told them.
    let mut running: Vec<(usize, usize, Duration)> = Vec::new();
    let mut rotations = vec![vec![SlotRotation::default(); servers]; entries];
    let mut reported = vec![vec![0u32; servers]; entries];
    let (mut now, mut done, mut most) = (Duration::from_secs(50), 0u32, 0u32);
    // The first seconds fill the engines.
    let counted = now + Duration::from_secs(4);
    let until = now + Duration::from_secs(16);
    let mut owed = 0.0;
    while now < until {
        now += step;
        let ended: Vec<_> = running.iter().filter(|r| r.2 <= now).copied().collect();
        running.retain(|r| r.2 > now);
        for (server, entry, _) in ended {
            rotations[entry][server].on_released(now);
            done += u32::from(now > counted);
        }
        let mut own = vec![vec![0u32; servers]; entries];
        for (server, entry, _) in &running {
            own[*entry][*server] += 1;
        }
        if now.as_millis() % 100 == 0 {
            reported.clone_from(&own);
        }
        owed += capacity * factor * step.as_secs_f64();
        while owed >= 1.0 {
            owed -= 1.0;
            let entry = rng.random_range(0..entries);
            let known_load = |server: usize| {
                let others = (0..entries)
                    .filter(|e| *e != entry)
                    .map(|e| reported[e][server]);
                own[entry][server] + others.sum::<u32>()
            };
            let position = EntryPosition {
                index: entry,
                count: entries,
            };
            let mut engines: Vec<_> = names
                .iter()
                .enumerate()
                .map(|(at, name)| {
                    let load = known_load(at);
                    let free = profile.slots.saturating_sub(load);
                    let may = rotations[entry][at].may_acquire(name, free, position, now, now);
                    EngineCandidate {
                        max_running: if may {
                            profile.slots
                        } else {
                            load.min(profile.slots)
                        },
                        ..candidate(name, &profile, load, 0)
                    }
                })
                .collect();
            engines.shuffle(&mut rng);
            if let EngineSelection::Selected(server, _) =
                select_engine(&requirements(false), &engines, 0)
            {
                let at = names.iter().position(|n| *n == server).expect("known");
                rotations[entry][at].on_acquired(now, now);
                let spread = rng.random_range(0.3..1.7);
                running.push((at, entry, now + service.mul_f64(spread)));
                own[entry][at] += 1;
                let held = running.iter().filter(|r| r.0 == at).count() as u32;
                most = most.max(held);
            }
        }
    }
    (f64::from(done) / 12.0 / capacity, most)
}

proptest! {
    // Whatever the pattern, no window holds more repeats than it may.
    #[test]
    fn repeats_keep_to_their_share_in_every_window(
        gaps in proptest::collection::vec((0u64..900, any::<bool>()), 1..400),
    ) {
        let (window, ratio, extra) = (Duration::from_secs(10), 0.2, 5.0);
        let mut budget = WindowedRetryBudget::new(window, ratio, extra);
        let mut now = Duration::from_secs(1000);
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for (gap, repeat) in gaps {
            now += Duration::from_millis(gap);
            if repeat {
                if budget.take(now) {
                    repeats.push(now);
                }
            } else {
                budget.on_request(now);
                requests.push(now);
            }
        }
        for end in &repeats {
            let inside = |at: &&Duration| **at <= *end && **at + window > *end;
            let (r, n) = (repeats.iter().filter(inside).count(), requests.iter().filter(inside).count());
            prop_assert!(r as f64 <= n as f64 * ratio + extra, "{} repeats, {} requests", r, n);
        }
    }
}
