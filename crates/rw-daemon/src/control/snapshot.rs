//! Snapshots of the configuration in the object store. They bound the length of
//! the table's log and the work of a starting daemon.

use rw_observe::Event;
use rw_platform::{Condition, HttpPlatform, ObjectStore, Put, TableService, Transaction};
use rw_protocol::Snapshot;

use crate::Context;

/// Generations between two snapshots.
pub const SNAPSHOT_INTERVAL: u64 = 64;
/// Generations before a snapshot that remain in the table's log.
const RETAINED_GENERATIONS: u64 = 512;
/// Limit on the rows that one snapshot deletes.
const MAX_DELETES: usize = 256;
const POINTER_KEY: &str = "config/snapshot";

/// Reads the newest snapshot from the platform.
pub fn read(platform: &HttpPlatform) -> rw_platform::Result<Option<Snapshot>> {
    let Some(row) = platform.read(POINTER_KEY)? else {
        return Ok(None);
    };
    let body = platform.get(&object_key(&row.value))?;
    let parsed = serde_json::from_slice(&body);
    parsed
        .map(Some)
        .map_err(|err| rw_platform::Error::Malformed(err.to_string()))
}

/// Restores a snapshot if it is newer than the configuration.
pub fn restore(cx: &Context, snapshot: Snapshot) {
    let head = snapshot.head;
    if cx.view.restore(snapshot) {
        cx.recorder
            .emit(Event::SnapshotRestored, &format!("generation={head}"));
    }
}

/// Writes a snapshot if the last one is [`SNAPSHOT_INTERVAL`] or more generations
/// behind, and deletes log entries that it makes obsolete. Daemons that do so at
/// the same time write identical objects; only one of them updates the pointer.
pub fn write_if_due(cx: &Context) -> rw_platform::Result<()> {
    let head = cx.view.read().cfg.head();
    let pointer = cx.platform.read(POINTER_KEY)?;
    let last_head: u64 = pointer
        .as_ref()
        .and_then(|row| row.value.parse().ok())
        .unwrap_or(0);
    if head < last_head + SNAPSHOT_INTERVAL {
        return Ok(());
    }
    let snapshot = cx.view.read().cfg.snapshot();
    let number = snapshot.head.to_string();
    let body = serde_json::to_vec(&snapshot)
        .map_err(|err| rw_platform::Error::Malformed(err.to_string()))?;
    cx.platform.put(&object_key(&number), &body)?;
    let obsolete = obsolete_entries(cx, snapshot.head)?;
    let txn = Transaction {
        conditions: vec![Condition {
            key: POINTER_KEY.to_string(),
            version: pointer.map_or(0, |row| row.version),
        }],
        puts: vec![Put {
            key: POINTER_KEY.to_string(),
            value: number,
        }],
        deletes: obsolete,
    };
    cx.platform.commit(&txn).map(drop)
}

fn object_key(number: &str) -> String {
    format!("snapshot/{number}")
}

fn obsolete_entries(cx: &Context, head: u64) -> rw_platform::Result<Vec<String>> {
    let before = format!(
        "config/entry/{:016}",
        head.saturating_sub(RETAINED_GENERATIONS)
    );
    let rows = cx.platform.scan("config/entry/", "", MAX_DELETES)?;
    let obsolete = rows
        .into_iter()
        .map(|row| row.key)
        .filter(|key| *key < before);
    Ok(obsolete.collect())
}
