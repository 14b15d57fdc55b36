use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rw_protocol::Name;

use crate::{Layout, Peer, Source};

/// Chunks that one host asks the origin for at once: several hosts share its
/// link, and the fewer chunks are on it the sooner each can be passed on.
const ORIGIN_WINDOW: usize = 1;
/// Chunks that one host takes in for its region at once; they fill its share of
/// the link between regions.
const IMPORT_WINDOW: usize = 4;
/// Times that the pause of a source that fails again and again doubles: it is
/// tried again within the time in which weights have to be in force.
const MAX_DOUBLINGS: u32 = 2;
/// A host takes a chunk in for its region once it holds all but so many of the
/// chunks before it, so that the origin sends few at a time and in order.
const IMPORT_AHEAD: usize = 64;
/// A chunk is overdue when one so many numbers above it has arrived, since
/// chunks arrive roughly in their order.
const OVERDUE_BEHIND: u32 = 32;
/// Sources that one chunk is asked from at the same time.
const MAX_ASKS: usize = 2;

/// Bounds of one transfer.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Chunks asked for at once.
    pub window: usize,
    /// Time after which a chunk is asked for elsewhere.
    pub chunk_timeout: Duration,
    /// Time after which an overdue chunk is asked for at a second source too.
    pub hedge_after: Duration,
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

// A source that failed and has delivered nothing since.
struct Suspect {
    failures: u32,
    avoid_until: Duration,
}

struct Ask {
    source: Source,
    since: Duration,
}

/// Collects one model's chunks: what to ask whom, and what to do on failure.
pub struct Transfer {
    me: Peer,
    limits: Limits,
    chunks: usize,
    wanted: BTreeSet<u32>,
    highest: u32,
    pending: BTreeMap<u32, Vec<Ask>>,
    // How many sources of a chunk said that they do not hold it yet.
    misses: BTreeMap<u32, usize>,
    suspects: BTreeMap<Name, Suspect>,
    origin_free_at: Duration,
    // Whether any source failed so far.
    has_failed: bool,
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
    /// let second = Duration::from_secs(1);
    /// let limits = Limits { window: 4, chunk_timeout: second, hedge_after: second, avoid: second };
    /// let mut transfer = Transfer::new(me, 1, limits);
    /// let fetch = transfer.next(&layout, Duration::ZERO);
    /// assert_eq!(fetch[0].source, Source::Origin);
    /// transfer.on_chunk(&fetch[0], Duration::ZERO);
    /// assert!(transfer.is_complete());
    /// ```
    pub fn new(me: Peer, chunks: u32, limits: Limits) -> Self {
        Transfer {
            me,
            limits,
            chunks: chunks as usize,
            wanted: (0..chunks).collect(),
            highest: 0,
            pending: BTreeMap::new(),
            misses: BTreeMap::new(),
            suspects: BTreeMap::new(),
            origin_free_at: Duration::ZERO,
            has_failed: false,
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
        self.drop_stuck(now);
        let mut out = self.hedge(layout, now);
        let (own, other): (Vec<u32>, Vec<u32>) = self
            .wanted
            .iter()
            .filter(|chunk| !self.pending.contains_key(chunk))
            .partition(|chunk| layout.imports(**chunk, &self.me));
        let own = own.into_iter().filter(|chunk| self.may_import(*chunk, now));
        let own: Vec<u32> = own.collect();
        // Chunks that other hosts wait for do not queue behind those that
        // this one waits for.
        let importing = |chunk: &&u32| layout.imports(**chunk, &self.me);
        let mut imports = self.pending.keys().filter(importing).count();
        for chunk in own {
            if imports >= IMPORT_WINDOW {
                break;
            }
            let source = self.source(layout, chunk, now);
            if source != Source::Origin || self.origin_is_free(now) {
                out.push(self.ask(chunk, source, now));
                imports += 1;
            }
        }
        for chunk in other {
            if self.pending.len() >= self.limits.window {
                break;
            }
            let source = self.source(layout, chunk, now);
            if source != Source::Origin || self.origin_is_free(now) {
                out.push(self.ask(chunk, source, now));
            }
        }
        out
    }

    fn ask(&mut self, chunk: u32, source: Source, now: Duration) -> Fetch {
        let ask = Ask {
            source: source.clone(),
            since: now,
        };
        self.pending.entry(chunk).or_default().push(ask);
        Fetch { chunk, source }
    }

    // Without any delivery for a while the order no longer matters.
    fn may_import(&self, chunk: u32, now: Duration) -> bool {
        let held = self.chunks - self.wanted.len();
        let stalled = now > self.last_delivery + self.limits.chunk_timeout;
        stalled || chunk as usize <= held + IMPORT_AHEAD
    }

    fn peers(&self, layout: &Layout, chunk: u32, now: Duration) -> Vec<Source> {
        let suspects = self.suspects.keys();
        let avoid: BTreeSet<Name> = suspects
            .filter(|name| self.is_avoided(name, now))
            .cloned()
            .collect();
        let mut sources = layout.sources(chunk, &self.me, &avoid);
        sources.retain(|source| *source != Source::Origin);
        sources
    }

    // One request at a time shows whether a suspect is back.
    fn is_avoided(&self, peer: &Name, now: Duration) -> bool {
        let suspect = self.suspects.get(peer);
        suspect.is_some_and(|s| now < s.avoid_until || self.is_asked(peer))
    }

    fn is_asked(&self, peer: &Name) -> bool {
        let mut asks = self.pending.values().flatten();
        asks.any(|ask| matches!(&ask.source, Source::Peer(name) if name == peer))
    }

    // A live source that lacks the chunk is waiting for it itself, so the
    // origin is asked only when no other source is left.
    fn source(&self, layout: &Layout, chunk: u32, now: Duration) -> Source {
        let mut peers = self.peers(layout, chunk, now);
        let misses = self.misses.get(&chunk).copied().unwrap_or(0);
        if peers.is_empty() {
            // While this host was cut off another may have stood in for it.
            let stand_in = layout.stand_in(chunk, &self.me);
            let stand_in = stand_in.filter(|name| self.has_failed && !self.is_avoided(name, now));
            return match stand_in {
                Some(name) if misses == 0 => Source::Peer(name),
                _ => Source::Origin,
            };
        }
        let at = misses % peers.len();
        peers.swap_remove(at)
    }

    fn origin_is_free(&self, now: Duration) -> bool {
        let asks = self.pending.values().flatten();
        let asked = asks.filter(|ask| ask.source == Source::Origin).count();
        asked < ORIGIN_WINDOW && now >= self.origin_free_at
    }

    // Asks a second source for chunks that a slow one holds back.
    fn hedge(&mut self, layout: &Layout, now: Duration) -> Vec<Fetch> {
        let overdue: Vec<u32> = self
            .pending
            .iter()
            .filter(|(chunk, asks)| {
                asks.len() < MAX_ASKS && self.is_overdue(**chunk, &asks[0], now)
            })
            .map(|(chunk, _)| *chunk)
            .collect();
        let mut out = Vec::new();
        for chunk in overdue {
            let asked = &self.pending[&chunk][0].source;
            let second = self
                .peers(layout, chunk, now)
                .into_iter()
                .find(|s| s != asked);
            if let Some(source) = second {
                out.push(self.ask(chunk, source, now));
            }
        }
        out
    }

    fn is_overdue(&self, chunk: u32, ask: &Ask, now: Duration) -> bool {
        let waited = now.saturating_sub(ask.since);
        let behind = self.highest >= chunk + OVERDUE_BEHIND;
        let last = self.wanted.len() <= OVERDUE_BEHIND as usize;
        ask.source != Source::Origin
            && ((behind && waited > self.limits.hedge_after)
                || (last && waited > 2 * self.limits.hedge_after))
    }

    // A request counts as failed when its source has delivered nothing for
    // twice the timeout; a source with a long queue goes on delivering.
    fn drop_stuck(&mut self, now: Duration) {
        let limit = self.limits.chunk_timeout * 2;
        let mut stuck = Vec::new();
        for (chunk, asks) in &self.pending {
            for ask in asks.iter().filter(|ask| ask.source != Source::Origin) {
                let delivered = self.delivered.get(&ask.source).copied().unwrap_or_default();
                if now > delivered.max(ask.since) + limit {
                    let (chunk, source) = (*chunk, ask.source.clone());
                    stuck.push(Fetch { chunk, source });
                }
            }
        }
        for fetch in stuck {
            self.on_failed(&fetch, now);
        }
    }

    /// A verified chunk arrived.
    pub fn on_chunk(&mut self, fetch: &Fetch, now: Duration) {
        self.wanted.remove(&fetch.chunk);
        self.misses.remove(&fetch.chunk);
        self.pending.remove(&fetch.chunk);
        self.highest = self.highest.max(fetch.chunk);
        self.last_delivery = now;
        self.delivered.insert(fetch.source.clone(), now);
        if let Source::Peer(name) = &fetch.source {
            self.suspects.remove(name);
        }
    }

    /// The source does not hold the chunk yet; the next ancestor is asked.
    pub fn on_missing(&mut self, fetch: &Fetch) {
        if self.forget(fetch) {
            *self.misses.entry(fetch.chunk).or_default() += 1;
        }
    }

    /// The source failed or sent damaged bytes; it is avoided for a while.
    pub fn on_failed(&mut self, fetch: &Fetch, now: Duration) {
        if !self.forget(fetch) {
            return;
        }
        self.has_failed = true;
        match &fetch.source {
            Source::Peer(name) => {
                let suspect = self.suspects.entry(name.clone()).or_insert(Suspect {
                    failures: 0,
                    avoid_until: Duration::ZERO,
                });
                // Requests that fail together count once.
                if now >= suspect.avoid_until {
                    let longer = 1 << suspect.failures.min(MAX_DOUBLINGS);
                    suspect.avoid_until = now + self.limits.avoid * longer;
                    suspect.failures += 1;
                }
            }
            Source::Origin => self.origin_free_at = now + self.limits.chunk_timeout / 4,
        }
    }

    // Says whether the request was pending.
    fn forget(&mut self, fetch: &Fetch) -> bool {
        let Some(asks) = self.pending.get_mut(&fetch.chunk) else {
            return false;
        };
        let before = asks.len();
        asks.retain(|ask| ask.source != fetch.source);
        let found = asks.len() < before;
        if asks.is_empty() {
            self.pending.remove(&fetch.chunk);
        }
        found
    }
}
