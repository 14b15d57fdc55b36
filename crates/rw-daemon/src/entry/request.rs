//! Parses and validates requests of callers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request};
use rw_protocol::Name;
use rw_settings::ServiceKind;
use serde_json::Value;

use super::respond::RequestError;
use crate::Context;

/// Time limit for a caller to send the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_PRIORITY: u32 = 9;
/// Maximum length of an operation name or header value.
const MAX_NAME_CHARS: usize = 128;
/// Leading characters of a prompt that determine its cache affinity.
const CACHE_PREFIX_CHARS: usize = 256;

/// A validated request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Id in logs, in answers and in the backend server's records.
    pub request_id: Name,
    /// Team of the caller.
    pub team: Name,
    /// Service that is called.
    pub service: Name,
    /// Operation of a plain service; empty for a model engine.
    pub operation: Name,
    /// Idempotency key; empty if the request has none.
    pub idempotency_key: Name,
    /// Priority; higher values are served first.
    pub priority: u32,
    /// Time limit for the call.
    pub timeout: Duration,
    /// Request body, unchanged.
    pub body: Bytes,
    /// Whether the caller wants a streamed answer.
    pub stream: bool,
    /// Start of the prompt; calls with the same prefix benefit from the same
    /// host's cache.
    pub prefix: Name,
    /// Whether the call may run more than once.
    pub idempotent: bool,
}

impl CallerRequest {
    /// Whether the call is for a model engine rather than a plain service.
    pub fn is_engine_call(&self) -> bool {
        self.operation.is_empty()
    }
}

/// Reads and validates a request.
pub async fn read(
    cx: &Context,
    req: Request<Incoming>,
    request_id: &Name,
) -> Result<CallerRequest, RequestError> {
    if req.method() != Method::POST {
        return Err(RequestError::method_not_allowed());
    }
    let path = req.uri().path().to_string();
    let headers = req.headers().clone();
    let body = read_body(cx, req).await?;
    let team = header(&headers, "x-team")?;
    if team.is_empty() || !cx.deployment.teams.contains_key(&team) {
        return Err(RequestError::malformed(format!(
            "header x-team: '{team}' is not a team of this deployment"
        )));
    }
    let limits = &cx.deployment.limits;
    let deadline_ms = numeric_header(&headers, "x-deadline-ms", limits.default_deadline_ms)?;
    let priority = numeric_header(&headers, "x-priority", 0)?;
    let mut call = CallerRequest {
        request_id: request_id.clone(),
        team,
        service: Name::default(),
        operation: Name::default(),
        idempotency_key: header(&headers, "idempotency-key")?,
        priority: (priority as u32).min(MAX_PRIORITY),
        timeout: Duration::from_millis(deadline_ms),
        body,
        stream: false,
        prefix: Name::default(),
        idempotent: true,
    };
    if path == "/v1/chat/completions" {
        parse_engine_call(cx, &mut call)?;
    } else {
        parse_plain_call(cx, &mut call, &path)?;
    }
    Ok(call)
}

async fn read_body(cx: &Context, req: Request<Incoming>) -> Result<Bytes, RequestError> {
    let limit = cx.deployment.limits.max_body_bytes as usize;
    let read = Limited::new(req.into_body(), limit).collect();
    match tokio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(RequestError::too_large(limit)),
        Ok(Err(err)) => Err(RequestError::malformed(format!("body: {err}"))),
        Err(_) => Err(RequestError::malformed(
            "body: did not arrive in time".to_string(),
        )),
    }
}

fn parse_engine_call(cx: &Context, call: &mut CallerRequest) -> Result<(), RequestError> {
    let json: Value = serde_json::from_slice(&call.body)
        .map_err(|err| RequestError::malformed(format!("body: not JSON: {err}")))?;
    let service = json["model"].as_str().unwrap_or("");
    let known = cx.deployment.services.get(service);
    if known.is_none_or(|s| s.kind != ServiceKind::Engine) {
        return Err(RequestError::not_found(format!(
            "body: model: '{service}' is not a service with a model engine"
        )));
    }
    let Some(messages) = json["messages"].as_array() else {
        return Err(RequestError::malformed(
            "body: messages: missing, or not a list".to_string(),
        ));
    };
    call.service = Name::from(service);
    call.stream = json["stream"].as_bool().unwrap_or(false);
    let first_content = messages
        .first()
        .and_then(|m| m["content"].as_str())
        .unwrap_or("");
    call.prefix = Name::from(
        first_content
            .chars()
            .take(CACHE_PREFIX_CHARS)
            .collect::<String>(),
    );
    Ok(())
}

fn parse_plain_call(
    cx: &Context,
    call: &mut CallerRequest,
    path: &str,
) -> Result<(), RequestError> {
    let service_and_operation = path
        .strip_prefix("/v1/services/")
        .and_then(|rest| rest.split_once('/'));
    let Some((service, operation)) = service_and_operation else {
        return Err(RequestError::not_found(
            "path: use /v1/chat/completions or /v1/services/SERVICE/OPERATION".to_string(),
        ));
    };
    let known = cx.deployment.services.get(service);
    if known.is_none_or(|s| s.kind != ServiceKind::Plain) {
        return Err(RequestError::not_found(format!(
            "path: '{service}' is not a plain service"
        )));
    }
    let is_name_char = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if operation.is_empty()
        || operation.len() > MAX_NAME_CHARS
        || !operation.chars().all(is_name_char)
    {
        return Err(RequestError::malformed(format!(
            "path: '{operation}' is not an operation's name"
        )));
    }
    call.service = Name::from(service);
    call.operation = Name::from(operation);
    call.idempotent = cx.deployment.is_idempotent(service, operation);
    Ok(())
}

/// Value of a header; empty if the header is absent.
pub fn header(headers: &HeaderMap, name: &str) -> Result<Name, RequestError> {
    let Some(value) = headers.get(name) else {
        return Ok(Name::default());
    };
    let text = value.to_str().unwrap_or("");
    let is_printable = |c: char| c.is_ascii_graphic();
    if text.is_empty() || text.len() > MAX_NAME_CHARS || !text.chars().all(is_printable) {
        return Err(RequestError::malformed(format!(
            "header {name}: must be 1 to {MAX_NAME_CHARS} printable characters without spaces"
        )));
    }
    Ok(Name::from(text))
}

fn numeric_header(headers: &HeaderMap, name: &str, default: u64) -> Result<u64, RequestError> {
    let Some(value) = headers.get(name) else {
        return Ok(default);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.ok_or_else(|| RequestError::malformed(format!("header {name}: not a whole number")))
}
