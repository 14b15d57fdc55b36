//! Membership and configuration: who is there, and what is confirmed.

mod gather;
mod poll;
mod push;
mod shared;
mod snapshot;
mod sync;
mod watch;

pub use gather::{gather, own_zone, status_of, statuses};
pub use poll::poll;
pub use push::{announce, push};
pub use shared::{Shared, View};
pub use sync::{answer_sync, receive_push, sync};
pub use watch::watch;
