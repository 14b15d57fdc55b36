//! Host role: the daemon beside one backend server.

mod admission;
mod backend_reconciler;
mod calls;
mod transfer;
mod weights;

pub use admission::{AdmissionController, Rejection, Slot};
pub use backend_reconciler::reconcile_backend;
pub use calls::serve_call;
pub use transfer::download_weights;
pub use weights::WeightCache;
