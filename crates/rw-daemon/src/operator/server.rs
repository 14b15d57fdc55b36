use std::io::Read;
use std::sync::Arc;

use rw_protocol::Blob;
use serde::Serialize;
use serde_json::json;
use tiny_http::{Header, Method, Request, Response, Server};
use tokio::runtime::Handle;

use super::{plans, reports};
use crate::host::Weights;
use crate::{Context, Error, Result};

/// Threads that answer operators.
const THREADS: usize = 4;
/// Largest body that operators may send.
const MAX_BODY_BYTES: u64 = 1 << 20;

/// What the operators' port answers from.
pub struct Operators {
    pub(super) cx: Arc<Context>,
    pub(super) weights: Option<Arc<Weights>>,
    pub(super) handle: Handle,
}

/// Answer of one call: status and JSON text.
pub(super) type Answer = (u16, String);

pub(super) fn ok<T: Serialize>(value: &T) -> Answer {
    match serde_json::to_string(value) {
        Ok(text) => (200, text),
        Err(err) => fail(500, &err.to_string()),
    }
}

pub(super) fn fail(status: u16, reason: &str) -> Answer {
    (status, json!({ "error": reason }).to_string())
}

/// Starts the threads of the operators' port.
pub fn serve_operators(
    cx: Arc<Context>,
    weights: Option<Arc<Weights>>,
    handle: Handle,
) -> Result<()> {
    let addr = cx.daemon.operator_listen.to_string();
    let server =
        Server::http(&addr).map_err(|err| Error::Bind(addr, std::io::Error::other(err)))?;
    let server = Arc::new(server);
    let operators = Arc::new(Operators {
        cx,
        weights,
        handle,
    });
    for _ in 0..THREADS {
        let (server, operators) = (server.clone(), operators.clone());
        std::thread::spawn(move || {
            while let Ok(req) = server.recv() {
                operators.handle(req);
            }
        });
    }
    Ok(())
}

impl Operators {
    fn handle(&self, mut req: Request) {
        let url = req.url().to_string();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        if let Some(id) = path.strip_prefix("/weights/") {
            return self.send_weights(req, id);
        }
        let mut body = String::new();
        let read = req
            .as_reader()
            .take(MAX_BODY_BYTES + 1)
            .read_to_string(&mut body);
        let too_large = body.len() as u64 > MAX_BODY_BYTES;
        let (status, text) = match read {
            Err(err) => fail(400, &format!("body: {err}")),
            Ok(_) if too_large => fail(
                413,
                &format!("body: above the limit of {MAX_BODY_BYTES} bytes"),
            ),
            Ok(_) => self.answer(req.method(), path, query, &body),
        };
        let kind = if path == "/metrics" {
            "text/plain"
        } else {
            "application/json"
        };
        let mut res = Response::from_string(text).with_status_code(status);
        if let Ok(header) = Header::from_bytes("content-type", kind) {
            res = res.with_header(header);
        }
        // The operator may be gone.
        let _ = req.respond(res);
    }

    fn answer(&self, method: &Method, path: &str, query: &str, body: &str) -> Answer {
        let arg = |key: &str| {
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(key))
                .unwrap_or("")
        };
        match (method, path) {
            (Method::Get, "/metrics") => (200, self.metrics()),
            (Method::Get, "/live") => ok(&"live"),
            (Method::Get, "/ready") => self.ready(),
            (Method::Get, "/status") => reports::status(self),
            (Method::Get, "/hosts") => reports::hosts(self),
            (Method::Get, "/events") => reports::events(self, arg("since=")),
            (Method::Get, "/timeline") => reports::timeline(self, arg("since=")),
            (Method::Get, "/unresolved") => reports::unresolved(self, arg("older_ms=")),
            (Method::Post, "/plan") => plans::plan(self, body),
            (Method::Post, "/plan-removal") => plans::plan_removal(self, arg("name=")),
            (Method::Post, "/confirm") => plans::confirm(self, arg("plan=")),
            _ => fail(404, "no such call"),
        }
    }

    fn metrics(&self) -> String {
        let metrics = self.cx.recorder.metrics();
        let listed = self.cx.shared.read().present().count();
        metrics.listed.set(listed as i64);
        metrics.render()
    }

    fn ready(&self) -> Answer {
        match self.cx.is_leaving() {
            true => fail(503, "leaving"),
            false => ok(&"ready"),
        }
    }

    // The engine of this host reads its model from here.
    fn send_weights(&self, req: Request, id: &str) {
        let whole = self.weights.as_ref().and_then(|weights| {
            let store = weights.store();
            store.get(id).and_then(|held| held.whole())
        });
        // The engine may be gone.
        let _ = match whole {
            Some(chunks) => {
                let len = chunks.iter().map(|c| c.as_ref().len()).sum();
                let reader = Chunks {
                    chunks,
                    at: 0,
                    offset: 0,
                };
                req.respond(Response::new(
                    200.into(),
                    Vec::new(),
                    reader,
                    Some(len),
                    None,
                ))
            }
            None => req.respond(Response::from_string("not whole here").with_status_code(404)),
        };
    }
}

// Reads chunks one after the other without copying the model.
struct Chunks {
    chunks: Vec<Blob>,
    at: usize,
    offset: usize,
}

impl Read for Chunks {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        while let Some(chunk) = self.chunks.get(self.at) {
            let rest = &chunk.as_ref()[self.offset..];
            if !rest.is_empty() {
                let len = rest.len().min(buf.len());
                buf[..len].copy_from_slice(&rest[..len]);
                self.offset += len;
                return Ok(len);
            }
            self.at += 1;
            self.offset = 0;
        }
        Ok(0)
    }
}
