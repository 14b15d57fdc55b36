//! HTTP servers of the caller port, and of the port for readiness checks and
//! metrics.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rw_observe::Event;
use rw_peer::ConnectionLimit;
use rw_protocol::Name;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, sleep_until, timeout, Instant};

use super::caller_connection::{ConnectionState, GuardedBody, RequestGuard};
use super::caller_socket::CallerSocket;
use super::disconnects::PendingRequest;
use super::response::{self, HandlerResult, ResponseBody};
use super::{request, stream, unary, Call, Entry, Refusal, Shutdown};
use crate::connect::enable_dead_peer_detection;
use crate::{CallKind, CallerLimits, PlatformCodec};

/// Limits on callers while there is no configuration.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    head_bytes: 16 * 1024,
    body_bytes: usize::MAX,
    head_time: Duration::from_secs(15),
    idle: Duration::from_secs(15),
};
/// Smallest limit of a request head that the HTTP library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 * 1024;
/// Time in which the head of a readiness check has to arrive.
const PROBE_HEAD_TIMEOUT: Duration = Duration::from_secs(15);
/// Time by which connections outlive the configured timeouts. Without it, the entry
/// could close a connection just as a caller sends a request.
const TIMEOUT_SLACK: Duration = Duration::from_secs(2);
/// Time without a request after which a connection is closed once the caller port is
/// closed; a caller that was not told that the connection ends may send one until then.
const IDLE_LIMIT_AT_SHUTDOWN: Duration = Duration::from_secs(1);
/// Time in which the task of a connection reads what has arrived.
const READ_PAUSE: Duration = Duration::from_millis(5);
/// Time in which a caller whose body was refused may go on to send it.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Serves callers. Returns when the caller port is closed; open connections then finish
/// their requests and close.
pub async fn serve_callers<D: PlatformCodec>(
    entry: Arc<Entry<D>>,
    listener: TcpListener,
    shutdown: Shutdown,
) {
    loop {
        let conn = tokio::select! {
            conn = listener.accept() => conn,
            _ = shutdown.port_closed.recv_async() => break,
        };
        match conn {
            Ok((conn, _)) => spawn_connection(&entry, conn, &shutdown),
            Err(err) => {
                log::warn!("accepting a connection on the caller port failed, retrying: {err}");
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
    if let Err(err) = empty_listen_queue(&entry, listener, &shutdown) {
        log::warn!("connections in the listen queue are lost: {err}");
    }
}

// Closing the listener resets the connections in its queue, on which callers may have sent
// requests. The runtime may not have seen them yet, so the socket is asked.
fn empty_listen_queue<D: PlatformCodec>(
    entry: &Arc<Entry<D>>,
    listener: TcpListener,
    shutdown: &Shutdown,
) -> io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((conn, _)) => {
                conn.set_nonblocking(true)?;
                spawn_connection(entry, TcpStream::from_std(conn)?, shutdown);
            }
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(err) if err.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(err) => return Err(err),
        }
    }
}

fn spawn_connection<D: PlatformCodec>(entry: &Arc<Entry<D>>, conn: TcpStream, shutdown: &Shutdown) {
    // Closed at once if there is no room.
    let Some(place) = entry.cx.limits.callers.open() else {
        return;
    };
    let (memory, evicted) = entry.cx.memory.open();
    // Counted before its task runs, or the process could end in between.
    let open = entry.connections.add(caller_limits(entry), memory, place);
    let (entry, shutdown) = (entry.clone(), shutdown.clone());
    tokio::spawn(async move {
        tokio::select! {
            () = serve_connection(&entry, conn, &open.state, &shutdown) => {}
            // No message is sent: the sender is dropped.
            _ = evicted.recv_async() => {}
            () = open.state.displaced() => {}
        }
    });
}

async fn serve_connection<D: PlatformCodec>(
    entry: &Arc<Entry<D>>,
    conn: TcpStream,
    state: &Arc<ConnectionState>,
    shutdown: &Shutdown,
) {
    if let Err(err) = enable_dead_peer_detection(&conn) {
        log::debug!("closing a caller connection, its socket options cannot be set: {err}");
        return;
    }
    let head = state.limits().head_bytes;
    let socket = CallerSocket::new(conn, state.clone());
    let service = service_fn(|req: Request<Incoming>| {
        let (entry, state, shutdown) = (entry.clone(), state.clone(), shutdown.clone());
        let socket = socket.clone();
        async move {
            let guard = state.begin_request(request_id(&entry, &req), caller_limits(&entry));
            let pending = PendingRequest::new(&entry, &guard);
            let mut res = handle(&entry, req, &guard, &shutdown).await?;
            pending.on_answer();
            if state.has_refused_body() {
                let close = HeaderValue::from_static("close");
                res.headers_mut().insert(CONNECTION, close);
            }
            let is_last = || !guard.has_read_ahead() && !socket.has_unread();
            if entry.cx.is_shutting_down() && is_last() {
                let close = HeaderValue::from_static("close");
                res.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(res.map(|body| GuardedBody::new(body, guard)))
        }
    });
    let conn = hyper::server::conn::http1::Builder::new()
        .max_buf_size(head.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(socket.clone()), service);
    tokio::pin!(conn);
    let served = tokio::select! {
        biased;
        served = conn.as_mut() => served,
        () = wait_until_unused(entry, state, &socket, shutdown) => return,
    };
    if let Err(err) = served {
        log::debug!("caller connection failed: {err}");
    }
    if state.has_refused_body() && timeout(DRAIN_TIMEOUT, socket.drain()).await.is_err() {
        log::debug!("a refused caller goes on to send");
    }
}

// Waits until a connection has had no request for as long as it may, and nothing of one has
// arrived: a caller cannot tell whether a request that it sent before the end was executed.
async fn wait_until_unused<D: PlatformCodec>(
    entry: &Entry<D>,
    state: &ConnectionState,
    socket: &CallerSocket<ConnectionState>,
    shutdown: &Shutdown,
) {
    let mut is_port_open = true;
    loop {
        let limit = quiet_limit(entry, state, is_port_open);
        let quiet_since = state.quiet_since();
        let until = quiet_since.unwrap_or_else(Instant::now) + limit;
        if until <= Instant::now() {
            if !socket.has_unread() {
                return;
            }
            sleep(READ_PAUSE).await;
            continue;
        }
        tokio::select! {
            () = sleep_until(until) => {}
            _ = shutdown.port_closed.recv_async(), if is_port_open => is_port_open = false,
        }
    }
}

// Time for which a connection may have no complete request. Callers may know the current
// configuration, or only the one of their last request.
fn quiet_limit<D: PlatformCodec>(
    entry: &Entry<D>,
    state: &ConnectionState,
    is_port_open: bool,
) -> Duration {
    let (current, earlier) = (caller_limits(entry), state.limits());
    if state.is_reading_head() {
        return current.head_time.max(earlier.head_time) + TIMEOUT_SLACK;
    }
    match is_port_open {
        true => current.idle.max(earlier.idle) + TIMEOUT_SLACK,
        false => IDLE_LIMIT_AT_SHUTDOWN,
    }
}

fn caller_limits<D: PlatformCodec>(entry: &Entry<D>) -> CallerLimits {
    let snapshot = entry.cx.cluster.snapshot();
    let cfg = snapshot.cfg.as_ref();
    cfg.map_or(DEFAULT_LIMITS, |cfg| cfg.limits)
}

fn request_id<D: PlatformCodec>(entry: &Entry<D>, req: &Request<Incoming>) -> Name {
    let id = req.headers().get(&entry.cx.codec.headers().attempt);
    Name::from(id.and_then(|id| id.to_str().ok()).unwrap_or_default())
}

async fn handle<D: PlatformCodec>(
    entry: &Arc<Entry<D>>,
    req: Request<Incoming>,
    guard: &RequestGuard,
    shutdown: &Shutdown,
) -> HandlerResult {
    let names = entry.cx.codec.headers();
    let id = req.headers().get(&names.attempt).cloned();
    let result = tokio::select! {
        biased;
        result = answer(entry, req, guard) => result,
        _ = shutdown.requests_end.recv_async() => Err(end_refusal(guard.call())),
    };
    Ok(result.unwrap_or_else(|refusal| {
        record_refusal(entry, guard, &refusal);
        response::refusal(&refusal, id.as_ref(), names)
    }))
}

async fn answer<D: PlatformCodec>(
    entry: &Arc<Entry<D>>,
    req: Request<Incoming>,
    guard: &RequestGuard,
) -> std::result::Result<Response<ResponseBody>, Refusal> {
    let call = Arc::new(request::read(&entry.cx, req, guard).await?);
    guard.on_read(&call);
    if entry.may_outlive_process(&call) {
        return Err(stopping_refusal());
    }
    entry.load_tracker.count_request(&call.service);
    respond(entry, &call).await
}

// Refusal of a call that is not answered when the process has to end.
fn end_refusal(call: Option<Arc<Call>>) -> Refusal {
    match call {
        Some(call) if call.was_sent() => Refusal::Failed("the entry stopped"),
        _ => stopping_refusal(),
    }
}

// Other entries serve the caller at once.
fn stopping_refusal() -> Refusal {
    Refusal::NotRun {
        reason: "the entry is stopping",
        retry_after: Duration::ZERO,
        known_load: String::new(),
    }
}

fn record_refusal<D: PlatformCodec>(entry: &Entry<D>, guard: &RequestGuard, refusal: &Refusal) {
    let Some(call) = guard.call() else {
        let detail = format!("request={} reason={:?}", guard.id(), refusal.reason());
        return entry.cx.recorder.emit(Event::CallRefused, &detail);
    };
    let detail = format!(
        "status={} reason={:?} {}",
        refusal.status().as_u16(),
        refusal.reason(),
        refusal.known_load()
    );
    entry.record_call(&call, Event::CallRefused, &detail);
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
pub async fn serve_probe<F>(listener: TcpListener, limit: Arc<ConnectionLimit>, respond: F)
where
    F: Fn(&str) -> (StatusCode, String) + Clone + Send + Sync + 'static,
{
    loop {
        let conn = match listener.accept().await {
            Ok((conn, _)) => conn,
            Err(err) => {
                log::warn!("accepting a connection on the probe port failed, retrying: {err}");
                sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        let Some(place) = limit.open() else {
            continue;
        };
        let respond = respond.clone();
        tokio::spawn(async move {
            let service = service_fn(|req: Request<Incoming>| {
                place.set_working(true);
                place.set_working(false);
                let (status, text) = respond(req.uri().path());
                let mut res = Response::new(Full::new(Bytes::from(text)));
                *res.status_mut() = status;
                async move { Ok::<_, Infallible>(res) }
            });
            let served = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(PROBE_HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(conn), service);
            let served = tokio::select! {
                served = served => served,
                () = place.closed() => return,
            };
            if let Err(err) = served {
                log::debug!("probe connection failed: {err}");
            }
        });
    }
}
