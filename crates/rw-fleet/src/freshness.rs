//! How late the changes of a table may arrive.

use std::time::Duration;

use rw_platform::Error;

use crate::Bounds;

/// How late the changes may be that a read delivers.
#[derive(Default)]
pub(crate) struct Freshness {
    // Uptime at which the table was last known to be current.
    current_at: Option<Duration>,
    gap: Gap,
}

/// Why changes may have been missed since the table was last current.
#[derive(Default, PartialEq)]
enum Gap {
    #[default]
    None,
    // One call hung on a silent connection, or the history was lost.
    Missed,
    // The store was away and acknowledged nothing.
    Outage,
}

impl Freshness {
    /// The table is current: all changes have been delivered.
    pub(crate) fn on_current(&mut self, uptime: Duration) {
        self.current_at = Some(uptime);
        self.gap = Gap::None;
    }

    /// The store has discarded changes that were not delivered.
    pub(crate) fn on_history_gone(&mut self) {
        if self.gap == Gap::None {
            self.gap = Gap::Missed;
        }
    }

    /// A call failed.
    pub(crate) fn on_failure(&mut self, err: &Error) {
        // A new connection works after a silent one, so further failures mean an outage.
        let is_silent = matches!(err, Error::Unknown(_));
        self.gap = match is_silent && self.gap == Gap::None {
            true => Gap::Missed,
            false => Gap::Outage,
        };
    }

    /// How long ago changes that a read delivers may have been made; `None` at the first
    /// read.
    pub(crate) fn delay_of_changes(&self, bounds: &Bounds, uptime: Duration) -> Option<Duration> {
        let since_current = uptime.saturating_sub(self.current_at?);
        Some(match self.gap {
            Gap::Missed => since_current.min(bounds.settling),
            Gap::None | Gap::Outage => Duration::ZERO,
        })
    }
}
