//! Overload simulations without a network: several entries with delayed load
//! reports, and callers that retry.

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
    RequestRequirements, ServerOutlook, SlotRotation, WindowedRetryBudget,
};

/// Time at which clocks step, in the middle of a simulation.
const STEP_AT: Duration = Duration::from_secs(58);

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
    unread_tokens: u32,
) -> EngineCandidate<'a> {
    EngineCandidate {
        server,
        profile,
        load: EngineLoad {
            running,
            unread_tokens,
        },
        slowdown: 1.0,
        outlook: ServerOutlook::default(),
        remote: false,
        max_running: profile.slots,
        held_tokens: 0,
    }
}

/// Several entries see the same free slots at the same time.
#[rstest]
#[case::few_entries(4, 9)]
#[case::many_entries(14, 40)]
fn entries_with_delayed_reports_do_not_fill_the_same_slot(
    #[case] entries: usize,
    #[case] servers: usize,
) {
    let now = Duration::from_secs(100);
    for server in 0..servers {
        let server = Name::from(format!("s-{server}"));
        for free in 0..4u32 {
            let acquiring = (0..entries).filter(|index| {
                let position = EntryPosition {
                    index: *index,
                    count: entries,
                };
                SlotRotation::default().may_acquire(&server, free, position, now, now)
            });
            assert_eq!(acquiring.count(), (free as usize).min(entries));
        }
    }
}

#[test]
fn released_slot_is_reserved_for_its_own_entry() {
    let (server, now) = (Name::from("s"), Duration::from_secs(100));
    let mut rotation = SlotRotation::default();
    let entries_that_may_acquire = |rotation: &SlotRotation| {
        let position = |index| EntryPosition { index, count: 100 };
        (0..100)
            .filter(|i| rotation.may_acquire(&server, 1, position(*i), now, now))
            .count()
    };
    assert_eq!(entries_that_may_acquire(&rotation), 1);
    rotation.on_released(now);
    assert_eq!(
        entries_that_may_acquire(&rotation),
        100,
        "the releasing entry may acquire the slot in any round"
    );
    rotation.on_acquired(now, now);
    assert_eq!(entries_that_may_acquire(&rotation), 1);
}

/// An idle engine joins loaded ones; entries that do not see each other's requests
/// must not all send theirs to it.
#[test]
fn idle_engine_is_not_flooded() {
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
    let to_idle = sent.get("s-0").copied().unwrap_or(0);
    assert!(to_idle > 0);
    assert!(
        to_idle < 400 / 10,
        "{to_idle} of 400 went to one of 40 engines"
    );
}

/// Refused callers retry during the overload; they only get slots that requests
/// which can still meet their objective do not need.
#[rstest]
#[case::busy(11, false)]
#[case::half(6, true)]
fn late_requests_get_only_spare_capacity(#[case] running: u32, #[case] selected: bool) {
    let (profile, name) = (engine(), Name::from("s"));
    let engines = [candidate(&name, &profile, running, 0)];
    let first = select_engine(&requirements(false), &engines, 0);
    assert!(
        matches!(first, EngineSelection::Selected(..)),
        "a request within its objective is accepted"
    );
    let retry = select_engine(&requirements(true), &engines, 0);
    assert_eq!(matches!(retry, EngineSelection::Selected(..)), selected);
}

/// Concurrent prefills of long prompts would exceed the event gap of every stream.
#[test]
fn pending_prefill_blocks_further_requests() {
    let (profile, name) = (engine(), Name::from("s"));
    let is_accepted = |unread_tokens| {
        let engines = [candidate(&name, &profile, 4, unread_tokens)];
        matches!(
            select_engine(&requirements(false), &engines, 0),
            EngineSelection::Selected(..)
        )
    };
    assert!(is_accepted(1000));
    assert!(!is_accepted(6000));
}

/// Offered load from half of the capacity to three times the capacity.
#[test]
fn goodput_does_not_fall_under_overload() {
    let runs: Vec<(f64, u32)> = [0.5, 0.8, 1.0, 1.25, 1.5, 2.0, 3.0]
        .map(|factor| simulate_load(factor, |_, now| now))
        .to_vec();
    let peak = runs.iter().map(|(goodput, _)| *goodput).fold(0.0, f64::max);
    let at = runs
        .iter()
        .position(|(goodput, _)| *goodput == peak)
        .expect("a peak");
    assert!(peak > 0.9, "{runs:?}");
    for (goodput, max_running_on_engine) in &runs[at..] {
        assert!(*goodput >= 0.95 * peak, "{runs:?}");
        assert!(
            *max_running_on_engine <= 18,
            "{max_running_on_engine} on an engine of 12 slots"
        );
    }
}

/// Guards against slots that stay unused, or engines that are flooded, while the clocks
/// of entries are seconds apart or step.
#[rstest]
#[case::apart(|entry, now| now + Duration::from_millis(393) * entry as u32)]
#[case::two_groups(|entry, now| now + Duration::from_secs(2) * (entry as u32 % 2))]
#[case::all_step_back(|_, now| if now < STEP_AT { now } else { now - Duration::from_secs(2) })]
#[case::all_step_forth(|_, now| if now < STEP_AT { now } else { now + Duration::from_secs(2) })]
#[case::one_steps_back(|entry, now| match entry {
    3 if now >= STEP_AT => now - Duration::from_secs(2),
    _ => now,
})]
fn clocks_that_differ_cost_no_goodput(#[case] wall_clock: fn(usize, Duration) -> Duration) {
    for factor in [1.0, 1.5, 3.0] {
        let (in_step, _) = simulate_load(factor, |_, now| now);
        let (goodput, max_running_on_engine) = simulate_load(factor, wall_clock);
        assert!(goodput >= 0.95 * in_step, "{goodput} of {in_step}");
        // Each of the entries may start one request before it learns of the others'.
        assert!(
            max_running_on_engine <= 12 + 11,
            "{max_running_on_engine} on an engine of 12 slots"
        );
    }
}

/// Guards against an entry that leaves free slots unused for as long as its clock was
/// stepped.
#[rstest]
fn an_entry_keeps_its_turns_when_its_clock_steps(#[values(-2_000, -150, 150, 2_000)] step_ms: i64) {
    let (server, fresh) = (Name::from("s"), SlotRotation::default());
    let position = EntryPosition { index: 1, count: 4 };
    let is_turn = |rotation: &SlotRotation, ms| {
        let at = Duration::from_millis(ms);
        rotation.may_acquire(&server, 1, position, at, at)
    };
    let mut rounds = (100_000..).step_by(100);
    let used_ms = rounds.find(|ms| is_turn(&fresh, *ms)).expect("a turn");
    let mut rotation = fresh.clone();
    rotation.on_acquired(
        Duration::from_millis(used_ms),
        Duration::from_millis(used_ms),
    );
    let after_step = (1..=60).map(|n| (used_ms + n * 100).saturating_add_signed(step_ms));
    let turns: Vec<u64> = after_step.filter(|ms| is_turn(&fresh, *ms)).collect();
    let lost = turns.iter().filter(|ms| !is_turn(&rotation, **ms));
    assert!(turns.len() > 1 && lost.count() <= 1, "{turns:?}");
}

// Simulates an offered load of `factor` times the capacity. Returns the used share
// of the capacity and the maximum number of requests on one engine. `wall_clock` is the
// time of day at an entry.
fn simulate_load(factor: f64, wall_clock: impl Fn(usize, Duration) -> Duration) -> (f64, u32) {
    let profile = engine();
    let (entries, servers, step) = (11usize, 34usize, Duration::from_millis(5));
    let names: Vec<Name> = (0..servers).map(|n| Name::from(format!("s-{n}"))).collect();
    let mean_duration = Duration::from_millis(1560);
    let capacity = f64::from(profile.slots) * servers as f64 / mean_duration.as_secs_f64();
    let mut rng = SmallRng::seed_from_u64(11);
    // Running requests as (server, entry, end), and the counts that each entry
    // last reported.
    let mut running: Vec<(usize, usize, Duration)> = Vec::new();
    let mut rotation = vec![vec![SlotRotation::default(); servers]; entries];
    let mut reported = vec![vec![0u32; servers]; entries];
    let (mut now, mut completed, mut max_running_on_engine) = (Duration::from_secs(50), 0u32, 0u32);
    // Exclude the first seconds, in which the engines fill up.
    let measured_from = now + Duration::from_secs(4);
    let until = now + Duration::from_secs(16);
    let mut due_requests = 0.0;
    while now < until {
        now += step;
        let ended: Vec<_> = running.iter().filter(|r| r.2 <= now).copied().collect();
        running.retain(|r| r.2 > now);
        for (server, entry, _) in ended {
            rotation[entry][server].on_released(now);
            completed += u32::from(now > measured_from);
        }
        let mut own = vec![vec![0u32; servers]; entries];
        for (server, entry, _) in &running {
            own[*entry][*server] += 1;
        }
        if now.as_millis() % 100 == 0 {
            reported.clone_from(&own);
        }
        due_requests += capacity * factor * step.as_secs_f64();
        while due_requests >= 1.0 {
            due_requests -= 1.0;
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
                    let may_acquire = rotation[entry][at].may_acquire(
                        name,
                        free,
                        position,
                        wall_clock(entry, now),
                        now,
                    );
                    EngineCandidate {
                        max_running: if may_acquire {
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
                rotation[entry][at].on_acquired(wall_clock(entry, now), now);
                let spread = rng.random_range(0.3..1.7);
                running.push((at, entry, now + mean_duration.mul_f64(spread)));
                own[entry][at] += 1;
                let running_on_engine = running.iter().filter(|r| r.0 == at).count() as u32;
                max_running_on_engine = max_running_on_engine.max(running_on_engine);
            }
        }
    }
    (
        f64::from(completed) / 12.0 / capacity,
        max_running_on_engine,
    )
}

proptest! {
    // No window exceeds its retry limit, whatever the arrival pattern.
    #[test]
    fn retries_stay_within_budget_in_every_window(
        gaps in proptest::collection::vec((0u64..900, any::<bool>()), 1..400),
    ) {
        let (window, ratio, extra_retries) = (Duration::from_secs(10), 0.2, 5.0);
        let mut budget = WindowedRetryBudget::new(window, ratio, extra_retries);
        let mut now = Duration::from_secs(1000);
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (gap, is_retry) in gaps {
            now += Duration::from_millis(gap);
            if is_retry {
                if budget.take(now) {
                    retries.push(now);
                }
            } else {
                budget.on_request(now);
                requests.push(now);
            }
        }
        for end in &retries {
            let inside = |at: &&Duration| **at <= *end && **at + window > *end;
            let (r, n) = (retries.iter().filter(inside).count(), requests.iter().filter(inside).count());
            prop_assert!(r as f64 <= n as f64 * ratio + extra_retries, "{} retries, {} requests", r, n);
        }
    }
}
