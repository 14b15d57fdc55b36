//! The entry role: accepts callers' requests and forwards them to backend
//! servers.

mod attempt;
mod call;
mod caller_connection;
mod caller_socket;
mod disconnects;
mod events;
mod limit_guard;
mod limited_selection;
mod listener;
mod load_state;
mod load_tracker;
mod named_limit;
mod notice_log;
mod open_attempts;
mod permit;
mod poison_guard;
mod refusal;
mod request;
mod residency;
mod response;
mod server_notice;
mod shared;
mod shutdown;
mod stream;
mod stream_attempt;
mod stream_opener;
mod unary;
mod weights_guard;

pub use call::Call;
pub use caller_connection::{CallerConnections, ConnectionCounts};
pub use caller_socket::{CallerSocket, SocketObserver};
pub use events::EventReader;
pub use limit_guard::{grant_permits, LimitGuard};
pub(crate) use limit_guard::{Asked, TimedReply};
pub use listener::{serve_callers, serve_probe};
pub use load_tracker::LoadTracker;
pub use named_limit::NamedLimit;
pub use permit::SlotPermit;
pub use poison_guard::PoisonGuard;
pub use refusal::Refusal;
pub use server_notice::ServerNotice;
pub use shared::Entry;
pub use shutdown::{Shutdown, Stages};
pub(crate) use weights_guard::watch_weights;
pub use weights_guard::OutdatedWeights;
