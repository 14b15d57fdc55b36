//! Selection of a server without an engine profile.

use std::sync::Arc;

use rw_routing::ServerOutlook;

use crate::BackendServer;

/// Servers that are compared if they report their load. With more of them, all entries would
/// select the one that looks free.
const SAMPLE_SIZE: usize = 2;

/// A server that accepts requests.
pub(super) struct LoadCandidate<'a> {
    pub(super) server: &'a Arc<BackendServer>,
    // Requests there that the entries know of.
    pub(super) running: u32,
    pub(super) outlook: Option<ServerOutlook>,
    // A random number.
    pub(super) order: u32,
}

impl LoadCandidate<'_> {
    fn utilization(&self) -> f64 {
        f64::from(self.running) / f64::from(self.server.slots.max(1))
    }

    fn expected_wait(&self) -> f64 {
        let outlook = self.outlook.unwrap_or_default();
        outlook.expected_wait(self.running, self.server.slots)
    }
}

/// The server with the fewest running requests per slot, or the one with the shorter expected
/// wait of two random ones if any server reports its load.
pub(super) fn least_loaded<'a>(
    candidates: &mut [LoadCandidate<'a>],
) -> Option<&'a Arc<BackendServer>> {
    candidates.sort_by_key(|c| c.order);
    let reports_load = candidates.iter().any(|c| c.outlook.is_some());
    let best = match reports_load {
        true => {
            let sample = candidates.iter().take(SAMPLE_SIZE);
            sample.min_by(|a, b| a.expected_wait().total_cmp(&b.expected_wait()))
        }
        false => {
            let all = candidates.iter();
            all.min_by(|a, b| a.utilization().total_cmp(&b.utilization()))
        }
    };
    best.map(|c| c.server)
}
