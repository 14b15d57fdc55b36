use std::io::ErrorKind;

use rw_protocol::Name;

use crate::{Backend, BackendState, Chunk, Error, LoadOrder, Result, StreamCall};

const STATE_TIMEOUT_S: u64 = 2;
const HTTP_OK: i32 = 200;
const HTTP_CLIENT_ERROR: i32 = 400;
const SSE_DONE: &str = "data: [DONE]";
const SSE_DATA: &str = "data: ";
/// Bytes of one event that an engine may send.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A backend server over HTTP: engines speak the chat completions protocol
/// with server-sent events, plain services any JSON.
#[derive(Clone, Debug)]
pub struct HttpBackend {
    url: String,
    is_engine: bool,
}

impl HttpBackend {
    /// A backend server at a base URL.
    pub fn new(url: &str, is_engine: bool) -> Self {
        HttpBackend {
            url: url.trim_end_matches('/').to_string(),
            is_engine,
        }
    }

    fn path(&self, call: &StreamCall) -> String {
        if self.is_engine {
            format!("{}/v1/chat/completions", self.url)
        } else {
            format!("{}/{}", self.url, call.operation)
        }
    }
}

fn transport(err: minreq::Error) -> Error {
    match &err {
        minreq::Error::IoError(io) if io.kind() == ErrorKind::ConnectionRefused => {
            Error::Unreachable(err.to_string())
        }
        _ => Error::Broken(err.to_string()),
    }
}

fn check(res: minreq::Response) -> Result<minreq::Response> {
    if res.status_code == HTTP_OK {
        return Ok(res);
    }
    let msg = res.as_str().unwrap_or("").to_string();
    Err(Error::Refused(res.status_code, msg))
}

impl Backend for HttpBackend {
    fn state(&self) -> Result<BackendState> {
        let req = minreq::get(format!("{}/state", self.url)).with_timeout(STATE_TIMEOUT_S);
        let res = check(req.send().map_err(transport)?)?;
        serde_json::from_slice(res.as_bytes()).map_err(|err| Error::Broken(err.to_string()))
    }

    fn load(&self, order: &LoadOrder, timeout_ms: u64) -> Result<()> {
        let body = serde_json::to_vec(order).map_err(|err| Error::Broken(err.to_string()))?;
        let req = minreq::post(format!("{}/orders/load", self.url))
            .with_body(body)
            .with_timeout(timeout_ms.div_ceil(1000).max(1));
        check(req.send().map_err(transport)?).map(drop)
    }

    fn stream<F: FnMut(Chunk) -> bool>(&self, call: &StreamCall, sink: F) -> Result<u32> {
        let mut req = minreq::post(self.path(call))
            .with_body(call.body.clone())
            .with_header("content-type", "application/json")
            .with_header("x-request-id", &*call.request_id)
            .with_header("x-priority", call.priority.to_string())
            .with_timeout(call.deadline_ms.div_ceil(1000).max(1));
        if !call.key.is_empty() {
            req = req.with_header("idempotency-key", &*call.key);
        }
        if self.is_engine {
            events(req.send_lazy().map_err(transport)?, sink)
        } else {
            whole(req.send().map_err(transport)?, sink)
        }
    }

    fn cancel(&self, request_id: &str) -> Result<()> {
        let req = minreq::post(format!("{}/orders/cancel/{request_id}", self.url));
        check(
            req.with_timeout(STATE_TIMEOUT_S)
                .send()
                .map_err(transport)?,
        )
        .map(drop)
    }
}

// The answer of a plain service is passed on in one piece. A library-checked
// content length makes a cut answer an error.
fn whole(res: minreq::Response, mut sink: impl FnMut(Chunk) -> bool) -> Result<u32> {
    let status = res.status_code;
    if let Some(len) = res.headers.get("content-length") {
        if len.parse() != Ok(res.as_bytes().len()) {
            return Err(Error::Broken("answer is cut short".to_string()));
        }
    }
    if matches!(status, 429 | 503) {
        return Err(Error::Refused(
            status,
            res.as_str().unwrap_or("").to_string(),
        ));
    }
    sink(Chunk::Version(Name::default()));
    sink(Chunk::Body(res.into_bytes()));
    Ok(status as u32)
}

fn events(res: minreq::ResponseLazy, mut sink: impl FnMut(Chunk) -> bool) -> Result<u32> {
    let status = res.status_code;
    if status >= HTTP_CLIENT_ERROR {
        return Err(Error::Refused(status, String::new()));
    }
    let mut event = Vec::new();
    let mut named: Option<Name> = None;
    for byte in res {
        let (byte, _) = byte.map_err(|err| Error::Broken(err.to_string()))?;
        event.push(byte);
        if event.len() > MAX_EVENT_BYTES {
            return Err(Error::Broken("event is too long".to_string()));
        }
        if !event.ends_with(b"\n\n") {
            continue;
        }
        let done = event.starts_with(SSE_DONE.as_bytes());
        // Every event is checked: an engine may be switched under a stream.
        let same = |name: &Name| contains(&event, name.as_bytes());
        if !done && !named.as_ref().is_some_and(same) {
            let version = version(&event);
            named = Some(version.clone());
            if !sink(Chunk::Version(version)) {
                return Err(Error::Broken("dropped by the receiver".to_string()));
            }
        }
        // The entry writes the last event, once it has checked the answer.
        if done {
            return Ok(status as u32);
        }
        if !sink(Chunk::Body(std::mem::take(&mut event))) {
            return Err(Error::Broken("dropped by the receiver".to_string()));
        }
    }
    Err(Error::Broken(
        "stream ended without its last event".to_string(),
    ))
}

fn contains(event: &[u8], name: &[u8]) -> bool {
    !name.is_empty() && event.windows(name.len()).any(|part| part == name)
}

// Engines name what they answer from as `MODEL@VERSION` in each event.
fn version(event: &[u8]) -> Name {
    let text = std::str::from_utf8(event).unwrap_or("").trim();
    let json = text.strip_prefix(SSE_DATA).unwrap_or("");
    let event: serde_json::Value = serde_json::from_str(json).unwrap_or_default();
    Name::from(event["model"].as_str().unwrap_or(""))
}
