//! Stand-ins of the second review, with the standard library only: the platform's store,
//! backend servers, callers, and the platform that starts and watches processes.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The record of one run: each line has the seconds since its start.
#[derive(Clone)]
pub struct Log(Arc<(Instant, Mutex<File>)>);

impl Log {
    pub fn create(path: &str) -> Log {
        let file = File::create(path).expect("the record can be written");
        Log(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn line(&self, text: &str) {
        let at = self.0 .0.elapsed().as_secs_f64();
        let mut file = self.0 .1.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    pub fn now(&self) -> f64 {
        self.0 .0.elapsed().as_secs_f64()
    }
}

/// Whether the disruption takes place.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// Processes that were started and are not known to have ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn end_started() {
    for pid in STARTED.lock().unwrap().iter() {
        let _ = Command::new("kill")
            .args(["-s", "KILL", &pid.to_string()])
            .status();
    }
}

/// Ends a run that takes longer than `limit`, with all that it started.
pub fn end_after(limit: Duration, log: &Log) {
    let log = log.clone();
    thread::spawn(move || {
        thread::sleep(limit);
        cannot_run(&log, "it took too long");
    });
}

/// Ends the run if its preparation failed.
pub fn cannot_run(log: &Log, why: &str) -> ! {
    end_started();
    log.line(&format!("the case could not run: {why}"));
    eprintln!("the case could not run: {why}");
    std::process::exit(2);
}

/// Free ports, the same on all addresses of this run.
struct Ports {
    store: u16,
    server: u16,
    frontend: u16,
    ready: u16,
    control: u16,
}

fn ports() -> &'static Ports {
    static PORTS: OnceLock<Ports> = OnceLock::new();
    PORTS.get_or_init(|| {
        // Held together, so that all of them differ; no other run has this address.
        let ip = Addresses::new().ip();
        let bind = || TcpListener::bind((ip, 0)).expect("a free port");
        let held = [bind(), bind(), bind(), bind(), bind()];
        let [store, server, frontend, ready, control] = held
            .each_ref()
            .map(|l| l.local_addr().expect("bound").port());
        Ports {
            store,
            server,
            frontend,
            ready,
            control,
        }
    })
}

/// Address at which an entry accepts callers.
pub fn frontend(ip: Ipv4Addr) -> SocketAddr {
    SocketAddr::from((ip, ports().frontend))
}

/// Loopback addresses that belong to this run.
pub struct Addresses {
    net: [u8; 2],
    next: u8,
}

impl Addresses {
    pub fn new() -> Self {
        let pid = std::process::id();
        Addresses {
            net: [16 + (pid >> 8) as u8 % 200, pid as u8],
            next: 1,
        }
    }

    pub fn ip(&mut self) -> Ipv4Addr {
        self.next += 1;
        Ipv4Addr::new(127, self.net[0], self.net[1], self.next)
    }
}

// ---- HTTP

pub struct Message {
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn param(&self, name: &str) -> &str {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map_or("", |(_, v)| v)
    }

    pub fn number(&self, name: &str) -> u64 {
        self.param(name).parse().unwrap_or(0)
    }
}

/// Reads a head, and a body with a length; `None` at the end of the connection.
pub fn read_message(conn: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Message> {
    let mut buf = [0; 16384];
    let end = loop {
        if let Some(at) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        match conn.read(&mut buf) {
            Ok(0) | Err(_) => return None,
            Ok(n) => rest.extend_from_slice(&buf[..n]),
        }
    };
    let head = String::from_utf8_lossy(&rest[..end]).to_string();
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or("").to_string();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_lowercase(), value.trim().to_string()))
        .collect();
    let len: usize = headers
        .get("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    while rest.len() < end + 4 + len {
        match conn.read(&mut buf) {
            Ok(0) | Err(_) => return None,
            Ok(n) => rest.extend_from_slice(&buf[..n]),
        }
    }
    let body = rest[end + 4..end + 4 + len].to_vec();
    rest.drain(..end + 4 + len);
    Some(Message {
        first,
        headers,
        body,
    })
}

pub fn listen(addr: SocketAddr, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let listener = TcpListener::bind(addr).expect("a free address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for conn in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = conn.set_nodelay(true);
            thread::spawn(move || serve(conn));
        }
    });
}

fn respond(conn: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    );
    let mut text = head.into_bytes();
    text.extend_from_slice(body);
    conn.write_all(&text).is_ok()
}

// ---- The platform's store

#[derive(Clone)]
struct Row {
    table: String,
    key: String,
    value: String,
    version: u64,
    deleted: bool,
}

#[derive(Default)]
struct Rows {
    version: u64,
    rows: Vec<Row>,
}

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

fn base64(bytes: &[u8]) -> String {
    const SET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let n = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for i in 0..4 {
            match i <= part.len() {
                true => out.push(SET[(n >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

// The text of a field in a flat JSON object; the daemons' values need no escapes.
fn json_text<'a>(object: &'a str, name: &str) -> &'a str {
    let key = format!("\"{name}\":\"");
    let Some(at) = object.find(&key) else {
        return "";
    };
    let rest = &object[at + key.len()..];
    rest.split('"').next().unwrap_or("")
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> Store {
        let store = Store {
            addr: SocketAddr::from((ip, ports().store)),
            rows: Arc::default(),
            started: Instant::now(),
        };
        let inner = store.clone();
        listen(store.addr, move |mut conn| {
            let mut rest = Vec::new();
            while let Some(req) = read_message(&mut conn, &mut rest) {
                let (status, body) = inner.handle(&req);
                if !respond(&mut conn, status, "", body.as_bytes()) {
                    return;
                }
            }
        });
        store
    }

    /// Writes a row as the operator or a backend server does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, base64(value.as_bytes()));
    }

    fn write(&self, table: &str, key: &str, value: String) {
        let mut rows = self.rows.0.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows.retain(|r| r.table != table || r.key != key);
        rows.rows.push(Row {
            table: table.into(),
            key: key.into(),
            value,
            version,
            deleted: false,
        });
        self.rows.1.notify_all();
    }

    fn page(&self, rows: &Rows, found: Vec<&Row>) -> String {
        let text: Vec<String> = found
            .iter()
            .map(|r| {
                let deleted = if r.deleted { ",\"deleted\":true" } else { "" };
                format!(
                    "{{\"tableName\":\"{}\",\"part\":\"\",\"key\":\"{}\",\"value\":\"{}\",\
                     \"schemaVersion\":{}{deleted}}}",
                    r.table, r.key, r.value, r.version
                )
            })
            .collect();
        format!(
            "{{\"rows\":[{}],\"hasMore\":false,\"schemaVersion\":{},\"currentTimeMs\":{}}}",
            text.join(","),
            rows.version,
            1_000_000 + self.started.elapsed().as_millis()
        )
    }

    fn handle(&self, req: &Message) -> (u16, String) {
        let table = req.param("tableName").to_string();
        match req.path() {
            "/v1/rows-get" => {
                let rows = self.rows.0.lock().unwrap();
                let mut found: Vec<&Row> = rows.rows.iter().filter(|r| r.table == table).collect();
                found.sort_by(|a, b| a.key.cmp(&b.key));
                (200, self.page(&rows, found))
            }
            "/v1/rows-feed" => {
                let after = req.number("after");
                let until = Instant::now() + Duration::from_millis(req.number("waitMs"));
                let mut rows = self.rows.0.lock().unwrap();
                loop {
                    let mut found: Vec<&Row> = rows
                        .rows
                        .iter()
                        .filter(|r| r.table == table && r.version > after)
                        .collect();
                    found.sort_by_key(|r| r.version);
                    let left = until.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        return (200, self.page(&rows, found));
                    }
                    rows = self.rows.1.wait_timeout(rows, left).unwrap().0;
                }
            }
            "/v1/rows-tx" => {
                let body = String::from_utf8_lossy(&req.body).to_string();
                let writes = body.split_once("\"write\":[").map_or("", |(_, w)| w);
                for object in writes.split('{').skip(1) {
                    let (table, key) = (json_text(object, "tableName"), json_text(object, "key"));
                    self.write(table, key, json_text(object, "value").to_string());
                }
                let version = self.rows.0.lock().unwrap().version;
                let now = 1_000_000 + self.started.elapsed().as_millis();
                (
                    200,
                    format!("{{\"schemaVersion\":{version},\"currentTimeMs\":{now}}}"),
                )
            }
            "/v1/blob-list" => (200, "{\"names\":[],\"hasMore\":false}".into()),
            _ => (404, String::new()),
        }
    }
}

// ---- Backend servers

/// A sound backend server. A request says what it asks for: `events`, the `gap_ms` between
/// them, and before which event (`pause_at`) the server pauses for `pause_ms`, as one does
/// that preempts a stream; or `work_ms`.
pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    pub log: Log,
}

fn is_closed(conn: &TcpStream) -> bool {
    let _ = conn.set_nonblocking(true);
    let mut byte = [0];
    let closed = match conn.peek(&mut byte) {
        Ok(0) => true,
        Ok(_) => false,
        Err(err) => err.kind() != std::io::ErrorKind::WouldBlock,
    };
    let _ = conn.set_nonblocking(false);
    closed
}

// Returns false if the channel closes meanwhile.
fn work(conn: &TcpStream, ms: u64) -> bool {
    let until = Instant::now() + Duration::from_millis(ms);
    while Instant::now() < until {
        if is_closed(conn) {
            return false;
        }
        let left = until.saturating_duration_since(Instant::now());
        thread::sleep(left.min(Duration::from_millis(5)));
    }
    !is_closed(conn)
}

pub const LAYERS: u32 = 4;

impl Server {
    /// Starts the server and registers it.
    pub fn start(id: &str, service: &str, ip: Ipv4Addr, store: &Store, log: &Log) {
        let server = Arc::new(Server {
            id: id.into(),
            addr: SocketAddr::from((ip, ports().server)),
            log: log.clone(),
        });
        let inner = server.clone();
        listen(server.addr, move |conn| inner.serve(conn));
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let row = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"north-a\",\"version\":\"v1\",\
             \"slots\":16,\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"combined\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"layers\":{{\"from\":0,\"to\":{LAYERS},\"version\":1}},\"sequence\":1,\"born\":{}}}",
            server.addr,
            born.as_millis()
        );
        store.put("servers", id, &row);
    }

    fn serve(&self, mut conn: TcpStream) {
        let mut rest = Vec::new();
        while let Some(req) = read_message(&mut conn, &mut rest) {
            if !self.answer(&mut conn, &req) {
                return;
            }
        }
    }

    fn answer(&self, conn: &mut TcpStream, req: &Message) -> bool {
        let id = req.header("attempt-id").to_string();
        let short: String = id.chars().take(24).collect();
        let own = format!("Attempt-Id: {id}\r\nAt-Server: {}\r\n", self.id);
        if req.path() == "/health" {
            return respond(conn, 200, &format!("Instance-Id: {}\r\n", self.id), b"");
        }
        let expected = req.header("expected-instance");
        if !expected.is_empty() && expected != self.id {
            return respond(conn, 421, &format!("Instance-Id: {}\r\n", self.id), b"");
        }
        self.log.line(&format!(
            "server {} runs {short}, deadline-ms {}",
            self.id,
            req.header("deadline-ms")
        ));
        let proof = format!("{own}Response-Signature: {short}.{}\r\n", self.id);
        if req.param("events").is_empty() {
            if !work(conn, req.number("work_ms")) {
                self.log.line(&format!(
                    "server {}: the channel of {short} is closed",
                    self.id
                ));
                return false;
            }
            return respond(conn, 200, &proof, b"done");
        }
        let (events, pause_at) = (req.number("events"), req.number("pause_at"));
        let from = req.header("last-event-id").parse().unwrap_or(0);
        for n in from + 1..=events {
            let pause = match n == pause_at {
                true => req.number("pause_ms"),
                false => req.number("gap_ms"),
            };
            if n == pause_at && pause > 0 {
                self.log.line(&format!(
                    "server {} pauses {short} for {pause} ms after event {}",
                    self.id,
                    n - 1
                ));
            }
            let began = Instant::now();
            if !work(conn, pause) {
                self.log.line(&format!(
                    "server {}: the channel of {short} is closed after event {}, {} ms into a \
                     pause of {pause} ms",
                    self.id,
                    n - 1,
                    began.elapsed().as_millis()
                ));
                return false;
            }
            let mut text = String::new();
            if n == from + 1 {
                text = format!(
                    "HTTP/1.1 200 OK\r\n{proof}Weight-Versions: 1\r\nContent-Type: \
                     text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
            }
            let event = format!("id: {n}\ndata: {short} {n}\n\n");
            text += &format!("{:x}\r\n{event}\r\n", event.len());
            if n == events {
                text += "0\r\n\r\n";
            }
            if conn.write_all(text.as_bytes()).is_err() {
                self.log.line(&format!(
                    "server {}: cannot write event {n} of {short}",
                    self.id
                ));
                return false;
            }
        }
        self.log
            .line(&format!("server {} has sent all of {short}", self.id));
        true
    }
}

// ---- The manifest

/// A manifest with a route of each kind. `gap_ms` and `aim_ms` are those of the streams.
pub fn manifest(gap_ms: u64, aim_ms: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, aim: u64, resumes: bool| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"shop.example\",\"prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeoutMs\":6000,\"targetLatencyMs\":{aim},\"priority\":1,\
             \"service\":\"{service}\",\"maxAttempts\":{attempts},\"public\":false,\
             \"sessionAffinity\":{resumes},\"streamResumption\":{resumes},\"targetGapMs\":{gap_ms}}}"
        )
    };
    let routes = [
        route("plan", "streaming", "assistant", 2, aim_ms, true),
        route("order", "non_idempotent", "orders", 1, 150, false),
        route("stock", "idempotent", "orders", 2, 150, false),
    ];
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{{\"name\":\"assistant\",\"healthPath\":\
         \"/health\",\"inferenceEngine\":{{\"slots\":16,\"kvCacheTokens\":1180000,\"stride\":5,\
         \"step_ms\":8.87,\"per_seq_ms\":0.0388,\"context_per_k\":0.0227,\"read_per_s\":19100.0,\
         \"chunk\":2048,\"usual\":{{\"prompt\":900,\"answer\":100}},\"layers\":{LAYERS},\
         \"chunks\":8,\"models\":[{{\"name\":\"m\",\"warmupS\":0.3}}]}}}},{{\"name\":\"orders\",\
         \"healthPath\":\"/health\"}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":\
         4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\
         \"arima\",\"apiKeys\":[\"key-1\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

// ---- The platform

/// An entry: the program of the deploy file on a machine of its own.
pub struct Entry {
    child: Child,
    pub ip: Ipv4Addr,
    dir: PathBuf,
}

pub struct Machine {
    pub memory_mb: u64,
    pub descriptors: u32,
    pub link_mbps: f64,
}

impl Entry {
    pub fn start(
        name: &str,
        ip: Ipv4Addr,
        seeds: &[Ipv4Addr],
        is_first: bool,
        store: &Store,
        machine: &Machine,
        dir: PathBuf,
    ) -> Entry {
        let Ports {
            frontend,
            ready,
            control,
            ..
        } = ports();
        let seeds = seeds.iter().map(|ip| format!("\"{ip}:{control}\""));
        let seeds: Vec<String> = seeds.collect();
        let boot = dir.join("node.toml");
        let text = format!(
            "nodeName = \"{name}\"\nrole = \"entry\"\nmachineClass = \"edge\"\n\
             serves = [\"edge\",\"control_plane\"]\nip = \"{ip}\"\nzone = \"north-a\"\n\
             region = \"north\"\ninternalPortRange = [7700,7715]\nseedNodes = [{}]\n\
             bootstrap = {is_first}\ncountsAsLoss = false\ndiscovery = \"platform\"\n\
             entryPoint = \"virtual_ip\"\nheartbeatIntervalMs = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\
             \"stream\",\"tenants\",\"platform\",\"chunks\"]\n[zones]\nnorth-a = \"north\"\n\
             [listenAddresses]\nfrontend = \"{ip}:{frontend}\"\nready = \"{ip}:{ready}\"\n\
             controlPlane = \"{ip}:{control}\"\n[limits]\ncpuShare = 0.19\ncpuCores = 1\n\
             memoryMb = {}\nfileDescriptors = {}\nlinkMbps = {:.1}\ndiskMb = 0\n\
             [faultTolerance]\nmachineFailures = 1\nzones = 0\nregionFailures = 0\n[bounds]\n\
             seedPropagationS = 3\naddressReuseS = 2\ncontactWindowMs = 3000\n\
             replyDeadlineMs = 4000\ncatchUpS = 4\ndrainTimeoutMs = 2000\ngracePeriodS = 8\n\
             lossSlackMs = 200\nconfigPropagationMs = 2000\ndowngradeSlackMs = 250\n\
             partitionExtensionMs = 5000\nrevocationFailClosed = false\nrevocationMs = 5000\n\
             retryBudgetRatio = 0.2\nbudgetWindowS = 10\nretryBudgetExtra = 100\nrecoveryS = 12\n\
             eventDelayMs = 120\nretryAfterS = 0\nversion_ms = 8000\nversion_all_ms = 0\n\
             [platform]\naddress = \"{}\"\nform = \"table\"\nwritesPerS = 400\nreadsPerS = 2000\n\
             transactionTimeoutMs = 3.0\npartWritesPerS = 300\nmaxRowBytes = 65536\n\
             crossPartition = true\nhistoryRetentionS = 20\nmaxBlobBytes = 8388608\n\
             blobLatencyMs = 25.0\nblobMbPerS = 80.0\n",
            seeds.join(","),
            machine.memory_mb,
            machine.descriptors,
            machine.link_mbps,
            store.addr
        );
        std::fs::write(&boot, text).expect("settings are written");
        let log = File::create(dir.join("entry.log")).expect("a log");
        let child = Command::new("target/release/ragworttackd")
            .arg("platform")
            .env("RAGWORTTACK_BOOT", &boot)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file starts");
        STARTED.lock().unwrap().push(child.id());
        Entry { child, ip, dir }
    }

    pub fn frontend(&self) -> SocketAddr {
        frontend(self.ip)
    }

    /// Answer to the platform's question whether the entry is ready.
    pub fn is_ready(&self) -> bool {
        let ready = SocketAddr::from((self.ip, ports().ready));
        let Ok(mut conn) = TcpStream::connect_timeout(&ready, Duration::from_secs(1)) else {
            return false;
        };
        let _ = conn.set_read_timeout(Some(Duration::from_secs(1)));
        let asked = conn.write_all(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
        let answer = asked
            .ok()
            .and_then(|()| read_message(&mut conn, &mut Vec::new()));
        answer.is_some_and(|a| a.first.contains(" 200"))
    }

    pub fn wait_until_ready(&self, log: &Log) {
        for _ in 0..300 {
            if self.is_ready() {
                return log.line("the entry is ready");
            }
            thread::sleep(Duration::from_millis(50));
        }
        cannot_run(log, "the entry did not become ready");
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args(["-s", name, &pid]).status();
    }

    pub fn has_ended(&mut self) -> bool {
        self.child
            .try_wait()
            .map_or(true, |status| status.is_some())
    }

    /// Memory that the process holds now, in KiB; 0 once it has ended.
    pub fn memory_kib(&self) -> u64 {
        memory_kib(self.child.id())
    }
}

/// Processor time of a process so far, in seconds; 0 once it has ended.
pub fn cpu_s(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.split(' ').collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok());
    (ticks(13).unwrap_or(0.0) + ticks(14).unwrap_or(0.0)) / 100.0
}

pub fn memory_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.trim().split(' ').next()?.parse().ok());
    number.unwrap_or(0)
}

impl Drop for Entry {
    fn drop(&mut self) {
        let mut started = STARTED.lock().unwrap();
        started.retain(|pid| *pid != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A temporary folder, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let path = std::env::temp_dir().join(format!("rw-review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

// ---- Callers

/// What a caller saw.
#[derive(Debug)]
pub struct Seen {
    /// 0 without an answer.
    pub status: u16,
    pub events: usize,
    pub whole: bool,
    pub took: Duration,
}

/// Sends a request on a new connection and reads the answer until it is whole, the connection
/// ends, or the caller leaves.
pub fn call(addr: SocketAddr, method: &str, target: &str, id: &str, deadline: u64) -> Seen {
    let began = Instant::now();
    let mut seen = Seen {
        status: 0,
        events: 0,
        whole: false,
        took: Duration::ZERO,
    };
    let mut text = Vec::new();
    if let Ok(mut conn) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) {
        let req = format!(
            "{method} {target} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\n\
             Model: m\r\nToken-Usage: 900,100\r\nPrompt-Prefix: 5c1e07a2:40,{}:860\r\n\
             Deadline-Ms: {deadline}\r\nAuthorization: Token key-1\r\nContent-Length: 0\r\n\r\n",
            id.len() * 7919
        );
        let until = began + Duration::from_millis(deadline);
        let mut buf = [0; 4096];
        if conn.write_all(req.as_bytes()).is_ok() {
            while !seen.whole {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                let _ = conn.set_read_timeout(Some(left));
                match conn.read(&mut buf) {
                    Ok(0) | Err(_) => break,
                    Ok(n) => text.extend_from_slice(&buf[..n]),
                }
                seen.whole = is_whole(&text);
            }
        }
    }
    let text = String::from_utf8_lossy(&text).to_string();
    seen.status = text.get(9..12).and_then(|s| s.parse().ok()).unwrap_or(0);
    seen.events = text.matches("\nid: ").count();
    seen.took = began.elapsed();
    seen
}

fn is_whole(text: &[u8]) -> bool {
    let Some(end) = text.windows(4).position(|w| w == b"\r\n\r\n") else {
        return false;
    };
    let head = String::from_utf8_lossy(&text[..end]).to_lowercase();
    if head.contains("transfer-encoding: chunked") {
        return text.ends_with(b"0\r\n\r\n");
    }
    let len = head
        .split("content-length: ")
        .nth(1)
        .and_then(|rest| rest.split("\r\n").next()?.trim().parse::<usize>().ok());
    text.len() >= end + 4 + len.unwrap_or(0)
}
