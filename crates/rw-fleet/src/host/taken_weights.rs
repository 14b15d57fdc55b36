//! Whether the weights that a backend server has taken were intact at that moment.
//!
//! A staged chunk may turn corrupt at any time and does not become intact by itself. The
//! server takes the staged chunks when it accepts an order, which may be long after the
//! order was sent. A chunk counts as intact if it was read shortly before that moment,
//! or after it and was not written in between.

use std::ops::Range;
use std::time::Duration;

use super::staging::StagedChunk;
use super::BackendReport;

/// Time for which a chunk may have been corrupt when the server takes it. Part of the
/// platform's protocol.
const MAX_CORRUPT_TIME: Duration = Duration::from_secs(3);

/// A load, and the uptimes between which the server took the staged chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Load {
    /// Request of the last report in which the load had not begun.
    pub(super) not_before: Duration,
    /// Arrival of the response or report that shows the load.
    pub(super) not_after: Duration,
}

impl Load {
    /// Chunks that have to be read to know whether they were intact; `None` if that
    /// can no longer be known of one of them, since it was written meanwhile.
    pub(super) fn unproven(&self, chunks: &[StagedChunk]) -> Option<Vec<u32>> {
        let mut out = Vec::new();
        for (chunk, index) in chunks.iter().zip(0..) {
            let was_written = chunk.written_at.is_some_and(|at| at >= self.not_before);
            let is_proven = chunk.intact_at.is_some_and(|at| {
                let is_recent = at.saturating_add(MAX_CORRUPT_TIME) >= self.not_after;
                is_recent && (at <= self.not_before || !was_written)
            });
            match (is_proven, was_written) {
                (true, _) => {}
                (false, true) => return None,
                (false, false) => out.push(index),
            }
        }
        Some(out)
    }
}

/// What is known of the weights that a server has loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TakenWeights {
    /// They were intact, or the server held them from its start, or there are none.
    Intact,
    /// Another daemon ordered the load, so only its record shows whether they were intact:
    /// that daemon may have repaired chunks since.
    Found,
    /// Ordered by this daemon; not known yet.
    Unverified(Load),
    /// They may hold a corrupt chunk, or nothing shows that they do not; they have to be
    /// loaded again.
    Damaged,
}

/// Loaded layers of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Layers {
    version: u64,
    range: Range<u32>,
}

impl Layers {
    fn overlap(&self, other: &Layers) -> bool {
        let start = self.range.start.max(other.range.start);
        let end = self.range.end.min(other.range.end);
        self.version == other.version && start < end
    }
}

/// Start of a server in Unix milliseconds, and the number of loads that it has begun.
type LoadCount = (u64, u64);

/// Follows the loads of a server in its reports.
pub(super) struct LoadWatch {
    weights: TakenWeights,
    // The last report, and the uptime at which it was requested.
    last: Option<(LoadCount, Duration)>,
    // The load that the last accepted order began, and the arrival of the response.
    accepted: Option<(LoadCount, Duration)>,
    // The loads of orders that this daemon sent: the last one, and one that the server may
    // still accept as its answer is not known.
    ordered: Option<LoadCount>,
    pending: Option<LoadCount>,
    // Arrival of the first report that showed the current load.
    observed_at: Duration,
    // Layers that the server held before the load in progress and that may hold a corrupt
    // chunk.
    untrusted: Option<Layers>,
    // Layers as of the last report without a load in progress.
    held: Option<Layers>,
    // Whether the load in progress began before the first report.
    is_found: bool,
    // Whether the result of the last load is still to be seen.
    is_unsettled: bool,
}

/// What a report shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Observed {
    Nothing,
    /// A load has begun.
    Load,
    /// The server has started again.
    Restart,
}

impl LoadWatch {
    pub(super) fn new() -> Self {
        LoadWatch {
            weights: TakenWeights::Intact,
            last: None,
            accepted: None,
            ordered: None,
            pending: None,
            observed_at: Duration::ZERO,
            untrusted: None,
            held: None,
            is_found: true,
            is_unsettled: false,
        }
    }

    pub(super) fn weights(&self) -> TakenWeights {
        self.weights
    }

    pub(super) fn set_weights(&mut self, weights: TakenWeights) {
        self.weights = weights;
    }

    /// Whether the server has sent a report.
    pub(super) fn has_report(&self) -> bool {
        self.last.is_some()
    }

    /// Whether the current load began before the first report.
    pub(super) fn is_found_at_start(&self) -> bool {
        self.is_found
    }

    /// Arrival of the first report that showed the current load.
    pub(super) fn observed_at(&self) -> Duration {
        self.observed_at
    }

    /// Whether the server may still accept an order that was sent before the report.
    pub(super) fn has_pending_order(&self, report: &BackendReport) -> bool {
        self.pending.is_some_and(|(started_ms, sequence)| {
            started_ms == report.started_ms && sequence > report.sequence
        })
    }

    // Start of the server as of its last report.
    fn server_start(&self) -> Option<u64> {
        self.last.map(|((started_ms, _), _)| started_ms)
    }

    /// Applies a report that was requested and arrived at the given uptimes.
    pub(super) fn on_report(
        &mut self,
        report: &BackendReport,
        requested_at: Duration,
        arrived_at: Duration,
    ) -> Observed {
        let count = (report.started_ms, report.sequence);
        let last = self.last.replace((count, requested_at));
        // The server held the weights when it started, or has none.
        let was_never_ordered = report.sequence == 0 && !report.busy;
        let has_none = report.layers == 0 && !report.busy;
        let load = |not_before| {
            let accepted = self.accepted.filter(|(accepted, _)| *accepted == count);
            Load {
                not_before,
                not_after: accepted.map_or(arrived_at, |(_, at)| at),
            }
        };
        // The server began the accepted load, so a lower number is that of another start.
        let is_behind = self.accepted.is_some_and(|((started_ms, sequence), _)| {
            started_ms == report.started_ms && sequence > report.sequence
        });
        let observed = match last {
            _ if is_behind => Observed::Restart,
            Some((old, _)) if old == count => Observed::Nothing,
            // A server that starts again counts its loads anew.
            Some(((started_ms, sequence), _))
                if started_ms != report.started_ms || sequence > report.sequence =>
            {
                Observed::Restart
            }
            _ => Observed::Load,
        };
        if observed != Observed::Nothing {
            let is_trusted = self.weights == TakenWeights::Intact;
            let held = self.held.take();
            match observed {
                // It holds nothing of what it held before.
                Observed::Restart => self.untrusted = None,
                _ if !is_trusted && held.is_some() => self.untrusted = held,
                _ => {}
            }
            self.is_found = last.is_none();
            self.is_unsettled = true;
            self.observed_at = arrived_at;
        }
        self.weights = match last {
            Some((old, _)) if old == count && !is_behind => self.weights,
            _ if was_never_ordered || has_none => TakenWeights::Intact,
            Some((_, not_before)) if self.ordered == Some(count) => {
                TakenWeights::Unverified(load(not_before))
            }
            _ => TakenWeights::Found,
        };
        if self.is_unsettled && !report.busy {
            self.is_unsettled = false;
            self.on_loaded(report);
        }
        if is_behind {
            self.accepted = None;
        }
        observed
    }

    // A load keeps layers that the server had. Nothing is known of the origin of
    // incomplete weights that an earlier daemon left behind.
    fn on_loaded(&mut self, report: &BackendReport) {
        let layers = Layers {
            version: report.layers_version,
            range: report.from..report.from + report.layers,
        };
        let untrusted = self.untrusted.take();
        let keeps_untrusted = untrusted.is_some_and(|old| old.overlap(&layers));
        let is_partial = report.layers > 0 && report.weights_version == 0;
        if keeps_untrusted || (is_partial && self.is_found) {
            self.weights = TakenWeights::Damaged;
        }
        self.held = Some(layers);
    }

    /// Records that an order is sent that makes the number of loads `sequence`.
    pub(super) fn on_sent(&mut self, sequence: u64) {
        self.ordered = self.server_start().map(|started_ms| (started_ms, sequence));
    }

    /// Records that it is not known whether the server takes the order that was sent last.
    pub(super) fn on_unanswered(&mut self) {
        self.pending = self.ordered;
    }

    /// Records that an order was accepted, which makes the number of loads `sequence`.
    pub(super) fn on_accepted(&mut self, sequence: u64, answered_at: Duration) {
        let started_ms = self.server_start().unwrap_or_default();
        self.accepted = Some(((started_ms, sequence), answered_at));
    }
}
