//! What this daemon knows about entries from the entries themselves.

use std::collections::BTreeMap;
use std::time::Duration;

use rw_coord::uptime;
use rw_protocol::Name;

use crate::{ClusterState, Daemon, PlatformCodec};

/// Entries that contacted this daemon.
#[derive(Debug, Default)]
pub(crate) struct Contacts {
    // Entries that announced themselves and may not be registered in the store yet.
    announced: BTreeMap<Name, Daemon>,
    // Uptime at which the last load report of each entry arrived.
    heard_at: BTreeMap<Name, Duration>,
}

impl<D: PlatformCodec> ClusterState<D> {
    /// Entry that registered in the store or announced itself.
    pub fn entry(&self, name: &Name) -> Option<Daemon> {
        let state = self.state();
        let registered = state.snapshot.daemons.get(name);
        registered
            .or_else(|| state.contacts.announced.get(name))
            .cloned()
    }

    /// Adds an entry that may not be registered in the store yet.
    pub fn add_announced(&self, entry: Daemon) {
        self.state()
            .contacts
            .announced
            .insert(entry.name.clone(), entry);
    }

    /// Records that a load report of an entry arrived.
    pub fn record_heard(&self, entry: &Name) {
        let mut state = self.state();
        state.contacts.heard_at.insert(entry.clone(), uptime());
    }

    /// Whether a load report of an entry arrived within the last `limit`.
    pub fn is_heard(&self, entry: &Name, limit: Duration) -> bool {
        let heard_at = self.state().contacts.heard_at.get(entry).copied();
        heard_at.is_some_and(|at| uptime() < at + limit)
    }
}
