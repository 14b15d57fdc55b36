//! Benchmark of open streams: `bench_streams SIZES`. Every stream passes through
//! an entry and a host, both on `hyper`, to an engine stand-in on `tiny_http`.
//! Memory and threads of these three processes are measured while all streams
//! are open. Writes CSV to standard output.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use rw_standins::caller::completion_body;
use rw_standins::cluster::Cluster;
use rw_standins::engine::Behaviour;
use rw_standins::layout::{intent, Layout};
use rw_standins::measure::{linear_fit, process_usage, quantile};

const TOKENS: u64 = 40;
const TOKEN_MS: u64 = 250;
const STACK_BYTES: usize = 128 << 10;
const READ_TIMEOUT: Duration = Duration::from_secs(15);

fn start(streams: usize) -> Cluster {
    let layout = Layout {
        entries: 1,
        engines: 1,
        plain: 0,
        concurrency: streams as u32,
        extra_settings: "[limits]\nqueue_per_team = 100000\nmax_connections = 100000\ndefault_deadline_ms = 120000\n[log]\nlevel = warn"
            .into(),
        ..Layout::default()
    };
    let cluster = layout.start(&format!("streams-{streams}"));
    cluster.set_behaviour(
        "engine-0",
        &Behaviour {
            slots: streams as u32,
            token_ms: TOKEN_MS,
            ..Behaviour::default()
        },
    );
    cluster.add_model("cutlist", "v1", 64 << 10, 64 << 10);
    cluster.apply("entry-0", &intent("v1", 1, 1));
    cluster.wait_fulfilled("entry-0", "cuts", "v1");
    cluster
}

// Seconds to the first byte, and whether the stream was complete.
fn run_stream(addr: &str, barrier: &Barrier) -> (Option<f64>, bool) {
    barrier.wait();
    let begin = Instant::now();
    let Ok(mut conn) = TcpStream::connect(addr) else {
        return (None, false);
    };
    let _ = conn.set_read_timeout(Some(READ_TIMEOUT));
    let body = completion_body("shop|stream", TOKENS, true).to_string();
    let head =
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-team: arima\r\nconnection: close\r\n";
    let _ = write!(conn, "{head}content-length: {}\r\n\r\n{body}", body.len());
    let mut buf = [0; 4096];
    let first_byte_s = conn
        .read(&mut buf)
        .ok()
        .filter(|len| *len > 0)
        .map(|_| begin.elapsed().as_secs_f64());
    let mut rest = Vec::new();
    let _ = conn.read_to_end(&mut rest);
    (
        first_byte_s,
        String::from_utf8_lossy(&rest).contains("[DONE]"),
    )
}

fn main() {
    let sizes = std::env::args().nth(1).unwrap_or("100,500".to_string());
    let sizes: Vec<usize> = sizes.split(',').filter_map(|s| s.parse().ok()).collect();
    println!("streams,whole,without_first_byte,first_byte_p99_s,entry_rss_mb,entry_threads,host_rss_mb,host_threads,tiny_http_rss_mb,tiny_http_threads");
    let mut rows: Vec<(f64, [f64; 3])> = Vec::new();
    for streams in sizes {
        let cluster = start(streams);
        let addr = cluster.daemon("entry-0").caller_listen.clone();
        let barrier = Arc::new(Barrier::new(streams + 1));
        let threads: Vec<_> = (0..streams)
            .map(|_| {
                let (addr, barrier) = (addr.clone(), barrier.clone());
                let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
                thread
                    .spawn(move || run_stream(&addr, &barrier))
                    .expect("failed to spawn a thread")
            })
            .collect();
        barrier.wait();
        // Halfway through the streams all of them are open.
        std::thread::sleep(Duration::from_millis(TOKENS * TOKEN_MS / 2));
        let engine = cluster
            .daemon("engine-0")
            .backend_url
            .replace("http://", "");
        let engine = format!("engine@{}", engine.split('/').next().unwrap_or(""));
        let [entry, host, engine] =
            ["entry-0", "engine-0", &engine].map(|n| process_usage(cluster.pid(n)));
        let done: Vec<(Option<f64>, bool)> = threads
            .into_iter()
            .map(|t| t.join().expect("stream thread panicked"))
            .collect();
        let complete = done.iter().filter(|(_, complete)| *complete).count();
        let mut first_byte_times: Vec<f64> = done
            .iter()
            .filter_map(|(first_byte_s, _)| *first_byte_s)
            .collect();
        let mb = |bytes: u64| bytes as f64 / 1e6;
        println!(
            "{streams},{complete},{},{:.2},{:.1},{},{:.1},{},{:.1},{}",
            streams - first_byte_times.len(),
            quantile(&mut first_byte_times, 0.99),
            mb(entry.rss),
            entry.threads,
            mb(host.rss),
            host.threads,
            mb(engine.rss),
            engine.threads
        );
        rows.push((
            streams as f64,
            [entry.rss, host.rss, engine.rss].map(|rss| rss as f64 / 1e3),
        ));
    }
    let kb_per_stream = |column: usize| {
        linear_fit(
            &rows
                .iter()
                .map(|(n, row)| (*n, row[column]))
                .collect::<Vec<_>>(),
        )
        .0
    };
    println!(
        "KB per stream: entry {:.1}, host {:.1}, tiny_http {:.1}",
        kb_per_stream(0),
        kb_per_stream(1),
        kb_per_stream(2)
    );
}
