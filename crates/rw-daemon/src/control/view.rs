//! A daemon's view of configuration and hosts.

use std::collections::BTreeMap;
use std::sync::{PoisonError, RwLock, RwLockReadGuard};

use rw_coord::ChangeNotifier;
use rw_intent::Configuration;
use rw_protocol::{
    rendezvous_rank, Generation, HostListing, HostRecord, HostState, Name, Role, Snapshot,
};

/// Configuration and hosts as known to this daemon.
#[derive(Default)]
pub struct ClusterView {
    /// The confirmed configuration.
    pub cfg: Configuration,
    /// Hosts by name, including those that are gone.
    pub hosts: BTreeMap<Name, HostRecord>,
    /// Version of the host list.
    pub list_version: u64,
}

impl ClusterView {
    /// Hosts and entries that are not gone.
    pub fn present(&self) -> impl Iterator<Item = &HostRecord> {
        self.hosts.values().filter(|h| h.state != HostState::Gone)
    }

    /// Peer address of a daemon, if it is known.
    pub fn addr(&self, name: &str) -> Option<Name> {
        self.hosts.get(name).map(|h| h.addr.clone())
    }

    /// Changes of the host list after a version.
    pub fn listing_since(&self, version: u64) -> HostListing {
        let changed = self.hosts.values().filter(|h| h.changed > version);
        HostListing {
            since: version,
            version: self.list_version,
            hosts: changed.cloned().collect(),
        }
    }

    /// Whether `name` is one of the `count` daemons that a task is assigned to.
    /// Rendezvous hashing selects them from the live daemons that are eligible.
    pub fn is_assigned(
        &self,
        task: &str,
        name: &str,
        count: usize,
        is_eligible: impl Fn(&HostRecord) -> bool,
    ) -> bool {
        let live = self
            .present()
            .filter(|h| h.state == HostState::Live && is_eligible(h));
        let mut ranks: Vec<(u64, &Name)> = live
            .map(|h| (rendezvous_rank(task, &h.name), &h.name))
            .collect();
        ranks.sort_by(|a, b| b.cmp(a));
        // If no eligible daemon is listed, every daemon takes the task, including one
        // that is not listed yet.
        ranks.is_empty() || ranks.iter().take(count).any(|(_, n)| ***n == *name)
    }

    /// Live hosts of a role.
    pub fn live(&self, role: Role) -> impl Iterator<Item = &HostRecord> {
        self.present()
            .filter(move |h| h.role == role && h.state == HostState::Live)
    }
}

/// A [`ClusterView`] behind a lock, with a signal for changes.
#[derive(Default)]
pub struct SharedView {
    view: RwLock<ClusterView>,
    changed: ChangeNotifier,
}

impl SharedView {
    /// Locks the view for reading.
    pub fn read(&self) -> RwLockReadGuard<'_, ClusterView> {
        self.view.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a receiver that is notified of every change.
    pub fn subscribe(&self) -> flume::Receiver<()> {
        self.changed.subscribe()
    }

    /// Applies generations that follow the current one without a gap; returns
    /// those that were new.
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

    /// Restores a snapshot if it is newer than the configuration; returns whether
    /// it was.
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

    /// Applies changes of the host list; returns those that were new. The list's
    /// version only advances if no earlier change can be missing.
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
