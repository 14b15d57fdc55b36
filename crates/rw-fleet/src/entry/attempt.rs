//! One try of a call at one backend server.

use std::time::Duration;

use http::header::CONTENT_ENCODING;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use rw_protocol::Name;
use tokio::time::timeout;

use super::Call;
use crate::connect::{self, Connection};
use crate::{BackendServer, HeaderNames};

/// Time for a connection to a backend server; a host in another region
/// answers within milliseconds, a lost packet costs a second anyway.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Part of the caller's remaining time that the way back takes.
const RETURN_MARGIN: Duration = Duration::from_millis(5);

/// How a try ended without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent.
    NotSent(String),
    /// The backend server said that it did not run the request.
    NotRun(StatusCode),
    /// The request was sent; it may have run.
    Unknown(String),
    /// The request was sent and no answer came in time.
    Timeout,
}

/// Result of a try.
pub type Result<T> = std::result::Result<T, Failure>;

impl From<connect::Error> for Failure {
    fn from(err: connect::Error) -> Self {
        match err {
            connect::Error::Unreachable(msg) => Failure::NotSent(msg),
            connect::Error::Broken(msg) => Failure::Unknown(msg),
            connect::Error::Timeout => Failure::Timeout,
        }
    }
}

/// What is particular to one try.
#[derive(Clone, Debug, Default)]
pub struct Try {
    /// Last event that the caller has.
    pub last_event: u64,
    /// Version of the weights that has to answer, if it matters.
    pub weights: Option<u64>,
}

/// Sends a call to a backend server; returns the head of its answer once it
/// is sure that it belongs to this call and that the call ran.
pub async fn send(
    call: &Call,
    server: &BackendServer,
    names: &HeaderNames,
    particular: &Try,
    limit: Duration,
) -> Result<(Connection, Response<Incoming>)> {
    let mut conn = Connection::open(server.addr, CONNECT_LIMIT.min(call.left())).await?;
    let req = request(call, &server.id, names, particular)?;
    let res = timeout(limit, conn.send(req)).await;
    let res = res.map_err(|_| Failure::Timeout)??;
    check_head(call, names, &res)?;
    Ok((conn, res))
}

fn check_head(call: &Call, names: &HeaderNames, res: &Response<Incoming>) -> Result<()> {
    let echoed = res.headers().get(&names.attempt);
    let is_ours = echoed.is_some_and(|id| id.as_bytes() == call.id.as_bytes());
    let not_run = res.headers().contains_key(&names.not_run)
        || res.status() == StatusCode::MISDIRECTED_REQUEST;
    if echoed.is_some() && !is_ours {
        return Err(Failure::Unknown("answer to another request".to_string()));
    }
    if not_run {
        return Err(Failure::NotRun(res.status()));
    }
    if !is_ours {
        return Err(Failure::Unknown(
            "answer without the request's id".to_string(),
        ));
    }
    if !res.headers().contains_key(&names.signature) {
        return Err(Failure::Unknown("answer without a signature".to_string()));
    }
    if res.headers().contains_key(CONTENT_ENCODING) {
        return Err(Failure::Unknown("answer in a changed encoding".to_string()));
    }
    Ok(())
}

fn request(
    call: &Call,
    server: &Name,
    names: &HeaderNames,
    particular: &Try,
) -> Result<Request<Full<bytes::Bytes>>> {
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = call.target.clone();
    let headers = req.headers_mut();
    headers.clone_from(&call.headers);
    let left = call.left().saturating_sub(RETURN_MARGIN);
    headers.insert(
        names.deadline_ms.clone(),
        HeaderValue::from(left.as_millis() as u64),
    );
    headers.insert(names.expected_server.clone(), value(server)?);
    if let Some(team) = &call.team {
        headers.insert(names.team.clone(), value(team)?);
    }
    if particular.last_event > 0 {
        headers.insert(
            names.last_event.clone(),
            HeaderValue::from(particular.last_event),
        );
    }
    if let Some(version) = particular.weights {
        headers.insert(names.expected_weights.clone(), HeaderValue::from(version));
    }
    Ok(req)
}

fn value(text: &str) -> Result<HeaderValue> {
    HeaderValue::from_str(text).map_err(|err| Failure::NotSent(err.to_string()))
}
