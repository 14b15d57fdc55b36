//! The entry: takes requests of callers and sends them to backend servers.

mod answer;
mod attempt;
mod board;
mod call;
mod events;
mod listener;
mod loads;
mod plain;
mod refusal;
mod request;
mod search;
mod shared;
mod stream;
mod ticket;

pub use board::Board;
pub use call::Call;
pub use events::EventReader;
pub use listener::{serve_callers, serve_probe};
pub use refusal::Refusal;
pub use shared::Entry;
pub use ticket::Ticket;
