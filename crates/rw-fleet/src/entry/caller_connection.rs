//! What each open caller connection is doing.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use rw_peer::ConnectionPlace;
use rw_protocol::Name;
use tokio::time::Instant;

use super::caller_socket::SocketObserver;
use super::response::ResponseBody;
use super::Call;
use crate::memory_guard::MemoryShare;
use crate::CallerLimits;

/// The open caller connections of an entry.
#[derive(Default)]
pub struct CallerConnections(Mutex<Table>);

#[derive(Default)]
struct Table {
    next_id: u64,
    open: BTreeMap<u64, Arc<ConnectionState>>,
}

/// Number of caller connections by what they are doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// All open connections.
    pub open: usize,
    /// Connections on which no request is in progress.
    pub idle: usize,
    /// Connections on which a part of a request's head has arrived.
    pub reading: usize,
    /// Connections with a request that is not answered in full.
    pub requests: usize,
}

impl std::fmt::Display for ConnectionCounts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ConnectionCounts {
            open,
            idle,
            reading,
            requests,
        } = self;
        write!(
            f,
            "open={open} idle={idle} reading={reading} requests={requests}"
        )
    }
}

impl CallerConnections {
    /// Adds a connection, which counts as open until the returned value is dropped.
    pub fn add(
        self: &Arc<Self>,
        limits: CallerLimits,
        memory: Arc<MemoryShare>,
        place: ConnectionPlace,
    ) -> OpenConnection {
        let state = Arc::new(ConnectionState::new(limits, memory, place));
        let mut table = self.lock();
        let id = table.next_id;
        table.next_id += 1;
        table.open.insert(id, state.clone());
        OpenConnection {
            id,
            state,
            connections: self.clone(),
        }
    }

    /// Counts the open connections.
    pub fn counts(&self) -> ConnectionCounts {
        let mut out = ConnectionCounts::default();
        for state in self.lock().open.values() {
            out.open += 1;
            match state.lock().phase {
                Phase::Idle => out.idle += 1,
                Phase::ReadingHead => out.reading += 1,
                Phase::Request(_) => out.requests += 1,
            }
        }
        out
    }

    /// Describes the requests that are not answered in full, for the log.
    pub fn unanswered(&self) -> Vec<String> {
        let table = self.lock();
        table.open.values().filter_map(|s| s.describe()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An open connection of a [`CallerConnections`].
pub struct OpenConnection {
    id: u64,
    /// What it is doing.
    pub state: Arc<ConnectionState>,
    connections: Arc<CallerConnections>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.lock().open.remove(&self.id);
    }
}

/// What a caller connection is doing.
pub struct ConnectionState {
    progress: Mutex<Progress>,
    memory: Arc<MemoryShare>,
    place: ConnectionPlace,
}

struct Progress {
    phase: Phase,
    since: Instant,
    // In force when the last request began, or the connection was accepted.
    limits: CallerLimits,
    // Bytes of an answer are buffered that the socket has not taken yet.
    is_sending: bool,
    // A request was answered before its body was read.
    has_refused_body: bool,
}

impl Progress {
    fn is_reading_body(&self) -> bool {
        matches!(&self.phase, Phase::Request(req) if req.call.is_none() && !req.is_answering)
    }
}

enum Phase {
    Idle,
    ReadingHead,
    Request(Request),
}

struct Request {
    id: Name,
    call: Option<Arc<Call>>,
    is_answering: bool,
    // Bytes of the next request arrived before the end of this one.
    has_read_ahead: bool,
}

impl ConnectionState {
    fn new(limits: CallerLimits, memory: Arc<MemoryShare>, place: ConnectionPlace) -> Self {
        let progress = Progress {
            phase: Phase::Idle,
            since: Instant::now(),
            limits,
            is_sending: false,
            has_refused_body: false,
        };
        ConnectionState {
            progress: Mutex::new(progress),
            memory,
            place,
        }
    }

    /// Waits until the connection has to close to make room for others.
    pub async fn displaced(&self) {
        self.place.closed().await;
    }

    /// Whether a request was answered before its body was read.
    pub fn has_refused_body(&self) -> bool {
        self.lock().has_refused_body
    }

    /// Marks the start of a request, which is in progress until the guard is dropped, with
    /// the limits that are in force.
    pub fn begin_request(self: &Arc<Self>, id: Name, limits: CallerLimits) -> RequestGuard {
        self.lock().limits = limits;
        self.set(Phase::Request(Request {
            id,
            call: None,
            is_answering: false,
            has_read_ahead: false,
        }));
        RequestGuard(self.clone())
    }

    /// When the last answer had been sent, or the connection was accepted, or the head of a
    /// request began to arrive; `None` while a request is in progress.
    pub fn quiet_since(&self) -> Option<Instant> {
        let progress = self.lock();
        match progress.phase {
            Phase::Idle | Phase::ReadingHead if !progress.is_sending => Some(progress.since),
            _ => None,
        }
    }

    /// Limits that were in force when the last request began, or the connection was accepted.
    pub fn limits(&self) -> CallerLimits {
        self.lock().limits
    }

    /// Whether a part of a request's head has arrived.
    pub fn is_reading_head(&self) -> bool {
        matches!(self.lock().phase, Phase::ReadingHead)
    }

    fn describe(&self) -> Option<String> {
        let progress = self.lock();
        let age_ms = progress.since.elapsed().as_millis();
        let Phase::Request(req) = &progress.phase else {
            return None;
        };
        let stage = match &req.call {
            _ if req.is_answering => "answering",
            None => "reading",
            Some(call) if call.was_sent() => "at_server",
            Some(_) => "waiting",
        };
        let left_ms = req.call.as_ref().map(|call| call.time_left().as_millis());
        let left_ms = left_ms.map_or("unknown".into(), |ms| ms.to_string());
        Some(format!(
            "request={} stage={stage} age_ms={age_ms} left_ms={left_ms}",
            req.id
        ))
    }

    fn update_request(&self, update: impl FnOnce(&mut Request)) {
        if let Phase::Request(req) = &mut self.lock().phase {
            update(req);
        }
    }

    fn set(&self, phase: Phase) {
        let mut progress = self.lock();
        progress.phase = phase;
        progress.since = Instant::now();
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SocketObserver for ConnectionState {
    fn on_read(&self, len: usize) {
        self.memory.on_transfer(len);
        let mut progress = self.lock();
        match &mut progress.phase {
            Phase::Idle => {
                progress.phase = Phase::ReadingHead;
                progress.since = Instant::now();
            }
            Phase::ReadingHead => {}
            Phase::Request(req) => req.has_read_ahead |= req.call.is_some() || req.is_answering,
        }
    }

    fn on_write(&self) {
        self.lock().is_sending = true;
        self.memory.set_awaiting_transfer(true);
    }

    fn on_written(&self, len: usize) {
        self.memory.on_transfer(len);
    }

    fn on_flushed(&self) {
        let mut progress = self.lock();
        if progress.is_sending && !matches!(progress.phase, Phase::Request(_)) {
            progress.since = Instant::now();
        }
        if progress.is_sending {
            // A caller may be told to go on with its body.
            self.memory
                .set_awaiting_transfer(progress.is_reading_body());
        }
        progress.is_sending = false;
    }
}

/// A request in progress on a connection.
pub struct RequestGuard(Arc<ConnectionState>);

impl RequestGuard {
    /// Memory that the connection holds.
    pub fn memory(&self) -> &Arc<MemoryShare> {
        &self.0.memory
    }

    /// The request is answered before its body has been read.
    pub fn on_refused_body(&self) {
        self.0.lock().has_refused_body = true;
    }

    /// The request has been read in full.
    pub fn on_read(&self, call: &Arc<Call>) {
        self.0.place.set_working(true);
        self.0.update_request(|req| req.call = Some(call.clone()));
    }

    /// Id of the caller's attempt.
    pub fn id(&self) -> Name {
        match &self.0.lock().phase {
            Phase::Request(req) => req.id.clone(),
            _ => Name::default(),
        }
    }

    /// The request, if it has been read in full.
    pub fn call(&self) -> Option<Arc<Call>> {
        match &self.0.lock().phase {
            Phase::Request(req) => req.call.clone(),
            _ => None,
        }
    }

    /// Whether bytes of the next request have been read.
    pub fn has_read_ahead(&self) -> bool {
        match &self.0.lock().phase {
            Phase::Request(req) => req.has_read_ahead,
            _ => false,
        }
    }

    /// The answer has begun.
    pub fn on_answer(&self) {
        self.0.update_request(|req| req.is_answering = true);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.place.set_working(false);
        self.0.set(match self.has_read_ahead() {
            true => Phase::ReadingHead,
            false => Phase::Idle,
        });
    }
}

/// Body of an answer, with the guard of its request.
pub struct GuardedBody {
    body: ResponseBody,
    _guard: RequestGuard,
}

impl GuardedBody {
    /// Holds `guard` until the body has been sent or dropped.
    pub fn new(body: ResponseBody, guard: RequestGuard) -> Self {
        guard.on_answer();
        GuardedBody {
            body,
            _guard: guard,
        }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = <ResponseBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
