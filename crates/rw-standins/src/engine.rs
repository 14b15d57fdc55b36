//! Stand-in for inference engines: continuous batching with token streams, a
//! prefix cache of limited size, and load orders with or without a check of
//! their fencing number.
//!
//! One process serves many engines: the first segment of the path selects one.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::server::{serve, Request};

/// Behaviour of an engine. Tests change it at run time.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Behaviour {
    /// Maximum number of concurrent requests; others are queued.
    pub slots: u32,
    /// Decode time per token in milliseconds.
    pub token_ms: u64,
    /// Prefill time of a prompt whose prefix is not cached, in milliseconds.
    pub prefill_ms: u64,
    /// Capacity of the prefix cache, in prefixes.
    pub cache_prefixes: usize,
    /// Time to load a model in milliseconds.
    pub load_ms: u64,
    /// Whether load orders with an outdated fencing number are refused.
    pub fencing: bool,
    /// Truncate every nth stream halfway; 0 disables this.
    pub truncate_every: u64,
    /// Close the connection of state and completion requests without a response.
    pub down: bool,
    /// Refuse completion requests with status 503.
    pub refuse: bool,
    /// Start each completion, but answer with this status instead of tokens; 0
    /// disables this.
    pub fail_status: u16,
}

impl Default for Behaviour {
    fn default() -> Self {
        Behaviour {
            slots: 8,
            token_ms: 2,
            prefill_ms: 10,
            cache_prefixes: 16,
            load_ms: 50,
            fencing: false,
            truncate_every: 0,
            down: false,
            refuse: false,
            fail_status: 0,
        }
    }
}

/// A load order that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadRecord {
    /// Name of the loaded model.
    pub model: String,
    /// Version of the loaded model.
    pub version: String,
    /// BLAKE3 hash of the loaded weights.
    pub hash: String,
    /// Fencing number of the load order.
    pub fence: u64,
}

/// A chat completion that was started.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CompletionRecord {
    /// Request id.
    pub request_id: String,
    /// Model version at the start.
    pub version: String,
    /// Whether all tokens were sent.
    pub finished: bool,
    /// Whether it ended because of a cancel order.
    pub cancelled: bool,
    /// Whether the model version changed before it ended: the answer has tokens of
    /// two versions.
    pub mixed: bool,
    /// Whether the prefix of the prompt was cached.
    pub cache_hit: bool,
    /// Start as Unix time in milliseconds.
    pub at_ms: u64,
}

/// What an engine recorded since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Records {
    /// Effective load orders, oldest first.
    pub loads: Vec<LoadRecord>,
    /// Chat completions in the order of their start.
    pub runs: Vec<CompletionRecord>,
    /// Number of load orders that were refused for an outdated fencing number.
    pub fenced_off: u64,
}

#[derive(Deserialize)]
struct LoadOrder {
    model: String,
    version: String,
    manifest: String,
    source: String,
    fence: u64,
}

#[derive(Default)]
struct State {
    behaviour: Behaviour,
    model: String,
    version: String,
    manifest: String,
    fence: u64,
    running: u32,
    // Queued requests, by descending priority and then by arrival.
    queue: BTreeSet<(std::cmp::Reverse<u32>, u64)>,
    arrival_count: u64,
    cache: VecDeque<String>,
    cancelled: BTreeSet<String>,
    records: Records,
}

#[derive(Default)]
struct Engine {
    state: Mutex<State>,
    slot_freed: Condvar,
}

impl Engine {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, path: &str, req: Request) {
        match path {
            "/state" => self.send_state(req),
            "/orders/load" => self.load(req),
            "/v1/chat/completions" => self.serve_completion(req),
            "/control/behaviour" => match req.json::<Behaviour>() {
                Ok(behaviour) => {
                    self.state().behaviour = behaviour;
                    req.reply(200, &"ok");
                }
                Err(err) => req.reply(400, &err),
            },
            "/control/records" => {
                let records = self.state().records.clone();
                req.reply(200, &records);
            }
            _ => match path.strip_prefix("/orders/cancel/") {
                Some(id) => {
                    self.state().cancelled.insert(id.to_string());
                    req.reply(200, &"ok");
                }
                None => req.reply(404, &"no such path"),
            },
        }
    }

    fn send_state(&self, req: Request) {
        let state = self.state();
        if state.behaviour.down {
            drop(state);
            return req.drop_connection();
        }
        let body = json!({
            "model": state.model, "version": state.version, "manifest": state.manifest,
            "fence": state.fence, "running": state.running,
        });
        drop(state);
        req.reply(200, &body);
    }

    fn load(&self, req: Request) {
        let order: LoadOrder = match req.json() {
            Ok(order) => order,
            Err(err) => return req.reply(400, &err),
        };
        if !self.check_fence(&order) {
            return req.reply(409, &"old fencing number");
        }
        let load_ms = self.state().behaviour.load_ms;
        let bytes = match minreq::get(&order.source).send() {
            Ok(res) if res.status_code == 200 => res.into_bytes(),
            _ => return req.reply(502, &"weights cannot be read"),
        };
        std::thread::sleep(Duration::from_millis(load_ms));
        if !self.check_fence(&order) {
            return req.reply(409, &"old fencing number");
        }
        let mut state = self.state();
        state.records.loads.push(LoadRecord {
            model: order.model.clone(),
            version: order.version.clone(),
            hash: blake3::hash(&bytes).to_hex().to_string(),
            fence: order.fence,
        });
        state.model = order.model;
        state.version = order.version;
        state.manifest = order.manifest;
        state.cache.clear();
        drop(state);
        req.reply(200, &"loaded");
    }

    // Returns whether the engine accepts the fencing number of the order, and keeps
    // the highest number that it accepted.
    fn check_fence(&self, order: &LoadOrder) -> bool {
        let mut state = self.state();
        if state.behaviour.fencing && order.fence < state.fence {
            state.records.fenced_off += 1;
            return false;
        }
        state.fence = state.fence.max(order.fence);
        true
    }

    fn serve_completion(&self, req: Request) {
        let body: Value = match req.json() {
            Ok(body) => body,
            Err(err) => return req.reply(400, &err),
        };
        let (behaviour, loaded) = {
            let state = self.state();
            (state.behaviour.clone(), !state.version.is_empty())
        };
        if behaviour.down {
            return req.drop_connection();
        }
        if behaviour.refuse {
            return req.reply(503, &"refused");
        }
        if !loaded {
            return req.reply(503, &"no model is loaded");
        }
        let id = req.header("x-request-id").to_string();
        if behaviour.fail_status > 0 {
            self.start_completion(&id, &prompt_text(&body));
            return req.reply(behaviour.fail_status, &"failed");
        }
        let priority = req.header("x-priority").parse().unwrap_or(0);
        let Ok(out) = req.into_stream() else { return };
        self.acquire_slot(priority);
        self.stream_tokens(&id, &body, out);
        self.state().running -= 1;
        self.slot_freed.notify_all();
    }

    fn acquire_slot(&self, priority: u32) {
        let mut state = self.state();
        state.arrival_count += 1;
        let ticket = (std::cmp::Reverse(priority), state.arrival_count);
        state.queue.insert(ticket);
        while state.running >= state.behaviour.slots || state.queue.first() != Some(&ticket) {
            state = self
                .slot_freed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        state.queue.remove(&ticket);
        state.running += 1;
        drop(state);
        self.slot_freed.notify_all();
    }

    fn stream_tokens(&self, id: &str, body: &Value, mut out: Box<dyn Write + Send>) {
        let prompt = prompt_text(body);
        let tokens = body["max_tokens"].as_u64().unwrap_or(8);
        let (index, cached, behaviour) = self.start_completion(id, &prompt);
        if !cached {
            std::thread::sleep(Duration::from_millis(behaviour.prefill_ms));
        }
        let start = Instant::now();
        for n in 0..tokens {
            let due = Duration::from_millis(behaviour.token_ms * (n + 1));
            std::thread::sleep(due.saturating_sub(start.elapsed()));
            let truncate = behaviour.truncate_every > 0
                && (index as u64 + 1).is_multiple_of(behaviour.truncate_every)
                && n == tokens / 2;
            let token = format!("{}-{n} ", token_prefix(&prompt));
            if truncate || self.is_cancelled(id, index) || !self.send_token(&mut out, index, &token)
            {
                return;
            }
        }
        self.state().records.runs[index].finished = true;
        let _ = out
            .write_all(b"data: [DONE]\n\n")
            .and_then(|()| out.flush());
    }

    fn start_completion(&self, id: &str, prompt: &str) -> (usize, bool, Behaviour) {
        let mut state = self.state();
        let prefix: String = prompt.split('|').next().unwrap_or("").to_string();
        let cached = state.cache.contains(&prefix);
        state.cache.retain(|p| *p != prefix);
        state.cache.push_back(prefix);
        while state.cache.len() > state.behaviour.cache_prefixes {
            state.cache.pop_front();
        }
        let record = CompletionRecord {
            request_id: id.to_string(),
            version: state.version.clone(),
            finished: false,
            cancelled: false,
            mixed: false,
            cache_hit: cached,
            at_ms: crate::plain::unix_ms(),
        };
        state.records.runs.push(record);
        (
            state.records.runs.len() - 1,
            cached,
            state.behaviour.clone(),
        )
    }

    fn is_cancelled(&self, id: &str, index: usize) -> bool {
        let mut state = self.state();
        let cancelled = state.cancelled.contains(id);
        state.records.runs[index].cancelled |= cancelled;
        cancelled
    }

    fn send_token(&self, out: &mut Box<dyn Write + Send>, index: usize, token: &str) -> bool {
        let mut state = self.state();
        let mixed = state.records.runs[index].version != state.version;
        state.records.runs[index].mixed |= mixed;
        let name = format!("{}@{}", state.model, state.version);
        drop(state);
        let event = json!({
            "object": "chat.completion.chunk", "model": name,
            "choices": [{"index": 0, "delta": {"content": token}}],
        });
        write!(out, "data: {event}\n\n")
            .and_then(|()| out.flush())
            .is_ok()
    }
}

fn prompt_text(body: &Value) -> String {
    let messages = body["messages"].as_array().into_iter().flatten();
    let parts: Vec<&str> = messages.filter_map(|m| m["content"].as_str()).collect();
    parts.join("|")
}

/// Prefix of every token in the answer to a prompt, by which a caller recognises
/// its own answer.
pub fn token_prefix(prompt: &str) -> String {
    blake3::hash(prompt.as_bytes()).to_hex()[..12].to_string()
}

/// Serves engines until the process ends. The base URL of engine `NAME` is
/// `http://ADDR/NAME`.
pub fn run(addr: &str) -> std::io::Result<()> {
    let engines: Mutex<BTreeMap<String, Arc<Engine>>> = Mutex::new(BTreeMap::new());
    serve(addr, move |req| {
        let path = req.path.clone();
        let trimmed = path.trim_start_matches('/');
        let (name, rest) = trimmed.split_once('/').unwrap_or((trimmed, ""));
        let engine = {
            let mut engines = engines.lock().unwrap_or_else(PoisonError::into_inner);
            engines.entry(name.to_string()).or_default().clone()
        };
        engine.handle(&format!("/{rest}"), req);
    })
}
