//! A model server with its staging area, and the origin of weights.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{response, serve, Message};
use crate::json;
use crate::record::Record;
use crate::sha256::sha256;
use crate::store::Store;

pub const CHUNKS: u32 = 96;
pub const CHUNK_BYTES: usize = 24_576;
pub const LAYERS: u32 = 16;
pub const SLOTS: usize = 16;
pub const MODEL: &str = "dense";
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
const WARMUP: Duration = Duration::from_millis(300);
/// Events of each stream, and the time between them.
const EVENTS: u64 = 6;
const GAP: Duration = Duration::from_millis(50);
/// Time for which a piece may have been bad when it is taken, by the rule WHOLE.
const EXCUSED: Duration = Duration::from_secs(3);

/// Bytes of a piece of a version.
pub fn chunk(version: u64, n: u32) -> Vec<u8> {
    let mut seed = version << 32 | u64::from(n) | 1 << 63;
    let mut out = Vec::with_capacity(CHUNK_BYTES);
    while out.len() < CHUNK_BYTES {
        seed ^= seed << 13;
        seed ^= seed >> 7;
        seed ^= seed << 17;
        out.extend_from_slice(&seed.to_le_bytes());
    }
    out
}

/// A runner that is well but lets some calls for staged pieces hang.
#[derive(Clone, Copy)]
pub struct Grey {
    /// Time for which it does so.
    pub time: Duration,
    /// Calls of which one hangs.
    pub hangs_one_in: u32,
    /// Longest time for which a call hangs.
    pub hang: Duration,
}

struct Staged {
    body: Vec<u8>,
    spoilt_at: Option<Instant>,
}

#[derive(Clone, Copy, PartialEq)]
struct Layers {
    version: u64,
    from: u32,
    to: u32,
}

struct State {
    held: Layers,
    ordered: Option<Layers>,
    // For each layer, what was wrong when it was taken.
    faults: Vec<Option<String>>,
    staged: Vec<Staged>,
    sequence: u64,
    active: usize,
    // How long the next order waits before it is accepted.
    order_delay: Duration,
    // How the runner is grey from its next order on, and until when it is.
    grey: Option<Grey>,
    grey_until: Option<Instant>,
    // Calls for staged pieces since then.
    staged_calls: u32,
    // Whether a token was made with a layer that was taken in a bad state.
    pub bad_tokens: u32,
    tokens: u32,
}

pub struct Runner {
    pub id: String,
    service: String,
    zone: String,
    pub addr: SocketAddr,
    born: u64,
    record: Arc<Record>,
    state: Mutex<State>,
    changed: Condvar,
    orders: Mutex<Sender<()>>,
    /// Receives a message when an order arrives.
    pub order_arrived: Mutex<Receiver<()>>,
}

impl Runner {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        addr: SocketAddr,
        store: Arc<Store>,
        record: Arc<Record>,
    ) -> std::io::Result<Arc<Runner>> {
        let (orders, order_arrived) = channel();
        let staged = |n| Staged {
            body: chunk(1, n),
            spoilt_at: None,
        };
        let runner = Arc::new(Runner {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            addr,
            born: record.unix_ms(),
            record,
            state: Mutex::new(State {
                held: Layers {
                    version: 1,
                    from: 0,
                    to: LAYERS,
                },
                ordered: None,
                faults: vec![None; LAYERS as usize],
                staged: (0..CHUNKS).map(staged).collect(),
                sequence: 0,
                active: 0,
                order_delay: Duration::ZERO,
                grey: None,
                grey_until: None,
                staged_calls: 0,
                bad_tokens: 0,
                tokens: 0,
            }),
            changed: Condvar::new(),
            orders: Mutex::new(orders),
            order_arrived: Mutex::new(order_arrived),
        });
        let inner = runner.clone();
        serve(addr, move |req, conn| inner.handle(&req, conn))?;
        let inner = runner.clone();
        thread::spawn(move || inner.load());
        let inner = runner.clone();
        thread::spawn(move || {
            for beat in 1u64.. {
                store.put("servers", &inner.id, &inner.row(beat));
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(runner)
    }

    pub fn delay_next_order(&self, delay: Duration) {
        self.state.lock().unwrap().order_delay = delay;
    }

    /// From its next order on, lets some calls hang.
    pub fn turn_grey_with_next_order(&self, grey: Grey) {
        self.state.lock().unwrap().grey = Some(grey);
    }

    /// A staged piece turns bad.
    pub fn spoil(&self, n: u32) {
        let mut state = self.state.lock().unwrap();
        let staged = &mut state.staged[n as usize];
        staged.body[0] ^= 0x40;
        staged.spoilt_at = Some(Instant::now());
        drop(state);
        self.record
            .note(&format!("piece {n} at {} turns bad", self.id));
    }

    /// Tokens made, and those made with a layer that was taken in a bad state.
    pub fn tokens(&self) -> (u32, u32) {
        let state = self.state.lock().unwrap();
        (state.tokens, state.bad_tokens)
    }

    pub fn version(&self) -> u64 {
        let held = self.state.lock().unwrap().held;
        if held.from == 0 && held.to == LAYERS {
            held.version
        } else {
            0
        }
    }

    fn row(&self, beat: u64) -> String {
        let state = self.state.lock().unwrap();
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{SLOTS},\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{beat},\"born\":{},\"stage\":\"combined\",\"models\":{},\"layers\":{}}}",
            self.service,
            self.addr,
            self.zone,
            self.born,
            models(state.held),
            layers(state.held)
        )
    }

    // Loads after what is running; accepts nothing new meanwhile.
    fn load(&self) {
        let mut state = self.state.lock().unwrap();
        loop {
            while state.ordered.is_none() || state.active > 0 {
                state = self.changed.wait(state).unwrap();
            }
            let Some(ordered) = state.ordered else {
                continue;
            };
            let drops = ordered.version == state.held.version
                && state.held.from <= ordered.from
                && ordered.to <= state.held.to;
            if !drops {
                let keeps = ordered.version == state.held.version;
                if !keeps {
                    state.held = Layers {
                        version: 0,
                        from: 0,
                        to: 0,
                    };
                }
                drop(state);
                thread::sleep(WARMUP);
                state = self.state.lock().unwrap();
            }
            state.held = ordered;
            state.ordered = None;
            let note = format!(
                "{} holds layers {}..{} of version {}",
                self.id, ordered.from, ordered.to, ordered.version
            );
            self.record.note(&note);
        }
    }

    fn handle(&self, req: &Message, conn: &mut TcpStream) -> bool {
        let id = req.header("attempt-id").to_string();
        let echo = format!("Attempt-Id: {id}\r\n");
        if req.path().starts_with("/v1/stage-") {
            self.hang_if_grey();
        }
        let mut parts = req.path().split('/').skip(1);
        let answer = match (parts.next(), parts.next()) {
            (Some("v1"), Some("report")) => (200, self.report().into_bytes()),
            (Some("v1"), Some("stage-put")) => {
                let mut state = self.state.lock().unwrap();
                let n = req.number("quantity") as usize;
                state.staged[n] = Staged {
                    body: req.body.clone(),
                    spoilt_at: None,
                };
                (200, Vec::new())
            }
            (Some("v1"), Some("stage-get")) => (
                200,
                self.state.lock().unwrap().staged[req.number("quantity") as usize]
                    .body
                    .clone(),
            ),
            (Some("v1"), Some("order")) => (self.order(&req.body), Vec::new()),
            (Some("health"), _) => (200, Vec::new()),
            _ => return self.generate(req, &id, conn),
        };
        conn.write_all(&response(answer.0, &echo, &answer.1))
            .is_ok()
    }

    fn hang_if_grey(&self) {
        let hang = {
            let mut state = self.state.lock().unwrap();
            let now = Instant::now();
            let left = state
                .grey_until
                .map(|until| until.saturating_duration_since(now));
            match (left, state.grey) {
                (Some(left), Some(grey)) if !left.is_zero() => {
                    state.staged_calls += 1;
                    let hangs = state.staged_calls % grey.hangs_one_in == 0;
                    hangs.then(|| left.min(grey.hang))
                }
                _ => None,
            }
        };
        if let Some(hang) = hang {
            self.record.note(&format!(
                "a call for a piece hangs at {} for {hang:?}",
                self.id
            ));
            thread::sleep(hang);
        }
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        format!(
            "{{\"stage\":\"combined\",\"models\":{},\"layers\":{},\"busy\":{},\"sequence\":{},\"born\":{},\
             \"queuedRequests\":0,\"activeRequests\":{},\"kvCacheUsed\":0,\"kvCacheTotal\":1180000,\"pace\":1}}",
            models(state.held),
            layers(state.held),
            state.ordered.is_some(),
            state.sequence,
            self.born,
            state.active
        )
    }

    // Staged pieces are taken as they are when the order is accepted.
    fn order(&self, body: &[u8]) -> u16 {
        let order = json::parse(&String::from_utf8_lossy(body));
        let delay = {
            let mut state = self.state.lock().unwrap();
            let delay = std::mem::take(&mut state.order_delay);
            if let Some(Grey { time, .. }) = state.grey {
                state.grey_until = Some(Instant::now() + time);
                self.record
                    .note(&format!("{} is grey for {time:?}", self.id));
            }
            delay
        };
        self.record.note(&format!(
            "order arrives at {}: {}",
            self.id,
            String::from_utf8_lossy(body)
        ));
        let _ = self.orders.lock().unwrap().send(());
        thread::sleep(delay);
        let mut state = self.state.lock().unwrap();
        let ordered = Layers {
            version: order.get("version").number().unwrap_or(0),
            from: order.get("from").number().unwrap_or(0) as u32,
            to: order.get("to").number().unwrap_or(u64::from(LAYERS)) as u32,
        };
        if order.get("operation").text() != "start" {
            return 400;
        }
        if state.held == ordered && state.ordered.is_none() {
            return 200;
        }
        let expected = order.get("precondition").number();
        if state.ordered.is_some() || expected.is_some_and(|n| n != state.sequence) {
            self.record
                .note(&format!("order refused at {}: 409", self.id));
            return 409;
        }
        state.sequence += 1;
        let held = state.held;
        for layer in 0..LAYERS {
            let is_held = held.version == ordered.version && (held.from..held.to).contains(&layer);
            let is_ordered = (ordered.from..ordered.to).contains(&layer);
            if !is_ordered {
                state.faults[layer as usize] = None;
            } else if !is_held {
                state.faults[layer as usize] = fault(&state.staged, ordered.version, layer);
            }
        }
        state.ordered = Some(ordered);
        let faults: Vec<_> = state.faults.iter().flatten().cloned().collect();
        drop(state);
        self.changed.notify_all();
        let note = format!(
            "order accepted at {}: version {} layers {}..{}; taken in a bad state: [{}]",
            self.id,
            ordered.version,
            ordered.from,
            ordered.to,
            faults.join(", ")
        );
        self.record.note(&note);
        202
    }

    fn generate(&self, req: &Message, id: &str, conn: &mut TcpStream) -> bool {
        let refuse = |status| {
            let head = format!(
                "Attempt-Id: {id}\r\nNot-Executed: 1\r\nAt-Server: {}\r\n",
                self.id
            );
            response(status, &head, b"")
        };
        let expected = req.header("expected-instance");
        let wanted = req.header("expected-version");
        let (version, fault) = {
            let mut state = self.state.lock().unwrap();
            let is_whole = state.held.from == 0 && state.held.to == LAYERS;
            let is_other = !expected.is_empty() && expected != self.id;
            if is_other
                || !is_whole
                || !wanted.is_empty() && wanted != state.held.version.to_string()
            {
                return conn.write_all(&refuse(421)).is_ok();
            }
            if state.ordered.is_some() || state.active >= SLOTS {
                return conn.write_all(&refuse(503)).is_ok();
            }
            state.active += 1;
            state.tokens += 1;
            let fault = state.faults.iter().flatten().next().cloned();
            state.bad_tokens += u32::from(fault.is_some());
            (state.held.version, fault)
        };
        let what = fault.map_or(String::new(), |fault| format!(" WITH A BAD LAYER: {fault}"));
        self.record.note(&format!(
            "run {id} at {} on version {version}{what}",
            self.id
        ));
        let is_sent = self.stream(req, id, version, conn).is_ok();
        self.state.lock().unwrap().active -= 1;
        self.changed.notify_all();
        is_sent
    }

    fn stream(
        &self,
        req: &Message,
        id: &str,
        version: u64,
        conn: &mut TcpStream,
    ) -> std::io::Result<()> {
        let first = req.header("last-event-id").parse().unwrap_or(0) + 1;
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: {id}.{}\r\nWeight-Versions: {version}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        conn.write_all(head.as_bytes())?;
        for n in first..=EVENTS {
            thread::sleep(GAP);
            let event = format!("id: {n}\ndata: {id} {n}\n\n");
            conn.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        conn.write_all(b"0\r\n\r\n")
    }
}

fn models(held: Layers) -> String {
    match held.from == held.to {
        true => "[]".into(),
        false => format!(
            "[{{\"name\":\"{MODEL}\",\"version\":{},\"adapters\":[]}}]",
            held.version
        ),
    }
}

fn layers(held: Layers) -> String {
    match held.from == held.to {
        true => "null".into(),
        false => format!(
            "{{\"from\":{},\"to\":{},\"version\":{}}}",
            held.from, held.to, held.version
        ),
    }
}

// What is wrong with the pieces of a layer. One that turned bad a short time ago is excused.
fn fault(staged: &[Staged], version: u64, layer: u32) -> Option<String> {
    let (first, end) = (
        layer * CHUNKS / LAYERS,
        ((layer + 1) * CHUNKS).div_ceil(LAYERS),
    );
    let bad = (first..end).find(|n| {
        let piece = &staged[*n as usize];
        let is_excused = piece.spoilt_at.is_some_and(|at| at.elapsed() <= EXCUSED);
        piece.body != chunk(version, *n) && !is_excused
    })?;
    let spoilt = staged[bad as usize]
        .spoilt_at
        .map(|at| at.elapsed().as_millis());
    Some(match spoilt {
        Some(ms) => format!("layer {layer}: piece {bad} had been bad for {ms} ms"),
        None => format!("layer {layer}: piece {bad} is of another version"),
    })
}

/// Starts the origin of weights.
pub fn start_origin(addr: SocketAddr) -> std::io::Result<()> {
    serve(addr, move |req, conn| {
        let version = req.number("version").max(1);
        let (status, body) = match req.path().split('/').nth(2) {
            Some("manifest") => {
                let digests: Vec<String> = (0..CHUNKS)
                    .map(|n| format!("\"{}\"", sha256(&chunk(version, n))))
                    .collect();
                let manifest = format!(
                    "{{\"model\":\"{MODEL}\",\"version\":{version},\"chunkSizeBytes\":{CHUNK_BYTES},\
                     \"layers\":{LAYERS},\"digests\":[{}]}}",
                    digests.join(",")
                );
                (200, manifest.into_bytes())
            }
            Some("piece") => (200, chunk(version, req.number("quantity") as u32)),
            _ => (404, Vec::new()),
        };
        conn.write_all(&response(status, "", &body)).is_ok()
    })
}
