//! Outcomes of calls and the HTTP responses for them.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use flume::r#async::RecvStream;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::{Response, StatusCode};
use rw_protocol::Name;
use serde_json::json;

/// Body of every response.
pub type Body = BoxBody<Bytes, Infallible>;
/// Sends parts of a streamed body.
pub type BodyTx = flume::Sender<Result<Frame<Bytes>, Infallible>>;

/// Why a request is invalid.
#[derive(Clone, Debug)]
pub struct RequestError {
    /// HTTP status.
    pub status: StatusCode,
    /// What is wrong with the request.
    pub reason: String,
}

impl RequestError {
    /// The request is malformed.
    pub fn malformed(reason: String) -> Self {
        RequestError {
            status: StatusCode::BAD_REQUEST,
            reason,
        }
    }

    /// The request names something that does not exist.
    pub fn not_found(reason: String) -> Self {
        RequestError {
            status: StatusCode::NOT_FOUND,
            reason,
        }
    }

    /// The method is not POST.
    pub fn method_not_allowed() -> Self {
        RequestError {
            status: StatusCode::METHOD_NOT_ALLOWED,
            reason: "method: use POST".to_string(),
        }
    }

    /// The body exceeds the size limit, in bytes.
    pub fn too_large(limit: usize) -> Self {
        RequestError {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            reason: format!("body: above the limit of {limit} bytes"),
        }
    }

    /// The idempotency key was used with a different request.
    pub fn key_reused() -> Self {
        RequestError {
            status: StatusCode::UNPROCESSABLE_ENTITY,
            reason: "header idempotency-key: was used with another request".to_string(),
        }
    }
}

/// Final outcome of a call, as the caller sees it.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// The backend server's status and complete answer.
    Answered(u32, Vec<u8>),
    /// The call did not run and will not; the caller may retry after this time.
    NotRun(String, Duration),
    /// A call with the same idempotency key is running; the caller may retry
    /// after this time.
    InProgress(Duration),
    /// The call may have run.
    Unknown(String),
    /// The request is invalid.
    Refused(RequestError),
}

impl CallOutcome {
    /// Name in metrics and responses.
    pub fn name(&self) -> &'static str {
        match self {
            CallOutcome::Answered(..) => "answered",
            CallOutcome::NotRun(..) => "not_run",
            CallOutcome::InProgress(_) => "in_progress",
            CallOutcome::Unknown(_) => "unknown",
            CallOutcome::Refused(_) => "refused",
        }
    }

    /// Converts the outcome into the response for the caller.
    pub fn into_response(self, request_id: &Name) -> Response<Body> {
        let name = self.name();
        match self {
            CallOutcome::Answered(status, body) => {
                let status = StatusCode::from_u16(status as u16).unwrap_or(StatusCode::BAD_GATEWAY);
                complete_response(status, body, request_id, name, None)
            }
            CallOutcome::NotRun(reason, retry_after) => error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                &reason,
                request_id,
                name,
                Some(retry_after),
            ),
            CallOutcome::InProgress(retry_after) => {
                let reason = "a call with this idempotency key is running";
                error_response(
                    StatusCode::CONFLICT,
                    reason,
                    request_id,
                    name,
                    Some(retry_after),
                )
            }
            CallOutcome::Unknown(reason) => {
                error_response(StatusCode::BAD_GATEWAY, &reason, request_id, name, None)
            }
            CallOutcome::Refused(err) => {
                error_response(err.status, &err.reason, request_id, name, None)
            }
        }
    }

    /// The outcome as a JSON object, for the error event of a failed stream.
    pub fn error_event(&self, request_id: &Name) -> String {
        let reason = match self {
            CallOutcome::NotRun(reason, _) | CallOutcome::Unknown(reason) => reason.as_str(),
            _ => "",
        };
        let error = json!({"outcome": self.name(), "reason": reason, "request_id": &**request_id});
        json!({ "error": error }).to_string()
    }
}

fn error_response(
    status: StatusCode,
    reason: &str,
    request_id: &Name,
    outcome: &str,
    retry_after: Option<Duration>,
) -> Response<Body> {
    let retry_after_ms = retry_after.map(|d| d.as_millis() as u64);
    let error = json!({
        "outcome": outcome, "reason": reason, "request_id": &**request_id,
        "retry_after_ms": retry_after_ms,
    });
    let body = json!({ "error": error }).to_string().into_bytes();
    complete_response(status, body, request_id, outcome, retry_after)
}

fn complete_response(
    status: StatusCode,
    body: Vec<u8>,
    request_id: &Name,
    outcome: &str,
    retry_after: Option<Duration>,
) -> Response<Body> {
    let mut res =
        response_head(status, "application/json", request_id).header("x-outcome", outcome);
    if let Some(retry_after) = retry_after {
        // The header has a resolution of one second; the body gives milliseconds.
        res = res.header(
            "retry-after",
            retry_after.as_millis().div_ceil(1000).max(1).to_string(),
        );
    }
    or_internal_error(res.body(Full::new(Bytes::from(body)).boxed()))
}

/// Creates a streaming response and the sender for its parts, up to
/// `buffered_parts` of which are buffered for a slow caller.
pub fn streaming_response(request_id: &Name, buffered_parts: usize) -> (Response<Body>, BodyTx) {
    let (tx, rx): (BodyTx, _) = flume::bounded(buffered_parts);
    let stream: RecvStream<'static, Result<Frame<Bytes>, Infallible>> = rx.into_stream();
    let res = response_head(StatusCode::OK, "text/event-stream", request_id)
        .header("cache-control", "no-store");
    (
        or_internal_error(res.body(BodyExt::boxed(StreamBody::new(stream)))),
        tx,
    )
}

fn response_head(
    status: StatusCode,
    content_type: &str,
    request_id: &Name,
) -> http::response::Builder {
    Response::builder()
        .status(status)
        .header("content-type", content_type)
        .header("x-request-id", &**request_id)
}

// Building a response only fails for a header with invalid characters.
fn or_internal_error(res: http::Result<Response<Body>>) -> Response<Body> {
    res.unwrap_or_else(|_| {
        let mut res = Response::new(Full::new(Bytes::new()).boxed());
        *res.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        res
    })
}
