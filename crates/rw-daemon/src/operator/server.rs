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
use crate::host::WeightCache;
use crate::{Context, Error, Result};

/// Maximum concurrent connections. A few operators, a health probe and a
/// metrics scraper need far fewer.
const MAX_CONNECTIONS: usize = 64;
/// Delay after a connection could not be accepted, for example for lack of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeout for receiving the headers of a request, also on an idle connection.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for receiving the body of a request. An operator's connection needs
/// far less.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of the headers of a request.
const MAX_HEADER_BYTES: usize = 16 << 10;
/// Maximum size of the body of a request.
const MAX_BODY_BYTES: usize = 1 << 20;

type Body = Either<Full<Bytes>, ModelBody>;

/// Handler of the HTTP API for operators.
pub struct OperatorApi {
    pub(super) cx: Arc<Context>,
    pub(super) weights: Option<Arc<WeightCache>>,
    pub(super) runtime: Handle,
}

/// Status code and body of a response.
pub(super) type ApiResponse = (u16, String);

pub(super) fn ok<T: Serialize>(value: &T) -> ApiResponse {
    match serde_json::to_string(value) {
        Ok(text) => (200, text),
        Err(err) => fail(500, &err.to_string()),
    }
}

pub(super) fn fail(status: u16, reason: &str) -> ApiResponse {
    (status, json!({ "error": reason }).to_string())
}

/// Starts the HTTP API for operators.
pub fn serve_operator_api(
    cx: Arc<Context>,
    weights: Option<Arc<WeightCache>>,
    runtime: Handle,
) -> Result<()> {
    let addr = cx.daemon.operator_listen.to_string();
    let listener = StdListener::bind(&addr)
        .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
        .map_err(|err| Error::Bind(addr.clone(), err))?;
    let api = Arc::new(OperatorApi {
        cx,
        weights,
        runtime: runtime.clone(),
    });
    runtime.spawn(async move {
        match TcpListener::from_std(listener) {
            Ok(listener) => accept(listener, api).await,
            Err(err) => log::error!(
                "could not start the operator API on {addr}: {err}; the daemon runs without it"
            ),
        }
    });
    Ok(())
}

async fn accept(listener: TcpListener, api: Arc<OperatorApi>) {
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = connections.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((conn, _)) => {
                tokio::spawn(serve(conn, api.clone(), permit));
            }
            Err(err) => {
                log::warn!("could not accept an operator connection: {err}; retrying");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(conn: TcpStream, api: Arc<OperatorApi>, _permit: OwnedSemaphorePermit) {
    let service = service_fn(move |req| {
        let api = api.clone();
        async move { Ok::<_, Infallible>(api.handle(req).await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(conn), service);
    if let Err(err) = conn.await {
        log::debug!("operator connection failed: {err}");
    }
}

impl OperatorApi {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let (head, body) = req.into_parts();
        if let Some(id) = head.uri.path().strip_prefix("/weights/") {
            return self.model_response(id);
        }
        let content_type = match head.uri.path() {
            "/metrics" => "text/plain",
            _ => "application/json",
        };
        let (status, text) = match read_body(body).await {
            Ok(body) => {
                // Planning and confirming block on calls to the platform.
                let response = tokio::task::spawn_blocking(move || {
                    let (path, query) = (head.uri.path(), head.uri.query().unwrap_or(""));
                    self.route(&head.method, path, query, &body)
                });
                let response = response.await;
                response.unwrap_or_else(|err| fail(500, &format!("no answer: {err}")))
            }
            Err(error_response) => error_response,
        };
        let mut res = Response::new(Either::Left(Full::new(Bytes::from(text))));
        *res.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
        let content_type = HeaderValue::from_static(content_type);
        res.headers_mut().insert(CONTENT_TYPE, content_type);
        res
    }

    fn route(&self, method: &Method, path: &str, query: &str, body: &str) -> ApiResponse {
        let param = |key: &str| {
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
            (&Method::GET, "/events") => reports::events(self, param("since=")),
            (&Method::GET, "/timeline") => reports::timeline(self, param("since=")),
            (&Method::GET, "/unresolved") => reports::unresolved(self, param("older_ms=")),
            (&Method::POST, "/plan") => plans::plan(self, body),
            (&Method::POST, "/plan-removal") => plans::plan_removal(self, param("name=")),
            (&Method::POST, "/confirm") => plans::confirm(self, param("plan=")),
            _ => fail(404, "no such call"),
        }
    }

    fn metrics(&self) -> String {
        let metrics = self.cx.recorder.metrics();
        let daemon_count = self.cx.view.read().present().count();
        metrics.daemons_listed.set(daemon_count as i64);
        metrics.render()
    }

    fn ready(&self) -> ApiResponse {
        match self.cx.is_draining() {
            true => fail(503, "leaving"),
            false => ok(&"ready"),
        }
    }

    // Serves a complete model to this host's engine.
    fn model_response(&self, id: &str) -> Response<Body> {
        let chunks = self.weights.as_ref().and_then(|weights| {
            let store = weights.store();
            store.get(id).and_then(|model| model.complete_chunks())
        });
        match chunks {
            Some(chunks) => Response::new(Either::Right(ModelBody(chunks.into()))),
            None => {
                let text = Bytes::from_static(b"not whole here");
                let mut res = Response::new(Either::Left(Full::new(text)));
                *res.status_mut() = StatusCode::NOT_FOUND;
                res
            }
        }
    }
}

async fn read_body(body: Incoming) -> std::result::Result<String, ApiResponse> {
    let collected = Limited::new(body, MAX_BODY_BYTES).collect();
    let bytes = match timeout(BODY_TIMEOUT, collected).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(err)) if err.is::<LengthLimitError>() => {
            let reason = format!("body: above the limit of {MAX_BODY_BYTES} bytes");
            return Err(fail(413, &reason));
        }
        Ok(Err(err)) => return Err(fail(400, &format!("body: {err}"))),
        Err(_) => return Err(fail(408, "body: did not arrive in time")),
    };
    String::from_utf8(bytes.to_vec()).map_err(|err| fail(400, &format!("body: {err}")))
}

// Response body that streams the chunks of a model in order, without copying
// the model.
struct ModelBody(VecDeque<Blob>);

impl hyper::body::Body for ModelBody {
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
