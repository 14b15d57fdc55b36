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
    place, Demand, EngineCandidate, EngineLoad, EngineProfile, Placed, Sharer, SlotTurns,
    WindowBudget,
};

fn engine() -> EngineProfile {
    EngineProfile {
        slots: 12,
        step_ms: 8.87,
        step_ms_per_request: 0.0388,
        context_ms_per_1000: 0.0227,
        read_tokens_per_ms: 19.1,
        steps_per_pass: 5,
        usual_prompt_tokens: 977,
        usual_answer_tokens: 94,
    }
}

fn demand(late: bool) -> Demand {
    Demand {
        prompt_tokens: 977,
        first_event: Duration::from_millis(400),
        pause: Duration::from_millis(400),
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
        slowness: 1.0,
        remote: false,
        allowed: profile.slots,
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
                let sharer = Sharer {
                    index: *index,
                    count: entries,
                };
                SlotTurns::default().may_take(&server, free, sharer, now, now)
            });
            assert_eq!(takers.count(), (free as usize).min(entries));
        }
    }
}

#[test]
fn a_slot_that_a_request_left_is_its_own_entrys_first() {
    let (server, now) = (Name::from("s"), Duration::from_secs(100));
    let mut turns = SlotTurns::default();
    let others = |turns: &SlotTurns| {
        let sharer = |index| Sharer { index, count: 100 };
        (0..100)
            .filter(|i| turns.may_take(&server, 1, sharer(*i), now, now))
            .count()
    };
    assert_eq!(others(&turns), 1);
    turns.on_left(now);
    assert_eq!(
        others(&turns),
        100,
        "the leaver may take it whatever the turn"
    );
    turns.on_taken(now, now);
    assert_eq!(others(&turns), 1);
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
        if let Placed::At(server, _) = place(&demand(false), &engines, 0) {
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
    let first = place(&demand(false), &engines, 0);
    assert!(matches!(first, Placed::At(..)), "a fresh request fits");
    let again = place(&demand(true), &engines, 0);
    assert_eq!(matches!(again, Placed::At(..)), placed);
}

/// Long prompts let in together would stretch the pauses of every stream.
#[test]
fn unread_prompts_keep_others_out_until_they_are_read() {
    let (profile, name) = (engine(), Name::from("s"));
    let room = |unread| {
        let engines = [candidate(&name, &profile, 4, unread)];
        matches!(place(&demand(false), &engines, 0), Placed::At(..))
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
    let mut turns = vec![vec![SlotTurns::default(); servers]; entries];
    let mut told = vec![vec![0u32; servers]; entries];
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
            turns[entry][server].on_left(now);
            done += u32::from(now > counted);
        }
        let mut own = vec![vec![0u32; servers]; entries];
        for (server, entry, _) in &running {
            own[*entry][*server] += 1;
        }
        if now.as_millis() % 100 == 0 {
            told.clone_from(&own);
        }
        owed += capacity * factor * step.as_secs_f64();
        while owed >= 1.0 {
            owed -= 1.0;
            let entry = rng.random_range(0..entries);
            let believed = |server: usize| {
                let others = (0..entries)
                    .filter(|e| *e != entry)
                    .map(|e| told[e][server]);
                own[entry][server] + others.sum::<u32>()
            };
            let sharer = Sharer {
                index: entry,
                count: entries,
            };
            let mut engines: Vec<_> = names
                .iter()
                .enumerate()
                .map(|(at, name)| {
                    let load = believed(at);
                    let free = profile.slots.saturating_sub(load);
                    let may = turns[entry][at].may_take(name, free, sharer, now, now);
                    EngineCandidate {
                        allowed: if may {
                            profile.slots
                        } else {
                            load.min(profile.slots)
                        },
                        ..candidate(name, &profile, load, 0)
                    }
                })
                .collect();
            engines.shuffle(&mut rng);
            if let Placed::At(server, _) = place(&demand(false), &engines, 0) {
                let at = names.iter().position(|n| *n == server).expect("known");
                turns[entry][at].on_taken(now, now);
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
        let mut budget = WindowBudget::new(window, ratio, extra);
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
