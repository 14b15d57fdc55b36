//! Sends the status of a host's backend server to the entries.

use std::sync::Arc;
use std::time::Duration;

use rw_protocol::{Name, ServerStatus};

use crate::{peers, Cx, PlatformCodec, StatusSequence};

/// Interval at which the status of a server that accepts no requests is repeated
/// for entries that missed it.
const STATUS_INTERVAL: Duration = Duration::from_secs(2);

/// Sends a status when it changes, and repeats it while the server accepts no requests.
pub(super) struct StatusSender {
    sequence: StatusSequence,
    last_status: Option<ServerStatus>,
    // Time since the daemon's start.
    sent_at: Duration,
}

impl StatusSender {
    pub(super) fn new() -> Self {
        StatusSender {
            sequence: StatusSequence::new(rw_coord::unix_ms()),
            last_status: None,
            sent_at: Duration::ZERO,
        }
    }

    pub(super) fn send<D: PlatformCodec>(
        &mut self,
        cx: &Arc<Cx<D>>,
        server: Name,
        model: &Name,
        weights: u64,
        accepting: bool,
    ) {
        let unchanged = self.last_status.as_ref().is_some_and(|last_status| {
            last_status.server == server
                && last_status.weights == weights
                && last_status.accepting == accepting
        });
        let sent_recently = cx.now() < self.sent_at + STATUS_INTERVAL;
        // The status of a server that accepts requests is not repeated, as the
        // server's own row contains the same.
        if unchanged && (sent_recently || accepting) {
            return;
        }
        let status = ServerStatus {
            server,
            model: model.clone(),
            weights,
            accepting,
            sequence: self.sequence.advance(),
        };
        peers::broadcast_status(cx, &status);
        self.last_status = Some(status);
        self.sent_at = cx.now();
    }
}
