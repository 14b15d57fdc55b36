//! Engines that keep beginnings of prompts: the prefill that a request saves is weighed
//! against its wait.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use rw_protocol::Name;
use rw_routing::{
    select_engine, EngineCandidate, EngineLoad, EngineProfile, EngineSelection, HeldPrompts,
    PromptChain, PromptRetention, RequestRequirements, ServerOutlook,
};

const ENGINES: usize = 12;
const REQUESTS: usize = 2000;
const SEEDS: u64 = 5;
/// Share by which a mean over random choices may differ without a cause.
const NOISE: f64 = 1.02;
const RETENTION: PromptRetention = PromptRetention {
    time: Duration::from_secs(30),
    tokens: 60_000,
};

/// How an engine is chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    LeastWait,
    /// By what is believed to be held, against the wait.
    Weighed,
    /// By what is really held, against the wait.
    Informed,
    /// By the first part alone.
    Affinity,
}

#[derive(Clone, Copy)]
struct Load {
    systems: u32,
    /// Share of requests with the first system prompt.
    hot_share: f64,
    sessions: u32,
    gap_ms: f64,
    /// What engines really keep.
    kept: PromptRetention,
}

const ORDINARY: Load = Load {
    systems: 300,
    hot_share: 0.0,
    sessions: 400,
    gap_ms: 6.0,
    kept: RETENTION,
};

#[derive(Default)]
struct Engine {
    held: HeldPrompts,
    believed: HeldPrompts,
    read_until_ms: f64,
    ends_ms: Vec<f64>,
    served: u32,
}

struct Outcome {
    mean_ms: f64,
    busiest_share: f64,
}

fn profile() -> EngineProfile {
    EngineProfile {
        slots: 16,
        step_ms: 9.0,
        step_ms_per_request: 0.1,
        context_ms_per_1000: 0.1,
        prefill_tokens_per_ms: 19.0,
        steps_per_pass: 5,
        mean_prompt_tokens: 1000,
        mean_answer_tokens: 100,
    }
}

fn prompt(load: &Load, rng: &mut StdRng) -> PromptChain {
    let system = match rng.random_bool(load.hot_share) {
        true => 0,
        false => rng.random_range(0..load.systems),
    };
    let session = rng.random_range(0..load.sessions);
    let parts = [
        (format!("s{system}"), 700),
        (format!("u{session}"), 200),
        (rng.random::<u64>().to_string(), 100),
    ];
    PromptChain::new(parts.map(|(id, tokens)| (Name::from(id), tokens)))
}

fn choose(
    policy: Policy,
    engines: &[Engine],
    chain: &PromptChain,
    now_ms: f64,
    load: &Load,
    rng: &mut StdRng,
) -> usize {
    let (profile, now) = (profile(), Duration::from_secs_f64(now_ms / 1e3));
    if policy == Policy::Affinity {
        return engines
            .iter()
            .position(|e| e.held.find(chain, 1, &load.kept, now).tokens > 0)
            .unwrap_or_else(|| rng.random_range(0..engines.len()));
    }
    let names: Vec<Name> = (0..engines.len()).map(|n| n.to_string().into()).collect();
    let mut candidates: Vec<EngineCandidate<'_>> = engines
        .iter()
        .zip(&names)
        .map(|(engine, server)| EngineCandidate {
            server,
            profile: &profile,
            load: EngineLoad {
                running: engine.ends_ms.iter().filter(|end| **end > now_ms).count() as u32,
                unread_tokens: ((engine.read_until_ms - now_ms).max(0.0)
                    * profile.prefill_tokens_per_ms) as u32,
            },
            slowdown: 1.0,
            outlook: ServerOutlook::default(),
            remote: false,
            max_running: u32::MAX,
            held_tokens: match policy {
                Policy::Weighed => {
                    engine
                        .believed
                        .find(chain, 1, &RETENTION, now)
                        .expected_tokens
                }
                Policy::Informed => engine.held.find(chain, 1, &load.kept, now).tokens,
                _ => 0,
            },
        })
        .collect();
    candidates.shuffle(rng);
    let requirements = RequestRequirements {
        prompt_tokens: chain.tokens(),
        first_event_budget: Duration::from_secs(60),
        max_event_gap: Duration::from_secs(60),
        late: false,
    };
    match select_engine(&requirements, &candidates, 100) {
        EngineSelection::Selected(name, _) => name.parse().expect("a number"),
        _ => rng.random_range(0..engines.len()),
    }
}

// Plays a load: each engine reads one prompt after another.
fn play(policy: Policy, load: &Load, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    let (profile, mut now_ms, mut sum_ms) = (profile(), 0.0, 0.0);
    for _ in 0..REQUESTS {
        now_ms += load.gap_ms * -rng.random_range(f64::EPSILON..1.0).ln();
        let chain = prompt(load, &mut rng);
        let at = choose(policy, &engines, &chain, now_ms, load, &mut rng);
        let now = Duration::from_secs_f64(now_ms / 1e3);
        let engine = &mut engines[at];
        let held = engine.held.find(&chain, 1, &load.kept, now).tokens;
        let read_ms = profile.prefill_ms(chain.tokens() - held);
        engine.read_until_ms = engine.read_until_ms.max(now_ms) + read_ms;
        engine.ends_ms.retain(|end| *end > now_ms);
        let pass_ms = profile.decode_pass_ms(engine.ends_ms.len() as u32 + 1);
        let first_ms = engine.read_until_ms + pass_ms;
        engine.ends_ms.push(first_ms + 4.0 * pass_ms);
        engine.held.on_read(&chain, 1, &load.kept, now);
        engine.believed.on_read(&chain, 1, &RETENTION, now);
        engine.served += 1;
        sum_ms += first_ms - now_ms;
    }
    let busiest = engines.iter().map(|e| e.served).max().unwrap_or_default();
    Outcome {
        mean_ms: sum_ms / REQUESTS as f64,
        busiest_share: f64::from(busiest) * ENGINES as f64 / REQUESTS as f64,
    }
}

fn mean(policy: Policy, load: &Load) -> Outcome {
    let outcomes: Vec<Outcome> = (0..SEEDS).map(|seed| play(policy, load, seed)).collect();
    let mean = |value: fn(&Outcome) -> f64| {
        outcomes.iter().map(value).sum::<f64>() / outcomes.len() as f64
    };
    Outcome {
        mean_ms: mean(|o| o.mean_ms),
        busiest_share: mean(|o| o.busiest_share),
    }
}

/// Guards against reuse that makes callers wait longer than the least wait would, and
/// against one that saves nothing where engines keep what is believed.
#[rstest]
#[case::shared_system_prompts(ORDINARY, true)]
#[case::hot_prefix(Load { hot_share: 0.6, ..ORDINARY }, true)]
#[case::busy_engines(Load { gap_ms: 4.2, ..ORDINARY }, true)]
#[case::engines_that_keep_nothing(
    Load { kept: PromptRetention { time: Duration::ZERO, tokens: 0 }, ..ORDINARY },
    false
)]
#[case::engines_short_of_memory(
    Load { kept: PromptRetention { tokens: 2_000, ..RETENTION }, ..ORDINARY },
    false
)]
fn reuse_is_no_slower_than_the_least_wait(#[case] load: Load, #[case] pays: bool) {
    let least = mean(Policy::LeastWait, &load);
    let weighed = mean(Policy::Weighed, &load);
    let informed = mean(Policy::Informed, &load);
    let affinity = mean(Policy::Affinity, &load);
    println!(
        "least wait {:.1} ms, weighed {:.1} ms, informed {:.1} ms, affinity {:.1} ms",
        least.mean_ms, weighed.mean_ms, informed.mean_ms, affinity.mean_ms
    );
    let limit = if pays { 1.0 } else { NOISE };
    assert!(weighed.mean_ms <= least.mean_ms * limit);
    assert!(!pays || weighed.mean_ms <= affinity.mean_ms);
}

/// Guards against a hot prefix that sends most requests to the engine that holds it.
#[test]
fn hot_prefix_spreads_over_engines() {
    let hot = Load {
        hot_share: 0.6,
        ..ORDINARY
    };
    assert!(mean(Policy::Weighed, &hot).busiest_share <= 1.5);
}

/// Guards against beliefs about an engine that has started again, or whose memory was
/// needed by running requests.
#[test]
fn lost_beginnings_are_not_counted_on() {
    let chain = PromptChain::new([("system".into(), 800), ("a".into(), 100)]);
    let mut held = HeldPrompts::default();
    held.on_read(&chain, 1, &RETENTION, Duration::ZERO);
    assert_eq!(held.find(&chain, 1, &RETENTION, Duration::ZERO).tokens, 900);
    assert_eq!(held.find(&chain, 1, &RETENTION, RETENTION.time).tokens, 0);
    held.on_memory(850);
    assert_eq!(held.find(&chain, 1, &RETENTION, Duration::ZERO).tokens, 800);
    held.on_read(&chain, 2, &RETENTION, Duration::ZERO);
    assert_eq!(held.find(&chain, 1, &RETENTION, Duration::ZERO).tokens, 0);
}
