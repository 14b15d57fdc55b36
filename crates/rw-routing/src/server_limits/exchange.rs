//! What entries tell and ask each other about limits.

use std::collections::BTreeMap;
use std::time::Duration;

use rw_protocol::Name;

use super::issuer::{PermitRefusal, PermitRequest};
use super::observation::{LimitObservation, ServerLifetime};

/// A change of a server's limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// The server.
    pub server: ServerLifetime,
    /// The new limit in requests per second; `None` if it ended.
    pub limit: Option<f64>,
}

/// Request for a permit, from one entry to another. Times are on the clock of the entry
/// that handles it.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitAsk {
    /// The server to which a request is to be sent.
    pub server: ServerLifetime,
    /// What the asking entry knows of its limit.
    pub observation: Option<LimitObservation>,
    /// Who asks, how urgently, and how long it waits.
    pub request: PermitRequest,
    /// Times that it was passed on.
    pub hops: u32,
}

/// Reply to a [`PermitAsk`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PermitReply {
    /// The request may be sent.
    Granted,
    /// It may be sent, and the server has no limit, as far as its owner knows.
    Unlimited,
    /// It may not be sent.
    Refused(PermitRefusal),
}

/// What becomes of a [`PermitAsk`].
#[derive(Clone, Debug, PartialEq)]
pub enum AskOutcome {
    /// The reply is known.
    Reply(PermitReply),
    /// [`LimitCoordinator::poll`](crate::LimitCoordinator::poll) returns the reply.
    Queued,
    /// Another entry has to be asked.
    Forward(Name),
}

/// Whom to ask for a permit.
#[derive(Clone, Debug, PartialEq)]
pub enum PermitTarget {
    /// Nobody: the server has no limit.
    None,
    /// This entry itself.
    Own,
    /// Another entry.
    Entry(Name),
}

/// What an entry tells the others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitNews {
    /// Limits of servers, also those that ended.
    pub limits: Vec<(ServerLifetime, LimitObservation)>,
    /// Entries from which it hears nothing.
    pub silent: Vec<Name>,
    /// Entries that it hears and from which others hear nothing.
    pub reachable: Vec<Name>,
}

/// How a limit is used, at the owner of its server.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitUsage {
    /// The server.
    pub server: ServerLifetime,
    /// The limit in requests per second.
    pub limit: f64,
    /// Time since the limit was first known here.
    pub age: Duration,
    /// Permits granted to each entry.
    pub granted: BTreeMap<Name, u64>,
    /// Requests for permits that were refused.
    pub refused: u64,
}
