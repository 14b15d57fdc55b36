//! Plain calls that may run at most once: a call with an idempotency key is
//! claimed in the ledger before it is dispatched.

use std::sync::Arc;
use std::time::Duration;

use rw_coord::{unix_ms, Backoff};
use rw_ledger::{ClaimOutcome, ClaimRequest, Error as LedgerError, OpenClaim, RecordedOutcome};
use rw_observe::Event;
use rw_protocol::{chunk_hash, rendezvous_rank, Name};
use tokio::task::JoinHandle;

use super::call::{run_call, BufferSink};
use super::caller_server::InFlightGuard;
use super::request::CallerRequest;
use super::respond::{CallOutcome, RequestError};
use super::Entry;

const RETRY_AFTER: Duration = Duration::from_secs(1);
const DEADLINE_PASSED: &str = "the deadline passed before the call was claimed";
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_secs(10);
/// Maximum delay between repeats of a claim, during which its caller waits.
const MAX_CLAIM_BACKOFF: Duration = Duration::from_secs(2);
/// Background attempts to close or withdraw a claim before it is reported as
/// unresolved and left to operators.
const MAX_CLOSE_ATTEMPTS: u32 = 30;
/// Time after its deadline during which a claimed call still counts as running.
const RUNNING_GRACE_MS: u64 = 5_000;

/// Runs a plain call and returns its complete answer. Calls that are not
/// idempotent and have a key are claimed in the ledger first.
pub async fn run_plain_call(entry: &Arc<Entry>, call: &CallerRequest) -> CallOutcome {
    if call.idempotent || call.idempotency_key.is_empty() {
        return run_call(entry, call, &mut BufferSink::default()).await;
    }
    let expires_at = entry.cx.now() + call.timeout;
    let mut task = tokio::spawn(claim(entry.clone(), call.clone(), expires_at));
    let Ok(claimed) = tokio::time::timeout(call.timeout, &mut task).await else {
        tokio::spawn(abandon_claim(entry.clone(), task));
        return CallOutcome::NotRun(DEADLINE_PASSED.to_string(), RETRY_AFTER);
    };
    match claimed {
        Ok(Ok(ClaimOutcome::Claimed(open))) => {
            let time_left = expires_at.saturating_sub(entry.cx.now());
            let call = CallerRequest {
                timeout: time_left,
                ..call.clone()
            };
            run_claimed(entry, &call, open).await
        }
        Ok(Ok(ClaimOutcome::Answered(status, body))) => CallOutcome::Answered(status, body),
        Ok(Ok(ClaimOutcome::Mismatch)) => CallOutcome::Refused(RequestError::key_reused()),
        Ok(Ok(ClaimOutcome::Started { at_ms, timeout_ms })) => {
            let default_ms = entry.cx.deployment.limits.default_deadline_ms;
            already_started(at_ms, timeout_ms.unwrap_or(default_ms))
        }
        // A claim that exists but cannot be read may belong to a call that ran.
        Ok(Err(err @ LedgerError::Corrupt(_))) => CallOutcome::Unknown(err.to_string()),
        Ok(Err(err)) => CallOutcome::NotRun(err.to_string(), RETRY_AFTER),
        Err(err) => CallOutcome::NotRun(err.to_string(), RETRY_AFTER),
    }
}

// A table service that does not answer may only be slow: the claim is repeated until
// the call's deadline. A table service that refuses ends the call at once.
async fn claim(
    entry: Arc<Entry>,
    call: CallerRequest,
    expires_at: Duration,
) -> rw_ledger::Result<ClaimOutcome> {
    let timeout_ms = call.timeout.as_millis() as u64;
    let default_ms = entry.cx.deployment.limits.default_deadline_ms;
    let req = ClaimRequest {
        team: call.team.clone(),
        key: call.idempotency_key.clone(),
        hash: request_hash(&call),
        attempt: rand::random(),
        // A claim without a time limit can also be read by entries of an older version.
        timeout_ms: (timeout_ms > default_ms).then_some(timeout_ms),
    };
    let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_CLAIM_BACKOFF, req.attempt);
    let mut may_be_written = false;
    let mut result = claim_once(&entry, &req).await;
    loop {
        let err = match result {
            Err(err) => err,
            Ok(outcome) => return Ok(outcome),
        };
        may_be_written |= matches!(err, LedgerError::Unknown(_));
        let delay = backoff.next_delay();
        let time_left = expires_at.saturating_sub(entry.cx.now());
        let turn = async {
            tokio::time::sleep(delay).await;
            entry.claim_repeats.acquire().await
        };
        let permit = match err.is_unanswered() && delay < time_left {
            true => tokio::time::timeout(time_left, turn).await.ok(),
            false => None,
        };
        let Some(_permit) = permit else {
            if may_be_written {
                tokio::spawn(withdraw_claim(entry.clone(), req));
            }
            return Err(err);
        };
        log::warn!("request={} claim is repeated: {err}", call.request_id);
        result = claim_once(&entry, &req).await;
    }
}

// The call was answered as not run while it was being claimed.
async fn abandon_claim(entry: Arc<Entry>, task: JoinHandle<rw_ledger::Result<ClaimOutcome>>) {
    let _in_flight = InFlightGuard::new(&entry);
    if let Ok(Ok(ClaimOutcome::Claimed(open))) = task.await {
        close_claim(&entry, open, RecordedOutcome::NotRun).await;
    }
}

async fn claim_once(entry: &Arc<Entry>, req: &ClaimRequest) -> rw_ledger::Result<ClaimOutcome> {
    let (ledger, req) = (entry.ledger.clone(), req.clone());
    let result = tokio::task::spawn_blocking(move || ledger.claim(&req)).await;
    result.unwrap_or_else(|err| Err(LedgerError::Unknown(err.to_string())))
}

async fn run_claimed(entry: &Arc<Entry>, call: &CallerRequest, open: OpenClaim) -> CallOutcome {
    let outcome = match call.timeout.is_zero() {
        true => CallOutcome::NotRun(DEADLINE_PASSED.to_string(), RETRY_AFTER),
        false => run_call(entry, call, &mut BufferSink::default()).await,
    };
    let recorded = match &outcome {
        CallOutcome::Answered(status, body) => {
            Some(RecordedOutcome::Answered(*status, body.clone()))
        }
        CallOutcome::NotRun(..) => Some(RecordedOutcome::NotRun),
        _ => None,
    };
    match recorded {
        Some(recorded) => close_claim(entry, open, recorded).await,
        None => {
            let detail = format!(
                "team={} key={} request={}",
                call.team, call.idempotency_key, call.request_id
            );
            entry.cx.recorder.emit(Event::ClaimUnresolved, &detail);
        }
    }
    outcome
}

// Makes one attempt, then continues in the background: the caller's answer must
// not wait for a platform that is down.
async fn close_claim(entry: &Arc<Entry>, open: OpenClaim, recorded: RecordedOutcome) {
    if !try_close_claim(entry, &open, &recorded).await {
        let entry = entry.clone();
        tokio::spawn(async move {
            let _in_flight = InFlightGuard::new(&entry);
            let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF, rand::random());
            for _ in 0..MAX_CLOSE_ATTEMPTS {
                tokio::time::sleep(backoff.next_delay()).await;
                if try_close_claim(&entry, &open, &recorded).await {
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

async fn try_close_claim(entry: &Arc<Entry>, open: &OpenClaim, recorded: &RecordedOutcome) -> bool {
    let (ledger, open, recorded) = (entry.ledger.clone(), open.clone(), recorded.clone());
    let closed = tokio::task::spawn_blocking(move || ledger.close(open, recorded)).await;
    matches!(closed, Ok(Ok(())))
}

fn already_started(at_ms: u64, timeout_ms: u64) -> CallOutcome {
    let max_running_ms = timeout_ms.saturating_add(RUNNING_GRACE_MS);
    if at_ms.saturating_add(max_running_ms) > unix_ms() {
        return CallOutcome::InProgress(RETRY_AFTER);
    }
    CallOutcome::Unknown("an earlier call with this idempotency key has an unknown end".to_string())
}

// The claim may have been written although the ledger's answer was lost. The call
// was not dispatched, so the claim is closed as not run once it can be read.
async fn withdraw_claim(entry: Arc<Entry>, req: ClaimRequest) {
    let _in_flight = InFlightGuard::new(&entry);
    let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF, req.attempt);
    for _ in 0..MAX_CLOSE_ATTEMPTS {
        tokio::time::sleep(backoff.next_delay()).await;
        let (ledger, claim_req) = (entry.ledger.clone(), req.clone());
        let result = tokio::task::spawn_blocking(move || ledger.withdraw(&claim_req)).await;
        if matches!(result, Ok(Ok(()))) {
            return;
        }
    }
    let detail = format!("team={} key={}", req.team, req.key);
    entry.cx.recorder.emit(Event::ClaimUnresolved, &detail);
}

fn request_hash(call: &CallerRequest) -> Name {
    let operation_hash = rendezvous_rank(&call.service, &call.operation);
    let mut buf = operation_hash.to_le_bytes().to_vec();
    buf.extend_from_slice(&call.body);
    chunk_hash(&buf)
}
