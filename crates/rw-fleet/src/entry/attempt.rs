//! One attempt of a call at one backend server.

use std::sync::atomic::Ordering;
use std::time::Duration;

use http::header::CONTENT_ENCODING;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use rw_coord::uptime;
use rw_protocol::Name;
use tokio::time::timeout;

use super::load_notice::parse_load;
use super::server_notice::parse_cold;
use super::{Call, Entry, NamedLimit, OutdatedWeights, ServerNotice};
use crate::connect::{self, Connection};
use crate::limit_exchange::SendPermit;
use crate::read_budget::BudgetedBody;
use crate::{BackendServer, HeaderNames, PlatformCodec};

/// Time limit for connecting to a backend server. A host in another region
/// accepts within milliseconds, and a lost packet is resent only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Part of the caller's remaining time that is reserved for returning the
/// response.
const RETURN_MARGIN: Duration = Duration::from_millis(5);

/// Statuses of final responses; the HTTP library also accepts others of three digits.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// Why a call fails whose response the entry could not hold.
pub(super) const NO_MEMORY_REASON: &str = "no memory for the response";

/// Reason why an attempt gave no usable response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request was not sent.
    NotSent(String),
    /// The backend server reported that it did not execute the request.
    NotRun(StatusCode),
    /// The request was not sent, because the permit for it expired.
    PermitExpired,
    /// The request was not sent, because it may no longer be served in the server's region.
    RegionNotAllowed,
    /// The request was not sent, because the server's availability zone is evacuated.
    ZoneEvacuated,
    /// The request was not sent, because the server holds older weights than required.
    WeightsOutdated(OutdatedWeights),
    /// The request was not sent, because it is held back for the servers that crash under it.
    Quarantined,
    /// The request was sent, and cancelled because it had not begun when it had to on the
    /// weights of its server.
    WeightsExpired(OutdatedWeights),
    /// The server executed the request, with a status that its caller must not get.
    ServerError(StatusCode),
    /// The request was sent and may have been executed.
    Unknown(String),
    /// The request was sent, but this entry had no memory for the response.
    NoMemory,
    /// The request was sent, but no response arrived within a time limit.
    Timeout(TimeLimit),
}

/// The time limit that ended an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeLimit {
    /// Time that an attempt has if another one may follow.
    Attempt,
    /// Silence of a stream that its caller bears.
    Silence,
    /// Deadline of the call.
    Deadline,
}

/// Result of an attempt.
pub type Result<T> = std::result::Result<T, Failure>;

impl From<connect::Error> for Failure {
    fn from(err: connect::Error) -> Self {
        match err {
            connect::Error::Unreachable(msg) => Failure::NotSent(msg),
            connect::Error::Broken(msg) => Failure::Unknown(msg),
            connect::Error::NoMemory => Failure::NoMemory,
            connect::Error::Timeout => Failure::Timeout(TimeLimit::Deadline),
        }
    }
}

/// Options that differ between the attempts of a call.
#[derive(Clone, Debug, Default)]
pub struct AttemptOptions {
    /// Id of the last event that the caller has received; 0 if none.
    pub last_event_id: u64,
    /// Version of the weights that has to serve the request; `None` for any.
    pub weights_version: Option<u64>,
    /// Whether it is sent although it is quarantined.
    pub is_trial: bool,
}

/// Sends a call to a backend server. Returns the response head after checking
/// that it belongs to this call and that the call was executed. Records what the
/// server says about itself.
pub async fn send<D: PlatformCodec>(
    entry: &Entry<D>,
    call: &Call,
    server: &BackendServer,
    options: &AttemptOptions,
    permit: SendPermit,
    limit: Duration,
) -> Result<(Connection, Response<BudgetedBody>)> {
    let names = entry.cx.codec.headers();
    let mut conn = Connection::open(server.addr, CONNECT_TIMEOUT.min(call.time_left())).await?;
    let req = request(call, &server.id, names, options)?;
    if permit.is_expired() {
        return Err(Failure::PermitExpired);
    }
    entry.check_hold(call, options.is_trial)?;
    entry.check_region(call, server)?;
    entry.check_zone(server)?;
    // Weights may have come due while the call waited for a permit or the connection.
    entry.check_weights(call, server)?;
    call.sent.store(true, Ordering::Relaxed);
    let sent_at = uptime();
    let head = async {
        let res = timeout(limit, conn.send(req)).await;
        Ok(res.map_err(|_| timed_out(call))??)
    };
    let res = entry.begin_in_time(call, server, head).await?;
    let notice = ServerNotice::parse(res.status(), res.headers(), names);
    entry.load_tracker.on_notice(server, &notice);
    if !is_to_other_request(call, names, &res) {
        entry.on_cold_notice(server, parse_cold(res.status(), res.headers(), names));
        if let Some(load) = parse_load(res.status(), res.headers(), names) {
            entry.load_tracker.on_load_notice(server, load);
        }
        let named = NamedLimit::parse(res.status(), res.headers(), names);
        entry.cx.limit_guard.on_response(server, named, sent_at);
    }
    validate_head(call, names, &res)?;
    Ok((conn, res))
}

/// Failure of an attempt whose time is over, with the limit that ended it.
pub fn timed_out(call: &Call) -> Failure {
    Failure::Timeout(match call.time_left().is_zero() {
        true => TimeLimit::Deadline,
        false => TimeLimit::Silence,
    })
}

fn is_to_other_request(call: &Call, names: &HeaderNames, res: &Response<BudgetedBody>) -> bool {
    let echoed = res.headers().get(&names.attempt);
    echoed.is_some_and(|id| id.as_bytes() != call.id.as_bytes())
}

fn validate_head(call: &Call, names: &HeaderNames, res: &Response<BudgetedBody>) -> Result<()> {
    if !FINAL_STATUSES.contains(&res.status().as_u16()) {
        return Err(Failure::Unknown(format!(
            "no final status: {}",
            res.status()
        )));
    }
    let echoed = res.headers().get(&names.attempt);
    let is_ours = echoed.is_some_and(|id| id.as_bytes() == call.id.as_bytes());
    let not_run = res.headers().contains_key(&names.not_run)
        || res.status() == StatusCode::MISDIRECTED_REQUEST;
    if is_to_other_request(call, names, res) {
        return Err(Failure::Unknown("response to another request".to_string()));
    }
    if not_run {
        return Err(Failure::NotRun(res.status()));
    }
    if !is_ours {
        return Err(Failure::Unknown(
            "response without the attempt id".to_string(),
        ));
    }
    if !res.headers().contains_key(&names.signature) {
        return Err(Failure::Unknown("response without a signature".to_string()));
    }
    if res.headers().contains_key(CONTENT_ENCODING) {
        return Err(Failure::Unknown(
            "response with a changed content encoding".to_string(),
        ));
    }
    Ok(())
}

fn request(
    call: &Call,
    server: &Name,
    names: &HeaderNames,
    options: &AttemptOptions,
) -> Result<Request<Full<bytes::Bytes>>> {
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = call.uri.clone();
    let headers = req.headers_mut();
    headers.clone_from(&call.headers);
    let time_left = call.time_left().saturating_sub(RETURN_MARGIN);
    headers.insert(
        names.deadline_ms.clone(),
        HeaderValue::from(time_left.as_millis() as u64),
    );
    headers.insert(names.expected_server.clone(), header_value(server)?);
    if let Some(team) = &call.team {
        headers.insert(names.team.clone(), header_value(team)?);
    }
    if options.last_event_id > 0 {
        headers.insert(
            names.last_event.clone(),
            HeaderValue::from(options.last_event_id),
        );
    }
    if let Some(version) = options.weights_version {
        headers.insert(names.expected_weights.clone(), HeaderValue::from(version));
    }
    Ok(req)
}

fn header_value(text: &str) -> Result<HeaderValue> {
    HeaderValue::from_str(text).map_err(|err| Failure::NotSent(err.to_string()))
}
