//! Sends the status of a host's backend server to the entries.

use std::sync::Arc;
use std::time::Duration;

use rw_protocol::{Name, ServerStatus};

use crate::{peers, Cx, PlatformCodec, StatusSequence};

/// Interval at which a status is repeated for entries that missed it, while the server
/// accepts no requests and for some time after a change.
const STATUS_INTERVAL: Duration = Duration::from_secs(2);
/// Time after a change from which a status is repeated less often.
const STEADY_AFTER: Duration = Duration::from_secs(10);
/// Interval from then on, while the server accepts requests.
const STEADY_INTERVAL: Duration = Duration::from_secs(10);

/// Sends a status when it changes, and repeats it.
pub(super) struct StatusSender {
    sequence: StatusSequence,
    last_status: Option<ServerStatus>,
    // Times since the daemon's start.
    changed_at: Duration,
    sent_at: Duration,
}

impl StatusSender {
    pub(super) fn new() -> Self {
        StatusSender {
            sequence: StatusSequence::new(rw_coord::unix_ms()),
            last_status: None,
            changed_at: Duration::ZERO,
            sent_at: Duration::ZERO,
        }
    }

    /// Position of a record among the statuses.
    pub(super) fn next_sequence(&mut self) -> u64 {
        self.sequence.advance()
    }

    /// Goes on after the record of an earlier daemon, whose clock may have been ahead.
    pub(super) fn go_on_after(&mut self, sequence: u64) {
        self.sequence.go_on_after(sequence);
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
        let now = cx.now();
        if !unchanged {
            self.changed_at = now;
        }
        // An entry that missed the status sends nothing to a server with new weights.
        let interval = match accepting && now >= self.changed_at + STEADY_AFTER {
            true => STEADY_INTERVAL,
            false => STATUS_INTERVAL,
        };
        if unchanged && now < self.sent_at + interval {
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
        self.sent_at = now;
    }
}
