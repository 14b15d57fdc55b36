use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rw_protocol::Name;

use crate::{Layout, Peer, Source};

/// Concurrent fetches of one host from the origin. Several hosts share the origin's
/// link; with fewer chunks in flight, each arrives and can be passed on sooner.
const MAX_CONCURRENT_ORIGIN_FETCHES: usize = 1;
/// Concurrent imports of one host for its region, enough to use its share of the
/// inter-region link.
const MAX_CONCURRENT_IMPORTS: usize = 4;
/// How often the backoff of a repeatedly failing source doubles. Bounded so that
/// the source is retried before the deadline by which new weights have to be in
/// force.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;
/// How far ahead of its stored chunks a host imports for its region, so that the
/// origin sends few chunks at a time and in order.
const IMPORT_LOOKAHEAD: usize = 64;
/// A chunk counts as overdue only once a chunk with an index higher by this distance
/// has arrived, since chunks arrive roughly in order. When no more chunks than this
/// are missing, a chunk is also overdue without that, after twice the time.
const OVERDUE_DISTANCE: u32 = 32;
/// Concurrent attempts to fetch one chunk, each from a different source.
const MAX_ATTEMPTS_PER_CHUNK: usize = 2;

/// Concurrency limits and timeouts of a transfer.
#[derive(Clone, Copy, Debug)]
pub struct TransferLimits {
    /// Number of chunks in flight at which no further fetches start, except imports.
    pub max_pending_chunks: usize,
    /// Base timeout of chunk fetches. An attempt fails when its source has delivered
    /// nothing for twice this time.
    pub chunk_timeout: Duration,
    /// Time after which an overdue chunk is also fetched from a second source.
    pub hedge_after: Duration,
    /// Initial backoff for a failed source.
    pub initial_backoff: Duration,
}

/// A chunk fetch to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChunkFetch {
    /// Index of the chunk.
    pub chunk: u32,
    /// Source to fetch it from.
    pub source: Source,
}

// A source that failed and has not delivered a chunk since.
struct Suspect {
    failures: u32,
    avoid_until: Duration,
}

struct FetchAttempt {
    source: Source,
    sent_at: Duration,
}

/// Schedules the chunk fetches of one model, with hedging, and backoff for failed
/// sources.
pub struct Transfer {
    local: Peer,
    limits: TransferLimits,
    // Chunks in flight at which no further fetches start.
    window: usize,
    chunk_count: usize,
    missing_chunks: BTreeSet<u32>,
    highest_received: u32,
    pending: BTreeMap<u32, Vec<FetchAttempt>>,
    // Per chunk, the number of sources that answered that they do not hold it yet.
    not_held_counts: BTreeMap<u32, usize>,
    suspects: BTreeMap<Name, Suspect>,
    origin_available_at: Duration,
    archive_available_at: Duration,
    any_source_failed: bool,
    // Time of the last chunk from each source, and from any source.
    last_delivery_by_source: BTreeMap<Source, Duration>,
    last_delivery: Duration,
}

impl Transfer {
    /// Creates a transfer of `chunk_count` chunks, none of which the `local` host
    /// holds yet.
    ///
    /// ```
    /// use rw_weights::{Layout, TransferLimits, Peer, DistributionPolicy, Source, Transfer};
    /// use std::time::Duration;
    /// let local = Peer { region: "r".into(), zone: "z".into(), name: "a".into() };
    /// let layout = Layout::new("m", "r", vec![local.clone()], DistributionPolicy::Origin);
    /// let second = Duration::from_secs(1);
    /// let limits = TransferLimits { max_pending_chunks: 4, chunk_timeout: second, hedge_after: second, initial_backoff: second };
    /// let mut transfer = Transfer::new(local, 1, limits);
    /// let fetch = transfer.next_fetches(&layout, Duration::ZERO);
    /// assert_eq!(fetch[0].source, Source::Origin);
    /// transfer.on_chunk(&fetch[0], Duration::ZERO);
    /// assert!(transfer.is_complete());
    /// ```
    pub fn new(local: Peer, chunk_count: u32, limits: TransferLimits) -> Self {
        Transfer {
            local,
            limits,
            window: limits.max_pending_chunks,
            chunk_count: chunk_count as usize,
            missing_chunks: (0..chunk_count).collect(),
            highest_received: 0,
            pending: BTreeMap::new(),
            not_held_counts: BTreeMap::new(),
            suspects: BTreeMap::new(),
            origin_available_at: Duration::ZERO,
            archive_available_at: Duration::ZERO,
            any_source_failed: false,
            last_delivery_by_source: BTreeMap::new(),
            last_delivery: Duration::ZERO,
        }
    }

    /// Sets the chunks in flight at which no further fetches start, at most as many as
    /// the limits allow. A smaller number also applies to imports.
    pub fn set_window(&mut self, chunks: usize) {
        self.window = chunks.min(self.limits.max_pending_chunks);
    }

    /// Whether every chunk has arrived.
    pub fn is_complete(&self) -> bool {
        self.missing_chunks.is_empty()
    }

    /// Number of chunks that have not arrived.
    pub fn missing_count(&self) -> usize {
        self.missing_chunks.len()
    }

    /// Returns the fetches to start now. Chunks that this host imports for its
    /// region come first, then the others. Both are in ascending order, in which chunks
    /// are imported.
    pub fn next_fetches(&mut self, layout: &Layout, now: Duration) -> Vec<ChunkFetch> {
        self.fail_stalled_attempts(now);
        let mut out = self.hedge(layout, now);
        let (importable, others): (Vec<u32>, Vec<u32>) = self
            .missing_chunks
            .iter()
            .filter(|chunk| !self.pending.contains_key(chunk))
            .partition(|chunk| layout.is_importer(**chunk, &self.local));
        let importable = importable
            .into_iter()
            .filter(|chunk| self.can_import(*chunk, now));
        let importable: Vec<u32> = importable.collect();
        // Imports have their own limit: chunks that other hosts wait for must not
        // queue behind those that only this host waits for.
        let is_import = |chunk: &&u32| layout.is_importer(**chunk, &self.local);
        let mut pending_imports = self.pending.keys().filter(is_import).count();
        for chunk in importable {
            if pending_imports >= MAX_CONCURRENT_IMPORTS || self.is_narrow_and_full() {
                break;
            }
            let source = self.select_source(layout, chunk, now);
            if source != Source::Origin || self.is_origin_available(now) {
                out.push(self.start_fetch(chunk, source, now));
                pending_imports += 1;
            }
        }
        for chunk in others {
            if self.pending.len() >= self.window {
                break;
            }
            let source = self.select_source(layout, chunk, now);
            if source != Source::Origin || self.is_origin_available(now) {
                out.push(self.start_fetch(chunk, source, now));
            }
        }
        out
    }

    // On a narrow link, imports keep to the window as well.
    fn is_narrow_and_full(&self) -> bool {
        self.window < self.limits.max_pending_chunks && self.pending.len() >= self.window
    }

    fn start_fetch(&mut self, chunk: u32, source: Source, now: Duration) -> ChunkFetch {
        let attempt = FetchAttempt {
            source: source.clone(),
            sent_at: now,
        };
        self.pending.entry(chunk).or_default().push(attempt);
        ChunkFetch { chunk, source }
    }

    // Whether the chunk is within the import window. The window no longer applies if
    // no chunk has arrived within the timeout.
    fn can_import(&self, chunk: u32, now: Duration) -> bool {
        let held = self.chunk_count - self.missing_chunks.len();
        let stalled = now > self.last_delivery + self.limits.chunk_timeout;
        stalled || chunk as usize <= held + IMPORT_LOOKAHEAD
    }

    fn peer_sources(&self, layout: &Layout, chunk: u32, now: Duration) -> Vec<Source> {
        let suspects = self.suspects.keys();
        let avoid: BTreeSet<Name> = suspects
            .filter(|name| self.is_avoided(name, now))
            .cloned()
            .collect();
        let mut sources = layout.sources(chunk, &self.local, &avoid);
        sources.retain(|source| match source {
            Source::Origin => false,
            Source::Archive => now >= self.archive_available_at,
            Source::Peer(_) => true,
        });
        sources
    }

    // After its backoff, a suspect gets one attempt at a time as a probe.
    fn is_avoided(&self, peer: &Name, now: Duration) -> bool {
        let suspect = self.suspects.get(peer);
        suspect.is_some_and(|s| now < s.avoid_until || self.has_pending_attempt(peer))
    }

    fn has_pending_attempt(&self, peer: &Name) -> bool {
        let mut attempts = self.pending.values().flatten();
        attempts.any(|attempt| matches!(&attempt.source, Source::Peer(name) if name == peer))
    }

    // A reachable peer without the chunk is waiting for it itself, so the origin is
    // used only when no other source is left.
    fn select_source(&self, layout: &Layout, chunk: u32, now: Duration) -> Source {
        let mut peers = self.peer_sources(layout, chunk, now);
        let not_held_count = self.not_held_counts.get(&chunk).copied().unwrap_or(0);
        // An object that was listed may have been deleted since.
        peers.retain(|source| *source != Source::Archive || not_held_count == 0);
        if peers.is_empty() {
            // The fallback importer may have fetched the chunk while this host was
            // unreachable.
            let fallback_importer = layout.fallback_importer(chunk, &self.local);
            let fallback_importer = fallback_importer
                .filter(|name| self.any_source_failed && !self.is_avoided(name, now));
            return match fallback_importer {
                Some(name) if not_held_count == 0 => Source::Peer(name),
                _ => Source::Origin,
            };
        }
        let at = not_held_count % peers.len();
        peers.swap_remove(at)
    }

    fn is_origin_available(&self, now: Duration) -> bool {
        let attempts = self.pending.values().flatten();
        let in_flight = attempts
            .filter(|attempt| attempt.source == Source::Origin)
            .count();
        in_flight < MAX_CONCURRENT_ORIGIN_FETCHES && now >= self.origin_available_at
    }

    // Fetches overdue chunks from a second source as well.
    fn hedge(&mut self, layout: &Layout, now: Duration) -> Vec<ChunkFetch> {
        let overdue: Vec<u32> = self
            .pending
            .iter()
            .filter(|(chunk, attempts)| {
                attempts.len() < MAX_ATTEMPTS_PER_CHUNK
                    && self.is_overdue(**chunk, &attempts[0], now)
            })
            .map(|(chunk, _)| *chunk)
            .collect();
        let mut out = Vec::new();
        for chunk in overdue {
            let first_source = &self.pending[&chunk][0].source;
            let second = self
                .peer_sources(layout, chunk, now)
                .into_iter()
                .find(|s| s != first_source);
            if let Some(source) = second {
                out.push(self.start_fetch(chunk, source, now));
            }
        }
        out
    }

    fn is_overdue(&self, chunk: u32, attempt: &FetchAttempt, now: Duration) -> bool {
        let waited = now.saturating_sub(attempt.sent_at);
        let behind = self.highest_received >= chunk + OVERDUE_DISTANCE;
        let near_end = self.missing_chunks.len() <= OVERDUE_DISTANCE as usize;
        attempt.source != Source::Origin
            && ((behind && waited > self.limits.hedge_after)
                || (near_end && waited > 2 * self.limits.hedge_after))
    }

    // An attempt fails when its source has delivered nothing for twice the timeout.
    // A source with a long queue keeps delivering and is not affected.
    fn fail_stalled_attempts(&mut self, now: Duration) {
        let limit = self.limits.chunk_timeout * 2;
        let mut stalled = Vec::new();
        for (chunk, attempts) in &self.pending {
            for attempt in attempts
                .iter()
                .filter(|attempt| attempt.source != Source::Origin)
            {
                let last_delivery = self
                    .last_delivery_by_source
                    .get(&attempt.source)
                    .copied()
                    .unwrap_or_default();
                if now > last_delivery.max(attempt.sent_at) + limit {
                    let (chunk, source) = (*chunk, attempt.source.clone());
                    stalled.push(ChunkFetch { chunk, source });
                }
            }
        }
        for fetch in stalled {
            self.on_failed(&fetch, now);
        }
    }

    /// Starts no fetches from the origin before this time.
    pub fn hold_origin(&mut self, until: Duration) {
        self.origin_available_at = self.origin_available_at.max(until);
    }

    /// Records the arrival of a verified chunk.
    pub fn on_chunk(&mut self, fetch: &ChunkFetch, now: Duration) {
        self.missing_chunks.remove(&fetch.chunk);
        self.not_held_counts.remove(&fetch.chunk);
        self.pending.remove(&fetch.chunk);
        self.highest_received = self.highest_received.max(fetch.chunk);
        self.last_delivery = now;
        self.last_delivery_by_source
            .insert(fetch.source.clone(), now);
        if let Source::Peer(name) = &fetch.source {
            self.suspects.remove(name);
        }
    }

    /// Records that the source does not hold the chunk yet; the next attempt goes to
    /// the next source in the list.
    pub fn on_not_held(&mut self, fetch: &ChunkFetch) {
        if self.remove_pending(fetch) {
            *self.not_held_counts.entry(fetch.chunk).or_default() += 1;
        }
    }

    /// Records that the source failed or sent corrupt bytes, and starts its backoff.
    pub fn on_failed(&mut self, fetch: &ChunkFetch, now: Duration) {
        if !self.remove_pending(fetch) {
            return;
        }
        self.any_source_failed = true;
        match &fetch.source {
            Source::Peer(name) => {
                let suspect = self.suspects.entry(name.clone()).or_insert(Suspect {
                    failures: 0,
                    avoid_until: Duration::ZERO,
                });
                // Attempts that fail during the backoff do not extend it.
                if now >= suspect.avoid_until {
                    let factor = 1 << suspect.failures.min(MAX_BACKOFF_DOUBLINGS);
                    suspect.avoid_until = now + self.limits.initial_backoff * factor;
                    suspect.failures += 1;
                }
            }
            Source::Origin => self.origin_available_at = now + self.limits.chunk_timeout / 4,
            Source::Archive => self.archive_available_at = now + self.limits.initial_backoff,
        }
    }

    // Returns whether the attempt was pending.
    fn remove_pending(&mut self, fetch: &ChunkFetch) -> bool {
        let Some(attempts) = self.pending.get_mut(&fetch.chunk) else {
            return false;
        };
        let before = attempts.len();
        attempts.retain(|attempt| attempt.source != fetch.source);
        let found = attempts.len() < before;
        if attempts.is_empty() {
            self.pending.remove(&fetch.chunk);
        }
        found
    }
}
