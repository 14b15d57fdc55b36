use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rw_protocol::{
    Assignment, Change, Generation, Intent, Name, PutIntent, ReplaceHosts, Snapshot,
};

use crate::{Error, Result};

/// Generations that are kept for peers that lag.
const LOG_GENERATIONS: usize = 512;

/// One confirmed intent.
#[derive(Clone, Debug, PartialEq)]
pub struct Active {
    /// What the operator wants.
    pub intent: Intent,
    /// Manifest to serve.
    pub manifest: Name,
    /// Bytes of the model.
    pub length: u64,
    /// Manifest and version that were served before; still accepted from
    /// hosts that have not switched. Empty when there is none.
    pub previous: Name,
    /// Hosts that serve it.
    pub assignments: BTreeMap<Name, u32>,
    /// Unix time in ms of the last confirmation.
    pub since_ms: u64,
}

impl Active {
    fn to_message(&self) -> rw_protocol::Active {
        let assign = |(host, wave): (&Name, &u32)| Assignment {
            host: host.clone(),
            wave: *wave,
        };
        rw_protocol::Active {
            intent: self.intent.clone(),
            manifest: self.manifest.clone(),
            length: self.length,
            previous: self.previous.clone(),
            assignments: self.assignments.iter().map(assign).collect(),
            since_ms: self.since_ms,
        }
    }

    fn from_message(msg: rw_protocol::Active) -> Self {
        Active {
            assignments: by_host(&msg.assignments),
            intent: msg.intent,
            manifest: msg.manifest,
            length: msg.length,
            previous: msg.previous,
            since_ms: msg.since_ms,
        }
    }
}

/// What one host has to serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Duty {
    /// Intent that says so.
    pub intent: Name,
    /// Service the host answers for.
    pub service: Name,
    /// Model to load.
    pub model: Name,
    /// Version to load.
    pub version: Name,
    /// Manifest to load.
    pub manifest: Name,
    /// Hosts of lower waves switch first.
    pub wave: u32,
}

/// The confirmed configuration: a fold over its generations.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    head: u64,
    intents: BTreeMap<Name, Active>,
    // The last generations, for peers that lag.
    log: VecDeque<Generation>,
}

impl Configuration {
    /// Number of the last generation in force.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// Confirmed intents by name.
    pub fn intents(&self) -> &BTreeMap<Name, Active> {
        &self.intents
    }

    /// Generations after `number`; `None` when some of them are kept no more,
    /// and a snapshot has to do.
    pub fn since(&self, number: u64) -> Option<Vec<Generation>> {
        if number >= self.head {
            return Some(Vec::new());
        }
        let oldest = self.log.front().map_or(u64::MAX, |gen| gen.number);
        let from = self.log.partition_point(|gen| gen.number <= number);
        (oldest <= number + 1).then(|| self.log.iter().skip(from).cloned().collect())
    }

    /// The whole configuration, for a daemon that starts or lags far behind.
    pub fn snapshot(&self) -> Snapshot {
        let intents = self.intents.values().map(Active::to_message);
        Snapshot {
            head: self.head,
            intents: intents.collect(),
        }
    }

    /// Takes a snapshot into force, unless it is older; says whether it was
    /// newer.
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
        let intents = snapshot.intents.into_iter().map(Active::from_message);
        self.intents = intents.map(|a| (a.intent.name.clone(), a)).collect();
        self.head = snapshot.head;
        self.log.clear();
        true
    }

    /// Takes one generation into force. One that is known already is passed
    /// over, so the configuration never goes back; says whether it was new.
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
            return Err(Error::Gap(self.head, gen.number));
        }
        match &gen.change {
            Change::Put(put) => self.put(put, gen.at_ms),
            Change::Remove(remove) => drop(self.intents.remove(&remove.name)),
            Change::Replace(replace) => self.replace(replace),
        }
        self.head = gen.number;
        self.log.push_back(gen);
        if self.log.len() > LOG_GENERATIONS {
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
        let active = Active {
            intent: put.intent.clone(),
            manifest: put.manifest.clone(),
            length: put.length,
            previous,
            assignments: by_host(&put.assignments),
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
        active.assignments.extend(by_host(&replace.added));
    }

    /// What a host has to serve, if anything.
    pub fn duty(&self, host: &str) -> Option<Duty> {
        self.intents.values().find_map(|active| {
            let wave = *active.assignments.get(host)?;
            Some(Duty {
                intent: active.intent.name.clone(),
                service: active.intent.service.clone(),
                model: active.intent.model.clone(),
                version: active.intent.version.clone(),
                manifest: active.manifest.clone(),
                wave,
            })
        })
    }

    /// Hosts that some intent uses.
    pub fn used(&self) -> BTreeSet<Name> {
        let assigned = self.intents.values().flat_map(|a| a.assignments.keys());
        assigned.cloned().collect()
    }

    /// Manifests that may answer a team's calls to a service, newest first.
    pub fn manifests(&self, service: &str, team: &str) -> Vec<Name> {
        let mut out = Vec::new();
        let own = |active: &&Active| active.intent.teams.iter().any(|t| **t == *team);
        let open = |active: &&Active| active.intent.teams.is_empty();
        let serving = || {
            self.intents
                .values()
                .filter(|a| *a.intent.service == *service)
        };
        let named = serving().any(|a| own(&a));
        let chosen = serving().filter(|a| if named { own(a) } else { open(a) });
        for active in chosen {
            out.push(active.manifest.clone());
            if !active.previous.is_empty() {
                out.push(active.previous.clone());
            }
        }
        out
    }
}

fn by_host(assignments: &[Assignment]) -> BTreeMap<Name, u32> {
    assignments
        .iter()
        .map(|a| (a.host.clone(), a.wave))
        .collect()
}
