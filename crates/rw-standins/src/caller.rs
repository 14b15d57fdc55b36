//! Test client for callers: checks that every answer belongs to its request.

use serde_json::{json, Value};

use crate::engine::token_prefix;

const REQUEST_TIMEOUT_S: u64 = 40;

/// Why a call did not run, as told to its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Id that the entry gave the call.
    pub request_id: String,
    /// Reason that the entry gave.
    pub reason: String,
    /// Time after which the caller may retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// Result of a call as seen by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer, produced by this model version.
    Answered(String),
    /// The call did not run and may be retried.
    NotRun(Refusal),
    /// A call with the same idempotency key is running.
    InProgress,
    /// The call may have run.
    Unknown,
    /// The request was refused with this status.
    Refused(i32),
    /// The stream was truncated, or the connection failed.
    Cut(String),
    /// The answer does not belong to this request.
    Wrong(String),
}

/// Body of a chat completion request. The part of the prompt before the first
/// `|`, if any, is the system message, which the engine caches as a prefix.
pub fn completion_body(prompt: &str, tokens: u64, stream: bool) -> Value {
    let messages = match prompt.split_once('|') {
        Some((system, user)) => json!([
            {"role": "system", "content": system},
            {"role": "user", "content": user},
        ]),
        None => json!([{"role": "user", "content": prompt}]),
    };
    json!({"model": "assistant", "stream": stream, "max_tokens": tokens, "messages": messages})
}

/// Requests a streamed chat completion from an entry and checks every token.
pub fn request_completion(
    entry: &str,
    team: &str,
    prompt: &str,
    tokens: u64,
    deadline_ms: u64,
) -> Outcome {
    let req = minreq::post(format!("{entry}/v1/chat/completions"))
        .with_header("x-team", team)
        .with_header("x-deadline-ms", deadline_ms.to_string())
        .with_body(completion_body(prompt, tokens, true).to_string())
        .with_timeout(REQUEST_TIMEOUT_S);
    let res = match req.send() {
        Ok(res) => res,
        Err(err) => return Outcome::Cut(err.to_string()),
    };
    if res.status_code != 200 {
        return failure_outcome(&res);
    }
    check_stream(res.as_str().unwrap_or(""), prompt, tokens)
}

fn check_stream(text: &str, prompt: &str, tokens: u64) -> Outcome {
    let mut versions: Vec<String> = Vec::new();
    let mut content = String::new();
    let mut finished = false;
    for event in text.split("\n\n").filter(|e| !e.is_empty()) {
        if event.starts_with("event: error") {
            return Outcome::Cut(event.to_string());
        }
        let Some(data) = event.strip_prefix("data: ") else {
            return Outcome::Wrong(event.to_string());
        };
        if data == "[DONE]" {
            finished = true;
            continue;
        }
        let json: Value = serde_json::from_str(data).unwrap_or_default();
        content.push_str(
            json["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or(""),
        );
        let version = json["model"].as_str().unwrap_or("").to_string();
        if !versions.contains(&version) {
            versions.push(version);
        }
    }
    if !finished {
        return Outcome::Cut("stream ended without [DONE]".to_string());
    }
    let token = token_prefix(prompt);
    let expected: String = (0..tokens).map(|n| format!("{token}-{n} ")).collect();
    if content != expected || versions.len() > 1 {
        return Outcome::Wrong(format!(
            "versions {versions:?}, got {content}, expected {expected}"
        ));
    }
    Outcome::Answered(versions.pop().unwrap_or_default())
}

fn failure_outcome(res: &minreq::Response) -> Outcome {
    // `minreq` reports a connection that closed before the response like this.
    if res.reason_phrase.starts_with("Server did not provide") {
        return Outcome::Cut("connection closed without a response".to_string());
    }
    let body: Value = serde_json::from_slice(res.as_bytes()).unwrap_or_default();
    let error = &body["error"];
    match error["outcome"].as_str() {
        Some("not_run") => Outcome::NotRun(Refusal {
            request_id: error["request_id"].as_str().unwrap_or("").to_string(),
            reason: error["reason"].as_str().unwrap_or("").to_string(),
            retry_after_ms: error["retry_after_ms"].as_u64().unwrap_or(0),
        }),
        Some("in_progress") => Outcome::InProgress,
        Some("unknown") => Outcome::Unknown,
        _ => Outcome::Refused(res.status_code),
    }
}

/// Calls a plain service through an entry and checks that the answer echoes the
/// body.
pub fn call_plain_service(
    entry: &str,
    team: &str,
    operation: &str,
    key: &str,
    body: &str,
) -> Outcome {
    send_plain_call(plain_request(entry, team, operation, key, body), body)
}

/// Like [`call_plain_service`], with a deadline instead of the default one.
pub fn call_plain_service_within(
    entry: &str,
    team: &str,
    operation: &str,
    key: &str,
    body: &str,
    deadline_ms: u64,
) -> Outcome {
    let req = plain_request(entry, team, operation, key, body);
    send_plain_call(
        req.with_header("x-deadline-ms", deadline_ms.to_string()),
        body,
    )
}

fn plain_request(
    entry: &str,
    team: &str,
    operation: &str,
    key: &str,
    body: &str,
) -> minreq::Request {
    let req = minreq::post(format!("{entry}/v1/services/checkout/{operation}"))
        .with_header("x-team", team)
        .with_body(body)
        .with_timeout(REQUEST_TIMEOUT_S);
    match key {
        "" => req,
        key => req.with_header("idempotency-key", key),
    }
}

fn send_plain_call(req: minreq::Request, body: &str) -> Outcome {
    let res = match req.send() {
        Ok(res) => res,
        Err(err) => return Outcome::Cut(err.to_string()),
    };
    if res.status_code != 200 {
        return failure_outcome(&res);
    }
    let json: Value = serde_json::from_slice(res.as_bytes()).unwrap_or_default();
    if json["echo"].as_str() != Some(body) {
        return Outcome::Wrong(json.to_string());
    }
    Outcome::Answered(String::new())
}
