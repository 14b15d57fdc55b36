//! HTTP server of the stand-ins, based on `tiny_http`, with one thread per
//! request.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Threads that accept requests.
const ACCEPT_THREADS: usize = 4;

/// A request, received completely.
pub struct Request {
    /// Method in upper case.
    pub method: String,
    /// Path without the query string.
    pub path: String,
    /// Query parameters, percent-decoded.
    pub query: BTreeMap<String, String>,
    /// Headers by name in lower case.
    pub headers: BTreeMap<String, String>,
    /// Raw body.
    pub body: Vec<u8>,
    inner: tiny_http::Request,
}

impl Request {
    /// Deserializes the body from JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|err| err.to_string())
    }

    /// Value of a query parameter, or an empty string.
    pub fn query_value(&self, key: &str) -> &str {
        self.query.get(key).map_or("", String::as_str)
    }

    /// Value of a header, or an empty string.
    pub fn header(&self, key: &str) -> &str {
        self.headers.get(key).map_or("", String::as_str)
    }

    /// Responds with a value as JSON.
    pub fn reply<T: Serialize>(self, status: u16, value: &T) {
        let body = serde_json::to_vec(value).unwrap_or_default();
        self.reply_bytes(status, body);
    }

    /// Responds with a raw body.
    pub fn reply_bytes(self, status: u16, body: Vec<u8>) {
        let res = tiny_http::Response::from_data(body).with_status_code(status);
        // The client may have disconnected.
        let _ = self.inner.respond(res);
    }

    /// Closes the connection without a response.
    pub fn drop_connection(self) {
        drop(self.inner.into_writer());
    }

    /// Responds with the head of an event stream, and returns the connection to
    /// write server-sent events to.
    pub fn into_stream(self) -> std::io::Result<Box<dyn Write + Send>> {
        let mut out = self.inner.into_writer();
        out.write_all(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n",
        )?;
        out.flush()?;
        Ok(out)
    }
}

/// Serves requests until the process ends, each on its own thread.
pub fn serve<F>(addr: &str, handler: F) -> std::io::Result<()>
where
    F: Fn(Request) + Send + Sync + 'static,
{
    let server = tiny_http::Server::http(addr).map_err(std::io::Error::other)?;
    let server = Arc::new(server);
    let handler = Arc::new(handler);
    let threads: Vec<_> = (0..ACCEPT_THREADS)
        .map(|_| {
            let (server, handler) = (server.clone(), handler.clone());
            std::thread::spawn(move || accept_requests(&server, &handler))
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
    Ok(())
}

fn accept_requests<F>(server: &tiny_http::Server, handler: &Arc<F>)
where
    F: Fn(Request) + Send + Sync + 'static,
{
    while let Ok(req) = server.recv() {
        let handler = handler.clone();
        std::thread::spawn(move || {
            if let Some(req) = read_request(req) {
                handler(req);
            }
        });
    }
}

fn read_request(mut inner: tiny_http::Request) -> Option<Request> {
    let mut body = Vec::new();
    inner.as_reader().read_to_end(&mut body).ok()?;
    let url = inner.url().to_string();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let headers = inner.headers().iter();
    let headers = headers.map(|h| {
        (
            h.field.as_str().as_str().to_lowercase(),
            h.value.to_string(),
        )
    });
    Some(Request {
        method: inner.method().to_string(),
        path: path.to_string(),
        query: parse_query(query),
        headers: headers.collect(),
        body,
        inner,
    })
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(k, v)| (percent_decode(k), percent_decode(v)))
        .collect()
}

fn percent_decode(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut index = 0;
    while index < bytes.len() {
        let code = text
            .get(index + 1..index + 3)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[index], code) {
            (b'%', Some(byte)) => {
                out.push(byte);
                index += 3;
            }
            (byte, _) => {
                out.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
