use std::collections::{BTreeMap, BTreeSet};

use rw_protocol::{Assignment, Change, Generation, Intent, Name, PutIntent, ReplaceHosts};

use crate::{Error, Result};

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
    // Generations in force, for peers that lag.
    log: Vec<Generation>,
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

    /// Generations after `number`.
    pub fn since(&self, number: u64) -> Vec<Generation> {
        let from = self.log.partition_point(|gen| gen.number <= number);
        self.log[from..].to_vec()
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
        self.log.push(gen);
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
