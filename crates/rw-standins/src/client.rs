//! Waiting for conditions, and HTTP requests to daemons and stand-ins.

use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Timeout of [`wait_for`], far longer than any condition should take.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(20);
pub(crate) const REQUEST_TIMEOUT_S: u64 = 10;

/// Polls until `condition` returns a value, and panics after [`WAIT_TIMEOUT`].
/// `what` names the condition in the message.
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out after {WAIT_TIMEOUT:?} waiting for: {what}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Posts a value as JSON and returns the status and body of the response. If the
/// request fails, the status is 0 and the body is the error.
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

/// Fetches a JSON value. Returns `None` if the request or the decoding fails.
pub fn get<T: DeserializeOwned>(url: &str) -> Option<T> {
    let res = minreq::get(url)
        .with_timeout(REQUEST_TIMEOUT_S)
        .send()
        .ok()?;
    serde_json::from_slice(res.as_bytes()).ok()
}

/// Sends a request and returns the status and JSON body of the response. If the
/// request fails, the status is 0 and the body is the error.
pub(crate) fn send_request(req: minreq::Request) -> (i32, serde_json::Value) {
    match req.with_timeout(REQUEST_TIMEOUT_S).send() {
        Ok(res) => (
            res.status_code,
            serde_json::from_slice(res.as_bytes()).unwrap_or_default(),
        ),
        Err(err) => (0, serde_json::Value::String(err.to_string())),
    }
}
