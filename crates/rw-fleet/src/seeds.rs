//! Discovery of entries by a daemon that knows no other.

use std::sync::Arc;
use std::time::Duration;

use rw_protocol::{Name, PeerReply, PeerRequest, RowsRequest, StoredRow, TableVersion};
use tokio::time::Instant;

use crate::{Cx, PlatformCodec};

/// Timeout of one request to a seed. A machine that is just starting does not
/// answer on a connection opened earlier, so another one is opened soon.
const SEED_REQUEST_TIMEOUT: Duration = Duration::from_millis(150);
/// Time limit for requests to one seed, including retries; some seeds may be
/// unreachable.
const SEED_DEADLINE: Duration = Duration::from_millis(800);
/// Retry delay of a host without configuration: a fleet whose hosts start
/// together serves nothing until they know which weights to load.
pub(crate) const STARTUP_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Reads the table of daemons from a seed. The other tables are read from a
/// nearby entry afterwards.
pub async fn discover_entries<D: PlatformCodec>(cx: &Arc<Cx<D>>) {
    let tables = cx.codec.tables();
    let already_known = |table: &str| TableVersion {
        table: Name::from(table),
        version: u64::MAX,
    };
    let req = PeerRequest::Rows(RowsRequest {
        known: vec![
            already_known(tables.operator),
            already_known(tables.servers),
        ],
        wait_ms: (SEED_REQUEST_TIMEOUT / 2).as_millis() as u64,
    });
    let (tx, rx) = flume::bounded(cx.settings.seeds.len().max(1));
    for seed in &cx.settings.seeds {
        tokio::spawn(query_seed(
            cx.clone(),
            seed.clone(),
            req.clone(),
            tx.clone(),
        ));
    }
    drop(tx);
    if let Ok(rows) = rx.recv_async().await {
        cx.cluster.apply(rows, &[]);
    }
}

// Retries, since seeds may be starting at the same time.
async fn query_seed<D: PlatformCodec>(
    cx: Arc<Cx<D>>,
    seed: Name,
    req: PeerRequest,
    tx: flume::Sender<Vec<StoredRow>>,
) {
    let until = Instant::now() + SEED_DEADLINE;
    while Instant::now() < until && !tx.is_disconnected() {
        match cx.pool.request(&seed, &req, SEED_REQUEST_TIMEOUT).await {
            Ok(PeerReply::Rows(reply)) if !reply.rows.is_empty() => {
                // Only the first response is used; later ones find no receiver.
                if tx.send(reply.rows).is_err() {
                    log::debug!("dropping the rows of seed {seed}: another seed answered first");
                }
                return;
            }
            Ok(_) => log::debug!("seed {seed} knows no entries yet, retrying"),
            Err(err) => log::debug!("requesting rows from seed {seed} failed, retrying: {err}"),
        }
        tokio::time::sleep(STARTUP_RETRY_DELAY).await;
    }
}
