//! One server among ten turns slow while its reports look as ever.

use std::time::Duration;

use rand::seq::SliceRandom;
use rand::SeedableRng;
use rw_protocol::Name;
use rw_routing::{
    middle, place, slowness, Demand, EngineCandidate, EngineLoad, EngineProfile, FirstEvents,
    Placed,
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
        read_tokens_per_ms: 19.0,
        steps_per_pass: 5,
        usual_prompt_tokens: 900,
        usual_answer_tokens: 100,
    }
}

// Requests that went to the slow server, out of all.
fn sent_to_slow(learns: bool) -> usize {
    let profile = profile();
    let names: Vec<Name> = (0..SERVERS).map(|n| format!("s{n}").into()).collect();
    let mut seen = vec![FirstEvents::default(); SERVERS];
    let mut rng = rand::rngs::StdRng::seed_from_u64(7);
    let demand = Demand {
        prompt_tokens: 900,
        first_event: Duration::from_millis(400),
        pause: Duration::from_millis(400),
        late: false,
    };
    let mut slow = 0;
    for n in 0..REQUESTS {
        let now = Duration::from_millis(10 * n as u64);
        let ratios: Vec<Option<f64>> = seen.iter().map(|s| s.ratio(now)).collect();
        let mut known: Vec<f64> = ratios.iter().copied().flatten().collect();
        let middle = middle(&mut known);
        let candidate = |at: usize| EngineCandidate {
            server: &names[at],
            profile: &profile,
            load: EngineLoad {
                running: 6,
                unread_tokens: 0,
            },
            slowness: if learns {
                slowness(ratios[at], middle)
            } else {
                1.0
            },
            remote: false,
            allowed: 12,
        };
        let mut engines: Vec<EngineCandidate<'_>> = (0..SERVERS).map(candidate).collect();
        engines.shuffle(&mut rng);
        let Placed::At(name, forecast) = place(&demand, &engines, 0) else {
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
        seen[at].on_first_event(forecast.min(usual), took, now);
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
