//! One server among ten turns slow while its reports look as ever.

use std::time::Duration;

use rand::seq::SliceRandom;
use rand::SeedableRng;
use rw_protocol::Name;
use rw_routing::{
    median, select_engine, slowdown, EngineCandidate, EngineLoad, EngineProfile, EngineSelection,
    FirstEventTracker, RequestRequirements,
};

const SERVERS: usize = 10;
const SLOW: usize = 3;
const TIMES: f64 = 8.0;
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

// Requests that went to the slow server, out of all.
fn sent_to_slow(learns: bool) -> usize {
    let profile = profile();
    let names: Vec<Name> = (0..SERVERS).map(|n| format!("s{n}").into()).collect();
    let mut seen = vec![FirstEventTracker::default(); SERVERS];
    let mut rng = rand::rngs::StdRng::seed_from_u64(7);
    let requirements = RequestRequirements {
        prompt_tokens: 900,
        first_event_budget: Duration::from_millis(400),
        max_event_gap: Duration::from_millis(400),
        late: false,
    };
    let mut slow = 0;
    for n in 0..REQUESTS {
        let now = Duration::from_millis(10 * n as u64);
        let ratios: Vec<Option<f64>> = seen.iter().map(|s| s.ratio(now)).collect();
        let mut known: Vec<f64> = ratios.iter().copied().flatten().collect();
        let median = median(&mut known);
        let candidate = |at: usize| EngineCandidate {
            server: &names[at],
            profile: &profile,
            load: EngineLoad {
                running: 6,
                unread_tokens: 0,
            },
            slowdown: if learns {
                slowdown(ratios[at], median)
            } else {
                1.0
            },
            remote: false,
            max_running: 12,
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
        let usual = Duration::from_secs_f64(profile.first_event_ms(engines[0].load, 900) / 1e3);
        let took = if at == SLOW {
            usual.mul_f64(TIMES)
        } else {
            usual
        };
        seen[at].record(forecast.min(usual), took, now);
        slow += usize::from(at == SLOW);
    }
    slow
}

#[test]
fn a_slow_server_gets_a_request_now_and_then_only() {
    let (learning, blind) = (sent_to_slow(true), sent_to_slow(false));
    // Six seconds: one look after each life of an observation, and the first.
    assert!(learning <= 6, "{learning} of {REQUESTS}");
    assert!(blind > REQUESTS / SERVERS / 2, "{blind} of {REQUESTS}");
}
