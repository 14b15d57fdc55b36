//! The daemon beside one backend server.

mod admission;
mod calls;
mod handler;
mod runner;
mod status;
mod transfer;
mod weights;

pub use admission::{Admission, Refused, Slot};
pub use handler::HostHandler;
pub use runner::run_backend;
pub use status::StatusBoard;
pub use transfer::collect;
pub use weights::Weights;
