//! Request routing: host and engine selection, queueing, load shedding, retry
//! budgets and circuit breaking. Performs no I/O.

mod circuit_breaker;
mod connection_table;
mod engine;
mod engine_selection;
mod evacuation;
mod memory_account;
mod poison;
mod policy;
mod prompt_reuse;
mod queue;
mod residency;
mod retry;
mod router;
mod server_limits;
mod server_notices;
mod server_outlook;
mod slot_rotation;
mod slowdown;
mod windowed_retry;

pub use circuit_breaker::CircuitBreaker;
pub use connection_table::{ConnectionActivity, ConnectionRoom, ConnectionTable};
pub use engine::{EngineLoad, EngineProfile};
pub use engine_selection::{select_engine, EngineCandidate, EngineSelection, RequestRequirements};
pub use evacuation::{evacuation_share, is_within_share, return_share};
pub use memory_account::{MemoryAccount, MemoryGrant, MemoryLimits};
pub use poison::{
    is_request, request_prefix, CrashedServer, PoisonDetector, PoisonReport, Quarantine,
    ServiceServers, SuspectedCrash,
};
pub use policy::{
    Affinity, AnyPolicy, HostCandidate, LeastLoaded, LoadBalancingPolicy, Random, RoundRobin,
};
pub use prompt_reuse::{HeldPrompts, PromptChain, PromptRetention, Reuse};
pub use queue::{FairQueue, QueuedRequest, Refusal};
pub use residency::allows_region;
pub use retry::RetryBudget;
pub use router::{HostQuery, HostSelection, Router};
pub use server_limits::{
    cold_quota, AskOutcome, ColdShare, EntryMembership, LimitChange, LimitCoordinator, LimitIssuer,
    LimitNews, LimitObservation, LimitUsage, PermitAsk, PermitDecision, PermitRefusal, PermitReply,
    PermitRequest, PermitTarget, ServerLifetime,
};
pub use server_notices::{ServerAdmission, ServerNotices};
pub use server_outlook::{LoadNotice, ServerOutlook};
pub use slot_rotation::{EntryPosition, SlotRotation};
pub use slowdown::{median, slowdown, FirstEventTracker};
pub use windowed_retry::{ExtraRetries, WindowedRetryBudget};
