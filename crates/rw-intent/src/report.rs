use std::collections::BTreeMap;

use rw_protocol::{HostStatus, IntentReport, Name, StatusReport, ZoneIntentReport, ZoneReport};

use crate::{ActiveIntent, Configuration};

/// State of the cluster as one daemon observed it, over all availability zones.
#[derive(Clone, Debug, Default)]
pub struct ClusterObservation {
    /// Reports of the zones that answered.
    pub zones: Vec<ZoneReport>,
    /// Daemons of the zones in which no daemon answered.
    pub unreachable: Vec<Name>,
    /// Whether the table service answered.
    pub table_reachable: bool,
    /// Number of claims whose call has an unknown outcome.
    pub unresolved: u64,
}

/// Builds the report of one zone. `members` are its daemons, `statuses` has the
/// status of those that answered.
///
/// The report lists only daemons with a problem, so its size does not grow with the
/// zone while all are healthy.
pub fn build_zone_report(
    cfg: &Configuration,
    zone: &Name,
    members: &[Name],
    statuses: &BTreeMap<Name, HostStatus>,
) -> ZoneReport {
    let report = |active: &ActiveIntent| zone_intent_report(active, members, statuses);
    let lagging = statuses.values().filter(|h| h.head < cfg.head());
    let unreachable = members.iter().filter(|name| !statuses.contains_key(*name));
    let heads = statuses.values().map(|h| h.head).chain([cfg.head()]);
    ZoneReport {
        zone: zone.clone(),
        lowest_head: heads.min().unwrap_or(0),
        intents: cfg.intents().values().map(report).collect(),
        lagging: lagging.map(|h| h.host.clone()).collect(),
        unreachable: unreachable.cloned().collect(),
    }
}

fn zone_intent_report(
    active: &ActiveIntent,
    members: &[Name],
    statuses: &BTreeMap<Name, HostStatus>,
) -> ZoneIntentReport {
    let serves = |host: &Name| {
        let status = statuses.get(host);
        status.is_some_and(|s| s.serving.iter().any(|s| s.manifest == active.manifest))
    };
    let assigned = members
        .iter()
        .filter(|host| active.assignments.contains_key(*host));
    let (serving, missing): (Vec<&Name>, Vec<&Name>) = assigned.partition(|host| serves(host));
    ZoneIntentReport {
        intent: active.intent.name.clone(),
        manifest: active.manifest.clone(),
        serving: serving.len() as u32,
        missing: missing.into_iter().cloned().collect(),
    }
}

/// Builds the status report, which compares the confirmed configuration with the
/// observed state.
///
/// ```
/// let cfg = rw_intent::Configuration::default();
/// let observed = rw_intent::ClusterObservation { table_reachable: true, ..Default::default() };
/// assert!(rw_intent::build_status_report(&cfg, &observed, 0).healthy);
/// ```
pub fn build_status_report(
    cfg: &Configuration,
    observed: &ClusterObservation,
    now_ms: u64,
) -> StatusReport {
    let intents: Vec<IntentReport> = cfg
        .intents()
        .values()
        .map(|active| intent_report(active, observed, now_ms))
        .collect();
    let heads = observed.zones.iter().map(|z| z.lowest_head);
    let lagging: Vec<Name> = observed
        .zones
        .iter()
        .flat_map(|z| z.lagging.clone())
        .collect();
    let mut unreachable = observed.unreachable.clone();
    unreachable.extend(observed.zones.iter().flat_map(|z| z.unreachable.clone()));
    let problems = problems(&intents, &lagging, &unreachable, observed);
    StatusReport {
        head: cfg.head(),
        lowest_head: heads.chain([cfg.head()]).min().unwrap_or(0),
        table_reachable: observed.table_reachable,
        healthy: problems.is_empty(),
        intents,
        lagging,
        unreachable,
        unresolved: observed.unresolved,
        problems,
    }
}

// A zone whose report is for another version of the intent counts as not serving
// this one.
fn intent_report(
    active: &ActiveIntent,
    observed: &ClusterObservation,
    now_ms: u64,
) -> IntentReport {
    let zone_reports = observed.zones.iter().flat_map(|z| &z.intents);
    let matching =
        zone_reports.filter(|r| r.intent == active.intent.name && r.manifest == active.manifest);
    let (mut serving, mut missing) = (0, Vec::new());
    for report in matching {
        serving += report.serving;
        missing.extend(report.missing.iter().cloned());
    }
    let unreachable = observed.unreachable.iter();
    missing.extend(
        unreachable
            .filter(|host| active.assignments.contains_key(*host))
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
    observed: &ClusterObservation,
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
    if !observed.table_reachable {
        out.push("the table service does not answer".to_string());
    }
    if observed.unresolved > 0 {
        out.push(format!(
            "{} calls have an unknown end; see ragworttack unresolved",
            observed.unresolved
        ));
    }
    out
}
