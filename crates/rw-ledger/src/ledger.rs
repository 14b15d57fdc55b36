use rw_coord::{unix_ms, ConditionalWrite, GroupCommit, IndexUpdate, WriteOutcome};
use rw_platform::{ObjectStore, Put, TableService};
use rw_protocol::{chunk_hash, Claim, ClaimState, Name};

use crate::{Error, Result};

/// Largest answer that is kept in the table row itself, in bytes.
const INLINE_BYTES: usize = 16 << 10;
/// Marks a row whose answer is an object.
const IN_OBJECT: &str = "object:";
/// Writes that wait for the group commit.
const BACKLOG: usize = 4096;

/// What identifies a call that may run once.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Team of the caller.
    pub team: Name,
    /// Idempotency key of the caller.
    pub key: Name,
    /// Hash of service, operation and body.
    pub hash: Name,
    /// Random id of this dispatch.
    pub attempt: u64,
}

/// A claim that this process made and has to close.
#[derive(Clone, Debug, PartialEq)]
pub struct Open {
    claim: Claim,
    version: u64,
}

/// Whether a call may run.
#[derive(Clone, Debug, PartialEq)]
pub enum Begin {
    /// It may run; close the claim afterwards.
    Run(Open),
    /// It ran before; this is its answer.
    Answered(u32, Vec<u8>),
    /// It is running or its end is not known; since this Unix time in ms.
    Started(u64),
    /// The key belongs to another request.
    Mismatch,
}

/// How a claimed call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// It ran and was answered with this status and body.
    Answered(u32, Vec<u8>),
    /// It did not run and will not.
    NotRun,
}

/// Claims in the table service, written in groups.
#[derive(Clone)]
pub struct Ledger<P> {
    platform: P,
    commit: GroupCommit,
    owner: Name,
}

fn claim_key(team: &str, key: &str) -> String {
    format!("claim/{team}/{key}")
}

fn index_key(attempt: u64) -> String {
    format!("open/{attempt:016x}")
}

impl<P: TableService + ObjectStore + Clone> Ledger<P> {
    /// A ledger that makes claims in the name of `owner`.
    pub fn new(platform: P, owner: Name) -> Self {
        Ledger {
            commit: GroupCommit::start(platform.clone(), BACKLOG),
            platform,
            owner,
        }
    }

    /// Claims a call before it is dispatched. Blocks.
    pub fn begin(&self, req: &Request) -> Result<Begin> {
        let key = claim_key(&req.team, &req.key);
        let row = self.platform.read(&key)?;
        let Some(row) = row else {
            return self.claim(req, 0);
        };
        let claim = parse(&key, &row.value)?;
        if claim.request_hash != req.hash {
            return Ok(Begin::Mismatch);
        }
        match claim.state {
            ClaimState::Answered => self.recorded(claim),
            ClaimState::Started => Ok(Begin::Started(claim.at_ms)),
            ClaimState::NotRun => self.claim(req, row.version),
        }
    }

    fn claim(&self, req: &Request, version: u64) -> Result<Begin> {
        let claim = Claim {
            team: req.team.clone(),
            key: req.key.clone(),
            request_hash: req.hash.clone(),
            attempt: req.attempt,
            state: ClaimState::Started,
            status: 0,
            body: String::new(),
            owner: self.owner.clone(),
            at_ms: unix_ms(),
        };
        let index = IndexUpdate::Put(Put {
            key: index_key(req.attempt),
            value: claim_key(&req.team, &req.key),
        });
        match self.write(&claim, version, index)? {
            WriteOutcome::Written(version) => Ok(Begin::Run(Open { claim, version })),
            WriteOutcome::Conflict => self.lost_race(req),
            WriteOutcome::Refused(msg) => Err(Error::Unavailable(msg)),
            WriteOutcome::Unknown(msg) => Err(Error::Unknown(msg)),
        }
    }

    // Another dispatch of the same key was faster: report what it did.
    fn lost_race(&self, req: &Request) -> Result<Begin> {
        let key = claim_key(&req.team, &req.key);
        let Some(row) = self.platform.read(&key)? else {
            return Err(Error::Unavailable("the claim vanished".to_string()));
        };
        let claim = parse(&key, &row.value)?;
        if claim.request_hash != req.hash {
            return Ok(Begin::Mismatch);
        }
        match claim.state {
            ClaimState::Answered => self.recorded(claim),
            _ => Ok(Begin::Started(claim.at_ms)),
        }
    }

    fn recorded(&self, claim: Claim) -> Result<Begin> {
        let body = match claim.body.strip_prefix(IN_OBJECT) {
            Some(reference) => self.read_object(reference)?,
            None => claim.body.into_bytes(),
        };
        Ok(Begin::Answered(claim.status, body))
    }

    /// Records how a claimed call ended. Blocks. A call whose end is not known
    /// is left open, for operators to settle.
    pub fn close(&self, open: Open, end: End) -> Result<()> {
        let index = IndexUpdate::Delete(index_key(open.claim.attempt));
        let version = open.version;
        let mut claim = open.claim;
        match end {
            End::NotRun => claim.state = ClaimState::NotRun,
            End::Answered(status, body) => {
                claim.state = ClaimState::Answered;
                claim.status = status;
                claim.body = self.store(&claim, body)?;
            }
        }
        match self.write(&claim, version, index)? {
            WriteOutcome::Written(_) => Ok(()),
            WriteOutcome::Conflict => Err(Error::Corrupt(claim_key(&claim.team, &claim.key))),
            WriteOutcome::Refused(msg) => Err(Error::Unavailable(msg)),
            WriteOutcome::Unknown(msg) => Err(Error::Unknown(msg)),
        }
    }

    /// Closes a claim as not run, if the lost write that made it took effect.
    /// Blocks.
    pub fn withdraw(&self, req: &Request) -> Result<()> {
        let key = claim_key(&req.team, &req.key);
        let Some(row) = self.platform.read(&key)? else {
            return Ok(());
        };
        let claim = parse(&key, &row.value)?;
        if claim.attempt != req.attempt || claim.state != ClaimState::Started {
            return Ok(());
        }
        let version = row.version;
        self.close(Open { claim, version }, End::NotRun)
    }

    fn store(&self, claim: &Claim, body: Vec<u8>) -> Result<String> {
        match String::from_utf8(body) {
            Ok(text) if text.len() <= INLINE_BYTES && !text.starts_with(IN_OBJECT) => Ok(text),
            Ok(text) => self.store_object(claim, text.as_bytes()),
            Err(err) => self.store_object(claim, err.as_bytes()),
        }
    }

    fn store_object(&self, claim: &Claim, body: &[u8]) -> Result<String> {
        let key = format!("answer/{:016x}", claim.attempt);
        self.platform.put(&key, body)?;
        Ok(format!("{IN_OBJECT}{key}#{}", chunk_hash(body)))
    }

    // The reference carries a hash, so that a cut answer is never taken for
    // the recorded one.
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
