//! Request routing: host and engine selection, queueing, load shedding, retry
//! budgets and circuit breaking. Performs no I/O.

mod admission;
mod circuit_breaker;
mod engine;
mod engine_selection;
mod poison;
mod policy;
mod queue;
mod residency;
mod retry;
mod router;
mod server_limits;
mod server_notices;
mod slot_rotation;
mod slowdown;
mod windowed_retry;

pub use admission::{
    AdmissionDecision, AdmissionInputs, AdmissionQueue, AdmissionRequest, ServiceRoom, Ticket,
    Verdict,
};
pub use circuit_breaker::CircuitBreaker;
pub use engine::{EngineLoad, EngineProfile};
pub use engine_selection::{select_engine, EngineCandidate, EngineSelection, RequestRequirements};
pub use poison::{CrashedServer, PoisonDetector, PoisonReport, Quarantine, SuspectedCrash};
pub use policy::{
    Affinity, AnyPolicy, HostCandidate, LeastLoaded, LoadBalancingPolicy, Random, RoundRobin,
};
pub use queue::{FairQueue, QueuedRequest, Refusal};
pub use residency::allows_region;
pub use retry::RetryBudget;
pub use router::{HostQuery, HostSelection, Router};
pub use server_limits::{
    AskOutcome, EntryMembership, LimitChange, LimitCoordinator, LimitIssuer, LimitNews,
    LimitObservation, LimitUsage, PermitAsk, PermitDecision, PermitRefusal, PermitReply,
    PermitRequest, PermitTarget, ServerLifetime,
};
pub use server_notices::{ServerAdmission, ServerNotices};
pub use slot_rotation::{EntryPosition, SlotRotation};
pub use slowdown::{median, slowdown, FirstEventTracker};
pub use windowed_retry::{ExtraRetries, WindowedRetryBudget};
