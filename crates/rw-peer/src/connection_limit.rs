use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use rw_routing::{ConnectionActivity, ConnectionRoom, ConnectionTable};

/// Bound on the open connections of a port. The decisions are those of
/// [`ConnectionTable`].
pub struct ConnectionLimit {
    state: Option<Mutex<State>>,
    started: Instant,
    closed: AtomicU64,
    refused: AtomicU64,
}

struct State {
    table: ConnectionTable,
    next_id: u64,
    // Dropping a sender closes its connection.
    open: BTreeMap<u64, flume::Sender<()>>,
}

impl ConnectionLimit {
    /// Allows `max` connections; `None` is unlimited.
    pub fn new(max: Option<usize>) -> Arc<Self> {
        let state = max.map(|max| {
            Mutex::new(State {
                table: ConnectionTable::new(max),
                next_id: 0,
                open: BTreeMap::new(),
            })
        });
        Arc::new(ConnectionLimit {
            state,
            started: Instant::now(),
            closed: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        })
    }

    /// Connections that were closed to make room, and new ones for which there was none.
    pub fn counts(&self) -> (u64, u64) {
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        (count(&self.closed), count(&self.refused))
    }

    /// Adds a connection; `None` if it has to be closed at once. Another one that waits may
    /// have to close for it.
    pub fn open(self: &Arc<Self>) -> Option<ConnectionPlace> {
        let (close, closed) = flume::bounded(0);
        let mut place = ConnectionPlace {
            limit: self.clone(),
            id: 0,
            closed,
            _unlimited: None,
        };
        let Some(mut state) = self.lock() else {
            place._unlimited = Some(close);
            return Some(place);
        };
        place.id = state.next_id;
        state.next_id += 1;
        match state.table.open(place.id, self.started.elapsed()) {
            ConnectionRoom::Free => {}
            ConnectionRoom::Closing(other) => {
                state.open.remove(&other);
                self.closed.fetch_add(1, Ordering::Relaxed);
            }
            ConnectionRoom::Full => {
                self.refused.fetch_add(1, Ordering::Relaxed);
                // Dropped without the lock, which its removal takes.
                drop(state);
                return None;
            }
        }
        state.open.insert(place.id, close);
        drop(state);
        Some(place)
    }

    fn lock(&self) -> Option<MutexGuard<'_, State>> {
        let state = self.state.as_ref()?;
        Some(state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Place of an open connection, free again when it is dropped.
pub struct ConnectionPlace {
    limit: Arc<ConnectionLimit>,
    id: u64,
    closed: flume::Receiver<()>,
    // Keeps the connection open where connections are unlimited.
    _unlimited: Option<flume::Sender<()>>,
}

impl ConnectionPlace {
    /// Waits until the connection has to close.
    pub async fn closed(&self) {
        // No message is sent: the sender is dropped.
        while self.closed.recv_async().await.is_ok() {}
    }

    /// The process begins or ends to work on a request of the connection.
    pub fn set_working(&self, is_working: bool) {
        let activity = match is_working {
            true => ConnectionActivity::Working,
            false => ConnectionActivity::Waiting,
        };
        if let Some(mut state) = self.limit.lock() {
            let now = self.limit.started.elapsed();
            state.table.set(self.id, activity, now);
        }
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        if let Some(mut state) = self.limit.lock() {
            state.table.close(self.id);
            state.open.remove(&self.id);
        }
    }
}
