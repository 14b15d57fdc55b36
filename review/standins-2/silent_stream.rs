//! Streams whose sound server pauses, while their entry is stopped as planned.

#[path = "kit.rs"]
mod kit;

use std::thread;
use std::time::Duration;

use kit::{call, with_trouble, Addresses, Entry, Folder, Log, Machine, Server, Store};

/// Figures of the streams' route, as on the sheet of `sub-suggest`.
const GAP_MS: u64 = 400;
const AIM_MS: u64 = 400;
const STREAMS: usize = 4;
/// Time between two requests, so that the engine has read the prompt of the one before.
const STAGGER: Duration = Duration::from_millis(150);
/// Pause of the server within each stream. Callers leave after 2 s, four times the objective
/// or eight times the gap, whichever is longest: 3,200 ms.
const PAUSE_MS: u64 = 3050;
/// Pause without the disruption.
const SHORT_PAUSE_MS: u64 = 500;
const DEADLINE_MS: u64 = 6000;

fn main() {
    let path = std::env::args().nth(1).expect("the path of the record");
    let log = Log::create(&path);
    kit::end_after(Duration::from_secs(55), &log);
    let (mut ips, folder) = (Addresses::new(), Folder::create());
    let store = Store::start(ips.ip());
    store.put("op", "config", &kit::manifest(GAP_MS, AIM_MS));
    Server::start("i-1", "assistant", ips.ip(), &store, &log);
    Server::start("i-2", "orders", ips.ip(), &store, &log);
    let machine = Machine {
        memory_mb: 260,
        descriptors: 4200,
        link_mbps: 1000.0,
    };
    let ip = ips.ip();
    let dir = folder.0.clone();
    let mut entry = Entry::start("edge-north-a-1", ip, &[ip], true, &store, &machine, dir);
    entry.wait_until_ready(&log);
    let pause = if with_trouble() {
        PAUSE_MS
    } else {
        SHORT_PAUSE_MS
    };
    let addr = entry.frontend();
    let callers: Vec<_> = (0..STREAMS)
        .map(|n| {
            let log = log.clone();
            thread::sleep(STAGGER);
            thread::spawn(move || {
                let id = format!("stream-{n}");
                let target = format!("/plan/x?events=6&gap_ms=60&pause_at=4&pause_ms={pause}");
                log.line(&format!("caller sends {id}, deadline {DEADLINE_MS} ms"));
                let seen = call(addr, "POST", &target, &id, DEADLINE_MS);
                log.line(&format!("caller of {id} saw {seen:?}"));
                seen
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(400));
    log.line("SIGTERM to the entry (planned work; the grace period is 8 s)");
    entry.signal("TERM");
    let seen: Vec<_> = callers
        .into_iter()
        .map(|c| c.join().expect("a caller"))
        .collect();
    // The server notices the end of its channels.
    thread::sleep(Duration::from_millis(300));
    log.line(&format!("the entry has ended: {}", entry.has_ended()));
    let begun = seen.iter().filter(|s| s.status == 200).count();
    if begun < STREAMS {
        kit::cannot_run(&log, "not all streams began");
    }
    // The deadline and the route's timeout are those 6 s; the server had not broken off.
    let limit = Duration::from_millis(DEADLINE_MS - 100);
    let cut = seen.iter().filter(|s| !s.whole && s.took < limit).count();
    log.line(&format!(
        "{cut} of {STREAMS} streams ended without a complete answer"
    ));
    drop(entry);
    drop(folder);
    std::process::exit(i32::from(cut > 0));
}
