use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::TcpListener as StdListener;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderValue, CONTENT_TYPE};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited};
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rw_protocol::Blob;
use serde::Serialize;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use super::{plans, reports};
use crate::host::Weights;
use crate::{Context, Error, Result};

/// Operators' connections at once; a few people, a probe and a collector of
/// metrics need far fewer.
const MAX_CONNECTIONS: usize = 64;
/// Pause after a connection could not be accepted, for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time for a request's head, also on an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for a request's body, which an operator's link carries in far less.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest head that operators may send.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Largest body that operators may send.
const MAX_BODY_BYTES: usize = 1 << 20;

type Body = Either<Full<Bytes>, Chunks>;

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

/// Starts the operators' port.
pub fn serve_operators(
    cx: Arc<Context>,
    weights: Option<Arc<Weights>>,
    handle: Handle,
) -> Result<()> {
    let addr = cx.daemon.operator_listen.to_string();
    let listener = StdListener::bind(&addr)
        .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
        .map_err(|err| Error::Bind(addr.clone(), err))?;
    let operators = Arc::new(Operators {
        cx,
        weights,
        handle: handle.clone(),
    });
    handle.spawn(async move {
        match TcpListener::from_std(listener) {
            Ok(listener) => accept(listener, operators).await,
            Err(err) => log::error!("operators' port {addr}: {err}"),
        }
    });
    Ok(())
}

async fn accept(listener: TcpListener, operators: Arc<Operators>) {
    let seats = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(seat) = seats.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((conn, _)) => {
                tokio::spawn(serve(conn, operators.clone(), seat));
            }
            Err(err) => {
                log::warn!("operators' port: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(conn: TcpStream, operators: Arc<Operators>, _seat: OwnedSemaphorePermit) {
    let service = service_fn(move |req| {
        let operators = operators.clone();
        async move { Ok::<_, Infallible>(operators.handle(req).await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(conn), service);
    if let Err(err) = conn.await {
        log::debug!("operator's connection: {err}");
    }
}

impl Operators {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let (head, body) = req.into_parts();
        if let Some(id) = head.uri.path().strip_prefix("/weights/") {
            return self.weights(id);
        }
        let kind = match head.uri.path() {
            "/metrics" => "text/plain",
            _ => "application/json",
        };
        let (status, text) = match read(body).await {
            Ok(body) => {
                // Plans ask the platform and wait for its answers.
                let answer = tokio::task::spawn_blocking(move || {
                    let (path, query) = (head.uri.path(), head.uri.query().unwrap_or(""));
                    self.answer(&head.method, path, query, &body)
                });
                let answer = answer.await;
                answer.unwrap_or_else(|err| fail(500, &format!("no answer: {err}")))
            }
            Err(refused) => refused,
        };
        let mut res = Response::new(Either::Left(Full::new(Bytes::from(text))));
        *res.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
        let kind = HeaderValue::from_static(kind);
        res.headers_mut().insert(CONTENT_TYPE, kind);
        res
    }

    fn answer(&self, method: &Method, path: &str, query: &str, body: &str) -> Answer {
        let arg = |key: &str| {
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(key))
                .unwrap_or("")
        };
        match (method, path) {
            (&Method::GET, "/metrics") => (200, self.metrics()),
            (&Method::GET, "/live") => ok(&"live"),
            (&Method::GET, "/ready") => self.ready(),
            (&Method::GET, "/status") => reports::status(self),
            (&Method::GET, "/hosts") => reports::hosts(self),
            (&Method::GET, "/events") => reports::events(self, arg("since=")),
            (&Method::GET, "/timeline") => reports::timeline(self, arg("since=")),
            (&Method::GET, "/unresolved") => reports::unresolved(self, arg("older_ms=")),
            (&Method::POST, "/plan") => plans::plan(self, body),
            (&Method::POST, "/plan-removal") => plans::plan_removal(self, arg("name=")),
            (&Method::POST, "/confirm") => plans::confirm(self, arg("plan=")),
            _ => fail(404, "no such call"),
        }
    }

    fn metrics(&self) -> String {
        let metrics = self.cx.recorder.metrics();
        let listed = self.cx.shared.read().present().count();
        metrics.daemons_listed.set(listed as i64);
        metrics.render()
    }

    fn ready(&self) -> Answer {
        match self.cx.is_leaving() {
            true => fail(503, "leaving"),
            false => ok(&"ready"),
        }
    }

    // The engine of this host reads its model from here.
    fn weights(&self, id: &str) -> Response<Body> {
        let whole = self.weights.as_ref().and_then(|weights| {
            let store = weights.store();
            store.get(id).and_then(|held| held.complete_chunks())
        });
        match whole {
            Some(chunks) => Response::new(Either::Right(Chunks(chunks.into()))),
            None => {
                let text = Bytes::from_static(b"not whole here");
                let mut res = Response::new(Either::Left(Full::new(text)));
                *res.status_mut() = StatusCode::NOT_FOUND;
                res
            }
        }
    }
}

async fn read(body: Incoming) -> std::result::Result<String, Answer> {
    let whole = Limited::new(body, MAX_BODY_BYTES).collect();
    let bytes = match timeout(BODY_TIMEOUT, whole).await {
        Ok(Ok(whole)) => whole.to_bytes(),
        Ok(Err(err)) if err.is::<LengthLimitError>() => {
            let reason = format!("body: above the limit of {MAX_BODY_BYTES} bytes");
            return Err(fail(413, &reason));
        }
        Ok(Err(err)) => return Err(fail(400, &format!("body: {err}"))),
        Err(_) => return Err(fail(408, "body: did not arrive in time")),
    };
    String::from_utf8(bytes.to_vec()).map_err(|err| fail(400, &format!("body: {err}")))
}

// A model's chunks one after the other, without a copy of the model.
struct Chunks(VecDeque<Blob>);

impl hyper::body::Body for Chunks {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.0.pop_front().map(|chunk| Ok(Frame::data(chunk.0))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.iter().map(|chunk| chunk.0.len() as u64).sum())
    }
}
