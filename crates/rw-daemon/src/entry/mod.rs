//! The entry: takes callers' requests and brings each to a host.

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

use crate::Context;
use std::sync::Arc;

/// What an entry has beyond the common parts.
pub struct Entry {
    pub(crate) cx: Arc<Context>,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) ledger: Ledger<HttpPlatform>,
}

impl Entry {
    /// Joins the parts.
    pub fn new(cx: Arc<Context>, dispatcher: Dispatcher) -> Arc<Self> {
        let ledger = Ledger::new(cx.platform.clone(), cx.name.clone());
        Arc::new(Entry {
            cx,
            dispatcher,
            ledger,
        })
    }
}
