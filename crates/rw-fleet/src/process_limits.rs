//! Limits on the connections and messages of a process, from its machine's descriptors and
//! memory.

use std::sync::Arc;
use std::time::Duration;

use rw_observe::Event;
use rw_peer::{ConnectionLimit, MessageBudget, ServeLimits};

use crate::{Cx, DaemonSettings, PlatformCodec};

/// Share of the descriptors for connections of callers. Each may need another one to a
/// backend server.
const CALLERS_SHARE: f64 = 0.33;
/// Share of the memory for the fixed cost of callers' connections.
const CONNECTIONS_MEMORY_SHARE: f64 = 0.25;
/// Fixed cost of a caller's connection: its task, the buffers of a request head and of the
/// HTTP library.
const CONNECTION_BYTES: f64 = 32.0 * 1024.0;
/// Share of the descriptors for connections of other daemons, and its minimum.
const PEERS_SHARE: f64 = 0.15;
const MIN_PEERS: usize = 64;
/// Share of the descriptors for readiness checks and metrics, and its minimum.
const PROBES_SHARE: f64 = 0.02;
const MIN_PROBES: usize = 16;
/// Share of the memory for messages of other daemons and replies to them.
const MESSAGES_SHARE: f64 = 0.125;
/// Interval at which closed and refused connections are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Limits on the connections and messages of a process.
#[derive(Clone)]
pub struct ProcessLimits {
    /// Connections of callers.
    pub callers: Arc<ConnectionLimit>,
    /// Connections of readiness checks and metrics.
    pub probes: Arc<ConnectionLimit>,
    /// Connections and messages of other daemons.
    pub peers: ServeLimits,
}

impl ProcessLimits {
    /// Limits for the machine of a daemon; nothing is limited where its settings say 0.
    pub fn new(settings: &DaemonSettings) -> Self {
        let descriptors = f64::from(settings.descriptors);
        let memory = settings.memory_bytes as f64;
        let share = |share: f64, min: usize| match settings.descriptors {
            0 => None,
            _ => Some(((descriptors * share) as usize).max(min)),
        };
        let by_memory = match settings.memory_bytes {
            0 => None,
            _ => Some((memory * CONNECTIONS_MEMORY_SHARE / CONNECTION_BYTES) as usize),
        };
        let callers = [share(CALLERS_SHARE, 1), by_memory];
        let messages = match settings.memory_bytes {
            0 => None,
            _ => Some((memory * MESSAGES_SHARE) as usize),
        };
        ProcessLimits {
            callers: ConnectionLimit::new(callers.into_iter().flatten().min()),
            probes: ConnectionLimit::new(share(PROBES_SHARE, MIN_PROBES)),
            peers: ServeLimits {
                connections: ConnectionLimit::new(share(PEERS_SHARE, MIN_PEERS)),
                messages: MessageBudget::new(messages),
            },
        }
    }
}

/// Logs at intervals how many connections were closed to make room, or refused.
pub async fn log_connection_limits<D: PlatformCodec>(cx: Arc<Cx<D>>) {
    let ticks = cx.timer.subscribe(LOG_INTERVAL);
    let limits = &cx.limits;
    let ports = [
        ("callers", &limits.callers),
        ("probes", &limits.probes),
        ("peers", &limits.peers.connections),
    ];
    let mut last = [(0, 0); 3];
    while ticks.recv_async().await.is_ok() {
        for ((port, limit), last) in ports.iter().zip(&mut last) {
            let now = limit.counts();
            if now != *last {
                let (closed, refused) = (now.0 - last.0, now.1 - last.1);
                let detail = format!("port={port} closed={closed} refused={refused}");
                cx.recorder.emit(Event::ConnectionsLimited, &detail);
                *last = now;
            }
        }
    }
}
