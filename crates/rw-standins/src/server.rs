//! Small HTTP server over `tiny_http`: one thread per request.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Threads that take requests from the library.
const ACCEPT_THREADS: usize = 4;

/// One request, read whole.
pub struct Request {
    /// Method in capitals.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Decoded query.
    pub query: BTreeMap<String, String>,
    /// Headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
    inner: tiny_http::Request,
}

impl Request {
    /// Decodes a JSON body.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|err| err.to_string())
    }

    /// A query value, or an empty text.
    pub fn query_value(&self, key: &str) -> &str {
        self.query.get(key).map_or("", String::as_str)
    }

    /// A header value, or an empty text.
    pub fn header(&self, key: &str) -> &str {
        self.headers.get(key).map_or("", String::as_str)
    }

    /// Answers with JSON.
    pub fn reply<T: Serialize>(self, status: u16, value: &T) {
        let body = serde_json::to_vec(value).unwrap_or_default();
        self.reply_bytes(status, body);
    }

    /// Answers with bytes.
    pub fn reply_bytes(self, status: u16, body: Vec<u8>) {
        let res = tiny_http::Response::from_data(body).with_status_code(status);
        // The client may be gone.
        let _ = self.inner.respond(res);
    }

    /// Drops the connection without an answer.
    pub fn drop_connection(self) {
        drop(self.inner.into_writer());
    }

    /// Starts a stream of server-sent events.
    pub fn into_stream(self) -> std::io::Result<Box<dyn Write + Send>> {
        let mut out = self.inner.into_writer();
        out.write_all(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n",
        )?;
        out.flush()?;
        Ok(out)
    }
}

/// Serves until the process ends; each request runs on a thread of its own.
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
