//! HTTP server for callers.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Frame, Incoming};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use rw_fleet::CallerSocket;
use rw_observe::Event;
use rw_protocol::{Blob, Name};
use serde_json::{json, Value};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::call::{run_call, AnswerSink, BufferSink};
use super::request::{self, CallerRequest};
use super::respond::{streaming_response, Body, BodyTx, CallOutcome};
use super::{at_most_once, Entry};

/// Time limit for a caller to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Parts of a streamed answer that are buffered for a slow caller.
const STREAM_BUFFER_PARTS: usize = 64;
/// Time for which open connections take requests after the port is closed. A request may
/// have arrived in part, or arrive before its caller learns that the connection ends.
const LAST_REQUESTS_TIME: Duration = Duration::from_secs(1);
/// Time in which the task of a connection reads what has arrived.
const READ_PAUSE: Duration = Duration::from_millis(5);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until `stop` is closed; returns once every connection has
/// finished its requests.
pub async fn serve_callers(entry: Arc<Entry>, listener: TcpListener, stop: flume::Receiver<()>) {
    let limit = entry.cx.deployment.limits.max_connections.get() as usize;
    let permits = Arc::new(Semaphore::new(limit));
    loop {
        // Connections above the limit wait in the listener's backlog.
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let conn = tokio::select! {
            conn = listener.accept() => conn,
            _ = stop.recv_async() => break,
        };
        match conn {
            Ok((conn, _)) => spawn_connection(&entry, conn, &stop, permit),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    if let Err(err) = empty_listen_queue(&entry, listener, &stop, &permits) {
        log::warn!("connections in the listen queue are lost: {err}");
    }
    // All permits are available once the last connection has ended.
    let _ = permits.acquire_many(limit as u32).await;
}

fn spawn_connection(
    entry: &Arc<Entry>,
    conn: TcpStream,
    stop: &flume::Receiver<()>,
    permit: OwnedSemaphorePermit,
) {
    let (entry, stop) = (entry.clone(), stop.clone());
    tokio::spawn(async move {
        serve_connection(entry, conn, stop).await;
        drop(permit);
    });
}

// Closing the listener resets the connections in its queue, on which callers may have sent
// requests. The runtime may not have seen them yet, so the socket is asked.
fn empty_listen_queue(
    entry: &Arc<Entry>,
    listener: TcpListener,
    stop: &flume::Receiver<()>,
    permits: &Arc<Semaphore>,
) -> io::Result<()> {
    let listener = listener.into_std()?;
    while let Ok(permit) = permits.clone().try_acquire_owned() {
        match listener.accept() {
            Ok((conn, _)) => {
                conn.set_nonblocking(true)?;
                spawn_connection(entry, TcpStream::from_std(conn)?, stop, permit);
            }
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(err) if err.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(err) => return Err(err),
        }
    }
    Ok(())
}

async fn serve_connection(entry: Arc<Entry>, conn: TcpStream, stop: flume::Receiver<()>) {
    let _ = conn.set_nodelay(true);
    let socket = CallerSocket::new(conn, Arc::new(()));
    let max_head = entry.cx.deployment.limits.max_header_bytes as usize;
    let service = service_fn(move |req| {
        let entry = entry.clone();
        async move {
            let mut res = handle_request(&entry, req).await;
            if entry.cx.is_draining() {
                let close = HeaderValue::from_static("close");
                res.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(res)
        }
    });
    let conn = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(max_head)
        .serve_connection(TokioIo::new(socket.clone()), service);
    tokio::pin!(conn);
    // A connection must not be closed with a request unread.
    let stopped = async {
        let _ = stop.recv_async().await;
        tokio::time::sleep(LAST_REQUESTS_TIME).await;
        while socket.has_unread() {
            tokio::time::sleep(READ_PAUSE).await;
        }
    };
    let result = tokio::select! {
        result = conn.as_mut() => Some(result),
        () = stopped => None,
    };
    if result.is_none() {
        conn.as_mut().graceful_shutdown();
        // A connection that the caller aborted is not an error of the entry.
        let _ = conn.await;
    }
}

/// Counts one unit of work that a stopping entry has to finish.
pub(super) struct InFlightGuard(Arc<Entry>);

impl InFlightGuard {
    /// Counts the work until the guard is dropped.
    pub(super) fn new(entry: &Arc<Entry>) -> Self {
        entry.cx.recorder.metrics().in_flight.inc();
        InFlightGuard(entry.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.cx.recorder.metrics().in_flight.dec();
    }
}

async fn handle_request(entry: &Arc<Entry>, req: Request<Incoming>) -> Response<Body> {
    let in_flight = InFlightGuard::new(entry);
    let supplied_id = request::header(req.headers(), "x-request-id").unwrap_or_default();
    let request_id = match supplied_id.is_empty() {
        true => Name::from(format!("{:016x}", rand::random::<u64>())),
        false => supplied_id,
    };
    let call = match request::read(&entry.cx, req, &request_id).await {
        Ok(call) => call,
        Err(err) => return respond(entry, &request_id, CallOutcome::Refused(err)),
    };
    if call.is_engine_call() && call.stream {
        return stream_answer(entry, call, in_flight).await;
    }
    // The call continues if the caller disconnects, because its claim has to be closed.
    let task_entry = entry.clone();
    let task = tokio::spawn(async move {
        let _in_flight = in_flight;
        let outcome = match call.is_engine_call() {
            true => run_engine_call(&task_entry, &call).await,
            false => at_most_once::run_plain_call(&task_entry, &call).await,
        };
        record_unknown(&task_entry, &call, &outcome);
        outcome
    });
    match task.await {
        Ok(outcome) => respond(entry, &request_id, outcome),
        Err(err) => respond(entry, &request_id, CallOutcome::Unknown(err.to_string())),
    }
}

fn respond(entry: &Entry, request_id: &Name, outcome: CallOutcome) -> Response<Body> {
    entry.cx.recorder.metrics().count_call(outcome.name());
    // Not an event: under overload, refusals would push all others out of the timeline.
    if let CallOutcome::NotRun(reason, retry_after) = &outcome {
        log::info!(
            "request={request_id} outcome={} reason={reason:?} retry_after_ms={}",
            outcome.name(),
            retry_after.as_millis()
        );
    }
    outcome.into_response(request_id)
}

fn record_unknown(entry: &Entry, call: &CallerRequest, outcome: &CallOutcome) {
    if let (CallOutcome::Unknown(reason), false) = (outcome, call.idempotent) {
        let detail = format!(
            "request={} team={} service={} reason={reason:?}",
            call.request_id, call.team, call.service
        );
        entry.cx.recorder.emit(Event::CallUnknown, &detail);
    }
}

// Runs a call to a model engine for a caller that wants an unstreamed answer.
async fn run_engine_call(entry: &Arc<Entry>, call: &CallerRequest) -> CallOutcome {
    match run_call(entry, call, &mut BufferSink::default()).await {
        CallOutcome::Answered(200, events) => {
            CallOutcome::Answered(200, join_stream_events(&events, &call.request_id))
        }
        CallOutcome::Answered(status, _) => {
            let body = json!({"error": {"outcome": "answered", "reason": "the engine refused the request"}});
            CallOutcome::Answered(status, body.to_string().into_bytes())
        }
        other => other,
    }
}

// Joins the events of a stream into one `chat.completion` object.
fn join_stream_events(events: &[u8], request_id: &Name) -> Vec<u8> {
    let text = String::from_utf8_lossy(events);
    let mut content = String::new();
    let mut model = String::new();
    for data in text.split("\n\n").filter_map(|e| e.strip_prefix("data: ")) {
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        content.push_str(
            event["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or(""),
        );
        model = event["model"].as_str().unwrap_or("").to_string();
    }
    let message = json!({"role": "assistant", "content": content});
    let choice = json!({"index": 0, "message": message, "finish_reason": "stop"});
    let answer = json!({
        "id": &**request_id, "object": "chat.completion", "model": model, "choices": [choice],
    });
    answer.to_string().into_bytes()
}

struct StreamSink {
    tx: BodyTx,
    // Dropped with the first part, which closes the channel.
    first_part_tx: Option<flume::Sender<()>>,
}

impl AnswerSink for StreamSink {
    async fn send_part(&mut self, body: Blob) -> bool {
        self.first_part_tx = None;
        self.tx.send_async(Ok(Frame::data(body.0))).await.is_ok()
    }

    fn has_sent(&self) -> bool {
        self.first_part_tx.is_none()
    }

    // Parts that were sent cannot be taken back; once there are any, a failure is
    // not retried.
    fn take(&mut self) -> Vec<u8> {
        Vec::new()
    }
}

// The response head is sent with the first part, so that a call that did not run
// gets an error status.
async fn stream_answer(
    entry: &Arc<Entry>,
    call: CallerRequest,
    in_flight: InFlightGuard,
) -> Response<Body> {
    let (response, tx) = streaming_response(&call.request_id, STREAM_BUFFER_PARTS);
    let (first_part_tx, first_part_rx) = flume::bounded::<()>(1);
    let (outcome_tx, outcome_rx) = flume::bounded(1);
    let (task_entry, id) = (entry.clone(), call.request_id.clone());
    let start = entry.cx.now();
    let task = tokio::spawn(async move {
        let mut sink = StreamSink {
            tx: tx.clone(),
            first_part_tx: Some(first_part_tx),
        };
        let outcome = run_call(&task_entry, &call, &mut sink).await;
        if sink.has_sent() {
            finish_stream(&task_entry, &call, &tx, &outcome).await;
        } else {
            let _ = outcome_tx.send(outcome);
        }
        drop(in_flight);
    });
    // A caller that disconnects before the first part cancels the call.
    let guard = AbortOnDrop(Some(task));
    let outcome = tokio::select! {
        biased;
        outcome = outcome_rx.recv_async() => outcome.ok(),
        // A task that ends without a part sends its outcome first and then
        // closes this channel too.
        _ = first_part_rx.recv_async() => outcome_rx.try_recv().ok(),
    };
    guard.disarm();
    match outcome {
        Some(CallOutcome::Answered(200, _)) => return empty_stream(entry, &id),
        Some(other) => return respond(entry, &id, other),
        None => {}
    }
    let time_to_first_part = entry.cx.now().saturating_sub(start);
    entry
        .cx
        .recorder
        .metrics()
        .first_token_seconds
        .observe(time_to_first_part.as_secs_f64());
    response
}

fn empty_stream(entry: &Entry, id: &Name) -> Response<Body> {
    entry.cx.recorder.metrics().count_call("answered");
    let (response, tx) = streaming_response(id, 1);
    let _ = tx.send(Ok(Frame::data(Bytes::from_static(b"data: [DONE]\n\n"))));
    response
}

// The last event distinguishes a complete answer from a truncated one.
async fn finish_stream(entry: &Entry, call: &CallerRequest, tx: &BodyTx, outcome: &CallOutcome) {
    entry.cx.recorder.metrics().count_call(outcome.name());
    let last = match outcome {
        CallOutcome::Answered(..) => "data: [DONE]\n\n".to_string(),
        failed => format!(
            "event: error\ndata: {}\n\n",
            failed.error_event(&call.request_id)
        ),
    };
    // The send fails if the caller has disconnected.
    let _ = tx.send_async(Ok(Frame::data(Bytes::from(last)))).await;
}

struct AbortOnDrop(Option<tokio::task::JoinHandle<()>>);

impl AbortOnDrop {
    fn disarm(mut self) {
        self.0 = None;
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        if let Some(task) = self.0.take() {
            task.abort();
        }
    }
}
