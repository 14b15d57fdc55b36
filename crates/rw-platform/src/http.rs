use rw_protocol::{HostListing, Manifest};
use serde::de::DeserializeOwned;

use crate::{
    Commit, Error, HostList, ObjectStore, Origin, Result, Row, TableService, Transaction,
    WeightStore,
};

/// Reason phrase that minreq sets when the connection closed before any response.
const NO_STATUS_LINE: &str = "Server did not provide a status line";
const HTTP_OK: i32 = 200;
const HTTP_NOT_FOUND: i32 = 404;
const HTTP_CONFLICT: i32 = 409;
const HTTP_TOO_MANY_REQUESTS: i32 = 429;
const HTTP_SERVICE_UNAVAILABLE: i32 = 503;
/// Time limit for one chunk from the origin or the weight store, which may be slow
/// under load.
const CHUNK_TIMEOUT_S: u64 = 120;

/// Client for the platform's HTTP API with JSON bodies.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    url: String,
    origin_url: String,
    timeout_s: u64,
}

impl HttpPlatform {
    /// Creates a client for the given base URLs. `timeout_ms` is rounded up to whole
    /// seconds, the unit of minreq.
    ///
    /// ```
    /// let platform = rw_platform::HttpPlatform::new("http://127.0.0.1:1", "http://127.0.0.1:1", 2000);
    /// use rw_platform::TableService;
    /// assert!(platform.read("k").is_err());
    /// ```
    pub fn new(url: &str, origin_url: &str, timeout_ms: u64) -> Self {
        HttpPlatform {
            url: url.trim_end_matches('/').to_string(),
            origin_url: origin_url.trim_end_matches('/').to_string(),
            timeout_s: timeout_ms.div_ceil(1000).max(1),
        }
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let res = send(minreq::get(format!("{}{path}", self.url)), self.timeout_s)?;
        parse_json(&res)
    }
}

fn send(req: minreq::Request, timeout_s: u64) -> Result<minreq::Response> {
    let req = req
        .with_header("connection", "close")
        .with_timeout(timeout_s);
    let res = req.send().map_err(classify_transport_error)?;
    if res.reason_phrase == NO_STATUS_LINE || !is_complete(&res) {
        return Err(Error::Unknown(
            "the connection ended before the answer".to_string(),
        ));
    }
    match res.status_code {
        HTTP_TOO_MANY_REQUESTS | HTTP_SERVICE_UNAVAILABLE => Err(Error::Refused(format!(
            "status {}: {}",
            res.status_code,
            res.as_str().unwrap_or("")
        ))),
        HTTP_NOT_FOUND => Err(Error::NotFound(res.url.clone())),
        _ => Ok(res),
    }
}

// A refused connection transferred nothing. After any other error the call may
// have taken effect.
fn classify_transport_error(err: minreq::Error) -> Error {
    match &err {
        minreq::Error::IoError(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            Error::Refused(err.to_string())
        }
        _ => Error::Unknown(err.to_string()),
    }
}

// minreq does not check that a body is as long as its `content-length`.
fn is_complete(res: &minreq::Response) -> bool {
    let len = res.headers.get("content-length");
    len.is_some_and(|len| len.parse() == Ok(res.as_bytes().len()))
}

fn parse_json<T: DeserializeOwned>(res: &minreq::Response) -> Result<T> {
    if res.status_code != HTTP_OK && res.status_code != HTTP_CONFLICT {
        return Err(Error::Malformed(format!("status {}", res.status_code)));
    }
    serde_json::from_slice(res.as_bytes()).map_err(|err| Error::Malformed(err.to_string()))
}

/// Percent-encodes everything but letters, digits and `-._~`.
fn percent_encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            out.push(byte as char);
        } else {
            out.push_str(&format!("%{byte:02X}"));
        }
    }
    out
}

impl TableService for HttpPlatform {
    fn commit(&self, txn: &Transaction) -> Result<Commit> {
        let body = serde_json::to_vec(txn).map_err(|err| Error::Malformed(err.to_string()))?;
        let req = minreq::post(format!("{}/table/commit", self.url)).with_body(body);
        let res = send(req, self.timeout_s)?;
        // Even if the response cannot be parsed, the write may have taken effect.
        parse_json(&res).map_err(|err| Error::Unknown(err.to_string()))
    }

    fn read(&self, key: &str) -> Result<Option<Row>> {
        match self.get(&format!("/table/row?key={}", percent_encode(key))) {
            Ok(row) => Ok(Some(row)),
            Err(Error::NotFound(_)) => Ok(None),
            Err(err) => Err(err),
        }
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>> {
        self.get(&format!(
            "/table/scan?prefix={}&after={}&limit={limit}",
            percent_encode(prefix),
            percent_encode(after)
        ))
    }
}

impl ObjectStore for HttpPlatform {
    fn put(&self, key: &str, body: &[u8]) -> Result<()> {
        let req = minreq::put(format!("{}/objects?key={}", self.url, percent_encode(key)))
            .with_body(body);
        send(req, self.timeout_s).map(drop)
    }

    fn get(&self, key: &str) -> Result<Vec<u8>> {
        let req = minreq::get(format!("{}/objects?key={}", self.url, percent_encode(key)));
        send(req, self.timeout_s).map(minreq::Response::into_bytes)
    }
}

impl HostList for HttpPlatform {
    fn hosts(&self, since: u64) -> Result<HostListing> {
        self.get(&format!("/hosts?since={since}"))
    }
}

impl Origin for HttpPlatform {
    fn manifest(&self, model: &str, version: &str) -> Result<Manifest> {
        let path = format!(
            "/origin/manifest?model={}&version={}",
            percent_encode(model),
            percent_encode(version)
        );
        let req = minreq::get(format!("{}{path}", self.origin_url));
        parse_json(&send(req, self.timeout_s)?)
    }

    fn chunk(&self, model: &str, version: &str, chunk: u32) -> Result<Vec<u8>> {
        let url = format!(
            "{}/origin/chunk?{}",
            self.origin_url,
            chunk_query(model, version, chunk)
        );
        send(minreq::get(url), CHUNK_TIMEOUT_S).map(minreq::Response::into_bytes)
    }
}

impl WeightStore for HttpPlatform {
    fn stored_chunk(&self, model: &str, version: &str, chunk: u32) -> Result<Vec<u8>> {
        let url = format!(
            "{}/weights/chunk?{}",
            self.url,
            chunk_query(model, version, chunk)
        );
        send(minreq::get(url), CHUNK_TIMEOUT_S).map(minreq::Response::into_bytes)
    }
}

fn chunk_query(model: &str, version: &str, chunk: u32) -> String {
    format!(
        "model={}&version={}&chunk={chunk}",
        percent_encode(model),
        percent_encode(version)
    )
}
