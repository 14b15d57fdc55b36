//! Measures what limits of backend servers cost if every server names one: processor time
//! of a permit and of the periodic work of an entry, memory, and the size of messages.

use std::time::{Duration, Instant};

use rw_protocol::{LimitNotice, Name, PermitAnswer, PermitQuery, ServerLimit};
use rw_routing::{
    LimitCoordinator, LimitObservation, PermitAsk, PermitRequest, PermitTarget, ServerLifetime,
};

/// Servers of each entry, about as at the target.
const SERVERS_PER_ENTRY: usize = 8;
const LIMIT_PER_S: f64 = 2.0;
const ROUNDS: u32 = 200;
const PERMITS: u32 = 100_000;
const TICK: Duration = Duration::from_millis(100);

fn server(n: usize) -> ServerLifetime {
    ServerLifetime {
        id: Name::from(format!("i-{n:010x}")),
        started_ms: 1_780_000_000_000,
    }
}

fn entry(n: usize) -> Name {
    Name::from(format!("edge-antioquia-1-{n}"))
}

fn observation(at: Duration) -> LimitObservation {
    LimitObservation {
        limit: Some(LIMIT_PER_S),
        sent_at: at,
        received_at: at + Duration::from_millis(100),
    }
}

// An entry that hears all others, and knows the limit of every server.
fn coordinator(entries: usize) -> (LimitCoordinator, Duration) {
    let mut coordinator = LimitCoordinator::new(entry(0));
    let mut now = Duration::from_secs(1000);
    for _ in 0..50 {
        now += TICK;
        for other in 1..entries {
            coordinator.membership.on_heard(&entry(other), now);
        }
        coordinator.membership.evaluate(now);
        coordinator.news(now);
    }
    for n in 0..entries * SERVERS_PER_ENTRY {
        coordinator.on_response(&server(n), observation(now), now);
    }
    coordinator.news(now);
    (coordinator, now)
}

// Periodic work: who is alive, what is new, which permits are due.
fn measure_ticks(
    coordinator: &mut LimitCoordinator,
    mut now: Duration,
    entries: usize,
) -> Duration {
    let started = Instant::now();
    for _ in 0..ROUNDS {
        now += TICK;
        for other in 1..entries {
            coordinator.membership.on_heard(&entry(other), now);
        }
        coordinator.membership.evaluate(now);
        std::hint::black_box(coordinator.news(now));
        std::hint::black_box(coordinator.poll(now));
    }
    started.elapsed() / ROUNDS
}

fn measure_permits(coordinator: &mut LimitCoordinator, now: Duration) -> Duration {
    let owned = (0..).map(server);
    let mut owned = owned.filter(|s| coordinator.target(s) == PermitTarget::Own);
    let server = owned.next().expect("owns some server");
    let started = Instant::now();
    for n in 0..PERMITS {
        let ask = PermitAsk {
            server: server.clone(),
            observation: Some(observation(now)),
            request: PermitRequest {
                id: u64::from(n),
                entry: entry(1),
                rank: 105,
                patience: Duration::ZERO,
            },
            hops: 0,
        };
        std::hint::black_box(coordinator.on_ask(ask, now + Duration::from_micros(u64::from(n))));
    }
    started.elapsed() / PERMITS
}

fn encoded<T: serde::Serialize>(message: &T) -> usize {
    rw_protocol::encode(message).map_or(0, |bytes| bytes.len())
}

fn server_limit(n: usize) -> ServerLimit {
    let server = server(n);
    ServerLimit {
        server: server.id,
        started_ms: server.started_ms,
        is_limited: true,
        per_s: LIMIT_PER_S,
        sent_age_ms: 250,
        received_age_ms: 150,
    }
}

fn main() {
    let notice = |limits: usize| LimitNotice {
        entry: entry(0),
        limits: (0..limits).map(server_limit).collect(),
        silent: Vec::new(),
        reachable: Vec::new(),
        is_leaving: false,
        wants_all: false,
    };
    let query = PermitQuery {
        entry: entry(0),
        limit: server_limit(0),
        rank: 105,
        patience_ms: 200,
        hops: 0,
    };
    let answer = PermitAnswer {
        is_granted: true,
        is_unlimited: false,
        waited_ms: 20,
        next_permit_ms: 0,
        retry_after_ms: 0,
    };
    println!(
        "bytes: query {}, answer {}, notice of 1 limit {}, of 8 limits {}",
        encoded(&query),
        encoded(&answer),
        encoded(&notice(1)),
        encoded(&notice(SERVERS_PER_ENTRY))
    );
    for entries in [3usize, 35, 250] {
        let (mut coordinator, now) = coordinator(entries);
        let ticks = measure_ticks(&mut coordinator, now, entries);
        let permit = measure_permits(&mut coordinator, now + TICK * ROUNDS);
        println!(
            "{entries} entries, {} servers with a limit: a tick {ticks:?}, a permit {permit:?}, \
             known limits {}",
            entries * SERVERS_PER_ENTRY,
            coordinator.limited_servers()
        );
    }
}
