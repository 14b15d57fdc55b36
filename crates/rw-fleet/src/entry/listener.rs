//! HTTP servers of the caller port, and of the port for readiness checks and
//! metrics.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rw_observe::Event;
use rw_protocol::Name;
use tokio::net::{TcpListener, TcpStream};

use super::caller_connection::{CallerSocket, ConnectionState, GuardedBody, RequestGuard};
use super::response::{self, HandlerResult, ResponseBody};
use super::{request, stream, unary, Call, Entry, Refusal};
use crate::connect::enable_dead_peer_detection;
use crate::{CallKind, PlatformCodec};

/// Largest request head, in bytes, if the configuration sets no limit.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Smallest limit of a request head that the HTTP library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 * 1024;
/// Idle timeout of a connection, if the configuration sets none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time by which idle connections outlive the configured timeout. Without it,
/// the entry could close a connection just as a caller sends a request.
const IDLE_SLACK: Duration = Duration::from_secs(2);
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Serves callers until `stop` is closed; open connections then finish their
/// current request and close.
pub async fn serve_callers<D: PlatformCodec>(
    entry: Arc<Entry<D>>,
    listener: TcpListener,
    stop: flume::Receiver<()>,
) {
    loop {
        let conn = tokio::select! {
            conn = listener.accept() => conn,
            _ = stop.recv_async() => return,
        };
        match conn {
            Ok((conn, _)) => {
                let (entry, stop) = (entry.clone(), stop.clone());
                tokio::spawn(async move {
                    let open = entry.connections.add();
                    serve_connection(&entry, conn, &open.state, stop).await;
                });
            }
            Err(err) => {
                log::warn!("accepting a connection on the caller port failed, retrying: {err}");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<D: PlatformCodec>(
    entry: &Arc<Entry<D>>,
    conn: TcpStream,
    state: &Arc<ConnectionState>,
    stop: flume::Receiver<()>,
) {
    if let Err(err) = enable_dead_peer_detection(&conn) {
        log::debug!("closing a caller connection, its socket options cannot be set: {err}");
        return;
    }
    let cfg = entry.cx.cluster.snapshot().cfg.clone();
    let limits = cfg.map(|cfg| cfg.limits);
    let idle = limits.map_or(IDLE_TIMEOUT, |limits| limits.idle) + IDLE_SLACK;
    let head = limits.map_or(MAX_HEAD_BYTES, |limits| limits.head_bytes);
    let conn = CallerSocket::new(conn, state.clone());
    let service = service_fn(|req: Request<Incoming>| {
        let (entry, state) = (entry.clone(), state.clone());
        async move {
            let guard = state.begin_request(request_id(&entry, &req));
            let res = handle(&entry, req, &guard).await?;
            Ok::<_, Infallible>(res.map(|body| GuardedBody::new(body, guard)))
        }
    });
    let conn = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(conn), service);
    tokio::pin!(conn);
    let outcome = tokio::select! {
        outcome = conn.as_mut() => outcome,
        _ = stop.recv_async() => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(err) = outcome {
        log::debug!("caller connection failed: {err}");
    }
}

fn request_id<D: PlatformCodec>(entry: &Entry<D>, req: &Request<Incoming>) -> Name {
    let id = req.headers().get(&entry.cx.codec.headers().attempt);
    Name::from(id.and_then(|id| id.to_str().ok()).unwrap_or_default())
}

async fn handle<D: PlatformCodec>(
    entry: &Arc<Entry<D>>,
    req: Request<Incoming>,
    guard: &RequestGuard,
) -> HandlerResult {
    let names = entry.cx.codec.headers();
    let id = req.headers().get(&names.attempt).cloned();
    let call = match request::read(&entry.cx, req).await {
        Ok(call) => Arc::new(call),
        Err(refusal) => {
            let attempt_id = id
                .as_ref()
                .and_then(|id| id.to_str().ok())
                .unwrap_or_default();
            let detail = format!("request={attempt_id} reason={:?}", refusal.reason());
            entry.cx.recorder.emit(Event::CallRefused, &detail);
            return Ok(response::refusal(&refusal, id.as_ref(), names));
        }
    };
    guard.on_read(&call);
    entry.load_tracker.count_request(&call.service);
    let result = respond(entry, &call).await;
    Ok(match result {
        Ok(res) => res,
        Err(refusal) => {
            let detail = format!(
                "status={} reason={:?} {}",
                refusal.status().as_u16(),
                refusal.reason(),
                refusal.known_load()
            );
            entry.record_call(&call, Event::CallRefused, &detail);
            response::refusal(&refusal, id.as_ref(), names)
        }
    })
}

async fn respond<D: PlatformCodec>(
    entry: &Arc<Entry<D>>,
    call: &Arc<Call>,
) -> std::result::Result<Response<ResponseBody>, Refusal> {
    if call.route.kind == CallKind::Streaming {
        return stream::run(entry, call).await;
    }
    let response = unary::run(entry, call).await?;
    let detail = format!("status={}", response.status.as_u16());
    entry.record_call(call, Event::CallAnswered, &detail);
    Ok(response::complete(response, entry.cx.codec.headers()))
}

/// Serves readiness checks and metrics.
pub async fn serve_probe<F>(listener: TcpListener, respond: F)
where
    F: Fn(&str) -> (StatusCode, String) + Clone + Send + Sync + 'static,
{
    loop {
        let conn = match listener.accept().await {
            Ok((conn, _)) => conn,
            Err(err) => {
                log::warn!("accepting a connection on the probe port failed, retrying: {err}");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        let respond = respond.clone();
        tokio::spawn(async move {
            let service = service_fn(|req: Request<Incoming>| {
                let (status, text) = respond(req.uri().path());
                let mut res = Response::new(Full::new(Bytes::from(text)));
                *res.status_mut() = status;
                async move { Ok::<_, Infallible>(res) }
            });
            let served = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(conn), service);
            if let Err(err) = served.await {
                log::debug!("probe connection failed: {err}");
            }
        });
    }
}
