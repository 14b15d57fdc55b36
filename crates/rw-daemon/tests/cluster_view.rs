//! Tests of how a daemon's view applies changes of the configuration and the host
//! list.

use rw_daemon::control::SharedView;
use rw_protocol::{
    Change, Generation, HostListing, HostRecord, HostState, Name, RemoveIntent, Role,
};

fn host(name: &str, changed: u64, state: HostState) -> HostRecord {
    HostRecord {
        name: Name::from(name),
        role: Role::Host,
        region: "r".into(),
        zone: "z".into(),
        addr: Name::default(),
        operator_addr: Name::default(),
        service: Name::default(),
        state,
        changed,
    }
}

fn listing(since: u64, version: u64, hosts: Vec<HostRecord>) -> HostListing {
    HostListing {
        since,
        version,
        hosts,
    }
}

// Guards against a daemon that misses some hosts permanently: just after its start
// it received a pushed change and adopted that change's list version, although it
// did not have the earlier changes.
#[test]
fn pushed_change_does_not_hide_earlier_changes() {
    let view = SharedView::default();
    view.apply_listing(listing(6, 7, vec![host("h7", 7, HostState::Live)]));
    assert_eq!(view.read().list_version, 0);
    assert_eq!(view.read().present().count(), 1);
    let all = (1..=7).map(|n| host(&format!("h{n}"), n, HostState::Live));
    let new = view.apply_listing(listing(0, 7, all.collect()));
    assert_eq!(new.hosts.len(), 6);
    assert_eq!(view.read().list_version, 7);
}

#[test]
fn older_host_record_does_not_replace_newer_one() {
    let view = SharedView::default();
    view.apply_listing(listing(0, 5, vec![host("h", 5, HostState::Leaving)]));
    let new = view.apply_listing(listing(0, 3, vec![host("h", 3, HostState::Live)]));
    assert!(new.hosts.is_empty());
    assert_eq!(view.read().hosts["h"].state, HostState::Leaving);
    assert_eq!(view.read().list_version, 5);
}

#[test]
fn generations_apply_in_order_once_and_notify_subscribers() {
    let view = SharedView::default();
    let gen = |number| Generation {
        number,
        plan_id: "p".into(),
        at_ms: 0,
        change: Change::Remove(RemoveIntent { name: "x".into() }),
    };
    let changed = view.subscribe();
    assert!(view.apply(vec![gen(2)]).is_empty());
    assert!(changed.try_recv().is_err());
    assert_eq!(view.apply(vec![gen(1), gen(2), gen(4)]).len(), 2);
    assert!(changed.try_recv().is_ok());
    assert!(view.apply(vec![gen(1)]).is_empty());
    assert_eq!(view.read().cfg.head(), 2);
}
