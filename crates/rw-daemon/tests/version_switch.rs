//! Leases of hosts that switch to another version.

use std::time::Duration;

use rw_coord::LeaseManager;
use rw_platform::HttpPlatform;
use rw_protocol::EventRecord;
use rw_standins::caller::request_completion;
use rw_standins::client::{get, wait_for};
use rw_standins::engine::{Behaviour, Records};
use rw_standins::layout::{intent, Layout};

const MODEL_BYTES: u64 = 1 << 20;
const CHUNK_BYTES: u64 = 64 << 10;
const PLATFORM_TIMEOUT_MS: u64 = 2_000;

// Guards against a host that keeps its lease when its calls do not drain in time: a
// restarted daemon had to wait until the lease expired.
#[test]
fn host_that_does_not_drain_in_time_releases_its_lease() {
    let layout = Layout {
        entries: 1,
        engines: 1,
        plain: 0,
        extra_settings: "[limits]\ndrain_ms = 100\n[control]\nlease_ms = 600000".into(),
        ..Layout::default()
    };
    let cluster = layout.start("undrained");
    cluster.add_model("cutlist", "v1", MODEL_BYTES, CHUNK_BYTES);
    cluster.add_model("cutlist", "v2", MODEL_BYTES, CHUNK_BYTES);
    cluster.apply("entry-0", &intent("v1", 1, 1));
    cluster.wait_fulfilled("entry-0", "cuts", "v1");
    let slow = Behaviour {
        token_ms: 500,
        ..Behaviour::default()
    };
    cluster.set_behaviour("engine-0", &slow);
    let url = cluster.entry_url("entry-0");
    // Outlasts the test, which does not wait for it.
    std::thread::spawn(move || request_completion(&url, "arima", "long", 1_000, 600_000));
    wait_for("the call runs", || {
        let records: Records = cluster.records("engine-0");
        (records.runs.len() == 1).then_some(())
    });
    cluster.apply("entry-0", &intent("v2", 1, 1));
    wait_for("the drain timed out", || {
        let url = format!("{}/timeline", cluster.operator_url("engine-0"));
        let events: Vec<EventRecord> = get(&url)?;
        let mut names = events.iter().map(|e| &*e.event);
        names.any(|name| name == "DrainTimedOut").then_some(())
    });
    let settings = &cluster.deployment.platform;
    let platform = HttpPlatform::new(&settings.url, &settings.origin_url, PLATFORM_TIMEOUT_MS);
    let next = LeaseManager::new(platform, "next", Duration::from_secs(60));
    wait_for("the lease is free", || {
        next.acquire("runner/engine-0", 1).ok()
    });
    assert_eq!(cluster.records::<Records>("engine-0").loads.len(), 1);
}
