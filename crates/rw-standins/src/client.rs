//! Waiting on conditions, and short HTTP exchanges.

use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Cap of every wait; far beyond what any wait needs.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(20);
pub(crate) const REQUEST_TIMEOUT_S: u64 = 10;

/// Polls until `done` gives a value; panics after [`WAIT_CAP`].
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "gave up waiting: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Posts JSON and returns status and body.
pub fn post<T: Serialize>(url: &str, value: &T) -> (i32, String) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let result = minreq::post(url)
        .with_body(body)
        .with_timeout(REQUEST_TIMEOUT_S)
        .send();
    match result {
        Ok(res) => (res.status_code, res.as_str().unwrap_or("").to_string()),
        Err(err) => (0, err.to_string()),
    }
}

/// Reads JSON.
pub fn get<T: DeserializeOwned>(url: &str) -> Option<T> {
    let res = minreq::get(url)
        .with_timeout(REQUEST_TIMEOUT_S)
        .send()
        .ok()?;
    serde_json::from_slice(res.as_bytes()).ok()
}

/// Status and JSON of an answer; status 0 when there was none.
pub(crate) fn send_request(req: minreq::Request) -> (i32, serde_json::Value) {
    match req.with_timeout(REQUEST_TIMEOUT_S).send() {
        Ok(res) => (
            res.status_code,
            serde_json::from_slice(res.as_bytes()).unwrap_or_default(),
        ),
        Err(err) => (0, serde_json::Value::String(err.to_string())),
    }
}
