//! Which entry grants the permits of a server, while entries come, go, pause and lose links.

use std::time::Duration;

use rw_protocol::Name;
use rw_routing::EntryMembership;

const TICK_MS: u64 = 100;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn names(names: &[&str]) -> Vec<Name> {
    names.iter().map(|name| Name::from(*name)).collect()
}

/// An entry that evaluates every 100 ms, and hears the others all the while.
struct Entry {
    membership: EntryMembership,
    now: u64,
}

impl Entry {
    fn start(name: &str) -> Self {
        Entry {
            membership: EntryMembership::new(name.into()),
            now: 60_000,
        }
    }

    fn run(&mut self, for_ms: u64, heard: &[&str]) {
        for _ in 0..for_ms / TICK_MS {
            self.now += TICK_MS;
            for entry in names(heard) {
                self.membership.on_heard(&entry, ms(self.now));
            }
            self.membership.evaluate(ms(self.now));
        }
    }

    fn owner(&mut self, server: &str) -> Name {
        self.membership.owner(&server.into()).expect("evaluated")
    }

    fn time_to_grant(&mut self, server: &str) -> Option<Duration> {
        self.membership.time_to_grant(&server.into(), ms(self.now))
    }

    /// A server that the named entry owns.
    fn server_of(&mut self, owner: &str) -> String {
        let servers = (0..1000).map(|n| format!("s-{n}"));
        let mut owned = servers.filter(|server| *self.owner(server) == *owner);
        owned.next().expect("each entry owns some of many servers")
    }
}

#[test]
fn entries_agree_on_the_owner_and_a_new_one_takes_over_only_its_own_servers() {
    let mut a = Entry::start("a");
    let mut b = Entry::start("b");
    a.run(4000, &["b", "c"]);
    b.run(4000, &["a", "c"]);
    let before: Vec<Name> = (0..50).map(|n| a.owner(&format!("s-{n}"))).collect();
    let at_b: Vec<Name> = (0..50).map(|n| b.owner(&format!("s-{n}"))).collect();
    assert_eq!(before, at_b);
    a.run(2000, &["b", "c", "d"]);
    for (n, before) in before.iter().enumerate() {
        let after = a.owner(&format!("s-{n}"));
        assert!(after == *before || *after == *"d");
    }
}

#[test]
fn entry_that_starts_grants_nothing_before_it_knows_the_others() {
    let mut a = Entry::start("a");
    a.run(100, &[]);
    assert!(a.time_to_grant("s").is_some_and(|delay| delay > ms(1500)));
    a.run(2500, &[]);
    assert_eq!(a.time_to_grant("s"), Some(Duration::ZERO));
}

#[test]
fn new_owner_waits_until_others_miss_the_old_one_too() {
    let mut a = Entry::start("a");
    a.run(4000, &["b", "c"]);
    // Without b, it is the turn of a.
    let mut without_b = Entry::start("a");
    without_b.run(4000, &["c"]);
    let servers = (0..1000).map(|n| format!("s-{n}"));
    let mut next_is_a = servers.filter(|s| *a.owner(s) == *"b" && *without_b.owner(s) == *"a");
    let server = next_is_a.next().expect("some of many servers");
    drop(next_is_a);
    assert_eq!(a.time_to_grant(&server), None);
    let mut silent_ms = 0;
    while a.time_to_grant(&server).is_none() {
        a.run(TICK_MS, &["c"]);
        silent_ms += TICK_MS;
    }
    assert!(silent_ms >= 1500, "after {silent_ms} ms");
    assert!(a
        .time_to_grant(&server)
        .is_some_and(|delay| delay >= ms(900)));
    a.run(1100, &["c"]);
    assert_eq!(a.time_to_grant(&server), Some(Duration::ZERO));
}

#[test]
fn entry_that_was_paused_grants_nothing_before_it_knows_who_took_over() {
    let mut a = Entry::start("a");
    a.run(4000, &["b"]);
    let server = a.server_of("a");
    assert_eq!(a.time_to_grant(&server), Some(Duration::ZERO));
    a.now += 3000;
    assert!(!a.membership.is_awake(ms(a.now)));
    a.run(TICK_MS, &["b"]);
    assert!(a
        .time_to_grant(&server)
        .is_some_and(|delay| delay > ms(1500)));
}

#[test]
fn silent_entry_that_another_one_hears_stays_the_owner_and_is_reached_by_way_of_it() {
    let mut a = Entry::start("a");
    a.run(4000, &["b", "c"]);
    let server = a.server_of("b");
    for _ in 0..60 {
        let now = ms(a.now);
        a.membership.on_hearing(&"c".into(), [], names(&["b"]), now);
        a.run(1000, &["c"]);
    }
    assert_eq!(*a.owner(&server), *"b");
    assert_eq!(*a.membership.next_hop(&"b".into()), *"c");
    a.run(7000, &["c"]);
    assert_ne!(*a.owner(&server), *"b", "nobody hears it any more");
}

#[test]
fn parts_of_a_network_share_a_limit_and_most_entries_get_all_of_it_later() {
    let mut most = Entry::start("a");
    most.run(4000, &["b", "c"]);
    most.run(3000, &["b"]);
    assert!((most.membership.share() - 2.0 / 3.0).abs() < 1e-9);
    most.run(10_000, &["b"]);
    assert!((most.membership.share() - 1.0).abs() < 1e-9);
    let mut cut_off = Entry::start("c");
    cut_off.run(4000, &["a", "b"]);
    cut_off.run(13_000, &[]);
    assert!((cut_off.membership.share() - 1.0 / 3.0).abs() < 1e-9);
}

#[test]
fn leaving_entry_owns_nothing_and_does_not_reduce_the_share() {
    let mut a = Entry::start("a");
    a.run(4000, &["b", "c"]);
    let server = a.server_of("b");
    a.membership.on_leaving(&"b".into(), ms(a.now));
    a.run(1000, &["b", "c"]);
    assert_ne!(*a.owner(&server), *"b");
    assert!((a.membership.share() - 1.0).abs() < 1e-9);
    let mut leaving = Entry::start("b");
    leaving.run(4000, &["a", "c"]);
    leaving.membership.leave();
    leaving.run(TICK_MS, &["a", "c"]);
    assert_ne!(*leaving.owner(&server), *"b");
}
