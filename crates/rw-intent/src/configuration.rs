use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rw_protocol::{
    Assignment, Change, Generation, Intent, Name, PutIntent, ReplaceHosts, Snapshot,
};

use crate::{Error, Result};

/// Maximum generations that are kept for lagging peers.
const MAX_LOG_GENERATIONS: usize = 512;

/// A confirmed intent.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveIntent {
    /// The intent as the operator requested it.
    pub intent: Intent,
    /// Id of the manifest to serve.
    pub manifest: Name,
    /// Length of the model in bytes.
    pub length: u64,
    /// Id of the manifest of the previous version, empty if there is none. Answers
    /// from it are still accepted while hosts have not switched.
    pub previous: Name,
    /// Hosts that serve the intent, with their waves.
    pub assignments: BTreeMap<Name, u32>,
    /// Unix time in ms of the last confirmation.
    pub since_ms: u64,
}

impl ActiveIntent {
    fn to_snapshot(&self) -> rw_protocol::IntentSnapshot {
        let assign = |(host, wave): (&Name, &u32)| Assignment {
            host: host.clone(),
            wave: *wave,
        };
        rw_protocol::IntentSnapshot {
            intent: self.intent.clone(),
            manifest: self.manifest.clone(),
            length: self.length,
            previous: self.previous.clone(),
            assignments: self.assignments.iter().map(assign).collect(),
            since_ms: self.since_ms,
        }
    }

    fn from_snapshot(snapshot: rw_protocol::IntentSnapshot) -> Self {
        ActiveIntent {
            assignments: waves_by_host(&snapshot.assignments),
            intent: snapshot.intent,
            manifest: snapshot.manifest,
            length: snapshot.length,
            previous: snapshot.previous,
            since_ms: snapshot.since_ms,
        }
    }
}

/// What one host has to serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostAssignment {
    /// Intent that assigns the host.
    pub intent: Name,
    /// Service whose calls the host answers.
    pub service: Name,
    /// Model to load.
    pub model: Name,
    /// Version to load.
    pub version: Name,
    /// Id of the manifest to load.
    pub manifest: Name,
    /// Wave in which the host switches; lower waves switch first.
    pub wave: u32,
}

/// The confirmed configuration, the result of applying its generations in order.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    head: u64,
    intents: BTreeMap<Name, ActiveIntent>,
    // The last generations, for lagging peers.
    log: VecDeque<Generation>,
}

impl Configuration {
    /// Number of the last generation that was applied.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// Confirmed intents, by name.
    pub fn intents(&self) -> &BTreeMap<Name, ActiveIntent> {
        &self.intents
    }

    /// Returns the generations after `number`, or `None` if some of them are no
    /// longer kept, so that the peer needs a snapshot.
    pub fn generations_after(&self, number: u64) -> Option<Vec<Generation>> {
        if number >= self.head {
            return Some(Vec::new());
        }
        let oldest = self.log.front().map_or(u64::MAX, |gen| gen.number);
        let start = self.log.partition_point(|gen| gen.number <= number);
        (oldest <= number + 1).then(|| self.log.iter().skip(start).cloned().collect())
    }

    /// Returns a snapshot of the complete configuration, for a daemon that starts or
    /// lags far behind.
    pub fn snapshot(&self) -> Snapshot {
        let intents = self.intents.values().map(ActiveIntent::to_snapshot);
        Snapshot {
            head: self.head,
            intents: intents.collect(),
        }
    }

    /// Replaces the configuration with a snapshot if the snapshot is newer. Returns
    /// whether it was.
    ///
    /// ```
    /// use rw_protocol::Snapshot;
    /// let mut cfg = rw_intent::Configuration::default();
    /// assert!(cfg.restore(Snapshot { head: 7, intents: vec![] }));
    /// assert!(!cfg.restore(Snapshot { head: 6, intents: vec![] }));
    /// assert_eq!(cfg.head(), 7);
    /// ```
    pub fn restore(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.head <= self.head {
            return false;
        }
        let intents = snapshot
            .intents
            .into_iter()
            .map(ActiveIntent::from_snapshot);
        self.intents = intents.map(|a| (a.intent.name.clone(), a)).collect();
        self.head = snapshot.head;
        self.log.clear();
        true
    }

    /// Applies one generation and returns whether it was new. A generation that was
    /// applied before is ignored, so the configuration never goes back.
    ///
    /// ```
    /// use rw_protocol::{Change, Generation, RemoveIntent};
    /// let mut cfg = rw_intent::Configuration::default();
    /// let gen = |number| Generation {
    ///     number, plan_id: "p".into(), at_ms: 0,
    ///     change: Change::Remove(RemoveIntent { name: "x".into() }),
    /// };
    /// assert_eq!(cfg.apply(gen(1)), Ok(true));
    /// assert_eq!(cfg.apply(gen(1)), Ok(false));
    /// assert!(cfg.apply(gen(3)).is_err());
    /// ```
    pub fn apply(&mut self, gen: Generation) -> Result<bool> {
        if gen.number <= self.head {
            return Ok(false);
        }
        if gen.number != self.head + 1 {
            return Err(Error::GenerationGap(self.head, gen.number));
        }
        match &gen.change {
            Change::Put(put) => self.put(put, gen.at_ms),
            Change::Remove(remove) => drop(self.intents.remove(&remove.name)),
            Change::Replace(replace) => self.replace(replace),
        }
        self.head = gen.number;
        self.log.push_back(gen);
        if self.log.len() > MAX_LOG_GENERATIONS {
            self.log.pop_front();
        }
        Ok(true)
    }

    fn put(&mut self, put: &PutIntent, at_ms: u64) {
        let old = self.intents.get(&put.intent.name);
        let previous = match old {
            Some(old) if old.manifest != put.manifest => old.manifest.clone(),
            Some(old) => old.previous.clone(),
            None => Name::default(),
        };
        let active = ActiveIntent {
            intent: put.intent.clone(),
            manifest: put.manifest.clone(),
            length: put.length,
            previous,
            assignments: waves_by_host(&put.assignments),
            since_ms: at_ms,
        };
        self.intents.insert(put.intent.name.clone(), active);
    }

    fn replace(&mut self, replace: &ReplaceHosts) {
        let Some(active) = self.intents.get_mut(&replace.intent) else {
            return;
        };
        for host in &replace.gone {
            active.assignments.remove(host);
        }
        active.assignments.extend(waves_by_host(&replace.added));
    }

    /// Returns what a host has to serve, if it is assigned to an intent.
    pub fn assignment_for(&self, host: &str) -> Option<HostAssignment> {
        self.intents.values().find_map(|active| {
            let wave = *active.assignments.get(host)?;
            Some(HostAssignment {
                intent: active.intent.name.clone(),
                service: active.intent.service.clone(),
                model: active.intent.model.clone(),
                version: active.intent.version.clone(),
                manifest: active.manifest.clone(),
                wave,
            })
        })
    }

    /// Hosts that are assigned to any intent.
    pub fn assigned_hosts(&self) -> BTreeSet<Name> {
        let assigned = self.intents.values().flat_map(|a| a.assignments.keys());
        assigned.cloned().collect()
    }

    /// Manifests that may answer a team's calls to a service: for each intent the
    /// current one, then the previous one. If any intent names the team, only such
    /// intents count; otherwise only those that name no team.
    pub fn manifests_for(&self, service: &str, team: &str) -> Vec<Name> {
        let mut out = Vec::new();
        let names_team = |active: &&ActiveIntent| active.intent.teams.iter().any(|t| **t == *team);
        let for_all = |active: &&ActiveIntent| active.intent.teams.is_empty();
        let serving = || {
            self.intents
                .values()
                .filter(|a| *a.intent.service == *service)
        };
        let has_own = serving().any(|a| names_team(&a));
        let selected = serving().filter(|a| if has_own { names_team(a) } else { for_all(a) });
        for active in selected {
            out.push(active.manifest.clone());
            if !active.previous.is_empty() {
                out.push(active.previous.clone());
            }
        }
        out
    }
}

fn waves_by_host(assignments: &[Assignment]) -> BTreeMap<Name, u32> {
    assignments
        .iter()
        .map(|a| (a.host.clone(), a.wave))
        .collect()
}
