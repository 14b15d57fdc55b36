//! The callers' port, and the small port for the balancer and metrics.

use std::convert::Infallible;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rw_observe::Event;
use tokio::net::{TcpListener, TcpStream};

use super::answer::{self, AnswerBody, Served};
use super::{plain, request, stream, Call, Entry, Refusal};
use crate::connect::detect_dead_peer;
use crate::{CallKind, PlatformCodec};

/// Largest head of a request, in bytes, where the configuration names none.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Least that the HTTP library takes for it, in bytes.
const MIN_HEAD_BYTES: usize = 8 * 1024;
/// Longest idle time of a connection, where the configuration names none.
const IDLE_LIMIT: Duration = Duration::from_secs(15);
/// Time by which idle connections outlive the configured limit, so that a
/// caller's last request does not cross the close.
const IDLE_SLACK: Duration = Duration::from_secs(2);
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Accepts callers until `stop` is closed; connections then finish what they
/// have and end.
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
                    entry.open.fetch_add(1, Ordering::Relaxed);
                    connection(&entry, conn, stop).await;
                    entry.open.fetch_sub(1, Ordering::Relaxed);
                });
            }
            Err(err) => {
                log::warn!("callers' port: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection<D: PlatformCodec>(
    entry: &Arc<Entry<D>>,
    conn: TcpStream,
    stop: flume::Receiver<()>,
) {
    if let Err(err) = detect_dead_peer(&conn) {
        log::debug!("caller's connection: {err}");
        return;
    }
    let cfg = entry.cx.cluster.snapshot().cfg.clone();
    let limits = cfg.map(|cfg| cfg.limits);
    let idle = limits.map_or(IDLE_LIMIT, |limits| limits.idle) + IDLE_SLACK;
    let head = limits.map_or(MAX_HEAD_BYTES, |limits| limits.head_bytes);
    let service = service_fn(|req| {
        let entry = entry.clone();
        async move { handle(&entry, req).await }
    });
    let conn = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(conn), service);
    tokio::pin!(conn);
    let ended = tokio::select! {
        ended = conn.as_mut() => ended,
        _ = stop.recv_async() => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(err) = ended {
        log::debug!("caller's connection: {err}");
    }
}

async fn handle<D: PlatformCodec>(entry: &Arc<Entry<D>>, req: Request<Incoming>) -> Served {
    let names = entry.cx.codec.headers();
    let id = req.headers().get(&names.attempt).cloned();
    let call = match request::read(&entry.cx, req).await {
        Ok(call) => Arc::new(call),
        Err(refused) => {
            let given = id
                .as_ref()
                .and_then(|id| id.to_str().ok())
                .unwrap_or_default();
            let detail = format!("request={given} reason={:?}", refused.reason());
            entry.cx.recorder.emit(Event::CallRefused, &detail);
            return Ok(answer::refusal(&refused, id.as_ref(), names));
        }
    };
    entry.board.count_request(&call.service, entry.entries());
    let served = serve(entry, &call).await;
    Ok(match served {
        Ok(res) => res,
        Err(refused) => {
            let detail = format!(
                "status={} reason={:?} {}",
                refused.status().as_u16(),
                refused.reason(),
                refused.believed()
            );
            entry.note_call(&call, Event::CallRefused, &detail);
            answer::refusal(&refused, id.as_ref(), names)
        }
    })
}

async fn serve<D: PlatformCodec>(
    entry: &Arc<Entry<D>>,
    call: &Arc<Call>,
) -> std::result::Result<Response<AnswerBody>, Refusal> {
    if call.route.kind == CallKind::Streaming {
        return stream::run(entry, call).await;
    }
    let whole = plain::run(entry, call).await?;
    let detail = format!("status={}", whole.status.as_u16());
    entry.note_call(call, Event::CallAnswered, &detail);
    Ok(answer::whole(whole, entry.cx.codec.headers()))
}

/// Answers readiness checks and requests for metrics.
pub async fn serve_probe<F>(listener: TcpListener, answer: F)
where
    F: Fn(&str) -> (StatusCode, String) + Clone + Send + Sync + 'static,
{
    loop {
        let conn = match listener.accept().await {
            Ok((conn, _)) => conn,
            Err(err) => {
                log::warn!("probe port: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let answer = answer.clone();
        tokio::spawn(async move {
            let service = service_fn(|req: Request<Incoming>| {
                let (status, text) = answer(req.uri().path());
                let mut res = Response::new(Full::new(Bytes::from(text)));
                *res.status_mut() = status;
                async move { Ok::<_, Infallible>(res) }
            });
            let served = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_LIMIT)
                .serve_connection(TokioIo::new(conn), service);
            if let Err(err) = served.await {
                log::debug!("probe connection: {err}");
            }
        });
    }
}
