//! The entry: takes requests of callers and sends them to backend servers.

mod answer;
mod attempt;
mod board;
mod call;
mod events;
mod listener;
mod plain;
mod refusal;
mod request;
mod search;
mod shared;
mod stream;

pub use board::{Board, Ticket};
pub use call::Call;
pub use events::EventReader;
pub use listener::{serve_callers, serve_probe};
pub use refusal::Refusal;
pub use shared::Entry;
