//! Measures what the detector of crashing requests and prompt parts costs: processor time of a request
//! and of weighing the reports of other entries, memory, and the size of a report.

use std::time::{Duration, Instant};

use rw_protocol::{Name, PoisonNotice, ServerCrash};
use rw_routing::{request_prefix, CrashedServer, PoisonDetector, PoisonReport};

const REQUESTS: u64 = 300_000;
const PARTS_PER_REQUEST: u64 = 4;
/// Servers that end during the measurement, and requests of an entry at each of them.
const CRASHES: u64 = 20;
const REQUESTS_PER_CRASH: u64 = 3;
const ROUNDS: u32 = 50;

// Three parts that requests share and one that is new each time.
fn parts(n: u64) -> Vec<Name> {
    let shared = (0..PARTS_PER_REQUEST - 1).map(|part| format!("{part:x}{:06x}", n % 60));
    let own = std::iter::once(format!("f{n:07x}"));
    shared.chain(own).map(Name::from).collect()
}

fn crash(detector: &mut PoisonDetector, entry: u64, now: Duration) {
    for n in 0..CRASHES {
        let server = CrashedServer {
            id: format!("i-{n:010x}").into(),
            started_ms: 1_780_000_000_000,
        };
        for request in 0..REQUESTS_PER_CRASH {
            let number = (entry * CRASHES + n) * REQUESTS_PER_CRASH + request;
            let mut suspects = parts(number);
            let name = request_prefix(&format!("{number:016x}-{number:032x}"));
            suspects.push(Name::from(name));
            detector.on_crash(&server, &suspects, false, now);
        }
    }
}

fn notice_bytes(report: &PoisonReport) -> usize {
    let crashes = report.crashes.iter().map(|crash| ServerCrash {
        part: crash.part.clone(),
        server: crash.server.id.clone(),
        started_ms: crash.server.started_ms,
        age_ms: crash.at.as_millis() as u64,
        is_repeat: crash.is_repeat,
    });
    let notice = PoisonNotice {
        entry: "entry-1".into(),
        crashes: crashes.collect(),
        survivals: Vec::new(),
        alive: Vec::new(),
        quarantines: Vec::new(),
    };
    rw_protocol::encode(&notice).map_or(0, |bytes| bytes.len())
}

fn main() {
    let mut detector = PoisonDetector::default();
    let requests: Vec<Vec<Name>> = (0..REQUESTS).map(parts).collect();
    let started = Instant::now();
    for (n, parts) in requests.iter().enumerate() {
        let now = Duration::from_micros(n as u64 * 200);
        std::hint::black_box(detector.quarantine_of(parts));
        detector.on_run(parts, now);
    }
    let each = started.elapsed() / REQUESTS as u32;
    println!("request: {each:?}, kept parts: {}", detector.size());
    for entries in [3u64, 35, 250] {
        let now = Duration::from_secs(100);
        let mut detector = PoisonDetector::default();
        crash(&mut detector, 0, now);
        for entry in 1..entries {
            let mut peer = PoisonDetector::default();
            crash(&mut peer, entry, now);
            detector.on_report(format!("entry-{entry}").into(), &peer.report(now), now);
        }
        let started = Instant::now();
        for _ in 0..ROUNDS {
            std::hint::black_box(detector.evaluate(now));
        }
        let weighing = started.elapsed() / ROUNDS;
        let report = detector.report(now);
        println!(
            "{entries} entries, {CRASHES} ends of servers: weighing {weighing:?}, \
             suspicions in a report {}, bytes {}",
            report.crashes.len(),
            notice_bytes(&report)
        );
    }
}
