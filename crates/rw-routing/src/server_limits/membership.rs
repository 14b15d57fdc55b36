use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use rw_protocol::{rendezvous_rank, Name};

/// Time without a message after which an entry counts as silent; three times the interval
/// at which entries send at least.
const HEARD_TTL: Duration = Duration::from_millis(1500);
/// Time after a start, or after a pause of the whole process, in which an entry learns of
/// the others.
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// Time for which an entry is the owner of a server before it grants permits. By then
/// the others have found out, too, that the previous owner is silent.
const TAKEOVER_TIME: Duration = Duration::from_secs(1);
/// Time between two evaluations after which the process counts as having been paused.
const MAX_EVALUATION_GAP: Duration = Duration::from_millis(800);
/// Time after which a silent entry counts as gone, if most entries are alive.
const GONE_AFTER: Duration = Duration::from_secs(10);
/// The same for an entry that hears less than half of the others, and so may itself be the
/// one that is cut off.
const GONE_AFTER_MINORITY: Duration = Duration::from_secs(60);

/// Time after which it no longer counts that an entry hears another one; it repeats that
/// each two seconds.
const REACHABLE_TTL: Duration = Duration::from_secs(5);
/// Time after which an entry that said that it is leaving may have started again.
const LEAVING_TTL: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct Peer {
    heard_at: Duration,
    // Until when it counts as leaving.
    leaving_until: Duration,
    // When another entry last showed that it hears this one.
    confirmed_at: Duration,
    // Entries from which it hears nothing.
    silent: BTreeSet<Name>,
    // Entries that it hears and from which others hear nothing, and when it said so.
    reachable: BTreeSet<Name>,
    reachable_at: Duration,
}

impl Peer {
    fn known_at(&self) -> Duration {
        self.heard_at.max(self.confirmed_at)
    }

    fn can_reach(&self, entry: &Name, now: Duration) -> bool {
        self.reachable.contains(entry) && now < self.reachable_at + REACHABLE_TTL
    }
}

// The entries that were alive from some time on.
#[derive(Debug)]
struct View {
    since: Duration,
    // Each with the entry that can reach it, if this one cannot.
    alive: BTreeMap<Name, Option<Name>>,
    owners: HashMap<Name, Name>,
}

impl View {
    fn owner(&mut self, server: &Name) -> Name {
        if let Some(owner) = self.owners.get(server) {
            return owner.clone();
        }
        let ranked = self.alive.keys();
        let owner = ranked.max_by_key(|entry| rendezvous_rank(server, entry));
        let owner = owner.cloned().unwrap_or_default();
        self.owners.insert(server.clone(), owner.clone());
        owner
    }
}

/// The entries that are alive, as one of them sees it, and the owner of each server among
/// them.
///
/// An entry that is silent here counts as alive while another one says that it hears it,
/// and is reached by way of that one. A network that
/// falls apart has an owner in each part: each uses the share of the limit that its part
/// has of all entries.
pub struct EntryMembership {
    own: Name,
    peers: BTreeMap<Name, Peer>,
    evaluated_at: Option<Duration>,
    settled_at: Duration,
    // Views of the last moments, the current one last.
    views: VecDeque<View>,
    share: f64,
    is_leaving: bool,
}

impl EntryMembership {
    /// Creates the membership of an entry that has just started.
    pub fn new(own: Name) -> Self {
        EntryMembership {
            own,
            peers: BTreeMap::new(),
            evaluated_at: None,
            settled_at: Duration::ZERO,
            views: VecDeque::new(),
            share: 1.0,
            is_leaving: false,
        }
    }

    /// Records a message of another entry.
    pub fn on_heard(&mut self, entry: &Name, now: Duration) {
        if *entry != self.own {
            self.peers.entry(entry.clone()).or_default().heard_at = now;
        }
    }

    /// Records from which entries another one hears nothing, and which ones it hears of
    /// those from which others hear nothing.
    pub fn on_hearing(
        &mut self,
        entry: &Name,
        silent: impl IntoIterator<Item = Name>,
        reachable: impl IntoIterator<Item = Name>,
        now: Duration,
    ) {
        if let Some(peer) = self.peers.get_mut(entry) {
            peer.silent = silent.into_iter().collect();
            peer.reachable = reachable.into_iter().collect();
            peer.reachable_at = now;
        }
    }

    /// Records that another entry is shutting down: it owns nothing any more. It repeats
    /// this each second.
    pub fn on_leaving(&mut self, entry: &Name, now: Duration) {
        if let Some(peer) = self.peers.get_mut(entry) {
            peer.leaving_until = now + LEAVING_TTL;
        }
    }

    /// Records that this entry is shutting down.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Finds out which entries are alive; to be called every 100 ms.
    pub fn evaluate(&mut self, now: Duration) {
        if !self.is_awake(now) {
            self.settled_at = now + SETTLING_TIME;
        }
        self.evaluated_at = Some(now);
        self.peers
            .retain(|_, peer| now < peer.known_at() + GONE_AFTER_MINORITY);
        let heard: BTreeSet<Name> = self.heard(now).cloned().collect();
        let mut alive: BTreeMap<Name, Option<Name>> =
            heard.iter().map(|name| (name.clone(), None)).collect();
        if !self.is_leaving || alive.is_empty() {
            alive.insert(self.own.clone(), None);
        }
        let silent = self.silent(now);
        let gone_after = match 2 * alive.len() > alive.len() + silent.len() {
            true => GONE_AFTER,
            false => GONE_AFTER_MINORITY,
        };
        let mut missing = 0;
        for entry in silent {
            let can_reach = |relay: &&Name| self.peers[*relay].can_reach(&entry, now);
            let relay = heard.iter().find(can_reach).cloned();
            let Some(peer) = self.peers.get_mut(&entry) else {
                continue;
            };
            if relay.is_some() {
                peer.confirmed_at = now;
                alive.insert(entry, relay);
            } else if now < peer.known_at() + gone_after {
                missing += 1;
            }
        }
        self.share = alive.len() as f64 / (alive.len() + missing) as f64;
        let is_changed = self.views.back().is_none_or(|view| view.alive != alive);
        if is_changed {
            self.views.push_back(View {
                since: now,
                alive,
                owners: HashMap::new(),
            });
        }
        // Of the views that have ended, those that did so within the takeover time count.
        while self
            .views
            .get(1)
            .is_some_and(|next| next.since + TAKEOVER_TIME <= now)
        {
            self.views.pop_front();
        }
    }

    fn members(&self, now: Duration) -> impl Iterator<Item = (&Name, &Peer)> {
        let peers = self.peers.iter();
        peers.filter(move |(_, peer)| now >= peer.leaving_until)
    }

    fn heard(&self, now: Duration) -> impl Iterator<Item = &Name> {
        let heard = self.members(now);
        let heard = heard.filter(move |(_, peer)| now < peer.heard_at + HEARD_TTL);
        heard.map(|(name, _)| name)
    }

    /// Entries that this one hears and from which others hear nothing.
    pub fn reachable(&self, now: Duration) -> Vec<Name> {
        let heard: BTreeSet<&Name> = self.heard(now).collect();
        let missed = heard.iter().flat_map(|entry| &self.peers[*entry].silent);
        let missed: BTreeSet<&Name> = missed.filter(|entry| heard.contains(entry)).collect();
        missed.into_iter().cloned().collect()
    }

    /// Known entries from which nothing has been heard lately.
    pub fn silent(&self, now: Duration) -> Vec<Name> {
        let silent = self.members(now);
        let silent = silent.filter(|(_, peer)| now >= peer.heard_at + HEARD_TTL);
        silent.map(|(name, _)| name.clone()).collect()
    }

    /// Whether the last evaluation is recent. If not, the process was paused, and the
    /// others have gone on without it.
    pub fn is_awake(&self, now: Duration) -> bool {
        self.evaluated_at
            .is_some_and(|at| now < at + MAX_EVALUATION_GAP)
    }

    /// Owner of a server; `None` before the first evaluation.
    pub fn owner(&mut self, server: &Name) -> Option<Name> {
        self.views.back_mut().map(|view| view.owner(server))
    }

    /// Entry to send a message to that is meant for `entry`.
    pub fn next_hop(&self, entry: &Name) -> Name {
        let view = self.views.back();
        let relay = view.and_then(|view| view.alive.get(entry).cloned().flatten());
        relay.unwrap_or_else(|| entry.clone())
    }

    /// Time until this entry may grant permits as the owner of a server; `None` if it is
    /// not the owner.
    pub fn time_to_grant(&mut self, server: &Name, now: Duration) -> Option<Duration> {
        let own = self.own.clone();
        if self.owner(server)? != own {
            return None;
        }
        // Since when no other entry has been the owner.
        let mut owner_since = None;
        for index in 1..self.views.len() {
            if self.views[index - 1].owner(server) != own {
                owner_since = Some(self.views[index].since);
            }
        }
        let takeover_at = owner_since.map_or(Duration::ZERO, |since| since + TAKEOVER_TIME);
        Some(takeover_at.max(self.settled_at).saturating_sub(now))
    }

    /// Share of each limit that the entries which are alive may use.
    pub fn share(&self) -> f64 {
        self.share
    }
}
