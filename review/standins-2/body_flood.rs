//! Clients that send many large bodies at once, piece by piece, and stop short of the end. The
//! platform ends a process that exceeds the memory of its machine.

#[path = "kit.rs"]
mod kit;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::{call, with_trouble, Addresses, Entry, Folder, Log, Machine, Server, Store};

/// Clients of one wave, and the waves.
const CLIENTS: usize = 1500;
const WAVES: usize = 8;
const WAVE_TIME: Duration = Duration::from_secs(7);
const PAUSE: Duration = Duration::from_millis(500);
/// Bytes that all clients together send in a second, half of what the machine's link carries.
const BYTES_PER_S: f64 = 60e6;
/// The manifest's `maxBodyBytes`; all bodies have this length and lack their last byte.
const BODY_BYTES: usize = 4 << 20;
/// Bytes of a body that a client sends at a time.
const PIECE_BYTES: usize = 16_000;
/// Length of a client's `Attempt-Id`; with the rest, the head stays below the manifest's
/// `maxHeaderBytes` of 16,384.
const ID_BYTES: usize = 15_000;

// A number from the environment, to find out what the result depends on.
fn setting(name: &str, usual: usize) -> usize {
    let value = std::env::var(name).ok().and_then(|v| v.parse().ok());
    value.unwrap_or(usual)
}
/// Interval at which the platform looks at the memory of the process.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

struct Client {
    conn: TcpStream,
    head: Vec<u8>,
    head_sent: usize,
    body_left: usize,
}

impl Client {
    fn connect(addr: SocketAddr, id: &str) -> Option<Client> {
        let conn = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
        conn.set_nonblocking(true).ok()?;
        let id = format!("{id}-{}", "x".repeat(setting("ID_BYTES", ID_BYTES)));
        let head = format!(
            "POST /order/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\n\
             Deadline-Ms: 60000\r\nAuthorization: Token key-1\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        );
        assert!(head.len() < 16_384);
        Some(Client {
            conn,
            head: head.into_bytes(),
            head_sent: 0,
            body_left: BODY_BYTES - 1,
        })
    }

    /// Sends a piece; `None` once the connection has ended.
    fn send(&mut self, piece: &[u8]) -> Option<usize> {
        let part = match self.head_sent < self.head.len() {
            true => &self.head[self.head_sent..],
            false => &piece[..piece.len().min(self.body_left)],
        };
        if part.is_empty() {
            return Some(0);
        }
        match self.conn.write(part) {
            Ok(n) => {
                match self.head_sent < self.head.len() {
                    true => self.head_sent += n,
                    false => self.body_left -= n,
                }
                Some(n)
            }
            Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => Some(0),
            Err(_) => None,
        }
    }
}

fn wave(addr: SocketAddr, number: usize, log: &Log, is_over: &AtomicBool) {
    let piece = vec![b'x'; PIECE_BYTES];
    let connect = |n| Client::connect(addr, &format!("flood-{number}-{n}"));
    let mut clients: Vec<Client> = (0..CLIENTS).filter_map(connect).collect();
    let connected = clients.len();
    let (began, mut bytes, mut next) = (Instant::now(), 0.0, 0);
    while began.elapsed() < WAVE_TIME && !is_over.load(Ordering::Relaxed) {
        // The clients take turns.
        while bytes < began.elapsed().as_secs_f64() * BYTES_PER_S && !clients.is_empty() {
            next %= clients.len();
            match clients[next].send(&piece) {
                Some(0) => bytes += 100.0,
                Some(n) => bytes += n as f64,
                None => drop(clients.swap_remove(next)),
            }
            next += 1;
        }
        thread::sleep(Duration::from_millis(2));
    }
    let (open, sent) = clients.iter().fold((0, 0), |(open, sent), client| {
        (open + 1, sent + BODY_BYTES - 1 - client.body_left)
    });
    log.line(&format!(
        "wave {number}: {connected} clients connected, {open} are still open and have sent \
         {sent} bytes of bodies; all of them leave"
    ));
}

fn main() {
    let path = std::env::args().nth(1).expect("the path of the record");
    let log = Log::create(&path);
    let (mut ips, folder) = (Addresses::new(), Folder::create());
    let store = Store::start(ips.ip());
    store.put("op", "config", &kit::manifest(400, 400));
    for (id, service) in [
        ("i-1", "assistant"),
        ("i-2", "assistant"),
        ("i-3", "orders"),
        ("i-4", "orders"),
    ] {
        Server::start(id, service, ips.ip(), &store, &log);
    }
    let machine = Machine {
        memory_mb: 260,
        descriptors: 4200,
        link_mbps: 1000.0,
    };
    let mut entry = Entry::start(ips.ip(), &store, &machine, folder.0.clone());
    entry.wait_until_ready(&log);
    let (addr, pid) = (entry.frontend(), entry.pid());
    let limit_kib = machine.memory_mb * 1024;
    log.line(&format!(
        "memory at rest {} KiB of {limit_kib} KiB",
        entry.memory_kib()
    ));

    // The platform ends a process that exceeds the memory of its machine.
    let (is_over, most) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    let watch = {
        let (log, is_over, most) = (log.clone(), is_over.clone(), most.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let held = kit::memory_kib(pid);
                most.fetch_max(held, Ordering::Relaxed);
                if held > limit_kib && setting("KILL", 1) == 1 {
                    log.line(&format!(
                        "the entry holds {held} KiB after {:.2} s of processor time; the platform \
                         kills it",
                        kit::cpu_s(pid)
                    ));
                    let pid = pid.to_string();
                    let _ = std::process::Command::new("kill")
                        .args(["-s", "KILL", &pid])
                        .status();
                    is_over.store(true, Ordering::Relaxed);
                    return;
                }
                thread::sleep(CHECK_INTERVAL);
            }
        })
    };

    // Ordinary callers: streams and payments that last a while.
    let counts = Arc::new(Mutex::new([0; 3]));
    let ordinary = {
        let (log, is_over, counts) = (log.clone(), is_over.clone(), counts.clone());
        thread::spawn(move || {
            let mut callers = Vec::new();
            for n in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    break;
                }
                let (log, counts) = (log.clone(), counts.clone());
                callers.push(thread::spawn(move || {
                    let (method, target, id, deadline) = match n % 2 {
                        0 => (
                            "POST",
                            "/plan/x?events=12&gap_ms=150",
                            format!("plan-{n}"),
                            6000,
                        ),
                        _ => ("POST", "/order/x?work_ms=60", format!("order-{n}"), 1000),
                    };
                    let seen = call(addr, method, target, &id, deadline);
                    let kind = match (seen.status, seen.whole) {
                        (200, true) => 0,
                        (200, false) | (0, _) => 1,
                        _ => 2,
                    };
                    counts.lock().unwrap()[kind] += 1;
                    if kind > 0 {
                        log.line(&format!("ordinary caller of {id} saw {seen:?}"));
                    }
                }));
                thread::sleep(Duration::from_millis(250));
            }
            for caller in callers {
                let _ = caller.join();
            }
        })
    };

    thread::sleep(Duration::from_secs(1));
    for number in 1..=WAVES {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        match with_trouble() {
            true => wave(addr, number, &log, &is_over),
            false => thread::sleep(WAVE_TIME),
        }
        thread::sleep(PAUSE);
        log.line(&format!(
            "memory after wave {number}: {} KiB",
            entry.memory_kib()
        ));
    }
    let was_killed = is_over.swap(true, Ordering::Relaxed);
    let ended_by_itself = !was_killed && entry.has_ended();
    let _ = (watch.join(), ordinary.join());
    let [served, cut, refused] = *counts.lock().unwrap();
    log.line(&format!(
        "most memory {} KiB of {limit_kib} KiB; ordinary requests: {served} served, {cut} cut or \
         unanswered, {refused} refused",
        most.load(Ordering::Relaxed)
    ));
    drop(entry);
    drop(folder);
    std::process::exit(i32::from(was_killed || ended_by_itself));
}
