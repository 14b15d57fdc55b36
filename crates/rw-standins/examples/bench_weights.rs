//! Benchmark of weight distribution: `bench_weights SIZES POLICIES [FAULT]`, such
//! as `bench_weights 16,64,250 tree-origin,chain,random,origin slow`. The fault
//! is `kill`, `corrupt` or `slow`.
//!
//! Writes CSV to standard output and a plot to `out/weights.svg`.

use std::collections::BTreeMap;
use std::time::Instant;

use rw_protocol::EventRecord;
use rw_standins::client::{get, wait_for};
use rw_standins::cluster::Cluster;
use rw_standins::layout::{intent, Layout};
use rw_standins::measure::{line_plot, quantile, Series};
use rw_standins::platform::{Counters, PlatformFaults};
use rw_standins::proxy::LinkFault;

const MODEL_BYTES: u64 = 16 << 20;
const CHUNK_BYTES: u64 = 64 << 10;
/// Bandwidth of each host's link in each direction.
const HOST_BYTES_PER_S: u64 = 2 << 20;
/// Bandwidth of the origin's link: it sends four copies in the time in which a
/// host sends two.
const ORIGIN_BYTES_PER_S: u64 = 2 * HOST_BYTES_PER_S;
const REGIONS: usize = 3;
/// Every nth host is killed halfway (`kill`), or serves its peers over a slow
/// link (`slow`).
const FAULTY_HOST_STRIDE: usize = 10;
const SLOW_FACTOR: u64 = 10;
const CORRUPT_EVERY: u64 = 50;

struct Measurement {
    time_s: f64,
    median_s: f64,
    origin_copies: f64,
    region_copies: Vec<f64>,
    max_sent: f64,
    mean_sent: f64,
}

fn start(count: usize, policy: &str, fault: &str) -> Cluster {
    let (policy, goal) = match policy {
        "tree-time" => ("tree", "time"),
        "tree-origin" => ("tree", "origin"),
        other => (other, "origin"),
    };
    let layout = Layout {
        entries: 1,
        engines: count,
        plain: 0,
        regions: REGIONS,
        proxied: fault == "slow",
        extra_settings: format!(
            "[weights]\npolicy = {policy}\ngoal = {goal}\nuplink_bytes_per_s = {HOST_BYTES_PER_S}\ndownlink_bytes_per_s = {HOST_BYTES_PER_S}\nwindow = 64\n[log]\nlevel = warn"
        ),
        ..Layout::default()
    };
    let cluster = layout.start(&format!("bench-{policy}-{goal}-{count}"));
    cluster.add_model("cutlist", "v1", MODEL_BYTES, CHUNK_BYTES);
    cluster.set_platform_faults(&PlatformFaults {
        origin_bytes_per_s: ORIGIN_BYTES_PER_S,
        ..PlatformFaults::default()
    });
    cluster
}

fn completion_time_ms(cluster: &Cluster, name: &str) -> Option<u64> {
    let url = format!("{}/events", cluster.operator_url(name));
    let events: Vec<EventRecord> = get(&url)?;
    let done = events.iter().find(|e| &*e.event == "TransferComplete")?;
    Some(done.stamp >> 16)
}

fn measure(count: usize, policy: &str, fault: &str) -> Measurement {
    let mut cluster = start(count, policy, fault);
    if fault == "corrupt" {
        cluster.set_platform_faults(&PlatformFaults {
            origin_bytes_per_s: ORIGIN_BYTES_PER_S,
            corrupt_every: CORRUPT_EVERY,
            ..PlatformFaults::default()
        });
    }
    if fault == "slow" {
        let slow = LinkFault {
            bytes_per_s: HOST_BYTES_PER_S / SLOW_FACTOR,
            ..LinkFault::default()
        };
        for index in (0..count).step_by(FAULTY_HOST_STRIDE) {
            cluster.set_link_fault(&format!("engine-{index}"), slow.clone());
        }
    }
    let names: Vec<String> = (0..count).map(|index| format!("engine-{index}")).collect();
    let start_ms = rw_standins::plain::unix_ms();
    let started = Instant::now();
    cluster.apply("entry-0", &intent("v1", count, REGIONS));
    let mut alive = names.clone();
    if fault == "kill" {
        let half_transfer_s = MODEL_BYTES as f64 / HOST_BYTES_PER_S as f64 / 2.0;
        while started.elapsed().as_secs_f64() < half_transfer_s {
            std::thread::sleep(std::time::Duration::from_millis(50));
        }
        for name in names.iter().step_by(FAULTY_HOST_STRIDE) {
            cluster.kill(name);
            alive.retain(|n| n != name);
        }
    }
    let mut done: BTreeMap<String, f64> = BTreeMap::new();
    for name in &alive {
        // A slow baseline may take longer than the timeout of `wait_for`.
        let completed_ms = loop {
            if let Some(completed_ms) = completion_time_ms(&cluster, name) {
                break completed_ms;
            }
            std::thread::sleep(std::time::Duration::from_millis(200));
            assert!(
                started.elapsed().as_secs() < 300,
                "{name} did not receive the model within 300 s"
            );
        };
        done.insert(
            name.clone(),
            (completed_ms.saturating_sub(start_ms)) as f64 / 1000.0,
        );
    }
    collect_measurement(&cluster, &alive, done)
}

fn collect_measurement(
    cluster: &Cluster,
    alive: &[String],
    done: BTreeMap<String, f64>,
) -> Measurement {
    let counters: Counters = wait_for("records", || {
        get(&format!(
            "{}/control/records",
            cluster.deployment.platform.url
        ))
    });
    let copies = |bytes: f64| bytes / MODEL_BYTES as f64;
    let flow_bytes = |name: &str, flow: &str| {
        cluster.metric(
            name,
            &format!("ragworttack_weight_bytes_total{{flow=\"{flow}\"}}"),
        )
    };
    let mut region_copies = vec![0.0; REGIONS];
    let mut max_sent = 0.0f64;
    let mut total_sent = 0.0;
    for name in alive {
        let region = cluster.deployment.region_of(&cluster.daemon(name).zone);
        let index: usize = region[1..].parse().unwrap_or(0);
        region_copies[index] += copies(flow_bytes(name, "from_other_region"));
        let sent = copies(flow_bytes(name, "sent"));
        max_sent = max_sent.max(sent);
        total_sent += sent;
    }
    let mut times: Vec<f64> = done.into_values().collect();
    Measurement {
        median_s: quantile(&mut times, 0.5),
        time_s: quantile(&mut times, 1.0),
        origin_copies: copies(counters.origin_bytes as f64),
        region_copies,
        max_sent,
        mean_sent: total_sent / alive.len() as f64,
    }
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let list_arg = |index: usize, default: &str| -> Vec<String> {
        let text = args.get(index).map_or(default, String::as_str);
        text.split(',').map(str::to_string).collect()
    };
    let sizes: Vec<usize> = list_arg(0, "16")
        .iter()
        .filter_map(|s| s.parse().ok())
        .collect();
    let policies = list_arg(1, "tree-origin");
    let fault = args.get(2).map_or("none", String::as_str);
    let min_transfer_s = MODEL_BYTES as f64 / HOST_BYTES_PER_S as f64;
    println!("policy,hosts,fault,time_s,median_s,over_limit,origin_copies,copies_into_remote_regions,most_sent_copies,mean_sent_copies");
    let mut series = Vec::new();
    for policy in &policies {
        let mut points = Vec::new();
        for &count in &sizes {
            let m = measure(count, policy, fault);
            let remote_copies: Vec<String> = m.region_copies[1..]
                .iter()
                .map(|c| format!("{c:.2}"))
                .collect();
            println!(
                "{policy},{count},{fault},{:.2},{:.2},{:.2},{:.2},{},{:.2},{:.2}",
                m.time_s,
                m.median_s,
                m.time_s / min_transfer_s,
                m.origin_copies,
                remote_copies.join(" "),
                m.max_sent,
                m.mean_sent
            );
            points.push((count as f64, m.time_s / min_transfer_s));
        }
        series.push(Series {
            name: policy.clone(),
            points,
        });
    }
    let plot = line_plot(
        "Time to N complete replicas over size / host link",
        "hosts",
        "ratio",
        &series,
    );
    let _ = std::fs::create_dir_all("out");
    if let Err(err) = std::fs::write("out/weights.svg", plot) {
        eprintln!("out/weights.svg: {err}");
    }
}
