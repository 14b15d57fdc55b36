//! Stand-in for the platform: table service, object store, host list, origin
//! and weight store.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rw_protocol::{HostListing, HostRecord};
use serde::{Deserialize, Serialize};

use crate::model;
use crate::server::{serve, Request};
use crate::table::{Row, Table, Transaction};

/// Window of the rate limit of the weight store.
const STORE_RATE_WINDOW: Duration = Duration::from_secs(1);
/// Chunks that the weight store serves in one window.
const STORE_CHUNKS_PER_WINDOW: u32 = 20;

/// Prefix of the keys of claims.
const CLAIM_PREFIX: &str = "claim/";

/// Faults that the platform injects. Tests change them at run time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Refuse requests to the table service with 503.
    pub table_down: bool,
    /// Delay of each request to the table service in milliseconds.
    pub table_delay_ms: u64,
    /// Delay in milliseconds of the requests that `slow_claim_reads` and
    /// `slow_claim_commits` count.
    pub slow_claim_ms: u64,
    /// Number of the next reads of a claim to delay.
    pub slow_claim_reads: u32,
    /// Number of the next commits with a claim to delay before they take effect.
    pub slow_claim_commits: u32,
    /// Apply every nth commit but close the connection without a response; 0
    /// disables this.
    pub lose_every: u64,
    /// Refuse requests to the object store with 503.
    pub objects_down: bool,
    /// Refuse requests to the origin with 503.
    pub origin_down: bool,
    /// Corrupt every nth chunk; 0 disables this.
    pub corrupt_every: u64,
    /// Delay in milliseconds until a change is visible in the host list.
    pub list_lag_ms: u64,
    /// Bandwidth of the link of origin and weight store in bytes per second; 0 is
    /// unlimited.
    pub origin_bytes_per_s: u64,
}

/// A model that the origin and the weight store serve.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OriginModel {
    /// Name of the model.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Size of the model in bytes.
    pub length: u64,
    /// Size of a chunk in bytes.
    pub chunk_bytes: u64,
    /// Serve the weights of this version instead, under the manifest of
    /// `version`. Empty means `version` itself.
    #[serde(default)]
    pub bytes_of: String,
}

/// Requests and bytes since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Counters {
    /// Commits received by the table service.
    pub commits: u64,
    /// Row reads and scans of the table service.
    pub reads: u64,
    /// Bytes of the chunks sent by the origin and the weight store.
    pub origin_bytes: u64,
    /// Requests for the host list.
    pub list_calls: u64,
}

#[derive(Default)]
struct State {
    table: Table,
    objects: BTreeMap<String, Vec<u8>>,
    hosts: BTreeMap<String, (Instant, HostRecord)>,
    list_version: u64,
    models: Vec<OriginModel>,
    faults: PlatformFaults,
    counters: Counters,
    origin_link_free_at: Option<Instant>,
    // Start of the weight store's current rate window, and requests in it.
    store_window: Option<(Instant, u32)>,
    chunks_sent: u64,
}

struct Platform {
    state: Mutex<State>,
}

impl Platform {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, req: Request) {
        let path = req.path.clone();
        match path.as_str() {
            "/control/faults" => self.set_faults(req),
            "/control/model" => self.add_model(req),
            "/control/host" => self.set_host(req),
            "/control/records" => {
                let counters = self.state().counters.clone();
                req.reply(200, &counters);
            }
            "/objects" => self.serve_object(req),
            "/hosts" => self.list_hosts(req),
            _ if path.starts_with("/table/") => self.serve_table(req),
            _ if path.starts_with("/origin/") => self.serve_origin(req),
            "/weights/chunk" => self.serve_weight_store(req),
            _ => req.reply(404, &"no such path"),
        }
    }

    fn set_faults(&self, req: Request) {
        match req.json::<PlatformFaults>() {
            Ok(faults) => {
                self.state().faults = faults;
                req.reply(200, &"ok");
            }
            Err(err) => req.reply(400, &err),
        }
    }

    fn add_model(&self, req: Request) {
        match req.json::<OriginModel>() {
            Ok(model) => {
                let mut state = self.state();
                state
                    .models
                    .retain(|m| m.model != model.model || m.version != model.version);
                state.models.push(model);
                drop(state);
                req.reply(200, &"ok");
            }
            Err(err) => req.reply(400, &err),
        }
    }

    fn set_host(&self, req: Request) {
        let mut host = match req.json::<HostRecord>() {
            Ok(host) => host,
            Err(err) => return req.reply(400, &err),
        };
        let mut state = self.state();
        state.list_version += 1;
        host.changed = state.list_version;
        let lag = Duration::from_millis(state.faults.list_lag_ms);
        state
            .hosts
            .insert(host.name.to_string(), (Instant::now() + lag, host));
        drop(state);
        req.reply(200, &"ok");
    }

    // The listed version stays below the oldest change that is not yet visible, so
    // the next request of the reader still covers that change.
    fn list_hosts(&self, req: Request) {
        let since: u64 = req.query_value("since").parse().unwrap_or(0);
        let mut state = self.state();
        state.counters.list_calls += 1;
        let now = Instant::now();
        let hidden = state.hosts.values().filter(|(at, _)| *at > now);
        let oldest_hidden = hidden.map(|(_, h)| h.changed).min();
        let version = oldest_hidden.map_or(state.list_version, |v| v - 1);
        let visible = state
            .hosts
            .values()
            .filter(|(_, h)| h.changed > since && h.changed <= version);
        let listing = HostListing {
            since,
            version,
            hosts: visible.map(|(_, h)| h.clone()).collect(),
        };
        drop(state);
        req.reply(200, &listing);
    }

    fn serve_object(&self, req: Request) {
        let mut state = self.state();
        if state.faults.objects_down {
            drop(state);
            return req.reply(503, &"object store is down");
        }
        let key = req.query_value("key").to_string();
        if req.method == "PUT" {
            state.objects.insert(key, req.body.clone());
            drop(state);
            return req.reply(200, &"ok");
        }
        let body = state.objects.get(&key).cloned();
        drop(state);
        match body {
            Some(body) => req.reply_bytes(200, body),
            None => req.reply(404, &"no such object"),
        }
    }

    fn serve_table(&self, req: Request) {
        let faults = self.state().faults.clone();
        std::thread::sleep(Duration::from_millis(faults.table_delay_ms));
        if faults.table_down {
            return req.reply(503, &"table service is down");
        }
        if self.take_slow_claim(&req) {
            std::thread::sleep(Duration::from_millis(faults.slow_claim_ms));
        }
        match req.path.as_str() {
            "/table/commit" => self.commit_transaction(req, &faults),
            "/table/row" => self.get_row(req),
            "/table/scan" => self.scan_rows(req),
            _ => req.reply(404, &"no such call"),
        }
    }

    // Whether to delay this request, which then counts.
    fn take_slow_claim(&self, req: &Request) -> bool {
        let mut state = self.state();
        let left = match req.path.as_str() {
            "/table/row" if req.query_value("key").starts_with(CLAIM_PREFIX) => {
                &mut state.faults.slow_claim_reads
            }
            "/table/commit" if has_claim(req) => &mut state.faults.slow_claim_commits,
            _ => return false,
        };
        let is_slow = *left > 0;
        *left = left.saturating_sub(1);
        is_slow
    }

    fn commit_transaction(&self, req: Request, faults: &PlatformFaults) {
        let txn = match req.json::<Transaction>() {
            Ok(txn) => txn,
            Err(err) => return req.reply(400, &err),
        };
        let mut state = self.state();
        state.counters.commits += 1;
        let drop_response =
            faults.lose_every > 0 && state.counters.commits.is_multiple_of(faults.lose_every);
        let commit = state.table.apply(txn);
        drop(state);
        if drop_response {
            return req.drop_connection();
        }
        let status = if commit.committed { 200 } else { 409 };
        req.reply(status, &commit);
    }

    fn get_row(&self, req: Request) {
        let mut state = self.state();
        state.counters.reads += 1;
        let row = state.table.rows.get(req.query_value("key")).cloned();
        drop(state);
        match row {
            Some(row) => req.reply(200, &row),
            None => req.reply(404, &"no such row"),
        }
    }

    fn scan_rows(&self, req: Request) {
        let mut state = self.state();
        state.counters.reads += 1;
        let limit = req.query_value("limit").parse().unwrap_or(1);
        let (prefix, after) = (req.query_value("prefix"), req.query_value("after"));
        let rows: Vec<Row> = state
            .table
            .rows
            .range(prefix.to_string()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after)
            .take(limit)
            .map(|(_, row)| row.clone())
            .collect();
        drop(state);
        req.reply(200, &rows);
    }

    fn serve_origin(&self, req: Request) {
        let found = {
            let state = self.state();
            if state.faults.origin_down {
                drop(state);
                return req.reply(503, &"origin is down");
            }
            let (model, version) = (req.query_value("model"), req.query_value("version"));
            let mut models = state.models.iter();
            models
                .find(|m| m.model == model && m.version == version)
                .cloned()
        };
        let Some(found) = found else {
            return req.reply(404, &"no such model or version");
        };
        if req.path == "/origin/manifest" {
            let manifest = model::manifest(
                &found.model,
                &found.version,
                found.length,
                found.chunk_bytes,
            );
            return req.reply(200, &manifest);
        }
        self.send_chunk(req, &found);
    }

    // Above its rate limit the weight store refuses requests, while the origin
    // only queues them on its link.
    fn serve_weight_store(&self, req: Request) {
        let mut state = self.state();
        let now = Instant::now();
        let window = state.store_window.get_or_insert((now, 0));
        if now.duration_since(window.0) >= STORE_RATE_WINDOW {
            *window = (now, 0);
        }
        window.1 += 1;
        let over_rate = window.1 > STORE_CHUNKS_PER_WINDOW;
        let (model, version) = (req.query_value("model"), req.query_value("version"));
        let mut models = state.models.iter();
        let found = models
            .find(|m| m.model == model && m.version == version)
            .cloned();
        drop(state);
        match found {
            _ if over_rate => req.reply(429, &"above the store's rate"),
            Some(found) => self.send_chunk(req, &found),
            None => req.reply(404, &"no such model or version"),
        }
    }

    fn send_chunk(&self, req: Request, found: &OriginModel) {
        let number: u32 = req.query_value("chunk").parse().unwrap_or(0);
        let len = model::chunk_len(found.length, found.chunk_bytes, number);
        let version = if found.bytes_of.is_empty() {
            &found.version
        } else {
            &found.bytes_of
        };
        let mut body = model::chunk(&found.model, version, number, len);
        let (delay, corrupt) = self.reserve_link(len as u64);
        std::thread::sleep(delay);
        if corrupt && !body.is_empty() {
            body[0] ^= 1;
        }
        req.reply_bytes(200, body);
    }

    // The link sends one chunk at a time. Returns the time until this chunk is
    // sent, and whether to corrupt it.
    fn reserve_link(&self, len: u64) -> (Duration, bool) {
        let mut state = self.state();
        state.counters.origin_bytes += len;
        state.chunks_sent += 1;
        let nth = state.faults.corrupt_every;
        let corrupt = nth > 0 && state.chunks_sent.is_multiple_of(nth);
        let rate = state.faults.origin_bytes_per_s;
        if rate == 0 {
            return (Duration::ZERO, corrupt);
        }
        let now = Instant::now();
        let start = state.origin_link_free_at.map_or(now, |at| at.max(now));
        let end = start + Duration::from_secs_f64(len as f64 / rate as f64);
        state.origin_link_free_at = Some(end);
        (end - now, corrupt)
    }
}

fn has_claim(req: &Request) -> bool {
    let txn = req.json::<Transaction>();
    txn.is_ok_and(|txn| txn.puts.iter().any(|p| p.key.starts_with(CLAIM_PREFIX)))
}

/// Serves the platform until the process ends.
pub fn run(addr: &str) -> std::io::Result<()> {
    let platform = Arc::new(Platform {
        state: Mutex::new(State::default()),
    });
    serve(addr, move |req| platform.handle(req))
}
