//! Reads and validates callers' requests.

use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, EXPECT, HOST};
use http::{HeaderMap, HeaderName, Request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use rand::Rng;
use rw_protocol::Name;
use tokio::time::Instant;

use super::response::strip_hop_by_hop;
use super::{Call, Refusal};
use crate::{Cx, PlatformCodec, Route, SharedRng, Team};

/// `Retry-After` while the entry has no configuration yet.
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time limit for receiving a body if the caller states no deadline.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Result of reading a request.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Reads a complete request and matches it to a route and a team.
pub async fn read<D: PlatformCodec>(cx: &Cx<D>, req: Request<Incoming>) -> Result<Call> {
    let received_at = Instant::now();
    let (head, body) = req.into_parts();
    let names = cx.codec.headers();
    let cfg = cx.cluster.snapshot().cfg.clone();
    let max_body = cfg.as_ref().map_or(usize::MAX, |cfg| cfg.limits.body_bytes);
    let caller_timeout =
        header_number(&head.headers, &names.deadline_ms).map(Duration::from_millis);
    // The body is read before any response, which keeps the connection usable.
    let body = read_body(
        body,
        max_body,
        caller_timeout.unwrap_or(DEFAULT_BODY_TIMEOUT),
    )
    .await?;
    // The configuration may have changed while the body was received.
    let cfg = cx.cluster.snapshot().cfg.clone().ok_or(Refusal::NotRun {
        reason: "no configuration yet",
        retry_after: NO_CONFIGURATION_RETRY_AFTER,
        known_load: String::new(),
    })?;
    let host = header_text(&head.headers, &HOST).unwrap_or_default();
    let route = cfg
        .route(without_port(host), head.uri.path())
        .ok_or(Refusal::NoRoute)?;
    let team: Option<&Team> = match (&cfg.teams, route.public) {
        (Some(_), false) => {
            let api_key = api_key(&head.headers, names.key_scheme);
            let team = api_key.and_then(|key| cfg.team(key));
            Some(team.ok_or(Refusal::UnknownKey)?)
        }
        _ => None,
    };
    let priority = team.and_then(|team| team.priority);
    let id =
        header_text(&head.headers, &names.attempt).ok_or(Refusal::BadRequest("no attempt id"))?;
    let prompt_tokens = prompt_tokens(&head.headers, &names.tokens);
    let time_limit = caller_timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
    Ok(Call {
        id: Name::from(id),
        service: pick_service(&route, &cx.rng),
        team: team.map(|team| team.name.clone()),
        priority: priority.unwrap_or(route.priority),
        method: head.method,
        uri: head.uri,
        body,
        received_at,
        deadline: received_at + time_limit,
        prompt_tokens,
        prompt_parts: cx.codec.shared_prompt_parts(&head.headers),
        last_event_id: header_number(&head.headers, &names.last_event).unwrap_or(0),
        headers: forwarded_headers(cx, head.headers),
        sent: Default::default(),
        route,
        cfg,
    })
}

async fn read_body(body: Incoming, max: usize, limit: Duration) -> Result<Bytes> {
    let collected = tokio::time::timeout(limit, Limited::new(body, max).collect()).await;
    match collected.map_err(|_| Refusal::BodyTimeout)? {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => Err(Refusal::TooLarge),
        Err(_) => Err(Refusal::BadRequest("body broke off")),
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
