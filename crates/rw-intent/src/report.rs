use std::collections::BTreeMap;

use rw_protocol::{HostStatus, IntentPart, IntentReport, Name, StatusReport, ZoneReport};

use crate::{Active, Configuration};

/// What an observer gathered over all availability zones.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// Reports of the zones that answered.
    pub zones: Vec<ZoneReport>,
    /// Daemons of zones of which nobody answered.
    pub unreachable: Vec<Name>,
    /// Whether the table service answered.
    pub table_reachable: bool,
    /// Claims whose end is not known.
    pub unresolved: u64,
}

/// Reports on one zone: `members` are its daemons, `seen` the status of those
/// that answered. It names exceptions only, so its size does not grow with the
/// zone while all is well.
pub fn report_zone(
    cfg: &Configuration,
    zone: &Name,
    members: &[Name],
    seen: &BTreeMap<Name, HostStatus>,
) -> ZoneReport {
    let part = |active: &Active| part(active, members, seen);
    let lagging = seen.values().filter(|h| h.head < cfg.head());
    let absent = members.iter().filter(|name| !seen.contains_key(*name));
    let heads = seen.values().map(|h| h.head).chain([cfg.head()]);
    ZoneReport {
        zone: zone.clone(),
        lowest_head: heads.min().unwrap_or(0),
        intents: cfg.intents().values().map(part).collect(),
        lagging: lagging.map(|h| h.host.clone()).collect(),
        unreachable: absent.cloned().collect(),
    }
}

fn part(active: &Active, members: &[Name], seen: &BTreeMap<Name, HostStatus>) -> IntentPart {
    let serves = |host: &Name| {
        let status = seen.get(host);
        status.is_some_and(|s| s.serving.iter().any(|s| s.manifest == active.manifest))
    };
    let mine = members
        .iter()
        .filter(|host| active.assignments.contains_key(*host));
    let (serving, missing): (Vec<&Name>, Vec<&Name>) = mine.partition(|host| serves(host));
    IntentPart {
        intent: active.intent.name.clone(),
        manifest: active.manifest.clone(),
        serving: serving.len() as u32,
        missing: missing.into_iter().cloned().collect(),
    }
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
        .map(|active| intent(active, seen, now_ms))
        .collect();
    let heads = seen.zones.iter().map(|z| z.lowest_head);
    let lagging: Vec<Name> = seen.zones.iter().flat_map(|z| z.lagging.clone()).collect();
    let mut unreachable = seen.unreachable.clone();
    unreachable.extend(seen.zones.iter().flat_map(|z| z.unreachable.clone()));
    let problems = problems(&intents, &lagging, &unreachable, seen);
    StatusReport {
        head: cfg.head(),
        lowest_head: heads.chain([cfg.head()]).min().unwrap_or(0),
        table_reachable: seen.table_reachable,
        healthy: problems.is_empty(),
        intents,
        lagging,
        unreachable,
        unresolved: seen.unresolved,
        problems,
    }
}

// A zone that still goes by another version of the intent counts as not
// serving this one.
fn intent(active: &Active, seen: &Observed, now_ms: u64) -> IntentReport {
    let parts = seen.zones.iter().flat_map(|z| &z.intents);
    let current = parts.filter(|p| p.intent == active.intent.name && p.manifest == active.manifest);
    let (mut serving, mut missing) = (0, Vec::new());
    for part in current {
        serving += part.serving;
        missing.extend(part.missing.iter().cloned());
    }
    let lost = seen.unreachable.iter();
    missing.extend(
        lost.filter(|host| active.assignments.contains_key(*host))
            .cloned(),
    );
    IntentReport {
        intent: active.intent.name.clone(),
        version: active.intent.version.clone(),
        wanted: active.intent.hosts,
        serving,
        late: serving < active.intent.hosts && now_ms > active.intent.finish_by_ms,
        missing,
    }
}

fn problems(
    intents: &[IntentReport],
    lagging: &[Name],
    unreachable: &[Name],
    seen: &Observed,
) -> Vec<String> {
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
    if !unreachable.is_empty() {
        out.push(format!("{} daemons do not answer", unreachable.len()));
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
