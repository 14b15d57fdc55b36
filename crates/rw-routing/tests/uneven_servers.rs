//! 13 entries send 220 requests a second to 20 servers with 4 slots, a third of which are 2.5
//! times slower for a quarter of a second at a time. Entries tell each other their requests
//! each 100 ms.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use rw_protocol::Name;
use rw_routing::{
    select_engine, EngineCandidate, EngineLoad, EngineProfile, EngineSelection, LoadNotice,
    RequestRequirements, ServerOutlook,
};

const ENTRIES: usize = 13;
const SERVERS: usize = 20;
const SLOTS: u32 = 4;
const PER_S: u64 = 220;
const SERVICE_MS: f64 = 150.0;
const PHASE_MS: u64 = 250;
const REPORT_MS: u64 = 100;
const END_MS: u64 = 30_000;

#[derive(Clone, Copy, PartialEq)]
enum Reports {
    None,
    Current,
    // The first report of each server is never replaced.
    Stale,
}

struct Outcome {
    mean_ms: f64,
    least_requests: usize,
    most_per_report: usize,
}

// Pace of a server at a time, the same for all ways of selection.
fn pace(seed: u64, server: usize, now_ms: u64) -> f64 {
    let key = format!("{seed}-{}", now_ms / PHASE_MS);
    match rw_protocol::rendezvous_rank(&key, &server.to_string()) % 3 {
        0 => 2.5,
        _ => 1.0,
    }
}

fn simulate(seed: u64, reports: Reports) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    // Ends of the requests at each server, with their entry.
    let mut running: Vec<Vec<(f64, usize)>> = vec![Vec::new(); SERVERS];
    let mut reported = vec![[0u32; SERVERS]; ENTRIES];
    let mut notices = vec![[None::<(LoadNotice, u64, u32)>; SERVERS]; ENTRIES];
    let mut arrivals = [[0usize; SERVERS]; (END_MS / REPORT_MS) as usize];
    let (mut total_ms, mut count) = (0.0, 0);
    let mut reported_at = 0;
    for n in 0..PER_S * END_MS / 1000 {
        let now_ms = n * 1000 / PER_S;
        for ends in &mut running {
            ends.retain(|(end, _)| *end > now_ms as f64);
        }
        if now_ms >= reported_at + REPORT_MS {
            reported_at = now_ms;
            for (entry, loads) in reported.iter_mut().enumerate() {
                for (server, load) in loads.iter_mut().enumerate() {
                    *load = running[server].iter().filter(|(_, e)| *e == entry).count() as u32;
                }
            }
        }
        let entry = rng.random_range(0..ENTRIES);
        let known = |server: usize| {
            let own = running[server].iter().filter(|(_, e)| *e == entry).count() as u32;
            let others = (0..ENTRIES).filter(|e| *e != entry);
            own + others.map(|e| reported[e][server]).sum::<u32>()
        };
        let expected = |server: usize| {
            let outlook =
                notices[entry][server].map_or_else(Default::default, |(load, at, known)| {
                    ServerOutlook::new(&load, known, Duration::from_millis(now_ms - at))
                });
            outlook.expected_wait(known(server), SLOTS)
        };
        let pair = sample(&mut rng, SERVERS, 2);
        let server = match expected(pair.index(0)) <= expected(pair.index(1)) {
            true => pair.index(0),
            false => pair.index(1),
        };
        let known = known(server);
        let ends = &mut running[server];
        // The request waits until one of the slots is free.
        ends.sort_by(|a, b| b.0.total_cmp(&a.0));
        let free_at = ends.get(SLOTS as usize - 1).map_or(0.0, |(end, _)| *end);
        let pace = pace(seed, server, now_ms);
        let end = free_at.max(now_ms as f64) + SERVICE_MS * pace;
        if reports == Reports::Current
            || reports == Reports::Stale && notices[entry][server].is_none()
        {
            let load = LoadNotice {
                running: (ends.len() as u32).min(SLOTS),
                waiting: (ends.len() as u32).saturating_sub(SLOTS),
                slots: SLOTS,
                pace,
            };
            notices[entry][server] = Some((load, now_ms, known));
        }
        ends.push((end, entry));
        arrivals[(now_ms / REPORT_MS) as usize][server] += 1;
        total_ms += end - now_ms as f64;
        count += 1;
    }
    let sums = (0..SERVERS).map(|server| arrivals.iter().map(|a| a[server]).sum());
    Outcome {
        mean_ms: total_ms / f64::from(count),
        least_requests: sums.min().unwrap_or(0),
        most_per_report: arrivals.iter().flatten().copied().max().unwrap_or(0),
    }
}

/// Guards against reports that make the selection worse than without them, or that draw the
/// requests of all entries to the server that looks free between two reports.
#[rstest]
fn reports_shorten_the_wait_without_a_herd(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let (without, with) = (
        simulate(seed, Reports::None),
        simulate(seed, Reports::Current),
    );
    assert!(
        with.mean_ms < without.mean_ms,
        "{} {}",
        with.mean_ms,
        without.mean_ms
    );
    // All 13 entries would bring 22 requests in 100 ms.
    assert!(with.most_per_report <= 10, "{}", with.most_per_report);
}

/// Guards against a server that gets no requests any more because its last report is bad.
#[rstest]
fn stale_reports_rule_no_server_out(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let (without, stale) = (
        simulate(seed, Reports::None),
        simulate(seed, Reports::Stale),
    );
    assert!(stale.least_requests * 10 > without.least_requests * 9);
    assert!(stale.mean_ms < without.mean_ms * 1.05);
}

/// Guards against a selection among engines that ignores their reports, or that leaves a
/// request unserved because of them.
#[rstest]
#[case::slow(ServerOutlook { pace: 4.0, unknown_requests: 0.0 })]
#[case::queue(ServerOutlook { pace: 1.0, unknown_requests: 50.0 })]
fn report_orders_engines_and_rules_none_out(#[case] outlook: ServerOutlook) {
    let profile = EngineProfile {
        slots: 12,
        step_ms: 9.0,
        step_ms_per_request: 0.3,
        context_ms_per_1000: 0.3,
        prefill_tokens_per_ms: 19.0,
        steps_per_pass: 5,
        mean_prompt_tokens: 900,
        mean_answer_tokens: 100,
    };
    let requirements = RequestRequirements {
        prompt_tokens: 900,
        first_event_budget: Duration::from_millis(400),
        max_event_gap: Duration::from_millis(400),
        late: false,
    };
    let names: [Name; 2] = ["bad".into(), "good".into()];
    let candidate = |at: usize, outlook| EngineCandidate {
        server: &names[at],
        profile: &profile,
        load: EngineLoad::default(),
        slowdown: 1.0,
        outlook,
        remote: false,
        max_running: 12,
        held_tokens: 0,
    };
    let engines = [
        candidate(0, outlook),
        candidate(1, ServerOutlook::default()),
    ];
    let selected = |engines: &[EngineCandidate<'_>]| match select_engine(&requirements, engines, 0)
    {
        EngineSelection::Selected(name, _) => name,
        other => panic!("{other:?}"),
    };
    assert_eq!(selected(&engines), names[1]);
    assert_eq!(selected(&engines[..1]), names[0]);
}
