//! Host role: the daemon beside one backend server.

mod admission;
mod calls;
mod runner;
mod transfer;
mod weights;

pub use admission::{AdmissionController, Rejection, Slot};
pub use calls::run_call;
pub use runner::run_backend;
pub use transfer::collect;
pub use weights::Weights;
