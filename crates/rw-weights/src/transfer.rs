use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rw_protocol::Name;

use crate::{Layout, Peer, Source};

/// Chunks that one host asks the origin for at once.
const ORIGIN_WINDOW: usize = 2;
/// A host takes a chunk in for its region once it holds all but so many of the
/// chunks before it, so that the origin sends few at a time and in order.
const IMPORT_AHEAD: usize = 64;

/// Bounds of one transfer.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Chunks asked for at once.
    pub window: usize,
    /// Time after which a chunk is asked for elsewhere.
    pub chunk_timeout: Duration,
    /// Time for which a failed source is avoided.
    pub avoid: Duration,
}

/// One request to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// Number of the chunk.
    pub chunk: u32,
    /// Whom to ask.
    pub source: Source,
}

struct Pending {
    source: Source,
    since: Duration,
}

/// Collects one model's chunks: what to ask whom, and what to do on failure.
pub struct Transfer {
    me: Peer,
    limits: Limits,
    chunks: usize,
    wanted: BTreeSet<u32>,
    pending: BTreeMap<u32, Pending>,
    // How many sources of a chunk said that they do not hold it yet.
    misses: BTreeMap<u32, usize>,
    avoid: BTreeMap<Name, Duration>,
    origin_free_at: Duration,
    // When each source, and any source, last delivered.
    delivered: BTreeMap<Source, Duration>,
    last_delivery: Duration,
}

impl Transfer {
    /// A transfer of `chunks` chunks that `me` does not hold yet.
    ///
    /// ```
    /// use rw_weights::{Layout, Limits, Peer, Policy, Source, Transfer};
    /// use std::time::Duration;
    /// let me = Peer { region: "r".into(), zone: "z".into(), name: "a".into() };
    /// let layout = Layout::new("m", "r", vec![me.clone()], Policy::Origin);
    /// let limits = Limits { window: 4, chunk_timeout: Duration::from_secs(1), avoid: Duration::from_secs(1) };
    /// let mut transfer = Transfer::new(me, 1, limits);
    /// let fetch = transfer.next(&layout, Duration::ZERO);
    /// assert_eq!(fetch[0].source, Source::Origin);
    /// transfer.on_chunk(0, Duration::ZERO);
    /// assert!(transfer.is_complete());
    /// ```
    pub fn new(me: Peer, chunks: u32, limits: Limits) -> Self {
        Transfer {
            me,
            limits,
            chunks: chunks as usize,
            wanted: (0..chunks).collect(),
            pending: BTreeMap::new(),
            misses: BTreeMap::new(),
            avoid: BTreeMap::new(),
            origin_free_at: Duration::ZERO,
            delivered: BTreeMap::new(),
            last_delivery: Duration::ZERO,
        }
    }

    /// Whether every chunk is here.
    pub fn is_complete(&self) -> bool {
        self.wanted.is_empty()
    }

    /// Chunks still missing.
    pub fn missing(&self) -> usize {
        self.wanted.len()
    }

    /// Requests to make now. Chunks that this host takes in for its region
    /// come first, the rest in the order in which they enter the region.
    pub fn next(&mut self, layout: &Layout, now: Duration) -> Vec<Fetch> {
        self.avoid.retain(|_, until| *until > now);
        self.drop_stuck(now);
        let mut out = Vec::new();
        let (own, other): (Vec<u32>, Vec<u32>) = self
            .wanted
            .iter()
            .filter(|chunk| !self.pending.contains_key(chunk))
            .partition(|chunk| layout.imports(**chunk, &self.me));
        let own = own.into_iter().filter(|chunk| self.may_import(*chunk, now));
        let own: Vec<u32> = own.collect();
        for chunk in own.into_iter().chain(other) {
            if self.pending.len() >= self.limits.window {
                break;
            }
            let Some(source) = self.source(layout, chunk, now) else {
                continue;
            };
            self.pending.insert(
                chunk,
                Pending {
                    source: source.clone(),
                    since: now,
                },
            );
            out.push(Fetch { chunk, source });
        }
        out
    }

    fn source(&self, layout: &Layout, chunk: u32, now: Duration) -> Option<Source> {
        let avoid: BTreeSet<Name> = self.avoid.keys().cloned().collect();
        let sources = layout.sources(chunk, &self.me, &avoid);
        // A live source that lacks the chunk is waiting for it itself, so the
        // origin is asked only when no source is left.
        let peers = sources.len() - 1;
        if peers > 0 {
            let at = self.misses.get(&chunk).copied().unwrap_or(0) % peers;
            return Some(sources[at].clone());
        }
        let asked = self.pending.values().filter(|p| p.source == Source::Origin);
        let free = asked.count() < ORIGIN_WINDOW && now >= self.origin_free_at;
        free.then_some(Source::Origin)
    }

    // Without any delivery for a while the order no longer matters.
    fn may_import(&self, chunk: u32, now: Duration) -> bool {
        let held = self.chunks - self.wanted.len();
        let stalled = now > self.last_delivery + self.limits.chunk_timeout;
        stalled || chunk as usize <= held + IMPORT_AHEAD
    }

    // A request counts as failed when its source has delivered nothing for
    // twice the timeout; a source with a long queue goes on delivering.
    fn drop_stuck(&mut self, now: Duration) {
        let limit = self.limits.chunk_timeout * 2;
        let since = |p: &Pending| {
            let delivered = self.delivered.get(&p.source).copied();
            delivered.unwrap_or_default().max(p.since)
        };
        let stuck: Vec<u32> = self
            .pending
            .iter()
            .filter(|(_, p)| p.source != Source::Origin && now > since(p) + limit)
            .map(|(chunk, _)| *chunk)
            .collect();
        for chunk in stuck {
            self.on_failed(chunk, now);
        }
    }

    /// A verified chunk arrived.
    pub fn on_chunk(&mut self, chunk: u32, now: Duration) {
        self.wanted.remove(&chunk);
        self.misses.remove(&chunk);
        self.last_delivery = now;
        if let Some(pending) = self.pending.remove(&chunk) {
            self.delivered.insert(pending.source, now);
        }
    }

    /// The source does not hold the chunk yet; the next ancestor is asked.
    pub fn on_missing(&mut self, chunk: u32) {
        if self.pending.remove(&chunk).is_some() {
            *self.misses.entry(chunk).or_default() += 1;
        }
    }

    /// The source failed or sent damaged bytes; it is avoided for a while.
    /// Returns the source.
    pub fn on_failed(&mut self, chunk: u32, now: Duration) -> Option<Source> {
        let pending = self.pending.remove(&chunk)?;
        match &pending.source {
            Source::Peer(name) => {
                self.avoid.insert(name.clone(), now + self.limits.avoid);
            }
            Source::Origin => self.origin_free_at = now + self.limits.chunk_timeout / 4,
        }
        Some(pending.source)
    }
}
