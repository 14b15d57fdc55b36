//! The process's account of the memory that callers hold. The decisions are those of
//! [`MemoryAccount`]; here connections wait for memory and are told to close.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use rw_observe::{Event, Recorder};
use rw_routing::{MemoryAccount, MemoryGrant, MemoryLimits};
use tokio::sync::{Notify, Semaphore};
use tokio::time::{timeout_at, Instant};

/// Time in which connections that were told to close have to give back what they hold.
const ROOM_TIMEOUT: Duration = Duration::from_secs(1);
/// Smallest growth of a body's buffer, in bytes.
const MIN_GROWTH: usize = 4 << 10;
/// Time between two log lines about closed connections; those in between are counted.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes of a stream that are held for its caller; the server bears the rest.
const MAX_STREAM_BYTES: usize = 256 << 10;

/// Why a body is not held.
#[derive(Debug)]
pub enum BodyError {
    /// It exceeds its limit.
    TooLarge,
    /// There is no memory for it.
    NoMemory,
    /// It broke off.
    Broken(String),
}

/// Account of the memory that callers hold. Without a limit, everything is granted.
pub struct MemoryGuard {
    state: Option<Mutex<State>>,
    // Wakes those that wait for memory.
    freed: Notify,
    started: Instant,
    recorder: Recorder,
}

struct State {
    account: MemoryAccount,
    next_id: u64,
    // Dropping a sender closes its connection.
    open: BTreeMap<u64, flume::Sender<()>>,
    closed: u64,
    refused: u64,
    logged_at: Option<Instant>,
}

impl MemoryGuard {
    /// Creates the account of a process on a machine with this memory; 0 is unlimited.
    pub fn new(memory_bytes: u64, recorder: Recorder) -> Arc<Self> {
        let limits = MemoryLimits::for_machine(memory_bytes);
        let state = limits.map(|limits| {
            Mutex::new(State {
                account: MemoryAccount::new(limits),
                next_id: 0,
                open: BTreeMap::new(),
                closed: 0,
                refused: 0,
                logged_at: None,
            })
        });
        Arc::new(MemoryGuard {
            state,
            freed: Notify::new(),
            started: Instant::now(),
            recorder,
        })
    }

    /// Opens the share of a connection. The receiver is disconnected when the connection
    /// has to close.
    pub fn open(self: &Arc<Self>) -> (Arc<MemoryShare>, flume::Receiver<()>) {
        let (close, closed) = flume::bounded(0);
        let mut id = 0;
        let mut unlimited = None;
        match self.lock() {
            Some(mut state) => {
                id = state.next_id;
                state.next_id += 1;
                state.account.open(id);
                state.open.insert(id, close);
            }
            None => unlimited = Some(close),
        }
        let share = MemoryShare {
            guard: self.clone(),
            id,
            stream_room: Arc::new(Semaphore::new(MAX_STREAM_BYTES)),
            _unlimited: unlimited,
        };
        (Arc::new(share), closed)
    }

    /// Whether memory is limited.
    pub fn is_limited(&self) -> bool {
        self.state.is_some()
    }

    fn lock(&self) -> Option<MutexGuard<'_, State>> {
        let state = self.state.as_ref()?;
        Some(state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn update(&self, update: impl FnOnce(&mut MemoryAccount, Duration)) {
        if let Some(mut state) = self.lock() {
            update(&mut state.account, self.started.elapsed());
            let held = state.account.held();
            self.recorder.metrics().caller_bytes.set(held as i64);
        }
    }

    fn take(&self, id: u64, bytes: u64) -> MemoryGrant {
        let Some(mut state) = self.lock() else {
            return MemoryGrant::Granted;
        };
        let grant = state.account.take(id, bytes, self.started.elapsed());
        match grant {
            MemoryGrant::AfterClosing(other) => {
                state.open.remove(&other);
                state.closed += 1;
            }
            MemoryGrant::Refused => state.refused += 1,
            MemoryGrant::Granted | MemoryGrant::Wait => {}
        }
        let held = state.account.held();
        self.recorder.metrics().caller_bytes.set(held as i64);
        self.log(&mut state);
        grant
    }

    fn log(&self, state: &mut State) {
        let is_due = state
            .logged_at
            .is_none_or(|at| at.elapsed() >= LOG_INTERVAL);
        if state.closed + state.refused == 0 || !is_due {
            return;
        }
        let detail = format!(
            "held={} connections={} closed={} refused={}",
            state.account.held(),
            state.open.len(),
            state.closed,
            state.refused
        );
        (state.closed, state.refused, state.logged_at) = (0, 0, Some(Instant::now()));
        self.recorder.emit(Event::MemoryShort, &detail);
    }
}

/// What one connection holds. Given back when the connection and all of its bytes are gone.
pub struct MemoryShare {
    guard: Arc<MemoryGuard>,
    id: u64,
    stream_room: Arc<Semaphore>,
    // Keeps the connection open where memory is unlimited.
    _unlimited: Option<flume::Sender<()>>,
}

impl std::fmt::Debug for MemoryShare {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("MemoryShare").field("id", &self.id).finish()
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        if let Some(mut state) = self.guard.lock() {
            state.account.close(self.id);
            state.open.remove(&self.id);
        }
        self.guard.freed.notify_waiters();
    }
}

impl MemoryShare {
    /// Whether memory is limited.
    pub fn is_limited(&self) -> bool {
        self.guard.is_limited()
    }

    /// Says whether the process waits for this connection to send or to take bytes.
    pub fn set_awaiting_transfer(&self, awaits_transfer: bool) {
        self.guard
            .update(|account, now| account.set_awaiting_transfer(self.id, awaits_transfer, now));
    }

    /// The connection has sent or taken bytes.
    pub fn on_transfer(&self, bytes: usize) {
        self.guard
            .update(|account, now| account.on_transfer(self.id, bytes as u64, now));
    }

    /// Whether the connection has been slower than the minimum rate for the grace period.
    pub fn is_too_slow(&self) -> bool {
        let state = self.guard.lock();
        state.is_some_and(|s| s.account.is_too_slow(self.id, self.guard.started.elapsed()))
    }

    // Takes bytes; waits for connections that are closing to make room.
    async fn take(&self, bytes: usize) -> bool {
        let deadline = Instant::now() + ROOM_TIMEOUT;
        loop {
            let freed = self.guard.freed.notified();
            tokio::pin!(freed);
            // Registered before the account is asked, so that no release is missed.
            freed.as_mut().enable();
            match self.guard.take(self.id, bytes as u64) {
                MemoryGrant::Granted => return true,
                MemoryGrant::Refused => return false,
                MemoryGrant::AfterClosing(_) | MemoryGrant::Wait => {}
            }
            if timeout_at(deadline, freed).await.is_err() {
                log::debug!("no memory was freed in time");
                return false;
            }
        }
    }

    fn give_back(&self, bytes: usize) {
        self.guard
            .update(|account, _| account.give_back(self.id, bytes as u64));
        self.guard.freed.notify_waiters();
    }

    /// Reads a complete body, whose memory is taken as its bytes arrive and given back when
    /// the last reference to it is dropped.
    pub async fn collect<B>(self: &Arc<Self>, body: B, max: usize) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes>,
        B::Error: std::error::Error + 'static,
    {
        let mut held = HeldBody {
            bytes: Vec::new(),
            taken: 0,
            share: self.clone(),
        };
        tokio::pin!(body);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|err| BodyError::Broken(crate::connect::describe(&err)))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if held.bytes.len() + data.len() > max {
                return Err(BodyError::TooLarge);
            }
            held.push(&data, max).await?;
        }
        Ok(Bytes::from_owner(held))
    }

    /// Takes memory for events of a stream once the caller has taken earlier ones; `None` if
    /// there is none.
    pub async fn hold_events(self: &Arc<Self>, events: Bytes) -> Option<Bytes> {
        if !self.is_limited() {
            return Some(events);
        }
        let permits = events.len().min(MAX_STREAM_BYTES) as u32;
        let room = self.stream_room.clone().acquire_many_owned(permits).await;
        let room = room.ok()?;
        if !self.take(events.len()).await {
            return None;
        }
        Some(Bytes::from_owner(HeldEvents {
            bytes: events,
            share: self.clone(),
            _room: room,
        }))
    }
}

struct HeldBody {
    bytes: Vec<u8>,
    taken: usize,
    share: Arc<MemoryShare>,
}

impl HeldBody {
    // Copies the bytes, since small parts would keep the larger buffers that they were
    // read into.
    async fn push(&mut self, data: &[u8], max: usize) -> Result<(), BodyError> {
        let (len, capacity) = (self.bytes.len() + data.len(), self.bytes.capacity());
        if len > capacity {
            let grown = len.max(capacity + capacity / 4).max(MIN_GROWTH);
            let grown = grown.min(max.max(len));
            let more = grown - self.taken;
            if !self.share.take(more).await {
                return Err(BodyError::NoMemory);
            }
            self.taken += more;
            self.bytes.reserve_exact(grown - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.bytes = Vec::new();
        self.share.give_back(self.taken);
    }
}

struct HeldEvents {
    bytes: Bytes,
    share: Arc<MemoryShare>,
    _room: tokio::sync::OwnedSemaphorePermit,
}

impl AsRef<[u8]> for HeldEvents {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldEvents {
    fn drop(&mut self) {
        self.share.give_back(self.bytes.len());
    }
}
