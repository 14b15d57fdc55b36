//! Stand-in for plain services. It records every call that it executes.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::server::{serve, Request};

/// Behaviour of a service. Tests change it at run time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Behaviour {
    /// Duration of a call in milliseconds.
    pub call_ms: u64,
    /// Execute every nth call but close the connection without a response; 0
    /// disables this.
    pub lose_every: u64,
    /// Status of every response; 0 stands for 200.
    pub status: u16,
}

/// A call that was executed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallRecord {
    /// Name of the operation.
    pub operation: String,
    /// Idempotency key, or empty.
    pub key: String,
    /// Request id.
    pub request_id: String,
    /// Body of the request.
    pub body: String,
    /// Start as Unix time in milliseconds.
    pub at_ms: u64,
}

#[derive(Default)]
struct State {
    behaviour: Behaviour,
    calls: Vec<CallRecord>,
}

/// Current Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis() as u64)
}

fn handle(services: &Mutex<BTreeMap<String, State>>, req: Request) {
    let path = req.path.clone();
    let trimmed = path.trim_start_matches('/');
    let (name, rest) = trimmed.split_once('/').unwrap_or((trimmed, ""));
    let lock_services = || services.lock().unwrap_or_else(PoisonError::into_inner);
    match rest {
        "state" => req.reply(200, &json!({})),
        "control/behaviour" => match req.json() {
            Ok(behaviour) => {
                lock_services()
                    .entry(name.to_string())
                    .or_default()
                    .behaviour = behaviour;
                req.reply(200, &"ok");
            }
            Err(err) => req.reply(400, &err),
        },
        "control/records" => {
            let calls = lock_services()
                .get(name)
                .map(|s| s.calls.clone())
                .unwrap_or_default();
            req.reply(200, &calls);
        }
        operation => {
            let (drop_response, status) = {
                let mut services = lock_services();
                let state = services.entry(name.to_string()).or_default();
                state.calls.push(CallRecord {
                    operation: operation.to_string(),
                    key: req.header("idempotency-key").to_string(),
                    request_id: req.header("x-request-id").to_string(),
                    body: String::from_utf8_lossy(&req.body).into_owned(),
                    at_ms: unix_ms(),
                });
                let nth = state.behaviour.lose_every;
                let drop_response = nth > 0 && (state.calls.len() as u64).is_multiple_of(nth);
                let call_ms = state.behaviour.call_ms;
                let status = state.behaviour.status;
                drop(services);
                std::thread::sleep(Duration::from_millis(call_ms));
                (drop_response, status)
            };
            if drop_response {
                return req.drop_connection();
            }
            let echo = String::from_utf8_lossy(&req.body).into_owned();
            let status = if status == 0 { 200 } else { status };
            req.reply(status, &json!({"operation": operation, "echo": echo}));
        }
    }
}

/// Serves plain services until the process ends. The base URL of service `NAME`
/// is `http://ADDR/NAME`.
pub fn run(addr: &str) -> std::io::Result<()> {
    let services = Mutex::new(BTreeMap::new());
    serve(addr, move |req| handle(&services, req))
}
