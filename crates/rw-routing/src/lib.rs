//! Decides which host answers a call, who waits and who is refused. No I/O.

mod circuit;
mod policy;
mod queue;
mod retry;
mod router;

pub use circuit::Circuit;
pub use policy::{Affinity, AnyPolicy, Candidate, LeastLoaded, Policy, Random, RoundRobin};
pub use queue::{FairQueue, Refusal, Waiting};
pub use retry::RetryBudget;
pub use router::{Pick, Router, Want};
