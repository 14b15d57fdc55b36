//! Limits on requests per second that backend servers name in their responses, and that
//! hold for all entries together.
//!
//! For each server with a limit one entry, its owner, grants permits at the pace of the
//! limit; every request to the server needs one. Entries agree on the owner by rendezvous
//! hashing among those that are alive. What an entry knows of a limit it tells the others.

mod cold_share;
mod coordinator;
mod exchange;
mod issuer;
mod limited_server;
mod membership;
mod observation;

pub use cold_share::{cold_quota, ColdShare};
pub use coordinator::LimitCoordinator;
pub use exchange::{
    AskOutcome, LimitChange, LimitNews, LimitUsage, PermitAsk, PermitReply, PermitTarget,
};
pub use issuer::{LimitIssuer, PermitDecision, PermitRefusal, PermitRequest};
pub use membership::EntryMembership;
pub use observation::{LimitObservation, ServerLifetime};
