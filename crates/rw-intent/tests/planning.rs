//! Plans, host replacement and the configuration that results from them.

use std::collections::BTreeSet;

use rw_intent::{plan_intent, replace_failed_hosts, Configuration, Error, NetworkTopology};
use rw_protocol::{Change, Generation, HostRecord, HostState, Intent, Manifest, Name, Plan, Role};

fn hosts(count: usize) -> Vec<HostRecord> {
    let host = |at: usize| HostRecord {
        name: Name::from(format!("h{at}")),
        role: Role::Host,
        region: Name::from(format!("r{}", at % 3)),
        zone: Name::from(format!("z{}", at % 3)),
        addr: Name::default(),
        operator_addr: Name::default(),
        service: "assistant".into(),
        state: HostState::Live,
        changed: 1,
    };
    (0..count).map(host).collect()
}

fn intent(name: &str, version: &str, count: u32) -> Intent {
    Intent {
        name: name.into(),
        service: "assistant".into(),
        model: "m".into(),
        version: version.into(),
        teams: Vec::new(),
        hosts: count,
        regions: vec!["r0".into(), "r1".into(), "r2".into()],
        finish_by_ms: 10_000,
    }
}

fn manifest(version: &str) -> Manifest {
    Manifest {
        model: "m".into(),
        version: version.into(),
        length: 1_000_000,
        chunk_bytes: 1_000_000,
        chunks: vec!["0".into()],
    }
}

fn make_plan(cfg: &Configuration, hosts: &[HostRecord], intent: Intent) -> rw_intent::Result<Plan> {
    let manifest = manifest(&intent.version);
    let topology = NetworkTopology {
        origin_region: "r0".into(),
        uplink_bytes_per_s: 100_000,
        ..NetworkTopology::default()
    };
    plan_intent(cfg, hosts, intent, &manifest, &topology, 0)
}

fn confirm(cfg: &mut Configuration, change: Change) {
    let gen = Generation {
        number: cfg.head() + 1,
        plan_id: "p".into(),
        at_ms: 0,
        change,
    };
    assert_eq!(cfg.apply(gen), Ok(true));
}

#[test]
fn hosts_are_taken_evenly_from_the_regions_and_plans_are_deterministic() {
    let cfg = Configuration::default();
    let first = make_plan(&cfg, &hosts(12), intent("a", "1", 6)).expect("a plan");
    assert_eq!(
        first,
        make_plan(&cfg, &hosts(12), intent("a", "1", 6)).expect("a plan")
    );
    for region in 0..3 {
        let in_region = first
            .joining
            .iter()
            .filter(|n| n[1..].parse::<usize>().is_ok_and(|n| n % 3 == region));
        assert_eq!(in_region.count(), 2);
    }
    assert_eq!(first.origin_bytes, 1_000_000);
    assert_eq!(first.links.len(), 2);
}

#[test]
fn plan_warns_if_it_cannot_meet_the_deadline() {
    let plan =
        make_plan(&Configuration::default(), &hosts(12), intent("a", "1", 6)).expect("a plan");
    assert_eq!(plan.expected_ms, 10_000);
    assert!(plan.warnings.is_empty());
    let mut late = intent("a", "1", 6);
    late.finish_by_ms = 9_000;
    let plan = make_plan(&Configuration::default(), &hosts(12), late).expect("a plan");
    assert!(
        plan.warnings[0].contains("needs about 10000 ms"),
        "{:?}",
        plan.warnings
    );
}

#[test]
fn new_version_moves_no_host_and_intents_do_not_share_hosts() {
    let mut cfg = Configuration::default();
    let a = make_plan(&cfg, &hosts(12), intent("a", "1", 6)).expect("a plan");
    confirm(&mut cfg, a.change);
    let b = make_plan(&cfg, &hosts(12), intent("b", "1", 6)).expect("a plan");
    assert!(b.joining.iter().all(|n| !cfg.assigned_hosts().contains(n)));
    confirm(&mut cfg, b.change);
    assert_eq!(
        make_plan(&cfg, &hosts(12), intent("c", "1", 1)),
        Err(Error::TooFewHosts(1, 0))
    );
    let newer = make_plan(&cfg, &hosts(12), intent("a", "2", 6)).expect("a plan");
    assert_eq!(
        (
            newer.joining.len(),
            newer.leaving.len(),
            newer.keeping.len()
        ),
        (0, 0, 6)
    );
    confirm(&mut cfg, newer.change);
    // Both versions may answer until all hosts have switched.
    assert_eq!(cfg.manifests_for("assistant", "arima").len(), 3);
}

#[test]
fn lower_host_count_releases_hosts_and_leaving_hosts_are_not_selected() {
    let mut cfg = Configuration::default();
    let a = make_plan(&cfg, &hosts(6), intent("a", "1", 6)).expect("a plan");
    confirm(&mut cfg, a.change);
    let fewer = make_plan(&cfg, &hosts(6), intent("a", "1", 4)).expect("a plan");
    assert_eq!(
        (fewer.leaving.len(), fewer.keeping.len(), fewer.origin_bytes),
        (2, 4, 0)
    );
    let mut some = hosts(6);
    some[0].state = HostState::Leaving;
    assert_eq!(
        make_plan(&cfg, &some, intent("a", "1", 6)),
        Err(Error::TooFewHosts(6, 5))
    );
}

#[test]
fn team_with_its_own_intent_is_served_only_by_that_intent() {
    let mut cfg = Configuration::default();
    let all = make_plan(&cfg, &hosts(12), intent("all", "1", 3)).expect("a plan");
    confirm(&mut cfg, all.change);
    let mut own = intent("own", "2", 3);
    own.teams.push("arima".into());
    let own = make_plan(&cfg, &hosts(12), own).expect("a plan");
    let manifest = match &own.change {
        Change::Put(put) => put.manifest.clone(),
        other => panic!("{other:?}"),
    };
    confirm(&mut cfg, own.change);
    assert_eq!(
        cfg.manifests_for("assistant", "arima"),
        std::slice::from_ref(&manifest)
    );
    assert!(!cfg.manifests_for("assistant", "penal").contains(&manifest));
}

#[test]
fn failed_hosts_are_replaced_within_their_region_while_spare_hosts_last() {
    let mut cfg = Configuration::default();
    let a = make_plan(&cfg, &hosts(9), intent("a", "1", 6)).expect("a plan");
    confirm(&mut cfg, a.change);
    let active = cfg.intents().get("a").expect("active").clone();
    let failed: BTreeSet<Name> = active.assignments.keys().take(1).cloned().collect();
    let lost = failed.first().expect("one").clone();
    let change = replace_failed_hosts(&cfg, &active, &hosts(9), &failed, 7).expect("a spare host");
    assert_eq!(
        (change.gone.clone(), change.added.len(), change.epoch),
        (vec![lost.clone()], 1, 7)
    );
    let number = |n: &Name| n[1..].parse::<usize>().expect("a number") % 3;
    assert_eq!(number(&change.added[0].host), number(&lost));
    confirm(&mut cfg, Change::Replace(change));
    assert!(!cfg.assigned_hosts().contains(&lost));
    let active = cfg.intents().get("a").expect("active").clone();
    let all: BTreeSet<Name> = hosts(9).into_iter().map(|h| h.name).collect();
    assert_eq!(
        replace_failed_hosts(&cfg, &active, &hosts(9), &all, 8),
        None
    );
}

#[test]
fn snapshot_restores_the_same_configuration_and_the_log_stays_bounded() {
    let mut cfg = Configuration::default();
    for number in 1..=2000u64 {
        let version = if number.is_multiple_of(2) { "2" } else { "1" };
        let plan = make_plan(&cfg, &hosts(12), intent("a", version, 6)).expect("a plan");
        confirm(&mut cfg, plan.change);
    }
    assert_eq!(cfg.generations_after(0), None);
    assert_eq!(cfg.generations_after(1999).map(|g| g.len()), Some(1));
    assert_eq!(cfg.generations_after(2000), Some(Vec::new()));
    let kept = (0..2000)
        .rev()
        .take_while(|n| cfg.generations_after(*n).is_some())
        .count();
    assert_eq!(kept, 512);
    let mut other = Configuration::default();
    assert!(other.restore(cfg.snapshot()));
    assert_eq!((other.head(), other.intents()), (cfg.head(), cfg.intents()));
    assert_eq!(other.assignment_for("h0"), cfg.assignment_for("h0"));
    // The restored configuration accepts further generations, and a daemon that
    // lags behind it needs a snapshot as well.
    assert_eq!(other.generations_after(1999), None);
    let plan = make_plan(&other, &hosts(12), intent("a", "3", 6)).expect("a plan");
    confirm(&mut other, plan.change);
    assert_eq!(other.generations_after(2000).map(|g| g.len()), Some(1));
}
