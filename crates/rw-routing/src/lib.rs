//! Decides which host answers a call, who waits and who is refused. No I/O.

mod circuit;
mod engine;
mod placement;
mod policy;
mod queue;
mod retry;
mod router;
mod sharing;
mod slowness;
mod window;

pub use circuit::Circuit;
pub use engine::{EngineLoad, EngineProfile};
pub use placement::{place, Demand, EngineCandidate, Placed};
pub use policy::{Affinity, AnyPolicy, Candidate, LeastLoaded, Policy, Random, RoundRobin};
pub use queue::{FairQueue, Refusal, Waiting};
pub use retry::RetryBudget;
pub use router::{Pick, Router, Want};
pub use sharing::{Sharer, SlotTurns};
pub use slowness::{middle, slowness, FirstEvents};
pub use window::WindowBudget;
