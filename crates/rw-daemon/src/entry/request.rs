use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request};
use rw_protocol::Name;
use rw_settings::ServiceKind;
use serde_json::Value;

use super::respond::Refused;
use crate::Context;

/// Time in which a caller has to send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_PRIORITY: u32 = 9;
/// Longest value of a header that names something.
const MAX_NAME_CHARS: usize = 128;
/// Characters of a prompt that decide which cache it belongs to.
const PREFIX_CHARS: usize = 256;

/// A caller's request, checked.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Id for logs, answers and the backend server's records.
    pub request_id: Name,
    /// Team of the caller.
    pub team: Name,
    /// Service to reach.
    pub service: Name,
    /// Operation of a plain service; empty for a model engine.
    pub operation: Name,
    /// Idempotency key; empty for none.
    pub key: Name,
    /// Higher goes first.
    pub priority: u32,
    /// Time that the caller gives.
    pub deadline: Duration,
    /// Body as sent.
    pub body: Bytes,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Equal for calls that share a prompt prefix.
    pub prefix: Name,
    /// Whether the call may run twice.
    pub idempotent: bool,
}

impl CallerRequest {
    /// Whether a model engine answers.
    pub fn is_draft(&self) -> bool {
        self.operation.is_empty()
    }
}

/// Reads and checks a request.
pub async fn read(
    cx: &Context,
    req: Request<Incoming>,
    request_id: &Name,
) -> Result<CallerRequest, Refused> {
    if req.method() != Method::POST {
        return Err(Refused::method());
    }
    let path = req.uri().path().to_string();
    let headers = req.headers().clone();
    let body = body(cx, req).await?;
    let team = header(&headers, "x-team")?;
    if team.is_empty() || !cx.deployment.teams.contains_key(&team) {
        return Err(Refused::bad(format!(
            "header x-team: '{team}' is not a team of this deployment"
        )));
    }
    let limits = &cx.deployment.limits;
    let deadline_ms = number(&headers, "x-deadline-ms", limits.default_deadline_ms)?;
    let priority = number(&headers, "x-priority", 0)?;
    let mut call = CallerRequest {
        request_id: request_id.clone(),
        team,
        service: Name::default(),
        operation: Name::default(),
        key: header(&headers, "idempotency-key")?,
        priority: (priority as u32).min(MAX_PRIORITY),
        deadline: Duration::from_millis(deadline_ms),
        body,
        stream: false,
        prefix: Name::default(),
        idempotent: true,
    };
    if path == "/v1/chat/completions" {
        draft(cx, &mut call)?;
    } else {
        plain(cx, &mut call, &path)?;
    }
    Ok(call)
}

async fn body(cx: &Context, req: Request<Incoming>) -> Result<Bytes, Refused> {
    let limit = cx.deployment.limits.max_body_bytes as usize;
    let read = Limited::new(req.into_body(), limit).collect();
    match tokio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(Refused::too_large(limit)),
        Ok(Err(err)) => Err(Refused::bad(format!("body: {err}"))),
        Err(_) => Err(Refused::bad("body: did not arrive in time".to_string())),
    }
}

fn draft(cx: &Context, call: &mut CallerRequest) -> Result<(), Refused> {
    let json: Value = serde_json::from_slice(&call.body)
        .map_err(|err| Refused::bad(format!("body: not JSON: {err}")))?;
    let service = json["model"].as_str().unwrap_or("");
    let known = cx.deployment.services.get(service);
    if known.is_none_or(|s| s.kind != ServiceKind::Engine) {
        return Err(Refused::not_found(format!(
            "body: model: '{service}' is not a service with a model engine"
        )));
    }
    let Some(messages) = json["messages"].as_array() else {
        return Err(Refused::bad(
            "body: messages: missing, or not a list".to_string(),
        ));
    };
    call.service = Name::from(service);
    call.stream = json["stream"].as_bool().unwrap_or(false);
    let first = messages
        .first()
        .and_then(|m| m["content"].as_str())
        .unwrap_or("");
    call.prefix = Name::from(first.chars().take(PREFIX_CHARS).collect::<String>());
    Ok(())
}

fn plain(cx: &Context, call: &mut CallerRequest, path: &str) -> Result<(), Refused> {
    let names = path
        .strip_prefix("/v1/services/")
        .and_then(|rest| rest.split_once('/'));
    let Some((service, operation)) = names else {
        return Err(Refused::not_found(
            "path: use /v1/chat/completions or /v1/services/SERVICE/OPERATION".to_string(),
        ));
    };
    let known = cx.deployment.services.get(service);
    if known.is_none_or(|s| s.kind != ServiceKind::Plain) {
        return Err(Refused::not_found(format!(
            "path: '{service}' is not a plain service"
        )));
    }
    let word = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if operation.is_empty() || operation.len() > MAX_NAME_CHARS || !operation.chars().all(word) {
        return Err(Refused::bad(format!(
            "path: '{operation}' is not an operation's name"
        )));
    }
    call.service = Name::from(service);
    call.operation = Name::from(operation);
    call.idempotent = cx.deployment.is_idempotent(service, operation);
    Ok(())
}

/// A header that names something; empty when absent.
pub fn header(headers: &HeaderMap, name: &str) -> Result<Name, Refused> {
    let Some(value) = headers.get(name) else {
        return Ok(Name::default());
    };
    let text = value.to_str().unwrap_or("");
    let plain = |c: char| c.is_ascii_graphic();
    if text.is_empty() || text.len() > MAX_NAME_CHARS || !text.chars().all(plain) {
        return Err(Refused::bad(format!(
            "header {name}: must be 1 to {MAX_NAME_CHARS} printable characters without spaces"
        )));
    }
    Ok(Name::from(text))
}

fn number(headers: &HeaderMap, name: &str, default: u64) -> Result<u64, Refused> {
    let Some(value) = headers.get(name) else {
        return Ok(default);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.ok_or_else(|| Refused::bad(format!("header {name}: not a whole number")))
}
