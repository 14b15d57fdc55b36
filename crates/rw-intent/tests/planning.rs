//! Plans and the configuration that they lead to.

use std::collections::BTreeSet;

use rw_intent::{plan, replace_failed, Configuration, Error, Site};
use rw_protocol::{Change, Generation, HostEntry, HostState, Intent, Manifest, Name, Plan, Role};

fn hosts(count: usize) -> Vec<HostEntry> {
    let host = |at: usize| HostEntry {
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

fn make(cfg: &Configuration, hosts: &[HostEntry], intent: Intent) -> rw_intent::Result<Plan> {
    let manifest = manifest(&intent.version);
    let site = Site {
        home: "r0".into(),
        uplink_bytes_per_s: 100_000,
        ..Site::default()
    };
    plan(cfg, hosts, intent, &manifest, &site, 0)
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
fn hosts_come_evenly_from_the_regions_and_the_plan_is_repeatable() {
    let cfg = Configuration::default();
    let first = make(&cfg, &hosts(12), intent("a", "1", 6)).expect("a plan");
    assert_eq!(
        first,
        make(&cfg, &hosts(12), intent("a", "1", 6)).expect("a plan")
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
fn a_plan_that_cannot_be_in_time_says_so() {
    let plan = make(&Configuration::default(), &hosts(12), intent("a", "1", 6)).expect("a plan");
    assert_eq!(plan.expected_ms, 10_000);
    assert!(plan.warnings.is_empty());
    let mut late = intent("a", "1", 6);
    late.finish_by_ms = 9_000;
    let plan = make(&Configuration::default(), &hosts(12), late).expect("a plan");
    assert!(
        plan.warnings[0].contains("needs about 10000 ms"),
        "{:?}",
        plan.warnings
    );
}

#[test]
fn a_new_version_moves_no_host_and_other_intents_keep_theirs() {
    let mut cfg = Configuration::default();
    let a = make(&cfg, &hosts(12), intent("a", "1", 6)).expect("a plan");
    confirm(&mut cfg, a.change);
    let b = make(&cfg, &hosts(12), intent("b", "1", 6)).expect("a plan");
    assert!(b.joining.iter().all(|n| !cfg.used().contains(n)));
    confirm(&mut cfg, b.change);
    assert_eq!(
        make(&cfg, &hosts(12), intent("c", "1", 1)),
        Err(Error::TooFewHosts(1, 0))
    );
    let newer = make(&cfg, &hosts(12), intent("a", "2", 6)).expect("a plan");
    assert_eq!(
        (
            newer.joining.len(),
            newer.leaving.len(),
            newer.keeping.len()
        ),
        (0, 0, 6)
    );
    confirm(&mut cfg, newer.change);
    // Both versions may answer until every host has switched.
    assert_eq!(cfg.manifests("assistant", "arima").len(), 3);
}

#[test]
fn fewer_hosts_release_some_and_leaving_hosts_are_not_taken() {
    let mut cfg = Configuration::default();
    let a = make(&cfg, &hosts(6), intent("a", "1", 6)).expect("a plan");
    confirm(&mut cfg, a.change);
    let fewer = make(&cfg, &hosts(6), intent("a", "1", 4)).expect("a plan");
    assert_eq!(
        (fewer.leaving.len(), fewer.keeping.len(), fewer.origin_bytes),
        (2, 4, 0)
    );
    let mut some = hosts(6);
    some[0].state = HostState::Leaving;
    assert_eq!(
        make(&cfg, &some, intent("a", "1", 6)),
        Err(Error::TooFewHosts(6, 5))
    );
}

#[test]
fn a_team_with_an_intent_of_its_own_gets_only_that() {
    let mut cfg = Configuration::default();
    let all = make(&cfg, &hosts(12), intent("all", "1", 3)).expect("a plan");
    confirm(&mut cfg, all.change);
    let mut own = intent("own", "2", 3);
    own.teams.push("arima".into());
    let own = make(&cfg, &hosts(12), own).expect("a plan");
    let manifest = match &own.change {
        Change::Put(put) => put.manifest.clone(),
        other => panic!("{other:?}"),
    };
    confirm(&mut cfg, own.change);
    assert_eq!(
        cfg.manifests("assistant", "arima"),
        std::slice::from_ref(&manifest)
    );
    assert!(!cfg.manifests("assistant", "penal").contains(&manifest));
}

#[test]
fn failed_hosts_are_replaced_near_by_as_far_as_spare_ones_go() {
    let mut cfg = Configuration::default();
    let a = make(&cfg, &hosts(9), intent("a", "1", 6)).expect("a plan");
    confirm(&mut cfg, a.change);
    let active = cfg.intents().get("a").expect("active").clone();
    let failed: BTreeSet<Name> = active.assignments.keys().take(1).cloned().collect();
    let lost = failed.first().expect("one").clone();
    let change = replace_failed(&cfg, &active, &hosts(9), &failed, 7).expect("a spare host");
    assert_eq!(
        (change.gone.clone(), change.added.len(), change.epoch),
        (vec![lost.clone()], 1, 7)
    );
    let number = |n: &Name| n[1..].parse::<usize>().expect("a number") % 3;
    assert_eq!(number(&change.added[0].host), number(&lost));
    confirm(&mut cfg, Change::Replace(change));
    assert!(!cfg.used().contains(&lost));
    let active = cfg.intents().get("a").expect("active").clone();
    let all: BTreeSet<Name> = hosts(9).into_iter().map(|h| h.name).collect();
    assert_eq!(replace_failed(&cfg, &active, &hosts(9), &all, 8), None);
}

#[test]
fn a_snapshot_gives_the_same_configuration_and_the_log_stays_bounded() {
    let mut cfg = Configuration::default();
    for number in 1..=2000u64 {
        let version = if number.is_multiple_of(2) { "2" } else { "1" };
        let plan = make(&cfg, &hosts(12), intent("a", version, 6)).expect("a plan");
        confirm(&mut cfg, plan.change);
    }
    assert_eq!(cfg.since(0), None);
    assert_eq!(cfg.since(1999).map(|g| g.len()), Some(1));
    assert_eq!(cfg.since(2000), Some(Vec::new()));
    let kept = (0..2000)
        .rev()
        .take_while(|n| cfg.since(*n).is_some())
        .count();
    assert_eq!(kept, 512);
    let mut other = Configuration::default();
    assert!(other.restore(cfg.snapshot()));
    assert_eq!((other.head(), other.intents()), (cfg.head(), cfg.intents()));
    assert_eq!(other.duty("h0"), cfg.duty("h0"));
    // It goes on from there, and a daemon behind it gets a snapshot in turn.
    assert_eq!(other.since(1999), None);
    let plan = make(&other, &hosts(12), intent("a", "3", 6)).expect("a plan");
    confirm(&mut other, plan.change);
    assert_eq!(other.since(2000).map(|g| g.len()), Some(1));
}
