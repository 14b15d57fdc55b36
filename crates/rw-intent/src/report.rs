use std::collections::BTreeMap;

use rw_protocol::{HostStatus, IntentReport, Name, StatusReport};

use crate::{Active, Configuration};

/// What an observer gathered.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// Status of the hosts that answered.
    pub hosts: BTreeMap<Name, HostStatus>,
    /// Daemons that did not answer.
    pub unreachable: Vec<Name>,
    /// Whether the table service answered.
    pub table_reachable: bool,
    /// Claims whose end is not known.
    pub unresolved: u64,
}

/// Compares what is confirmed with what was observed.
///
/// ```
/// let cfg = rw_intent::Configuration::default();
/// let seen = rw_intent::Observed { table_reachable: true, ..Default::default() };
/// assert!(rw_intent::report(&cfg, &seen, 0).healthy);
/// ```
pub fn report(cfg: &Configuration, seen: &Observed, now_ms: u64) -> StatusReport {
    let intents: Vec<IntentReport> = cfg
        .intents()
        .values()
        .map(|a| intent(a, seen, now_ms))
        .collect();
    let lowest_head = seen
        .hosts
        .values()
        .map(|h| h.head)
        .min()
        .unwrap_or(cfg.head());
    let lagging = seen.hosts.values().filter(|h| h.head < cfg.head());
    let lagging: Vec<Name> = lagging.map(|h| h.host.clone()).collect();
    let problems = problems(&intents, &lagging, seen);
    StatusReport {
        head: cfg.head(),
        lowest_head: lowest_head.min(cfg.head()),
        table_reachable: seen.table_reachable,
        healthy: problems.is_empty(),
        intents,
        lagging,
        unreachable: seen.unreachable.clone(),
        unresolved: seen.unresolved,
        problems,
    }
}

fn intent(active: &Active, seen: &Observed, now_ms: u64) -> IntentReport {
    let serves = |host: &Name| {
        let status = seen.hosts.get(host);
        status.is_some_and(|s| s.serving.iter().any(|s| s.manifest == active.manifest))
    };
    let missing: Vec<Name> = active
        .assignments
        .keys()
        .filter(|h| !serves(h))
        .cloned()
        .collect();
    let serving = (active.assignments.len() - missing.len()) as u32;
    IntentReport {
        intent: active.intent.name.clone(),
        version: active.intent.version.clone(),
        wanted: active.intent.hosts,
        serving,
        late: serving < active.intent.hosts && now_ms > active.intent.finish_by_ms,
        missing,
    }
}

fn problems(intents: &[IntentReport], lagging: &[Name], seen: &Observed) -> Vec<String> {
    let mut out = Vec::new();
    for intent in intents.iter().filter(|i| i.serving < i.wanted) {
        let late = if intent.late { "late: " } else { "" };
        let (name, serving, wanted) = (&intent.intent, intent.serving, intent.wanted);
        out.push(format!(
            "{late}intent {name}: {serving} of {wanted} hosts serve version {}",
            intent.version
        ));
    }
    if !lagging.is_empty() {
        out.push(format!(
            "{} daemons lag behind the configuration",
            lagging.len()
        ));
    }
    if !seen.unreachable.is_empty() {
        out.push(format!("{} daemons do not answer", seen.unreachable.len()));
    }
    if !seen.table_reachable {
        out.push("the table service does not answer".to_string());
    }
    if seen.unresolved > 0 {
        out.push(format!(
            "{} calls have an unknown end; see ragworttack unresolved",
            seen.unresolved
        ));
    }
    out
}
