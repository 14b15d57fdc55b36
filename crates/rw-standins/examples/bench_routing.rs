//! Benchmark of routing policies: `bench_routing POLICIES WORKLOADS [TOKENS]`,
//! such as
//! `bench_routing affinity,least_loaded,round_robin,random steady,overload`.
//! With more tokens per call each token takes less time, which keeps the load
//! the same.
//!
//! The load is open-loop: calls start on schedule even if earlier ones are
//! late, and latency is measured from the scheduled start. Writes CSV to
//! standard output.

use std::collections::BTreeMap;
use std::io::Read;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rw_standins::caller::completion_body;
use rw_standins::cluster::Cluster;
use rw_standins::engine::{Behaviour, Records};
use rw_standins::layout::{intent, Layout};
use rw_standins::measure::process_usage;

const ENGINES: usize = 9;
const ENTRIES: usize = 3;
const SLOTS: u32 = 4;
const TOKENS: u64 = 8;
/// Decode time of all tokens of a call in milliseconds.
const TOTAL_TOKEN_MS: u64 = 160;
const PREFILL_MS: u64 = 160;
const CACHE_PREFIXES: usize = 8;
const PREFIXES: usize = 24;
const DURATION_S: f64 = 6.0;
const DEADLINE_MS: u64 = 4_000;
/// Calls per second that the engines can serve if every prefix is cached.
const CAPACITY_CALLS_PER_S: f64 = (ENGINES as u32 * SLOTS) as f64 * 1000.0 / TOTAL_TOKEN_MS as f64;
const TEAMS: [&str; 4] = ["arima", "penal", "couva", "office"];

#[derive(Clone, Copy)]
struct Workload {
    name: &'static str,
    /// Load at the start and at the end, as a fraction of the capacity.
    start_load: f64,
    end_load: f64,
    /// Fraction of the calls that the first team makes.
    first_team_share: f64,
    /// Whether the first engine runs five times slower.
    slow_host: bool,
    /// Whether the daemons of one zone are killed halfway.
    zone_outage: bool,
}

const EQUAL_SHARE: f64 = 1.0 / TEAMS.len() as f64;

const WORKLOADS: [Workload; 6] = [
    Workload {
        name: "steady",
        start_load: 0.5,
        end_load: 0.5,
        first_team_share: EQUAL_SHARE,
        slow_host: false,
        zone_outage: false,
    },
    Workload {
        name: "overload",
        start_load: 1.5,
        end_load: 1.5,
        first_team_share: EQUAL_SHARE,
        slow_host: false,
        zone_outage: false,
    },
    Workload {
        name: "skewed",
        start_load: 1.5,
        end_load: 1.5,
        first_team_share: 0.8,
        slow_host: false,
        zone_outage: false,
    },
    Workload {
        name: "rush",
        start_load: 0.15,
        end_load: 1.5,
        first_team_share: EQUAL_SHARE,
        slow_host: false,
        zone_outage: false,
    },
    Workload {
        name: "slow-host",
        start_load: 0.5,
        end_load: 0.5,
        first_team_share: EQUAL_SHARE,
        slow_host: true,
        zone_outage: false,
    },
    Workload {
        name: "lost-zone",
        start_load: 0.4,
        end_load: 0.4,
        first_team_share: EQUAL_SHARE,
        slow_host: false,
        zone_outage: true,
    },
];

#[derive(Default)]
struct Results {
    first_token_us: Vec<u64>,
    refused_us: Vec<u64>,
    failed: u64,
    by_team: BTreeMap<&'static str, (u64, u64)>,
}

fn start(policy: &str) -> Cluster {
    let layout = Layout {
        entries: ENTRIES,
        engines: ENGINES,
        plain: 0,
        regions: 3,
        concurrency: SLOTS,
        teams: TEAMS.iter().map(|t| (*t, 1)).collect(),
        extra_settings: format!("[limits]\nrouting = {policy}\n[log]\nlevel = warn"),
        ..Layout::default()
    };
    let cluster = layout.start(&format!("routing-{policy}"));
    cluster.add_model("cutlist", "v1", 1 << 20, 64 << 10);
    cluster.apply("entry-0", &intent("v1", ENGINES, 3));
    cluster.wait_fulfilled("entry-0", "cuts", "v1");
    cluster
}

fn set_engine_behaviour(cluster: &Cluster, workload: &Workload, tokens: u64) {
    for index in 0..ENGINES {
        let slow = workload.slow_host && index == 0;
        let factor = if slow { 5 } else { 1 };
        let behaviour = Behaviour {
            slots: SLOTS,
            token_ms: TOTAL_TOKEN_MS / tokens * factor,
            prefill_ms: PREFILL_MS * factor,
            cache_prefixes: CACHE_PREFIXES,
            ..Behaviour::default()
        };
        cluster.set_behaviour(&format!("engine-{index}"), &behaviour);
    }
}

// Makes one call. Latency is measured from `due`, its scheduled start.
fn call(url: &str, team: &'static str, body: &str, due: Instant, results: &Mutex<Results>) {
    let req = minreq::post(format!("{url}/v1/chat/completions"))
        .with_header("x-team", team)
        .with_header("x-deadline-ms", DEADLINE_MS.to_string())
        .with_header("connection", "close")
        .with_body(body)
        .with_timeout(10);
    let res = req.send_lazy();
    let latency_us = due.elapsed().as_micros() as u64;
    let mut text = String::new();
    let complete = match res {
        Ok(mut res) if res.status_code == 200 => {
            let read = res.read_to_string(&mut text);
            read.is_ok() && text.contains("[DONE]")
        }
        Ok(res) => {
            let mut results = results.lock().expect("lock poisoned");
            results.by_team.entry(team).or_default().0 += 1;
            match res.status_code {
                503 => results.refused_us.push(latency_us),
                _ => results.failed += 1,
            }
            return;
        }
        Err(_) => false,
    };
    let mut results = results.lock().expect("lock poisoned");
    let counts = results.by_team.entry(team).or_default();
    counts.0 += 1;
    counts.1 += u64::from(complete);
    match complete {
        true => results.first_token_us.push(latency_us),
        false => results.failed += 1,
    }
}

// Runs a workload. Returns its results and the fraction of runs whose prefix was
// cached.
fn run_workload(cluster: &mut Cluster, workload: &Workload, tokens: u64) -> (Results, f64) {
    set_engine_behaviour(cluster, workload, tokens);
    let before: Vec<usize> = (0..ENGINES)
        .map(|index| cache_hits(cluster, index).len())
        .collect();
    let urls: Vec<String> = (0..ENTRIES)
        .map(|index| cluster.entry_url(&format!("entry-{index}")))
        .collect();
    let results = Arc::new(Mutex::new(Results::default()));
    let mut rng = StdRng::seed_from_u64(7);
    let start = Instant::now();
    let mut due = 0.0;
    let mut threads = Vec::new();
    let mut zone_down = false;
    while due < DURATION_S {
        let load =
            workload.start_load + (workload.end_load - workload.start_load) * due / DURATION_S;
        due += 1.0 / (load * CAPACITY_CALLS_PER_S);
        let scheduled = start + Duration::from_secs_f64(due);
        std::thread::sleep(scheduled.saturating_duration_since(Instant::now()));
        if workload.zone_outage && !zone_down && due > DURATION_S / 2.0 {
            zone_down = true;
            (0..ENGINES)
                .step_by(3)
                .for_each(|index| cluster.kill(&format!("engine-{index}")));
        }
        let team = match rng.random_bool(workload.first_team_share) {
            true => TEAMS[0],
            false => TEAMS[rng.random_range(1..TEAMS.len())],
        };
        let prompt = format!(
            "shop {}|{}",
            rng.random_range(0..PREFIXES),
            rng.random::<u32>()
        );
        let body = completion_body(&prompt, tokens, true).to_string();
        let (url, results) = (urls[rng.random_range(0..ENTRIES)].clone(), results.clone());
        threads.push(std::thread::spawn(move || {
            call(&url, team, &body, scheduled, &results)
        }));
    }
    for thread in threads {
        thread.join().expect("caller thread panicked");
    }
    let (mut hits, mut all) = (0, 0);
    for (index, before) in before.iter().enumerate() {
        let runs = cache_hits(cluster, index);
        hits += runs[*before..].iter().filter(|hit| **hit).count();
        all += runs.len() - before;
    }
    let results = std::mem::take(&mut *results.lock().expect("lock poisoned"));
    (results, hits as f64 / all.max(1) as f64)
}

// Total CPU time in seconds of all daemons of a role.
fn cpu_s(cluster: &Cluster, role: &str, count: usize) -> f64 {
    let names = (0..count).map(|index| format!("{role}-{index}"));
    names
        .map(|name| process_usage(cluster.pid(&name)).cpu_s)
        .sum()
}

fn cache_hits(cluster: &Cluster, index: usize) -> Vec<bool> {
    let records: Records = cluster.records(&format!("engine-{index}"));
    records.runs.iter().map(|r| r.cache_hit).collect()
}

fn quantiles(samples: &[u64]) -> [f64; 3] {
    let mut histogram: Histogram<u64> = Histogram::new(3).expect("3 significant digits are valid");
    for sample in samples {
        // A resizing histogram accepts every value.
        let _ = histogram.record(*sample);
    }
    [0.5, 0.95, 0.99].map(|q| histogram.value_at_quantile(q) as f64 / 1000.0)
}

// Answered calls of the team that was served worst, as a fraction of its demand
// or of an equal share, whichever is smaller.
fn worst_team_share(results: &Results) -> f64 {
    let answered: u64 = results.by_team.values().map(|(_, done)| done).sum();
    let equal = answered as f64 / TEAMS.len() as f64;
    let share =
        |(requested, done): &(u64, u64)| *done as f64 / equal.min(*requested as f64).max(1.0);
    results
        .by_team
        .values()
        .map(share)
        .fold(f64::INFINITY, f64::min)
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let policies = args
        .first()
        .map_or("affinity,least_loaded,round_robin,random", String::as_str);
    let tokens = args.get(2).and_then(|t| t.parse().ok()).unwrap_or(TOKENS);
    let selected = args.get(1).map_or("all", String::as_str);
    println!("workload,policy,goodput_per_s,first_p50_ms,first_p95_ms,first_p99_ms,hit_ratio,refused,refused_p50_ms,refused_p99_ms,failed,worst_team_share,entry_cpu_ms_per_call,host_cpu_ms_per_call");
    for policy in policies.split(',') {
        for workload in WORKLOADS
            .iter()
            .filter(|w| selected == "all" || selected.split(',').any(|c| c == w.name))
        {
            let mut cluster = start(policy);
            let before = (
                cpu_s(&cluster, "entry", ENTRIES),
                cpu_s(&cluster, "engine", ENGINES),
            );
            let (results, hit_ratio) = run_workload(&mut cluster, workload, tokens);
            let after = (
                cpu_s(&cluster, "entry", ENTRIES),
                cpu_s(&cluster, "engine", ENGINES),
            );
            let calls = results.first_token_us.len().max(1) as f64;
            let ms_per_call = |before: f64, after: f64| (after - before) * 1000.0 / calls;
            let [p50, p95, p99] = quantiles(&results.first_token_us);
            println!(
                "{},{policy},{:.0},{p50:.1},{p95:.1},{p99:.1},{hit_ratio:.2},{},{:.1},{:.1},{},{:.2},{:.2},{:.2}",
                workload.name,
                results.first_token_us.len() as f64 / DURATION_S,
                results.refused_us.len(),
                quantiles(&results.refused_us)[0],
                quantiles(&results.refused_us)[2],
                results.failed,
                worst_team_share(&results),
                ms_per_call(before.0, after.0),
                ms_per_call(before.1, after.1)
            );
        }
    }
}
