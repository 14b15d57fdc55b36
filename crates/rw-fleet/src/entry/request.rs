//! Reads and validates callers' requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, EXPECT, HOST};
use http::request::Parts;
use http::{HeaderMap, HeaderName, Request};
use hyper::body::{Body, Incoming};
use rand::Rng;
use rw_protocol::Name;
use rw_routing::PromptChain;
use tokio::time::Instant;

use super::caller_connection::RequestGuard;
use super::response::strip_hop_by_hop;
use super::{Call, Refusal};
use crate::memory_guard::{BodyError, MemoryShare};
use crate::{Configuration, Cx, PlatformCodec, Route, SharedRng, Team};

/// `Retry-After` while the entry has no configuration yet.
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time limit for receiving a body if the caller states no deadline.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// `Retry-After` when there is no memory for a body; about the time in which connections
/// that make no progress are closed.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Largest body that is read of a request without a route or a known key, in bytes. A
/// configuration that arrives with its last bytes may still permit it.
const UNMATCHED_BODY_BYTES: usize = 64 << 10;
/// Interval at which the transfer rate of a body is checked.
const RATE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Result of reading a request.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Reads a complete request and matches it to a route and a team.
pub async fn read<D: PlatformCodec>(
    cx: &Cx<D>,
    req: Request<Incoming>,
    guard: &RequestGuard,
) -> Result<Call> {
    let received_at = Instant::now();
    let (head, body) = req.into_parts();
    let names = cx.codec.headers();
    let cfg = cx.cluster.snapshot().cfg.clone();
    let memory = guard.memory();
    let max_body = cfg.as_ref().map_or(usize::MAX, |cfg| cfg.limits.body_bytes);
    let is_matched = cfg
        .as_ref()
        .is_some_and(|cfg| matched(cx, cfg, &head).is_ok());
    let max_read = match memory.is_limited() && !is_matched {
        true => max_body.min(UNMATCHED_BODY_BYTES),
        false => max_body,
    };
    let caller_timeout =
        header_number(&head.headers, &names.deadline_ms).map(Duration::from_millis);
    // The body is read before any response, which keeps the connection usable.
    let limit = caller_timeout.unwrap_or(DEFAULT_BODY_TIMEOUT);
    memory.set_awaiting_transfer(true);
    let read = read_body(body, max_read, limit, memory).await;
    memory.set_awaiting_transfer(false);
    if read.is_err() && memory.is_limited() {
        guard.on_refused_body();
    }
    let body = match read {
        Err(Refusal::TooLarge) if max_read < max_body => {
            let cfg = cx.cluster.snapshot().cfg.clone().ok_or(NO_CONFIGURATION)?;
            matched(cx, &cfg, &head)?;
            return Err(Refusal::NotRun {
                reason: "the configuration changed",
                retry_after: Duration::ZERO,
                known_load: String::new(),
            });
        }
        read => read?,
    };
    // The configuration may have changed while the body was received.
    let cfg = cx.cluster.snapshot().cfg.clone().ok_or(NO_CONFIGURATION)?;
    let (route, team) = matched(cx, &cfg, &head)?;
    let priority = team.and_then(|team| team.priority);
    let id =
        header_text(&head.headers, &names.attempt).ok_or(Refusal::BadRequest("no attempt id"))?;
    let prompt_tokens = prompt_tokens(&head.headers, &names.tokens);
    let time_limit = caller_timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
    let service = pick_service(&route, &cx.rng);
    let engine = cfg.service(&service).and_then(|s| s.engine.as_ref());
    let prompt_chain = match engine.is_some_and(|engine| engine.retention.is_some()) {
        true => cx.codec.prompt_chain(&head.headers),
        false => PromptChain::default(),
    };
    Ok(Call {
        id: Name::from(id),
        service,
        prompt_chain,
        team: team.map(|team| team.name.clone()),
        priority: priority.unwrap_or(route.priority),
        method: head.method,
        uri: head.uri,
        body,
        memory: memory.clone(),
        received_at,
        deadline: received_at + time_limit,
        prompt_tokens,
        prompt_parts: cx.codec.shared_prompt_parts(&head.headers),
        last_event_id: header_number(&head.headers, &names.last_event).unwrap_or(0),
        headers: forwarded_headers(cx, head.headers),
        sent: Default::default(),
        request_name: Default::default(),
        route,
        cfg,
    })
}

const NO_CONFIGURATION: Refusal = Refusal::NotRun {
    reason: "no configuration yet",
    retry_after: NO_CONFIGURATION_RETRY_AFTER,
    known_load: String::new(),
};

// The route and the team of a request under a configuration.
fn matched<'a, D: PlatformCodec>(
    cx: &Cx<D>,
    cfg: &'a Configuration,
    head: &Parts,
) -> Result<(Arc<Route>, Option<&'a Team>)> {
    let host = header_text(&head.headers, &HOST).unwrap_or_default();
    let route = cfg
        .route(without_port(host), head.uri.path())
        .ok_or(Refusal::NoRoute)?;
    let team: Option<&Team> = match (&cfg.teams, route.public) {
        (Some(_), false) => {
            let api_key = api_key(&head.headers, cx.codec.headers().key_scheme);
            let team = api_key.and_then(|key| cfg.team(key));
            Some(team.ok_or(Refusal::UnknownKey)?)
        }
        _ => None,
    };
    Ok((route, team))
}

async fn read_body(
    body: Incoming,
    max: usize,
    limit: Duration,
    memory: &Arc<MemoryShare>,
) -> Result<Bytes> {
    if memory.is_limited() && body.size_hint().lower() > max as u64 {
        return Err(Refusal::TooLarge);
    }
    let collected = tokio::select! {
        collected = tokio::time::timeout(limit, memory.collect(body, max)) => collected,
        () = wait_until_too_slow(memory), if memory.is_limited() => {
            return Err(Refusal::BodyTimeout);
        }
    };
    match collected.map_err(|_| Refusal::BodyTimeout)? {
        Ok(body) => Ok(body),
        Err(BodyError::TooLarge) => Err(Refusal::TooLarge),
        Err(BodyError::NoMemory) => Err(Refusal::NotRun {
            reason: "no memory for the body",
            retry_after: NO_MEMORY_RETRY_AFTER,
            known_load: String::new(),
        }),
        Err(BodyError::Broken(msg)) => {
            log::debug!("the body of a request broke off: {msg}");
            Err(Refusal::BadRequest("body broke off"))
        }
    }
}

async fn wait_until_too_slow(memory: &MemoryShare) {
    while !memory.is_too_slow() {
        tokio::time::sleep(RATE_CHECK_INTERVAL).await;
    }
}

fn forwarded_headers<D: PlatformCodec>(cx: &Cx<D>, mut headers: HeaderMap) -> HeaderMap {
    let names = cx.codec.headers();
    strip_hop_by_hop(&mut headers);
    let stripped = [
        &names.expected_server,
        &names.expected_weights,
        &names.team,
        &names.priority,
        &names.path,
        &names.deadline_ms,
        &names.last_event,
        &AUTHORIZATION,
        &EXPECT,
    ];
    for name in stripped {
        headers.remove(name);
    }
    headers
}

// Weighted random choice among the services of a route.
fn pick_service(route: &Route, rng: &SharedRng) -> Name {
    let total: u32 = route.services.iter().map(|(_, weight)| weight).sum();
    let mut draw = match total {
        0 => 0,
        total => rng.lock().random_range(0..total),
    };
    for (name, weight) in &route.services {
        if draw < *weight {
            return name.clone();
        }
        draw -= weight;
    }
    route
        .services
        .first()
        .map(|(name, _)| name.clone())
        .unwrap_or_default()
}

pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    header_text(headers, name)?.trim().parse().ok()
}

fn prompt_tokens(headers: &HeaderMap, name: &HeaderName) -> u32 {
    let prompt = header_text(headers, name).and_then(|text| text.split(',').next());
    prompt
        .and_then(|prompt| prompt.trim().parse().ok())
        .unwrap_or(0)
}

fn api_key<'a>(headers: &'a HeaderMap, scheme: &str) -> Option<&'a str> {
    let (given_scheme, api_key) = header_text(headers, &AUTHORIZATION)?.split_once(' ')?;
    given_scheme
        .eq_ignore_ascii_case(scheme)
        .then_some(api_key.trim())
}

pub(super) fn without_port(host: &str) -> &str {
    host.split_once(':').map_or(host, |(name, _)| name)
}
