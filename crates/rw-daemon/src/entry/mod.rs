//! The entry: takes callers' requests and brings each to a host.

mod call;
mod callers;
mod dispatcher;
mod once;
mod request;
mod respond;
mod watchers;

pub use callers::serve_callers;
pub use dispatcher::{run_dispatcher, Dispatcher};
pub use watchers::watch_hosts;

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
