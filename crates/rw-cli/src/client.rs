use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{Error, Result};

/// Timeout of a request. It is generous because planning reads from the origin
/// and a status report queries every daemon.
const REQUEST_TIMEOUT_S: u64 = 60;

/// HTTP client of a daemon's operator port.
#[derive(Clone, Debug)]
pub struct Client {
    base_url: String,
}

impl Client {
    /// Creates a client of the daemon at `IP:PORT`, with or without `http://`.
    ///
    /// ```
    /// let client = rw_cli::Client::new("127.0.0.1:1");
    /// assert!(client.get::<String>("/live").is_err());
    /// ```
    pub fn new(daemon: &str) -> Self {
        let addr = daemon.trim_start_matches("http://").trim_end_matches('/');
        Client {
            base_url: format!("http://{addr}"),
        }
    }

    /// Sends a GET request and decodes the JSON answer.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.send(minreq::get(format!("{}{path}", self.base_url)))
    }

    /// Sends a POST request and decodes the JSON answer.
    pub fn post<T: DeserializeOwned>(&self, path: &str, body: &str) -> Result<T> {
        self.send(minreq::post(format!("{}{path}", self.base_url)).with_body(body))
    }

    fn send<T: DeserializeOwned>(&self, req: minreq::Request) -> Result<T> {
        let unreachable = |msg: String| Error::Unreachable(self.base_url.clone(), msg);
        let res = req.with_timeout(REQUEST_TIMEOUT_S).send();
        let res = res.map_err(|err| unreachable(err.to_string()))?;
        if res.status_code != 200 {
            let body: Value = serde_json::from_slice(res.as_bytes()).unwrap_or_default();
            let reason = body["error"].as_str().unwrap_or("no reason given");
            return Err(Error::Refused(reason.to_string()));
        }
        serde_json::from_slice(res.as_bytes()).map_err(|err| unreachable(err.to_string()))
    }
}
