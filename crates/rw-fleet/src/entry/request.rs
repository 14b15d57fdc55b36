//! Reads and checks what callers send.

use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, EXPECT, HOST};
use http::{HeaderMap, HeaderName, Request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use rand::Rng;
use rw_protocol::Name;
use tokio::time::Instant;

use super::answer::strip_connection;
use super::{Call, Refusal};
use crate::{Cx, PlatformCodec, Route, Team};

/// Pause for callers of an entry that knows no configuration yet.
const NO_CONFIGURATION_RETRY: Duration = Duration::from_millis(500);
/// Time for a body to arrive, where the caller names no deadline.
const BODY_TIME: Duration = Duration::from_secs(10);

/// Result of reading a request.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Reads a request whole and finds out where it goes.
pub async fn read<D: PlatformCodec>(cx: &Cx<D>, req: Request<Incoming>) -> Result<Call> {
    let arrived = Instant::now();
    let (head, body) = req.into_parts();
    let names = cx.codec.headers();
    let cfg = cx.cluster.snapshot().cfg.clone();
    let max_body = cfg.as_ref().map_or(usize::MAX, |cfg| cfg.limits.body_bytes);
    let waits = number(&head.headers, &names.deadline_ms).map(Duration::from_millis);
    // The body is read before any answer, so that the connection stays usable.
    let body = read_body(body, max_body, waits.unwrap_or(BODY_TIME)).await?;
    // The configuration may have changed while the body arrived.
    let cfg = cx.cluster.snapshot().cfg.clone().ok_or(Refusal::NotRun {
        reason: "no configuration yet",
        retry_after: NO_CONFIGURATION_RETRY,
        believed: String::new(),
    })?;
    let host = text(&head.headers, &HOST).unwrap_or_default();
    let route = cfg
        .route(without_port(host), head.uri.path())
        .ok_or(Refusal::NoRoute)?;
    let team = match (&cfg.teams, route.public) {
        (Some(_), false) => {
            let key = key(&head.headers, names.key_scheme);
            let team: Option<&Team> = key.and_then(|key| cfg.team(key));
            Some(team.ok_or(Refusal::UnknownKey)?.name.clone())
        }
        _ => None,
    };
    let id = text(&head.headers, &names.attempt).ok_or(Refusal::BadRequest("no attempt id"))?;
    let prompt_tokens = prompt_tokens(&head.headers, &names.tokens);
    let wait = waits.map_or(route.timeout, |waits| waits.min(route.timeout));
    Ok(Call {
        id: Name::from(id),
        service: pick_service(&route),
        team,
        method: head.method,
        target: head.uri,
        body,
        arrived,
        deadline: arrived + wait,
        prompt_tokens,
        last_event: number(&head.headers, &names.last_event).unwrap_or(0),
        headers: headers_to_pass_on(cx, head.headers),
        route,
        cfg,
    })
}

async fn read_body(body: Incoming, max: usize, limit: Duration) -> Result<Bytes> {
    let whole = tokio::time::timeout(limit, Limited::new(body, max).collect()).await;
    match whole.map_err(|_| Refusal::BodyTimeout)? {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => Err(Refusal::TooLarge),
        Err(_) => Err(Refusal::BadRequest("body broke off")),
    }
}

fn headers_to_pass_on<D: PlatformCodec>(cx: &Cx<D>, mut headers: HeaderMap) -> HeaderMap {
    let names = cx.codec.headers();
    strip_connection(&mut headers);
    let own = [
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
    for name in own {
        headers.remove(name);
    }
    headers
}

// Requests of a route are split over its services by their weights.
fn pick_service(route: &Route) -> Name {
    let total: u32 = route.services.iter().map(|(_, weight)| weight).sum();
    let mut at = match total {
        0 => 0,
        total => rand::rng().random_range(0..total),
    };
    for (name, weight) in &route.services {
        if at < *weight {
            return name.clone();
        }
        at -= weight;
    }
    route
        .services
        .first()
        .map(|(name, _)| name.clone())
        .unwrap_or_default()
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}

fn prompt_tokens(headers: &HeaderMap, name: &HeaderName) -> u32 {
    let prompt = text(headers, name).and_then(|text| text.split(',').next());
    prompt
        .and_then(|prompt| prompt.trim().parse().ok())
        .unwrap_or(0)
}

fn key<'a>(headers: &'a HeaderMap, scheme: &str) -> Option<&'a str> {
    let (given, key) = text(headers, &AUTHORIZATION)?.split_once(' ')?;
    given.eq_ignore_ascii_case(scheme).then_some(key.trim())
}

fn without_port(host: &str) -> &str {
    host.split_once(':').map_or(host, |(name, _)| name)
}
