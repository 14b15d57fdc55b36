//! One of ten servers becomes slow without any change in its reported load.

use std::time::Duration;

use rand::seq::SliceRandom;
use rand::SeedableRng;
use rw_protocol::Name;
use rw_routing::{
    median, select_engine, slowdown, EngineCandidate, EngineLoad, EngineProfile, EngineSelection,
    FirstEventTracker, RequestRequirements, ServerOutlook,
};

const SERVERS: usize = 10;
const SLOW_SERVER: usize = 3;
const SLOWDOWN: f64 = 8.0;
const REQUESTS: usize = 600;

fn profile() -> EngineProfile {
    EngineProfile {
        slots: 12,
        step_ms: 9.0,
        step_ms_per_request: 0.3,
        context_ms_per_1000: 0.3,
        prefill_tokens_per_ms: 19.0,
        steps_per_pass: 5,
        mean_prompt_tokens: 900,
        mean_answer_tokens: 100,
    }
}

// Counts the requests that are sent to the slow server.
fn sent_to_slow(detects_slowdown: bool) -> usize {
    let profile = profile();
    let names: Vec<Name> = (0..SERVERS).map(|n| format!("s{n}").into()).collect();
    let mut trackers = vec![FirstEventTracker::default(); SERVERS];
    let mut rng = rand::rngs::StdRng::seed_from_u64(7);
    let requirements = RequestRequirements {
        prompt_tokens: 900,
        first_event_budget: Duration::from_millis(400),
        max_event_gap: Duration::from_millis(400),
        late: false,
    };
    let mut sent_to_slow = 0;
    for n in 0..REQUESTS {
        let now = Duration::from_millis(10 * n as u64);
        let ratios: Vec<Option<f64>> = trackers.iter().map(|t| t.ratio(now)).collect();
        let mut known: Vec<f64> = ratios.iter().copied().flatten().collect();
        let median = median(&mut known);
        let candidate = |at: usize| EngineCandidate {
            server: &names[at],
            profile: &profile,
            load: EngineLoad {
                running: 6,
                unread_tokens: 0,
            },
            slowdown: if detects_slowdown {
                slowdown(ratios[at], median)
            } else {
                1.0
            },
            outlook: ServerOutlook::default(),
            remote: false,
            max_running: 12,
            held_tokens: 0,
        };
        let mut engines: Vec<EngineCandidate<'_>> = (0..SERVERS).map(candidate).collect();
        engines.shuffle(&mut rng);
        let EngineSelection::Selected(name, forecast) = select_engine(&requirements, &engines, 0)
        else {
            continue;
        };
        let at = names
            .iter()
            .position(|n| *n == name)
            .expect("a known server");
        let normal = Duration::from_secs_f64(profile.first_event_ms(engines[0].load, 900) / 1e3);
        let observed = if at == SLOW_SERVER {
            normal.mul_f64(SLOWDOWN)
        } else {
            normal
        };
        trackers[at].record(forecast.min(normal), observed, now);
        sent_to_slow += usize::from(at == SLOW_SERVER);
    }
    sent_to_slow
}

#[test]
fn slow_server_gets_only_occasional_requests() {
    let (with_detection, without_detection) = (sent_to_slow(true), sent_to_slow(false));
    // The run takes six seconds: the first request, then one probe each time an
    // observation expires.
    assert!(with_detection <= 6, "{with_detection} of {REQUESTS}");
    assert!(
        without_detection > REQUESTS / SERVERS / 2,
        "{without_detection} of {REQUESTS}"
    );
}
