//! Membership and configuration: which daemons exist, and which intents are
//! confirmed.

mod poll;
mod push;
mod replace;
mod snapshot;
mod supervisor;
mod sync;
mod view;
mod zone_reports;

pub use poll::run_poller;
pub use push::{broadcast_generation, push_to_zone};
pub use replace::{replace_hosts_of_intent, Replacement};
pub use supervisor::run_supervisor;
pub use sync::{handle_push, handle_sync, run_sync};
pub use view::{ClusterView, SharedView};
pub use zone_reports::{collect_reports, fetch_status, fetch_statuses, own_zone_report};
