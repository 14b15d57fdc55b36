//! The entry role: accepts requests from callers and dispatches each to a host.

mod at_most_once;
mod call;
mod caller_server;
mod dispatcher;
mod host_status;
mod request;
mod respond;

pub use caller_server::serve_callers;
pub use dispatcher::{start_dispatcher, Dispatcher};
pub use host_status::track_host_status;

use rw_ledger::Ledger;
use rw_platform::HttpPlatform;
use tokio::sync::Semaphore;

use crate::Context;
use std::sync::Arc;

/// Claims that are repeated at the same time. Each takes a blocking thread until the
/// platform's time limit.
const MAX_CLAIM_REPEATS: usize = 64;

/// State of an entry, beyond the [`Context`] that every daemon has.
pub struct Entry {
    pub(crate) cx: Arc<Context>,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) ledger: Ledger<HttpPlatform>,
    pub(crate) claim_repeats: Semaphore,
}

impl Entry {
    /// Creates an entry; its ledger shares the context's platform client.
    pub fn new(cx: Arc<Context>, dispatcher: Dispatcher) -> Arc<Self> {
        let ledger = Ledger::new(cx.platform.clone(), cx.name.clone());
        Arc::new(Entry {
            cx,
            dispatcher,
            ledger,
            claim_repeats: Semaphore::new(MAX_CLAIM_REPEATS),
        })
    }
}
