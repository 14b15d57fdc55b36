use std::collections::BTreeMap;
use std::sync::{PoisonError, RwLock, RwLockReadGuard};

use rw_coord::Signal;
use rw_intent::Configuration;
use rw_protocol::{rank, Generation, HostEntry, HostListing, HostState, Name, Role, Snapshot};

/// Configuration and hosts as known here.
#[derive(Default)]
pub struct ClusterView {
    /// The confirmed configuration.
    pub cfg: Configuration,
    /// Hosts by name, those that are gone included.
    pub hosts: BTreeMap<Name, HostEntry>,
    /// Version of the host list.
    pub list_version: u64,
}

impl ClusterView {
    /// Hosts and entries that are not gone.
    pub fn present(&self) -> impl Iterator<Item = &HostEntry> {
        self.hosts.values().filter(|h| h.state != HostState::Gone)
    }

    /// Peer address of a daemon.
    pub fn addr(&self, name: &str) -> Option<Name> {
        self.hosts.get(name).map(|h| h.addr.clone())
    }

    /// Changes of the host list after a known version.
    pub fn listing_since(&self, version: u64) -> HostListing {
        let changed = self.hosts.values().filter(|h| h.changed > version);
        HostListing {
            since: version,
            version: self.list_version,
            hosts: changed.cloned().collect(),
        }
    }

    /// Whether `name` is one of the `count` daemons that a duty falls to; the
    /// daemons that `fits` picks share it by rendezvous hashing.
    pub fn is_assigned(
        &self,
        task: &str,
        name: &str,
        count: usize,
        is_eligible: impl Fn(&HostEntry) -> bool,
    ) -> bool {
        let live = self
            .present()
            .filter(|h| h.state == HostState::Live && is_eligible(h));
        let mut ranks: Vec<(u64, &Name)> = live.map(|h| (rank(task, &h.name), &h.name)).collect();
        ranks.sort_by(|a, b| b.cmp(a));
        // A daemon that is not listed yet helps out when nobody else would.
        ranks.is_empty() || ranks.iter().take(count).any(|(_, n)| ***n == *name)
    }

    /// Live hosts of a role.
    pub fn live(&self, role: Role) -> impl Iterator<Item = &HostEntry> {
        self.present()
            .filter(move |h| h.role == role && h.state == HostState::Live)
    }
}

/// The view, shared by all parts, and a signal when it changes.
#[derive(Default)]
pub struct SharedView {
    view: RwLock<ClusterView>,
    changed: Signal,
}

impl SharedView {
    /// Reads the view.
    pub fn read(&self) -> RwLockReadGuard<'_, ClusterView> {
        self.view.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// A signal for every change.
    pub fn subscribe(&self) -> flume::Receiver<()> {
        self.changed.subscribe()
    }

    /// Takes generations into force that follow the one in force; returns the
    /// new ones.
    pub fn apply(&self, gens: Vec<Generation>) -> Vec<Generation> {
        let mut new = Vec::new();
        {
            let mut view = self.view.write().unwrap_or_else(PoisonError::into_inner);
            for gen in gens {
                match view.cfg.apply(gen.clone()) {
                    Ok(true) => new.push(gen),
                    Ok(false) => {}
                    Err(_) => break,
                }
            }
        }
        if !new.is_empty() {
            self.changed.notify();
        }
        new
    }

    /// Takes a snapshot into force if it is newer; says whether it was.
    pub fn restore(&self, snapshot: Snapshot) -> bool {
        let newer = {
            let mut view = self.view.write().unwrap_or_else(PoisonError::into_inner);
            view.cfg.restore(snapshot)
        };
        if newer {
            self.changed.notify();
        }
        newer
    }

    /// Takes changes of the host list in; returns those that were new. The
    /// list's version rises only when no change before them can be missing.
    pub fn apply_listing(&self, listing: HostListing) -> HostListing {
        let mut new = HostListing {
            since: listing.since,
            version: listing.version,
            hosts: Vec::new(),
        };
        {
            let mut view = self.view.write().unwrap_or_else(PoisonError::into_inner);
            for host in listing.hosts {
                let known = view.hosts.get(&host.name).map_or(0, |h| h.changed);
                if host.changed > known {
                    new.hosts.push(host.clone());
                    view.hosts.insert(host.name.clone(), host);
                }
            }
            if listing.since <= view.list_version {
                view.list_version = view.list_version.max(listing.version);
            }
        }
        if !new.hosts.is_empty() {
            self.changed.notify();
        }
        new
    }
}
