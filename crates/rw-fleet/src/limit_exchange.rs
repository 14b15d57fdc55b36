//! Messages in which entries tell each other about limits of backend servers and ask for
//! permits to send requests to them.

use std::sync::Arc;
use std::time::Duration;

use rw_coord::uptime;
use rw_observe::Event;
use rw_protocol::{
    LimitNotice, Name, PeerReply, PeerRequest, PermitAnswer, PermitQuery, ServerLimit,
};
use rw_routing::{
    LimitNews, LimitObservation, LimitUsage, PermitAsk, PermitRefusal, PermitReply, PermitRequest,
    PermitTarget, ServerLifetime,
};

use crate::entry::{Asked, TimedReply};
use crate::peers::notify;
use crate::{whole_millis, BackendServer, Cx, PlatformCodec};

/// Interval at which an entry finds out who is alive and sends what has changed.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// Rounds after which an entry that is shutting down says so again.
const LEAVING_ROUNDS: u32 = 10;
/// Rounds after which the use of limits is logged.
const USAGE_ROUNDS: u32 = 100;
/// Time that another entry may take to answer beyond the patience of a request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which an entry that did not answer is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time after its grant within which a request has to be sent.
const PERMIT_VALIDITY: Duration = Duration::from_millis(150);
/// Time in which a running entry has to send its limits to one that starts.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(300);

/// Permission to send one request to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct SendPermit {
    // Uptime of this machine; `None` if the server has no limit.
    expires_at: Option<Duration>,
}

impl SendPermit {
    /// Permission to send a request to a server without a limit.
    pub(crate) const UNLIMITED: SendPermit = SendPermit { expires_at: None };

    /// The permission, restricted to requests that are sent within `time`.
    pub(crate) fn valid_for(self, time: Duration) -> Self {
        let until = uptime() + time;
        SendPermit {
            expires_at: Some(self.expires_at.map_or(until, |at| at.min(until))),
        }
    }

    /// Whether the request must not be sent any more.
    pub fn is_expired(&self) -> bool {
        self.expires_at.is_some_and(|at| uptime() >= at)
    }
}

/// Gets permission to send a request to a backend server, from the owner of the server.
pub(crate) async fn acquire_permit<D: PlatformCodec>(
    cx: &Arc<Cx<D>>,
    server: &BackendServer,
    rank: u32,
    patience: Duration,
) -> Result<SendPermit, PermitRefusal> {
    if !cx.limit_guard.is_limited(server) {
        return Ok(SendPermit::UNLIMITED);
    }
    let asked_at = uptime();
    let (server, target, observation) = cx.limit_guard.target(server);
    let ask = PermitAsk {
        server: server.clone(),
        observation,
        request: PermitRequest {
            id: 0,
            entry: cx.settings.name.clone(),
            rank,
            patience,
        },
        hops: 0,
    };
    let (reply, waited) = match target {
        PermitTarget::None => return Ok(SendPermit::UNLIMITED),
        PermitTarget::Own => answer(cx, ask).await,
        PermitTarget::Entry(entry) => ask_entry(cx, &entry, &ask).await,
    };
    cx.limit_guard.on_reply(&server, &reply);
    let metrics = cx.recorder.metrics();
    match reply {
        PermitReply::Refused(refusal) => {
            metrics.count_permit("refused");
            Err(refusal)
        }
        PermitReply::Granted => {
            metrics.count_permit("granted");
            let expires_at = Some(asked_at + waited + PERMIT_VALIDITY);
            Ok(SendPermit { expires_at })
        }
        PermitReply::Unlimited => Ok(SendPermit::UNLIMITED),
    }
}

// Answers a request for a permit, or passes it on to the entry that can. Returns the
// answer and how long the request waited for it.
async fn answer<D: PlatformCodec>(cx: &Arc<Cx<D>>, ask: PermitAsk) -> (PermitReply, Duration) {
    let asked_at = uptime();
    match cx.limit_guard.ask(ask.clone()).await {
        Asked::Reply(TimedReply { reply, at }) => (reply, at.saturating_sub(asked_at)),
        Asked::Forward(entry) => {
            let ask = PermitAsk {
                hops: ask.hops + 1,
                ..ask
            };
            ask_entry(cx, &entry, &ask).await
        }
    }
}

async fn ask_entry<D: PlatformCodec>(
    cx: &Arc<Cx<D>>,
    entry: &Name,
    ask: &PermitAsk,
) -> (PermitReply, Duration) {
    let refused = PermitReply::Refused(PermitRefusal::after(RETRY_DELAY));
    let Some(daemon) = cx.cluster.entry(entry) else {
        log::debug!("the address of entry {entry} is not known, it cannot be asked for a permit");
        return (refused, Duration::ZERO);
    };
    let req = PeerRequest::Permit(encode_ask(ask));
    let limit = ask.request.patience + ANSWER_TIMEOUT;
    match cx.pool.request(&daemon.addr, &req, limit).await {
        Ok(PeerReply::Permit(answer)) => decode_answer(answer),
        Ok(_) => {
            log::debug!("entry {entry} cannot grant permits");
            (refused, Duration::ZERO)
        }
        Err(err) => {
            cx.recorder.metrics().count_permit("failed");
            log::debug!("asking entry {entry} for a permit failed: {err}");
            (refused, Duration::ZERO)
        }
    }
}

/// Answers another entry's request for a permit.
pub(crate) async fn on_query<D: PlatformCodec>(cx: &Arc<Cx<D>>, query: PermitQuery) -> PeerReply {
    let (reply, waited) = answer(cx, decode_ask(query)).await;
    PeerReply::Permit(encode_answer(&reply, waited))
}

/// Takes the notice of another entry. Returns what that entry asks for.
pub(crate) fn on_notice<D: PlatformCodec>(cx: &Cx<D>, notice: LimitNotice) -> Option<LimitNotice> {
    let LimitNotice {
        entry,
        limits,
        silent,
        reachable,
        is_leaving,
        wants_all,
    } = notice;
    let limits = limits.into_iter().map(decode_limit).collect();
    cx.limit_guard.on_news(
        &entry,
        LimitNews {
            limits,
            silent,
            reachable,
        },
    );
    if is_leaving {
        cx.limit_guard.on_leaving(&entry);
    }
    wants_all.then(|| encode_news(cx, &cx.limit_guard.all_limits()))
}

/// Takes over the limits that a running entry knows; to be called at the start.
pub(crate) async fn take_over_limits<D: PlatformCodec>(cx: &Cx<D>, addr: &Name) {
    let notice = LimitNotice {
        wants_all: true,
        ..encode_news(cx, &LimitNews::default())
    };
    let req = PeerRequest::Limits(notice);
    match cx.pool.request(addr, &req, TAKEOVER_TIMEOUT).await {
        Ok(PeerReply::Limits(notice)) => {
            on_notice(cx, notice);
        }
        Ok(_) => log::debug!("the entry at {addr} knows of no limits"),
        Err(err) => log::debug!("requesting the limits that {addr} knows failed: {err}"),
    }
}

/// Finds out which entries are alive, and sends them what has changed.
pub(crate) async fn exchange_limits<D: PlatformCodec>(cx: Arc<Cx<D>>) {
    let ticks = cx.timer.subscribe(EXCHANGE_INTERVAL);
    let mut round: u32 = 0;
    while ticks.recv_async().await.is_ok() {
        round = round.wrapping_add(1);
        let is_leaving = cx.is_shutting_down();
        let says_leaving = is_leaving && round.is_multiple_of(LEAVING_ROUNDS);
        let news = cx.limit_guard.evaluate(is_leaving);
        if news.is_some() || says_leaving {
            let notice = LimitNotice {
                is_leaving,
                ..encode_news(&*cx, &news.unwrap_or_default())
            };
            let snapshot = cx.cluster.snapshot();
            let others = snapshot.daemons.values();
            for daemon in others.filter(|daemon| daemon.name != cx.settings.name) {
                let req = PeerRequest::Limits(notice.clone());
                notify(&cx, daemon.addr.clone(), req);
            }
        }
        if round.is_multiple_of(USAGE_ROUNDS) {
            for usage in cx.limit_guard.usage() {
                record_usage(&cx, &usage);
            }
        }
    }
}

fn record_usage<D: PlatformCodec>(cx: &Cx<D>, usage: &LimitUsage) {
    let granted = usage.granted.iter();
    let granted: Vec<String> = granted
        .map(|(entry, count)| format!("{entry}:{count}"))
        .collect();
    let detail = format!(
        "server={} per_s={} known_ms={} granted={} refused={}",
        usage.server.id,
        usage.limit,
        usage.age.as_millis(),
        granted.join(","),
        usage.refused
    );
    cx.recorder.emit(Event::ServerLimitUsed, &detail);
}

fn encode_news<D: PlatformCodec>(cx: &Cx<D>, news: &LimitNews) -> LimitNotice {
    let limits = news.limits.iter();
    LimitNotice {
        entry: cx.settings.name.clone(),
        limits: limits
            .map(|(server, observation)| encode_limit(server, Some(*observation)))
            .collect(),
        silent: news.silent.clone(),
        reachable: news.reachable.clone(),
        is_leaving: false,
        wants_all: false,
    }
}

// A response counts as sent earlier and received later than it was, by a millisecond at
// most, so that it never seems to be later than another.
fn encode_limit(server: &ServerLifetime, observation: Option<LimitObservation>) -> ServerLimit {
    let now = uptime();
    let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u64;
    ServerLimit {
        server: server.id.clone(),
        started_ms: server.started_ms,
        is_limited: observation.is_some_and(|o| o.limit.is_some()),
        per_s: observation.and_then(|o| o.limit).unwrap_or(0.0),
        sent_age_ms: observation.map_or(u64::MAX, |o| age_ms(o.sent_at) + 1),
        received_age_ms: observation.map_or(u64::MAX, |o| age_ms(o.received_at)),
    }
}

fn decode_limit(limit: ServerLimit) -> (ServerLifetime, LimitObservation) {
    let now = uptime();
    let time = |age_ms| now.saturating_sub(Duration::from_millis(age_ms));
    let observation = LimitObservation {
        limit: limit.is_limited.then_some(limit.per_s),
        sent_at: time(limit.sent_age_ms),
        received_at: time(limit.received_age_ms),
    };
    let server = ServerLifetime {
        id: limit.server,
        started_ms: limit.started_ms,
    };
    (server, observation)
}

fn encode_ask(ask: &PermitAsk) -> PermitQuery {
    PermitQuery {
        entry: ask.request.entry.clone(),
        limit: encode_limit(&ask.server, ask.observation),
        rank: ask.request.rank,
        patience_ms: ask.request.patience.as_millis() as u64,
        hops: ask.hops,
    }
}

fn decode_ask(query: PermitQuery) -> PermitAsk {
    let (server, observation) = decode_limit(query.limit);
    PermitAsk {
        server,
        observation: observation.limit.is_some().then_some(observation),
        request: PermitRequest {
            id: 0,
            entry: query.entry,
            rank: query.rank,
            patience: Duration::from_millis(query.patience_ms),
        },
        hops: query.hops,
    }
}

fn encode_answer(reply: &PermitReply, waited: Duration) -> PermitAnswer {
    let refusal = match reply {
        PermitReply::Refused(refusal) => *refusal,
        _ => PermitRefusal::default(),
    };
    PermitAnswer {
        is_granted: !matches!(reply, PermitReply::Refused(_)),
        is_unlimited: *reply == PermitReply::Unlimited,
        waited_ms: waited.as_millis() as u64,
        next_permit_ms: whole_millis(refusal.next_permit),
        retry_after_ms: whole_millis(refusal.retry_after),
    }
}

fn decode_answer(answer: PermitAnswer) -> (PermitReply, Duration) {
    let reply = if answer.is_unlimited {
        PermitReply::Unlimited
    } else if answer.is_granted {
        PermitReply::Granted
    } else {
        PermitReply::Refused(PermitRefusal {
            next_permit: Duration::from_millis(answer.next_permit_ms),
            retry_after: Duration::from_millis(answer.retry_after_ms),
        })
    };
    (reply, Duration::from_millis(answer.waited_ms))
}
