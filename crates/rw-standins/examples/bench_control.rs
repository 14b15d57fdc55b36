//! Benchmark of the control plane: `bench_control SIZES [SYNC_MS]`, such as
//! `bench_control 8,32,128`. For each number of hosts it measures CPU time,
//! memory, traffic and table load of an idle deployment, and the time until a
//! confirmed configuration is in force on all hosts. Writes CSV to standard
//! output.

use std::time::{Duration, Instant};

use rw_protocol::EventRecord;
use rw_standins::client::{get, wait_for};
use rw_standins::cluster::Cluster;
use rw_standins::layout::{intent, Layout};
use rw_standins::measure::{linear_fit, loopback_bytes, process_usage, quantile, ProcessUsage};
use rw_standins::platform::Counters;

const REGIONS: usize = 4;
const IDLE_PERIOD: Duration = Duration::from_secs(10);
const CONFIG_CHANGES: usize = 8;

struct Measurement {
    host_cpu: f64,
    host_rss: f64,
    entry_cpu: f64,
    entry_rss: f64,
    loopback_bytes_per_s: f64,
    table_reads: f64,
    list_calls: f64,
    config_ms: Vec<f64>,
}

fn start(count: usize, sync_ms: u64) -> Cluster {
    let layout = Layout {
        entries: 4,
        engines: count,
        plain: 0,
        regions: REGIONS,
        extra_settings: format!("[log]\nlevel = warn\n[control]\nsync_ms = {sync_ms}"),
        ..Layout::default()
    };
    let cluster = layout.start(&format!("control-{count}"));
    for version in ["v1", "v2"] {
        cluster.add_model("cutlist", version, 64 << 10, 64 << 10);
    }
    cluster
}

fn usages(cluster: &Cluster, role: &str, count: usize) -> Vec<ProcessUsage> {
    (0..count)
        .map(|index| process_usage(cluster.pid(&format!("{role}-{index}"))))
        .collect()
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let all: Vec<f64> = values.collect();
    all.iter().sum::<f64>() / all.len().max(1) as f64
}

// Mean CPU usage as a fraction of a core, and mean resident memory in bytes.
fn mean_usage(before: &[ProcessUsage], after: &[ProcessUsage]) -> (f64, f64) {
    let cpu = before
        .iter()
        .zip(after)
        .map(|(b, a)| (a.cpu_s - b.cpu_s) / IDLE_PERIOD.as_secs_f64());
    (mean(cpu), mean(after.iter().map(|u| u.rss as f64)))
}

fn platform_counters(cluster: &Cluster) -> Counters {
    wait_for("records", || {
        get(&format!(
            "{}/control/records",
            cluster.deployment.platform.url
        ))
    })
}

// Milliseconds from the confirmation of a generation until the last host has
// applied it, according to the events of the daemons.
fn config_ms(cluster: &Cluster, count: usize, change: usize) -> f64 {
    let version = if change.is_multiple_of(2) { "v1" } else { "v2" };
    let generation = cluster.apply("entry-0", &intent(version, count, REGIONS));
    let detail_prefix = format!("generation={generation} ");
    let event_time_ms = |name: &str, event: &str| {
        wait_for("generation", || {
            let events: Vec<EventRecord> = get(&format!("{}/events", cluster.operator_url(name)))?;
            let found = events
                .iter()
                .find(|e| &*e.event == event && e.detail.starts_with(&detail_prefix))?;
            Some(found.stamp >> 16)
        })
    };
    let start_ms = event_time_ms("entry-0", "GenerationConfirmed");
    let applied_ms =
        (0..count).map(|index| event_time_ms(&format!("engine-{index}"), "GenerationApplied"));
    let last_applied_ms = applied_ms.max().unwrap_or(start_ms);
    last_applied_ms.saturating_sub(start_ms) as f64
}

fn measure(count: usize, sync_ms: u64) -> Measurement {
    let cluster = start(count, sync_ms);
    let config: Vec<f64> = (0..CONFIG_CHANGES)
        .map(|change| config_ms(&cluster, count, change))
        .collect();
    cluster.wait_fulfilled("entry-0", "cuts", "v2");
    let (hosts, entries) = (
        usages(&cluster, "engine", count),
        usages(&cluster, "entry", 4),
    );
    let counters = platform_counters(&cluster);
    let (begin, bytes_before) = (Instant::now(), loopback_bytes());
    std::thread::sleep(IDLE_PERIOD);
    let seconds = begin.elapsed().as_secs_f64();
    let loopback_bytes_per_s = (loopback_bytes() - bytes_before) / seconds / count as f64;
    let after = platform_counters(&cluster);
    let (host_cpu, host_rss) = mean_usage(&hosts, &usages(&cluster, "engine", count));
    let (entry_cpu, entry_rss) = mean_usage(&entries, &usages(&cluster, "entry", 4));
    Measurement {
        host_cpu,
        host_rss,
        entry_cpu,
        entry_rss,
        loopback_bytes_per_s,
        table_reads: (after.reads - counters.reads) as f64 / seconds,
        list_calls: (after.list_calls - counters.list_calls) as f64 / seconds,
        config_ms: config,
    }
}

fn main() {
    let sizes = std::env::args().nth(1).unwrap_or("8,32".to_string());
    let sizes: Vec<usize> = sizes.split(',').filter_map(|s| s.parse().ok()).collect();
    let sync_ms = std::env::args()
        .nth(2)
        .and_then(|s| s.parse().ok())
        .unwrap_or(1000);
    println!("hosts,host_cpu_percent,host_rss_mb,entry_cpu_percent,entry_rss_mb,loopback_bytes_per_s_and_host,table_reads_per_s,list_calls_per_s,config_median_ms,config_max_ms");
    let mut rows = Vec::new();
    for &count in &sizes {
        let mut m = measure(count, sync_ms);
        let median = quantile(&mut m.config_ms, 0.5);
        let max = quantile(&mut m.config_ms, 1.0);
        let row = [
            m.host_cpu * 100.0,
            m.host_rss / 1e6,
            m.entry_cpu * 100.0,
            m.entry_rss / 1e6,
            m.loopback_bytes_per_s,
            m.table_reads,
            m.list_calls,
            median,
            max,
        ];
        let cells: Vec<String> = row.iter().map(|v| format!("{v:.2}")).collect();
        println!("{count},{}", cells.join(","));
        rows.push((count as f64, row));
    }
    let slopes: Vec<String> = (0..9)
        .map(|index| {
            let points: Vec<(f64, f64)> = rows.iter().map(|(n, row)| (*n, row[index])).collect();
            format!("{:.4}", linear_fit(&points).0)
        })
        .collect();
    println!("slope per host,{}", slopes.join(","));
}
