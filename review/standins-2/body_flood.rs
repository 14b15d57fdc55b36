//! Clients that send many large bodies at once, piece by piece, and stop short of the end, at
//! two entries. The platform ends a process that exceeds the memory of its machine and starts
//! it again.

#[path = "kit.rs"]
mod kit;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::{call, with_trouble, Addresses, Entry, Folder, Log, Machine, Server, Store};

const ENTRIES: usize = 2;
/// Times that a process has to end by itself for the rule to be broken.
const MAX_ENDS: usize = 3;
/// Time of the run, at most.
const RUN_TIME: Duration = Duration::from_secs(100);
/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Clients of one wave at an entry, and the time after which they leave.
const CLIENTS: usize = 1500;
const WAVE_TIME: Duration = Duration::from_secs(8);
const PAUSE: Duration = Duration::from_millis(500);
/// Bytes that all clients of an entry send in a second, half of what the machine's link carries.
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

/// One entry, the platform that watches it, and those who call it.
struct Site {
    name: usize,
    entry: Mutex<Option<Entry>>,
    // Whether the process that runs has been ended.
    is_down: AtomicBool,
    most_kib: AtomicU64,
    counts: Mutex<[usize; 3]>,
    log: Log,
    is_over: Arc<AtomicBool>,
}

impl Site {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    fn is_down(&self) -> bool {
        self.is_down.load(Ordering::Relaxed)
    }

    // A wave of clients, which come one after the other and take turns to send.
    fn wave(&self, addr: SocketAddr, number: usize) {
        let piece = vec![b'x'; PIECE_BYTES];
        let (mut clients, mut connected): (Vec<Client>, usize) = (Vec::new(), 0);
        let (began, mut bytes, mut next) = (Instant::now(), 0.0, 0);
        while began.elapsed() < WAVE_TIME && !self.is_over() && !self.is_down() {
            if connected < CLIENTS {
                let id = format!("flood-{}-{number}-{connected}", self.name);
                connected += 1;
                clients.extend(Client::connect(addr, &id));
            }
            let due = began.elapsed().as_secs_f64() * BYTES_PER_S;
            while bytes < due && !clients.is_empty() {
                next %= clients.len();
                match clients[next].send(&piece) {
                    Some(0) => bytes += 100.0,
                    Some(n) => bytes += n as f64,
                    None => drop(clients.swap_remove(next)),
                }
                next += 1;
            }
            if connected == CLIENTS {
                thread::sleep(Duration::from_millis(2));
            }
        }
        let sent = clients.iter().map(|c| BODY_BYTES - 1 - c.body_left);
        self.log.line(&format!(
            "entry {}, wave {number}: {connected} clients, {} are still open and have sent {} \
             bytes of bodies; all of them leave",
            self.name,
            clients.len(),
            sent.sum::<usize>()
        ));
    }

    // The platform ends a process that exceeds the memory of its machine.
    fn watch(&self, pid: u32, limit_kib: u64) {
        while !self.is_over() {
            let held = kit::memory_kib(pid);
            self.most_kib.fetch_max(held, Ordering::Relaxed);
            if held > limit_kib && setting("KILL", 1) == 1 {
                self.log.line(&format!(
                    "entry {} holds {held} KiB after {:.2} s of processor time; the platform kills \
                     it",
                    self.name,
                    kit::cpu_s(pid)
                ));
                let pid = pid.to_string();
                let kill = std::process::Command::new("kill")
                    .args(["-s", "KILL", &pid])
                    .status();
                assert!(kill.is_ok());
                self.is_down.store(true, Ordering::Relaxed);
                return;
            }
            thread::sleep(CHECK_INTERVAL);
        }
    }

    // Ordinary callers: streams and orders that last a while.
    fn call_ordinarily(self: &Arc<Self>, addr: SocketAddr) {
        let mut callers = Vec::new();
        let mut n = 0;
        while !self.is_over() {
            if self.is_down() {
                thread::sleep(Duration::from_millis(20));
                continue;
            }
            n += 1;
            let (site, entry, number) = (self.clone(), self.name, n);
            callers.push(thread::spawn(move || {
                let (target, id, deadline) = match number % 2 {
                    0 => (
                        "/plan/x?events=12&gap_ms=150",
                        format!("plan-{entry}-{number}"),
                        6000,
                    ),
                    _ => (
                        "/order/x?work_ms=60",
                        format!("order-{entry}-{number}"),
                        1000,
                    ),
                };
                let seen = call(addr, "POST", target, &id, deadline);
                let kind = match (seen.status, seen.whole) {
                    (200, true) => 0,
                    (200, false) | (0, _) => 1,
                    _ => 2,
                };
                site.counts.lock().unwrap()[kind] += 1;
                if kind > 0 {
                    site.log
                        .line(&format!("ordinary caller of {id} saw {seen:?}"));
                }
            }));
            thread::sleep(Duration::from_millis(250));
        }
        for caller in callers {
            let _ = caller.join();
        }
    }

    // Starts the entry, again when it has ended, and floods it. Returns how often it ended.
    fn run(
        self: &Arc<Self>,
        ip: std::net::Ipv4Addr,
        seeds: &[std::net::Ipv4Addr],
        store: &Store,
        machine: &Machine,
        dir: &std::path::Path,
    ) -> usize {
        let limit_kib = machine.memory_mb * 1024;
        let (mut ends, mut wave) = (0, 0);
        let addr = kit::frontend(ip);
        let mut ordinary = None;
        while !self.is_over() {
            let dir = dir.join(format!("{}-{ends}", self.name));
            std::fs::create_dir_all(&dir).expect("a folder");
            let name = format!("edge-north-a-{}", self.name);
            let entry = Entry::start(&name, ip, seeds, ends == 0, store, machine, dir);
            entry.wait_until_ready(&self.log);
            let pid = entry.pid();
            self.log.line(&format!(
                "entry {} holds {} KiB at rest",
                self.name,
                entry.memory_kib()
            ));
            *self.entry.lock().unwrap() = Some(entry);
            self.is_down.store(false, Ordering::Relaxed);
            let site = self.clone();
            let watch = thread::spawn(move || site.watch(pid, limit_kib));
            if ordinary.is_none() {
                let site = self.clone();
                ordinary = Some(thread::spawn(move || site.call_ordinarily(addr)));
                thread::sleep(Duration::from_secs(1));
            }
            while !self.is_over() && !self.is_down() {
                wave += 1;
                match with_trouble() {
                    true => self.wave(addr, wave),
                    false => thread::sleep(WAVE_TIME),
                }
                thread::sleep(PAUSE);
                let held = kit::memory_kib(pid);
                if !self.is_down() {
                    self.log.line(&format!(
                        "entry {} holds {held} KiB after the wave",
                        self.name
                    ));
                }
                let mut entry = self.entry.lock().unwrap();
                if entry.as_mut().is_some_and(Entry::has_ended) {
                    self.is_down.store(true, Ordering::Relaxed);
                }
            }
            if self.is_down() {
                ends += 1;
                let _ = watch.join();
                self.log
                    .line(&format!("entry {} has ended {ends} times", self.name));
                if ends == MAX_ENDS {
                    break;
                }
                thread::sleep(RESTART_DELAY);
            }
            *self.entry.lock().unwrap() = None;
        }
        // The other entry may still run.
        while !self.is_over() && ends < MAX_ENDS {
            thread::sleep(Duration::from_millis(50));
        }
        *self.entry.lock().unwrap() = None;
        ends
    }
}

fn main() {
    let path = std::env::args().nth(1).expect("the path of the record");
    let log = Log::create(&path);
    kit::end_after(Duration::from_secs(115), &log);
    let (mut ips, folder) = (Addresses::new(), Folder::create());
    let store = Store::start(ips.ip());
    store.put("op", "config", &kit::manifest(400, 400));
    let servers = [
        ("i-1", "assistant"),
        ("i-2", "assistant"),
        ("i-3", "orders"),
        ("i-4", "orders"),
    ];
    for (id, service) in servers {
        Server::start(id, service, ips.ip(), &store, &log);
    }
    let entry_ips: Vec<_> = (0..ENTRIES).map(|_| ips.ip()).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let sites: Vec<Arc<Site>> = (0..ENTRIES)
        .map(|name| {
            Arc::new(Site {
                name,
                entry: Mutex::new(None),
                is_down: AtomicBool::new(false),
                most_kib: AtomicU64::new(0),
                counts: Mutex::default(),
                log: log.clone(),
                is_over: is_over.clone(),
            })
        })
        .collect();
    let runs: Vec<_> = sites
        .iter()
        .cloned()
        .zip(entry_ips.clone())
        .map(|(site, ip)| {
            let (store, seeds, dir) = (store.clone(), entry_ips.clone(), folder.0.clone());
            thread::spawn(move || {
                let machine = Machine {
                    memory_mb: 260,
                    descriptors: 4200,
                    link_mbps: 1000.0,
                };
                site.run(ip, &seeds, &store, &machine, &dir)
            })
        })
        .collect();
    let began = Instant::now();
    while began.elapsed() < RUN_TIME && !runs.iter().all(|run| run.is_finished()) {
        thread::sleep(Duration::from_millis(50));
    }
    is_over.store(true, Ordering::Relaxed);
    let ends: Vec<usize> = runs
        .into_iter()
        .map(|run| run.join().expect("a run"))
        .collect();
    thread::sleep(Duration::from_millis(500));
    for site in &sites {
        let [served, cut, refused] = *site.counts.lock().unwrap();
        log.line(&format!(
            "entry {}: most memory {} KiB of 266240 KiB; ordinary requests: {served} served, {cut} \
             cut or unanswered, {refused} refused",
            site.name,
            site.most_kib.load(Ordering::Relaxed)
        ));
    }
    log.line(&format!("the entries ended {ends:?} times by themselves"));
    drop(folder);
    let is_broken = ends.iter().all(|ends| *ends >= MAX_ENDS);
    std::process::exit(i32::from(is_broken));
}
