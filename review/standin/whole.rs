//! WHOLE: a token is made with a layer that was taken while one of its pieces was spoilt.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::daemon::{Machine, Network, Role, CONTROL, FRONTEND, READY, ZONES};
use crate::http::call;
use crate::record::Record;
use crate::runner::{start_origin, Grey, Runner, CHUNKS, CHUNK_BYTES, LAYERS, MODEL, SLOTS};
use crate::store::Store;
use crate::Outcome;

const ENTRIES: u8 = 4;
const HOSTS: u8 = 9;
const SERVICE: &str = "assistant";
/// Time for which the order waits at the runner, and the pause until a killed process is
/// started again.
const ORDER_DELAY: Duration = Duration::from_millis(4000);
/// The same for a grey runner, and how it is grey.
const GREY_ORDER_DELAY: Duration = Duration::from_millis(3300);
const GREY_FOR_VERIFICATION: Grey = Grey {
    time: Duration::from_millis(6500),
    hangs_one_in: 60,
    hang: Duration::from_millis(2000),
};
const GREY_FOR_STATUS: Grey = Grey {
    time: Duration::from_millis(6500),
    hangs_one_in: 3,
    hang: Duration::from_millis(6500),
};
/// Time from the order until the host's daemon is stopped, and until it starts again.
const STOP_AFTER: Duration = Duration::from_millis(4900);
const RESTART_PAUSE: Duration = Duration::from_millis(300);
const KILL_AFTER: Duration = Duration::from_millis(1500);
const DOWN: Duration = Duration::from_millis(3500);
const GRACE: Duration = Duration::from_secs(8);

pub fn configuration(origin: SocketAddr) -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"cut-plan","host":"shop.example","prefix":"/cut/","kind":"streaming",
"service":"{SERVICE}","timeoutMs":6000,"targetLatencyMs":500,"targetGapMs":400,"maxAttempts":2,
"streamResumption":true,"sessionAffinity":true,"priority":1}}],
"services":[{{"name":"{SERVICE}","healthPath":"/health","inferenceEngine":{{"slots":{SLOTS},"stride":5,
"models":[{{"name":"{MODEL}"}}],"step_ms":8.87,"per_seq_ms":0.0388,"context_per_k":0.0227,"read_per_s":19100.0,
"chunk":2048,"layers":{LAYERS},"chunks":{CHUNKS},"chunkSizeBytes":{CHUNK_BYTES},
"usual":{{"prompt":900,"answer":90}}}}}},
{{"name":"weights","origin":"{origin}","zone":"central-a"}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"counter","apiKeys":["key-1"]}}]}}"#
    )
}

fn spawn_client(
    addr: SocketAddr,
    number: usize,
    stop: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    record: Arc<Record>,
) {
    thread::spawn(move || {
        let mut n = 0;
        while !stop.load(Ordering::Relaxed) {
            n += 1;
            let id = format!("c{number}-{n}");
            let body = "prompt";
            let req = format!(
                "POST /cut/plan HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 6000\r\n\
                 Authorization: Token key-1\r\nModel: {MODEL}\r\nToken-Usage: 900,80\r\nPrompt-Prefix: a{number}:40,{id}:860\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let result = call(addr, req.as_bytes(), Duration::from_secs(7));
            let status = result.as_ref().map_or(0, |res| res.status());
            served.fetch_add(u64::from(status == 200), Ordering::Relaxed);
            record.note(&format!(
                "request {id} to {}: {}",
                addr.ip(),
                match result {
                    Ok(_) => status.to_string(),
                    Err(err) => err.to_string(),
                }
            ));
            thread::sleep(Duration::from_millis(80));
        }
    });
}

fn is_ready(net: &Network, machine: u8) -> bool {
    let req = b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n";
    call(net.addr(machine, READY), req, Duration::from_secs(1)).is_ok_and(|res| res.status() == 200)
}

fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// How damaged weights get into service.
#[derive(Clone, Copy, PartialEq)]
pub enum Variant {
    /// The host's daemon repairs the staged piece, not knowing that its order was accepted,
    /// and is stopped; its successor vouches for the weights.
    Vouched,
    /// The host's daemon is killed while its order waits; its successor says nothing, and
    /// entries that start trust the runner's row.
    KilledHost,
    /// The host's daemon waits for a grey runner; an entry that starts trusts its row.
    GreyRunner,
}

pub fn run(record: &Arc<Record>, dir: &Path, with_trouble: bool, variant: Variant) -> Outcome {
    let io = |err: std::io::Error| err.to_string();
    let net = Network::find().ok_or("no free loopback addresses")?;
    let store = Store::start(net.addr(1, 8007)).map_err(io)?;
    start_origin(net.addr(2, 8008)).map_err(io)?;
    store.put("op", "config", &configuration(net.addr(2, 8008)));
    let mut runners = Vec::new();
    for n in 0..HOSTS {
        let addr = net.addr(31 + n, 8001);
        let zone = ZONES[usize::from(n) % ZONES.len()];
        let id = format!("i-{n}");
        runners.push(
            Runner::start(&id, SERVICE, zone, addr, store.clone(), record.clone()).map_err(io)?,
        );
    }
    let seeds: Vec<SocketAddr> = (0..3).map(|n| net.addr(11 + n, CONTROL)).collect();
    let mut machines = Vec::new();
    for n in 0..ENTRIES + HOSTS {
        let host = n.checked_sub(ENTRIES);
        let role = Role {
            name: host.map_or(format!("edge-{n}"), |host| format!("side-{host}")),
            zone: ZONES[usize::from(host.unwrap_or(n)) % ZONES.len()],
            ip: net.ip(host.map_or(11 + n, |host| 31 + host)),
            app: host.map(|host| (runners[usize::from(host)].addr, SERVICE)),
            seeds: &seeds,
            store: store.addr,
        };
        machines.push(Machine::new(&role, dir).map_err(io)?);
    }
    for machine in &mut machines {
        machine.start().map_err(io)?;
    }
    if !wait_until(Duration::from_secs(15), || {
        (0..ENTRIES).all(|n| is_ready(&net, 11 + n))
    }) {
        return Err("the entries do not become ready".into());
    }
    record.note("the entries are ready");
    for machine in &machines {
        machine.end_bootstrap().map_err(io)?;
    }
    let (stop, served) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    for n in 0..4 * usize::from(ENTRIES) {
        let addr = net.addr(11 + (n % usize::from(ENTRIES)) as u8, FRONTEND);
        spawn_client(addr, n, stop.clone(), served.clone(), record.clone());
    }
    thread::sleep(Duration::from_secs(3));
    let chosen = 4;
    let runner = runners[chosen].clone();
    if with_trouble {
        match variant {
            Variant::KilledHost => runner.delay_next_order(ORDER_DELAY),
            Variant::GreyRunner => {
                runner.delay_next_order(GREY_ORDER_DELAY);
                runner.turn_grey_with_next_order(GREY_FOR_STATUS);
            }
            Variant::Vouched => {
                runner.delay_next_order(GREY_ORDER_DELAY);
                runner.turn_grey_with_next_order(GREY_FOR_VERIFICATION);
            }
        }
    }
    store.put(
        "op",
        &format!("version/{MODEL}"),
        &format!("{{\"model\":\"{MODEL}\",\"version\":2}}"),
    );
    record.note("version 2 is named");
    if runner
        .order_arrived
        .lock()
        .unwrap()
        .recv_timeout(Duration::from_secs(20))
        .is_err()
    {
        return Err("no order reaches the runner".into());
    }
    if with_trouble {
        thread::sleep(Duration::from_millis(100));
        runner.spoil(50);
    }
    match variant {
        Variant::Vouched | Variant::KilledHost => {
            let host = &mut machines[usize::from(ENTRIES) + chosen];
            if variant == Variant::Vouched {
                // Planned work: the machine is stopped and started.
                thread::sleep(STOP_AFTER);
                host.signal("TERM");
                record.note(&format!("{} gets SIGTERM", host.name));
                let is_orderly = host.wait_for_end(GRACE);
                thread::sleep(RESTART_PAUSE);
                host.start().map_err(io)?;
                record.note(&format!(
                    "{} is started again, ended by itself: {is_orderly}",
                    host.name
                ));
            } else if with_trouble {
                thread::sleep(KILL_AFTER);
                host.signal("KILL");
                host.wait_for_end(Duration::from_secs(1));
                record.note(&format!("{} is killed", host.name));
                thread::sleep(DOWN);
                host.start().map_err(io)?;
                record.note(&format!("{} is started again", host.name));
            }
            let all_loaded = wait_until(Duration::from_secs(20), || {
                runners.iter().all(|r| r.version() == 2)
            });
            record.note(&format!("all runners hold version 2: {all_loaded}"));
            thread::sleep(Duration::from_secs(5));
        }
        Variant::GreyRunner => thread::sleep(Duration::from_millis(2100)),
    }
    let before = runner.tokens();
    record.note(&format!(
        "tokens at {} before the planned restart: {before:?} (all, bad)",
        runner.id
    ));
    // Planned work: entries are stopped and started in turn.
    let pause = match variant {
        Variant::GreyRunner => Duration::from_millis(200),
        _ => Duration::from_millis(1000),
    };
    let restarted: &[usize] = match variant {
        Variant::Vouched => &[],
        _ => &[1, 0],
    };
    for n in restarted.iter().copied() {
        let machine = &mut machines[n];
        machine.signal("TERM");
        record.note(&format!("{} gets SIGTERM", machine.name));
        let is_orderly = machine.wait_for_end(GRACE);
        machine.start().map_err(io)?;
        record.note(&format!(
            "{} is started again, ended by itself: {is_orderly}",
            machine.name
        ));
        thread::sleep(pause);
    }
    thread::sleep(Duration::from_secs(8));
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(500));
    for machine in &mut machines {
        if machine.has_ended() {
            record.note(&format!("{} has ended by itself", machine.name));
        }
    }
    let (all, bad) = runner.tokens();
    let served = served.load(Ordering::Relaxed);
    record.note(&format!(
        "requests served: {served}; runs at {}: {all}, with a bad layer: {bad}",
        runner.id
    ));
    for line in machines[usize::from(ENTRIES) + chosen].log().lines() {
        let words = ["OrderSent", "OrderFailed", "Weights", "LoadObserved"];
        if words
            .iter()
            .any(|word| line.contains(&format!("name={word}")))
        {
            record.note(&format!("log of side-{chosen}: {line}"));
        }
    }
    let total_bad: u32 = runners.iter().map(|r| r.tokens().1).sum();
    if served < 50 {
        return Err(format!("only {served} requests were served"));
    }
    Ok(total_bad > 0)
}
