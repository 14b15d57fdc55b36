use std::collections::HashMap;
use std::time::Duration;

use rw_protocol::Name;

/// Maximum number of parts in each of the two generations.
const MAX_PARTS_PER_GENERATION: usize = 8192;

/// When requests with each part of a prompt last proved to run. Of more parts than fit,
/// those that ran longest ago are forgotten.
#[derive(Debug, Default)]
pub(super) struct Survivals {
    recent: HashMap<Name, Duration>,
    earlier: HashMap<Name, Duration>,
}

impl Survivals {
    pub(super) fn record(&mut self, part: &Name, at: Duration) {
        if let Some(last) = self.recent.get_mut(part) {
            *last = at.max(*last);
            return;
        }
        if self.recent.len() >= MAX_PARTS_PER_GENERATION {
            self.earlier = std::mem::take(&mut self.recent);
        }
        let at = self.earlier.get(part).map_or(at, |last| at.max(*last));
        self.recent.insert(part.clone(), at);
    }

    pub(super) fn last(&self, part: &str) -> Option<Duration> {
        let recent = self.recent.get(part);
        recent.or_else(|| self.earlier.get(part)).copied()
    }

    pub(super) fn forget(&mut self, part: &str) {
        self.recent.remove(part);
        self.earlier.remove(part);
    }

    /// Number of parts that are kept.
    pub(super) fn len(&self) -> usize {
        self.recent.len() + self.earlier.len()
    }
}
