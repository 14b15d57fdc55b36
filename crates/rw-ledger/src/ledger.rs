use rw_coord::{unix_ms, ConditionalWrite, GroupCommit, IndexUpdate, WriteOutcome};
use rw_platform::{ObjectStore, Put, TableService};
use rw_protocol::{chunk_hash, Claim, ClaimState, Name};

use crate::{Error, Result};

/// Largest answer that is stored in the table row itself, in bytes; larger ones go
/// to the object store.
const MAX_INLINE_BYTES: usize = 16 << 10;
/// Prefix of a stored body that refers to an object instead of holding the answer.
const OBJECT_PREFIX: &str = "object:";
/// Maximum writes that wait for the group commit.
const MAX_QUEUED_WRITES: usize = 4096;

/// A request to claim a call that may run at most once.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimRequest {
    /// Team of the caller.
    pub team: Name,
    /// Idempotency key that the caller sent.
    pub key: Name,
    /// Hash of the service, operation and body.
    pub hash: Name,
    /// Random id of this attempt to run the call.
    pub attempt: u64,
    /// Time limit of the call in ms; `None` for the default deadline.
    pub timeout_ms: Option<u64>,
}

/// A claim that this process holds and has to close.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenClaim {
    claim: Claim,
    version: u64,
}

/// Outcome of a claim: whether the call may run.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimOutcome {
    /// The call may run. Close the claim afterwards.
    Claimed(OpenClaim),
    /// The call ran before and was answered with this status and body.
    Answered(u32, Vec<u8>),
    /// The call is running or its outcome is unknown.
    Started {
        /// Unix time of the claim in ms.
        at_ms: u64,
        /// Time limit of the call in ms; `None` for the default deadline.
        timeout_ms: Option<u64>,
    },
    /// The key was used before, with another request.
    Mismatch,
}

/// Outcome of a claimed call.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordedOutcome {
    /// The call ran and was answered with this status and body.
    Answered(u32, Vec<u8>),
    /// The call did not run and will not run.
    NotRun,
}

/// Stores claims in the table service. Concurrent writes share transactions.
#[derive(Clone)]
pub struct Ledger<P> {
    platform: P,
    commit: GroupCommit,
    owner: Name,
}

fn claim_key(team: &str, key: &str) -> String {
    format!("claim/{team}/{key}")
}

fn started(claim: &Claim) -> ClaimOutcome {
    ClaimOutcome::Started {
        at_ms: claim.at_ms,
        timeout_ms: claim.timeout_ms,
    }
}

fn index_key(attempt: u64) -> String {
    format!("open/{attempt:016x}")
}

impl<P: TableService + ObjectStore + Clone> Ledger<P> {
    /// Creates a ledger whose claims name `owner`.
    pub fn new(platform: P, owner: Name) -> Self {
        Ledger {
            commit: GroupCommit::start(platform.clone(), MAX_QUEUED_WRITES),
            platform,
            owner,
        }
    }

    /// Claims a call before it is dispatched. This function blocks.
    ///
    /// After [`Error::NoAnswer`] and [`Error::Unknown`] the same attempt may be
    /// claimed again: at most one of its writes takes effect.
    pub fn claim(&self, req: &ClaimRequest) -> Result<ClaimOutcome> {
        let key = claim_key(&req.team, &req.key);
        let row = self.platform.read(&key)?;
        let Some(row) = row else {
            return self.write_claim(req, 0);
        };
        let claim = parse(&key, &row.value)?;
        if claim.state == ClaimState::NotRun && claim.request_hash == req.hash {
            return self.write_claim(req, row.version);
        }
        self.recorded_claim(req, claim, row.version)
    }

    fn new_claim(&self, req: &ClaimRequest) -> Claim {
        Claim {
            team: req.team.clone(),
            key: req.key.clone(),
            request_hash: req.hash.clone(),
            attempt: req.attempt,
            state: ClaimState::Started,
            status: 0,
            body: String::new(),
            owner: self.owner.clone(),
            at_ms: unix_ms(),
            timeout_ms: req.timeout_ms,
        }
    }

    fn write_claim(&self, req: &ClaimRequest, version: u64) -> Result<ClaimOutcome> {
        let claim = self.new_claim(req);
        let index = IndexUpdate::Put(Put {
            key: index_key(req.attempt),
            value: claim_key(&req.team, &req.key),
        });
        match self.write(&claim, version, index)? {
            WriteOutcome::Written(version) => {
                Ok(ClaimOutcome::Claimed(OpenClaim { claim, version }))
            }
            WriteOutcome::Conflict => self.resolve_conflict(req),
            WriteOutcome::Refused(msg) => Err(Error::Unavailable(msg)),
            WriteOutcome::Unknown(msg) => Err(Error::Unknown(msg)),
        }
    }

    // Another write to the key took effect first: returns its outcome.
    fn resolve_conflict(&self, req: &ClaimRequest) -> Result<ClaimOutcome> {
        let key = claim_key(&req.team, &req.key);
        let Some(row) = self.platform.read(&key)? else {
            return Err(Error::Unavailable("the claim vanished".to_string()));
        };
        self.recorded_claim(req, parse(&key, &row.value)?, row.version)
    }

    fn recorded_claim(
        &self,
        req: &ClaimRequest,
        claim: Claim,
        version: u64,
    ) -> Result<ClaimOutcome> {
        if claim.request_hash != req.hash {
            return Ok(ClaimOutcome::Mismatch);
        }
        match claim.state {
            ClaimState::Answered => self.recorded_answer(claim),
            // An earlier write of this attempt, whose answer was lost.
            ClaimState::Started if claim.attempt == req.attempt => {
                Ok(ClaimOutcome::Claimed(OpenClaim { claim, version }))
            }
            _ => Ok(started(&claim)),
        }
    }

    fn recorded_answer(&self, claim: Claim) -> Result<ClaimOutcome> {
        let body = match claim.body.strip_prefix(OBJECT_PREFIX) {
            Some(reference) => self.read_object(reference)?,
            None => claim.body.into_bytes(),
        };
        Ok(ClaimOutcome::Answered(claim.status, body))
    }

    /// Records the outcome of a claimed call. This function blocks.
    ///
    /// A claim whose call has an unknown outcome must stay open, for operators to
    /// resolve.
    pub fn close(&self, open: OpenClaim, outcome: RecordedOutcome) -> Result<()> {
        let index = IndexUpdate::Delete(index_key(open.claim.attempt));
        let version = open.version;
        let mut claim = open.claim;
        match outcome {
            RecordedOutcome::NotRun => claim.state = ClaimState::NotRun,
            RecordedOutcome::Answered(status, body) => {
                claim.state = ClaimState::Answered;
                claim.status = status;
                claim.body = self.store_answer(&claim, body)?;
            }
        }
        match self.write(&claim, version, index)? {
            WriteOutcome::Written(_) => Ok(()),
            WriteOutcome::Conflict => Err(Error::Corrupt(claim_key(&claim.team, &claim.key))),
            WriteOutcome::Refused(msg) => Err(Error::Unavailable(msg)),
            WriteOutcome::Unknown(msg) => Err(Error::Unknown(msg)),
        }
    }

    /// Closes a claim as not run, although the outcome of its write is unknown. This
    /// function blocks.
    ///
    /// The write may still be on its way to the table service. A row that it could
    /// change is therefore written, so that it conflicts.
    pub fn withdraw(&self, req: &ClaimRequest) -> Result<()> {
        let key = claim_key(&req.team, &req.key);
        let (claim, version) = match self.platform.read(&key)? {
            None => (self.new_claim(req), 0),
            Some(row) => (parse(&key, &row.value)?, row.version),
        };
        let claim = match claim.state {
            ClaimState::NotRun if claim.attempt != req.attempt => self.new_claim(req),
            ClaimState::Started if claim.attempt == req.attempt => claim,
            _ => return Ok(()),
        };
        self.close(OpenClaim { claim, version }, RecordedOutcome::NotRun)
    }

    fn store_answer(&self, claim: &Claim, body: Vec<u8>) -> Result<String> {
        match String::from_utf8(body) {
            Ok(text) if text.len() <= MAX_INLINE_BYTES && !text.starts_with(OBJECT_PREFIX) => {
                Ok(text)
            }
            Ok(text) => self.store_object(claim, text.as_bytes()),
            Err(err) => self.store_object(claim, err.as_bytes()),
        }
    }

    fn store_object(&self, claim: &Claim, body: &[u8]) -> Result<String> {
        let key = format!("answer/{:016x}", claim.attempt);
        self.platform.put(&key, body)?;
        Ok(format!("{OBJECT_PREFIX}{key}#{}", chunk_hash(body)))
    }

    // The reference contains a hash, so that a truncated object is never returned as
    // the recorded answer.
    fn read_object(&self, reference: &str) -> Result<Vec<u8>> {
        let (key, hash) = reference.split_once('#').unwrap_or((reference, ""));
        let body = self.platform.get(key)?;
        match *chunk_hash(&body) == *hash {
            true => Ok(body),
            false => Err(Error::Unavailable(format!("object {key} is damaged"))),
        }
    }

    fn write(&self, claim: &Claim, version: u64, index: IndexUpdate) -> Result<WriteOutcome> {
        let key = claim_key(&claim.team, &claim.key);
        let value = serde_json::to_string(claim).map_err(|_| Error::Corrupt(key.clone()))?;
        let rx = self.commit.submit(ConditionalWrite {
            key,
            version,
            value,
            index,
        });
        rx.recv()
            .map_err(|_| Error::Unavailable("shut down".to_string()))
    }
}

pub(crate) fn parse(key: &str, value: &str) -> Result<Claim> {
    serde_json::from_str(value).map_err(|_| Error::Corrupt(key.to_string()))
}
