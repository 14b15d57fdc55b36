//! Replacement of failed hosts, against the stand-in of the platform.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use rw_coord::LeaseManager;
use rw_daemon::control::{replace_hosts_of_intent, Replacement};
use rw_daemon::Context;
use rw_observe::{Metrics, Recorder};
use rw_protocol::{
    Assignment, Change, Generation, HostListing, HostRecord, HostState, Intent, Name, PutIntent,
    Role,
};
use rw_standins::cluster::Cluster;
use rw_standins::layout::Layout;

const LEASE: &str = "replace/cuts";

fn context(cluster: &Cluster) -> Arc<Context> {
    let name = Name::from("entry-0");
    let daemon = cluster.daemon(&name).clone();
    let recorder = Recorder::new(name.clone(), Metrics::new());
    let cx = Context::new(name, daemon, cluster.deployment.clone(), recorder);
    let host = |index: u64| HostRecord {
        name: Name::from(format!("engine-{index}")),
        role: Role::Host,
        region: "r0".into(),
        zone: "z0".into(),
        addr: Name::default(),
        operator_addr: Name::default(),
        service: "assistant".into(),
        state: HostState::Live,
        changed: index + 1,
    };
    cx.view.apply_listing(HostListing {
        since: 0,
        version: 1,
        hosts: (0..2).map(host).collect(),
    });
    cx
}

fn put_intent(cx: &Context, hosts: &[&str]) {
    let assign = |host: &&str| Assignment {
        host: Name::from(*host),
        wave: 0,
    };
    let put = PutIntent {
        assignments: hosts.iter().map(assign).collect(),
        intent: Intent {
            name: "cuts".into(),
            service: "assistant".into(),
            model: "cutlist".into(),
            version: "v1".into(),
            teams: Vec::new(),
            hosts: hosts.len() as u32,
            regions: vec!["r0".into()],
            finish_by_ms: 0,
        },
        length: 0,
        manifest: "m".into(),
    };
    let gen = Generation {
        number: 1,
        plan_id: "p".into(),
        at_ms: 0,
        change: Change::Put(put),
    };
    assert_eq!(cx.view.apply(vec![gen]).len(), 1);
}

// Guards against a report of missing spare hosts, and a lease that the next holder has
// to wait for, when the intent was removed or its hosts replaced in the meantime.
#[rstest]
#[case::intent_removed(&[], Replacement::NotNeeded)]
#[case::replaced_by_another(&["engine-1"], Replacement::NotNeeded)]
#[case::no_spare(&["engine-0", "engine-1"], Replacement::NoSpare)]
fn replacement_reports_its_reason_and_frees_its_lease(
    #[case] hosts: &[&str],
    #[case] expected: Replacement,
) {
    let layout = Layout {
        engines: 2,
        plain: 0,
        ..Layout::default()
    };
    let cluster = layout.start_without_daemons("replacement");
    let cx = context(&cluster);
    if !hosts.is_empty() {
        put_intent(&cx, hosts);
    }
    let failed = BTreeSet::from([Name::from("engine-0")]);
    let leases = |holder| LeaseManager::new(cx.platform.clone(), holder, Duration::from_secs(60));
    let result = replace_hosts_of_intent(&cx, &leases("entry-0"), &"cuts".into(), &failed);
    let others = leases("entry-1");
    assert!(others.acquire(LEASE, 1).is_ok(), "the lease is still held");
    assert_eq!(result, expected);
}
