//! How a daemon that knows no other finds the entries.

use std::sync::Arc;
use std::time::Duration;

use rw_protocol::{Name, PeerReply, PeerRequest, RowsRequest, StoredRow, TableVersion};
use tokio::time::Instant;

use crate::{Cx, Dialect};

/// Time for one answer of a seed. A machine that is just starting does not
/// answer a connection that was opened before, so another is opened soon.
const SEED_TRY: Duration = Duration::from_millis(150);
/// Time for the names of entries from the seeds, some of which may be dark.
const SEED_LIMIT: Duration = Duration::from_millis(800);
/// Pause between tries of a host that knows nothing yet: a fleet that starts at
/// once serves nothing until its hosts know what to load.
pub(crate) const START_RETRY: Duration = Duration::from_millis(50);

/// Learns only which entries there are, so that the rest comes from a near one.
pub async fn find_entries<D: Dialect>(cx: &Arc<Cx<D>>) {
    let tables = cx.dialect.tables();
    let beyond = |table: &str| TableVersion {
        table: Name::from(table),
        version: u64::MAX,
    };
    let req = PeerRequest::Rows(RowsRequest {
        known: vec![beyond(tables.operator), beyond(tables.servers)],
        wait_ms: (SEED_TRY / 2).as_millis() as u64,
    });
    let (tx, rx) = flume::bounded(cx.site.seeds.len().max(1));
    for seed in &cx.site.seeds {
        tokio::spawn(ask_seed(cx.clone(), seed.clone(), req.clone(), tx.clone()));
    }
    drop(tx);
    if let Ok(rows) = rx.recv_async().await {
        cx.beliefs.apply(rows, &[]);
    }
}

// A seed may be about to start, as may all of the fleet.
async fn ask_seed<D: Dialect>(
    cx: Arc<Cx<D>>,
    seed: Name,
    req: PeerRequest,
    tx: flume::Sender<Vec<StoredRow>>,
) {
    let until = Instant::now() + SEED_LIMIT;
    while Instant::now() < until && !tx.is_disconnected() {
        match cx.pool.request(&seed, &req, SEED_TRY).await {
            Ok(PeerReply::Rows(reply)) if !reply.rows.is_empty() => {
                // The first answer is enough; later ones find no receiver.
                if tx.send(reply.rows).is_err() {
                    log::debug!("seed {seed} answered after another");
                }
                return;
            }
            Ok(_) => log::debug!("seed {seed} knows no entries yet"),
            Err(err) => log::debug!("seed {seed}: {err}"),
        }
        tokio::time::sleep(START_RETRY).await;
    }
}
