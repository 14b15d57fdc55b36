//! Calls that may run at most once.

use std::sync::Arc;
use std::time::Duration;

use rw_coord::{unix_ms, Backoff};
use rw_ledger::{CallOutcome, ClaimOutcome, ClaimRequest, OpenClaim};
use rw_observe::Event;
use rw_protocol::{chunk_hash, rank, Name};

use super::call::{run, Collect};
use super::callers::InFlight;
use super::request::CallerRequest;
use super::respond::{Outcome, Refused};
use super::Entry;

const RETRY_AFTER: Duration = Duration::from_secs(1);
const FIRST_PAUSE: Duration = Duration::from_millis(200);
const LAST_PAUSE: Duration = Duration::from_secs(10);
/// Tries to close a claim before it is left to operators.
const CLOSE_TRIES: u32 = 30;
/// Time beyond a call's deadline for which it counts as running.
const RUNNING_GRACE_MS: u64 = 5_000;

/// Runs a plain call and returns its whole answer.
pub async fn run_plain(entry: &Arc<Entry>, call: &CallerRequest) -> Outcome {
    if call.idempotent || call.key.is_empty() {
        return dispatch(entry, call).await;
    }
    let req = ClaimRequest {
        team: call.team.clone(),
        key: call.key.clone(),
        hash: request_hash(call),
        attempt: rand::random(),
    };
    let (ledger, claim) = (entry.ledger.clone(), req.clone());
    let begun = tokio::task::spawn_blocking(move || ledger.claim(&claim)).await;
    match begun {
        Ok(Ok(ClaimOutcome::Claimed(open))) => claimed(entry, call, open).await,
        Ok(Ok(ClaimOutcome::Answered(status, body))) => Outcome::Answered(status, body),
        Ok(Ok(ClaimOutcome::Mismatch)) => Outcome::Refused(Refused::key_reused()),
        Ok(Ok(ClaimOutcome::Started(at_ms))) => started(entry, at_ms),
        Ok(Err(err @ rw_ledger::Error::Unknown(_))) => {
            tokio::spawn(withdraw(entry.clone(), req));
            Outcome::NotRun(err.to_string(), RETRY_AFTER)
        }
        Ok(Err(err)) => Outcome::NotRun(err.to_string(), RETRY_AFTER),
        Err(err) => Outcome::NotRun(err.to_string(), RETRY_AFTER),
    }
}

async fn dispatch(entry: &Arc<Entry>, call: &CallerRequest) -> Outcome {
    let mut body = Collect::default();
    match run(entry, call, &mut body).await {
        Outcome::Answered(status, _) => Outcome::Answered(status, body.0),
        other => other,
    }
}

async fn claimed(entry: &Arc<Entry>, call: &CallerRequest, open: OpenClaim) -> Outcome {
    let outcome = dispatch(entry, call).await;
    let end = match &outcome {
        Outcome::Answered(status, body) => Some(CallOutcome::Answered(*status, body.clone())),
        Outcome::NotRun(..) => Some(CallOutcome::NotRun),
        _ => None,
    };
    match end {
        Some(end) => close(entry, open, end).await,
        None => {
            let detail = format!(
                "team={} key={} request={}",
                call.team, call.key, call.request_id
            );
            entry.cx.recorder.emit(Event::ClaimUnresolved, &detail);
        }
    }
    outcome
}

// The caller's answer does not wait for a platform that is down: one try, then
// the rest in the background.
async fn close(entry: &Arc<Entry>, open: OpenClaim, end: CallOutcome) {
    if !try_close(entry, &open, &end).await {
        let entry = entry.clone();
        tokio::spawn(async move {
            let _in_flight = InFlight::new(&entry);
            let mut backoff = Backoff::new(FIRST_PAUSE, LAST_PAUSE, rand::random());
            for _ in 0..CLOSE_TRIES {
                tokio::time::sleep(backoff.next_delay()).await;
                if try_close(&entry, &open, &end).await {
                    return;
                }
            }
            entry
                .cx
                .recorder
                .emit(Event::ClaimUnresolved, &format!("claim={open:?}"));
        });
    }
}

async fn try_close(entry: &Arc<Entry>, open: &OpenClaim, end: &CallOutcome) -> bool {
    let (ledger, open, end) = (entry.ledger.clone(), open.clone(), end.clone());
    let closed = tokio::task::spawn_blocking(move || ledger.close(open, end)).await;
    matches!(closed, Ok(Ok(())))
}

fn started(entry: &Entry, at_ms: u64) -> Outcome {
    let life_ms = entry.cx.deployment.limits.default_deadline_ms + RUNNING_GRACE_MS;
    if at_ms + life_ms > unix_ms() {
        return Outcome::InProgress(RETRY_AFTER);
    }
    Outcome::Unknown("an earlier call with this idempotency key has an unknown end".to_string())
}

// The claim may have been written though its answer was lost. The call was not
// dispatched, so the claim is closed as not run once it can be read.
async fn withdraw(entry: Arc<Entry>, req: ClaimRequest) {
    let _in_flight = InFlight::new(&entry);
    let mut backoff = Backoff::new(FIRST_PAUSE, LAST_PAUSE, req.attempt);
    for _ in 0..CLOSE_TRIES {
        tokio::time::sleep(backoff.next_delay()).await;
        let (ledger, claim) = (entry.ledger.clone(), req.clone());
        let done = tokio::task::spawn_blocking(move || ledger.withdraw(&claim)).await;
        if matches!(done, Ok(Ok(()))) {
            return;
        }
    }
    let detail = format!("team={} key={}", req.team, req.key);
    entry.cx.recorder.emit(Event::ClaimUnresolved, &detail);
}

fn request_hash(call: &CallerRequest) -> Name {
    let head = rank(&call.service, &call.operation);
    let mut buf = head.to_le_bytes().to_vec();
    buf.extend_from_slice(&call.body);
    chunk_hash(&buf)
}
