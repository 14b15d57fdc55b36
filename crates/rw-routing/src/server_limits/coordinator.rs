use std::collections::HashMap;
use std::time::Duration;

use rw_protocol::Name;

use super::exchange::{
    AskOutcome, LimitChange, LimitNews, LimitUsage, PermitAsk, PermitReply, PermitTarget,
};
use super::issuer::{LimitIssuer, PermitDecision, PermitRefusal};
use super::limited_server::LimitedServer;
use super::membership::EntryMembership;
use super::observation::{LimitObservation, ServerLifetime};

/// Times that a request for a permit may be passed on, when entries differ on the owner.
const MAX_HOPS: u32 = 2;
/// Time after which an entry asks again if the owner could not decide.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval at which owners repeat the limits of their servers, for entries that missed a
/// message and get no response of the server themselves.
const REPEAT_INTERVAL: Duration = Duration::from_secs(15);
/// Interval at which an entry repeats whom it does not hear, or hears instead of others.
const HEARING_REPEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of servers whose limits are kept.
const MAX_SERVERS: usize = 4000;

/// The limits of backend servers, as one entry knows them, and the permits of those
/// servers that it owns. Performs no I/O.
pub struct LimitCoordinator {
    own: Name,
    /// The entries that are alive.
    pub membership: EntryMembership,
    servers: HashMap<Name, LimitedServer>,
    // The lists of silent and reachable entries that were sent last, and when.
    last_hearing: (Vec<Name>, Vec<Name>),
    hearing_sent_at: Duration,
    repeated_at: Duration,
}

impl LimitCoordinator {
    /// Creates the coordinator of an entry that has just started.
    pub fn new(own: Name) -> Self {
        LimitCoordinator {
            membership: EntryMembership::new(own.clone()),
            own,
            servers: HashMap::new(),
            last_hearing: Default::default(),
            hearing_sent_at: Duration::ZERO,
            repeated_at: Duration::ZERO,
        }
    }

    /// Number of servers with a limit.
    pub fn limited_servers(&self) -> usize {
        let limited = self.servers.values();
        limited.filter(|s| s.observation.limit.is_some()).count()
    }

    /// Limit of a server in requests per second.
    pub fn limit(&self, server: &ServerLifetime) -> Option<f64> {
        self.known(server)?.observation.limit
    }

    fn known(&self, server: &ServerLifetime) -> Option<&LimitedServer> {
        let known = self.servers.get(&server.id);
        known.filter(|known| known.started_ms == server.started_ms)
    }

    /// Records what a response to this entry said. Returns the change, if it is one.
    pub fn on_response(
        &mut self,
        server: &ServerLifetime,
        observation: LimitObservation,
        now: Duration,
    ) -> Option<LimitChange> {
        // Most servers never name a limit.
        if observation.limit.is_none() && !self.servers.contains_key(&server.id) {
            return None;
        }
        let change = self.merge(server, observation, now);
        if let (Some(_), Some(known)) = (&change, self.servers.get_mut(&server.id)) {
            known.is_news = true;
        }
        change
    }

    fn merge(
        &mut self,
        server: &ServerLifetime,
        observation: LimitObservation,
        now: Duration,
    ) -> Option<LimitChange> {
        let known = self.servers.get_mut(&server.id);
        let old_limit = match known {
            Some(known) if known.started_ms > server.started_ms => return None,
            Some(known) if known.started_ms == server.started_ms => {
                let old_limit = known.observation.limit;
                known.observation = known.observation.merge(observation);
                let limit = known.observation.limit;
                if old_limit.is_none() && limit.is_some() {
                    known.known_since = now;
                }
                if old_limit != limit {
                    known.refused_until = Duration::ZERO;
                    known.return_at = Duration::ZERO;
                }
                if let (Some(issuer), Some(limit)) = (&mut known.issuer, limit) {
                    issuer.set_limit(limit);
                }
                old_limit
            }
            known => {
                let old_limit = known.and_then(|known| known.observation.limit);
                self.make_room();
                let new = LimitedServer::new(server.started_ms, observation, now);
                self.servers.insert(server.id.clone(), new);
                old_limit
            }
        };
        let limit = self.servers.get(&server.id)?.observation.limit;
        let server = server.clone();
        (old_limit != limit).then_some(LimitChange { server, limit })
    }

    fn make_room(&mut self) {
        if self.servers.len() < MAX_SERVERS {
            return;
        }
        let received_at = |server: &LimitedServer| server.observation.received_at;
        let oldest = self.servers.iter().min_by_key(|(_, s)| received_at(s));
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            log::warn!("forgetting the limit of server {id}: too many servers have one");
            self.servers.remove(&id);
        }
    }

    /// Whether a request that waits for `patience` at most would be refused a permit, as
    /// far as is known. `spread`, from 0 to 1, selects its time to come back among those of
    /// the callers that were refused before.
    pub fn refusal(
        &self,
        server: &ServerLifetime,
        patience: Duration,
        spread: f64,
        now: Duration,
    ) -> Option<PermitRefusal> {
        let known = self
            .known(server)
            .filter(|k| k.observation.limit.is_some())?;
        let next_permit = known.refused_until.saturating_sub(now);
        let last_return = known.return_at.saturating_sub(now);
        let spread = last_return.saturating_sub(next_permit).mul_f64(spread);
        (next_permit > patience).then_some(PermitRefusal {
            next_permit,
            retry_after: next_permit + spread,
        })
    }

    /// Whom to ask for a permit to send a request to a server.
    pub fn target(&mut self, server: &ServerLifetime) -> PermitTarget {
        if self.limit(server).is_none() {
            return PermitTarget::None;
        }
        match self.membership.owner(&server.id) {
            Some(owner) if owner != self.own => {
                PermitTarget::Entry(self.membership.next_hop(&owner))
            }
            _ => PermitTarget::Own,
        }
    }

    /// What this entry knows of a server's limit.
    pub fn observation(&self, server: &ServerLifetime) -> Option<LimitObservation> {
        self.known(server).map(|known| known.observation)
    }

    /// Handles a request for a permit, of this entry or another. Also returns waiting
    /// requests that it displaces, with their replies, and the change that it brings.
    pub fn on_ask(
        &mut self,
        ask: PermitAsk,
        now: Duration,
    ) -> (AskOutcome, Vec<(u64, PermitReply)>, Option<LimitChange>) {
        let change = ask
            .observation
            .and_then(|observation| self.merge(&ask.server, observation, now));
        if let (Some(_), Some(known)) = (&change, self.servers.get_mut(&ask.server.id)) {
            known.is_news = true;
        }
        let mut displaced = Vec::new();
        let outcome = self.decide(ask, now, &mut displaced);
        (outcome, displaced, change)
    }

    fn decide(
        &mut self,
        ask: PermitAsk,
        now: Duration,
        displaced: &mut Vec<(u64, PermitReply)>,
    ) -> AskOutcome {
        let refused = |delay| AskOutcome::Reply(PermitReply::Refused(PermitRefusal::after(delay)));
        let owner = self.membership.owner(&ask.server.id);
        let Some(owner) = owner.filter(|_| self.membership.is_awake(now)) else {
            return refused(RETRY_DELAY);
        };
        if owner != self.own {
            return match ask.hops < MAX_HOPS {
                true => AskOutcome::Forward(self.membership.next_hop(&owner)),
                false => refused(RETRY_DELAY),
            };
        }
        let Some(limit) = self.limit(&ask.server) else {
            return AskOutcome::Reply(PermitReply::Unlimited);
        };
        let delay = self.membership.time_to_grant(&ask.server.id, now);
        if let Some(delay) = delay.filter(|delay| !delay.is_zero()) {
            return refused(delay);
        }
        let share = self.membership.share();
        let Some(known) = self.servers.get_mut(&ask.server.id) else {
            return refused(RETRY_DELAY);
        };
        let issuer = known
            .issuer
            .get_or_insert_with(|| LimitIssuer::new(limit, now));
        issuer.set_share(share);
        let (decision, late) = issuer.request(ask.request, now);
        displaced.extend(
            late.into_iter()
                .map(|(id, refusal)| (id, PermitReply::Refused(refusal))),
        );
        match decision {
            PermitDecision::Granted => AskOutcome::Reply(PermitReply::Granted),
            PermitDecision::Queued => AskOutcome::Queued,
            PermitDecision::Refused(refusal) => AskOutcome::Reply(PermitReply::Refused(refusal)),
        }
    }

    /// Records the owner's reply to a request of this entry.
    pub fn on_reply(&mut self, server: &ServerLifetime, reply: &PermitReply, now: Duration) {
        let PermitReply::Refused(refusal) = reply else {
            return;
        };
        let known = self.servers.get_mut(&server.id);
        if let Some(known) = known.filter(|known| known.started_ms == server.started_ms) {
            known.refused_until = now + refusal.next_permit;
            known.return_at = known.return_at.max(now + refusal.retry_after);
        }
    }

    /// Grants and refuses waiting requests whose time has come; to be called at
    /// [`next_poll`](Self::next_poll), and every second at least.
    pub fn poll(&mut self, now: Duration) -> Vec<(u64, PermitReply)> {
        let mut out = Vec::new();
        let is_awake = self.membership.is_awake(now);
        let share = self.membership.share();
        for (id, server) in &mut self.servers {
            let may_grant = self.membership.time_to_grant(id, now) == Some(Duration::ZERO);
            let limit = server.observation.limit.filter(|_| is_awake && may_grant);
            let Some(limit) = limit else {
                let waiting = server.issuer.take().map(LimitIssuer::into_waiting);
                let reply = match server.observation.limit {
                    None => PermitReply::Unlimited,
                    Some(_) => PermitReply::Refused(PermitRefusal::after(RETRY_DELAY)),
                };
                out.extend(waiting.into_iter().flatten().map(|id| (id, reply)));
                continue;
            };
            let issuer = server
                .issuer
                .get_or_insert_with(|| LimitIssuer::new(limit, now));
            issuer.set_share(share);
            out.extend(issuer.poll(now).into_iter().map(|(id, decision)| {
                let reply = match decision {
                    PermitDecision::Refused(refusal) => PermitReply::Refused(refusal),
                    _ => PermitReply::Granted,
                };
                (id, reply)
            }));
        }
        out
    }

    /// When [`poll`](Self::poll) has to be called next, if any request waits.
    pub fn next_poll(&self) -> Option<Duration> {
        let issuers = self.servers.values().filter_map(|s| s.issuer.as_ref());
        issuers.filter_map(LimitIssuer::next_poll).min()
    }

    /// Returns what the other entries have to know, if anything; to be called every
    /// 100 ms, after [`EntryMembership::evaluate`].
    pub fn news(&mut self, now: Duration) -> Option<LimitNews> {
        let repeats = now >= self.repeated_at + REPEAT_INTERVAL;
        if repeats {
            self.repeated_at = now;
        }
        let mut news = LimitNews {
            limits: Vec::new(),
            silent: self.membership.silent(now),
            reachable: self.membership.reachable(now),
        };
        for (id, server) in &mut self.servers {
            let is_owned = self.membership.owner(id).as_ref() == Some(&self.own);
            let is_repeated = repeats && is_owned && server.observation.limit.is_some();
            if std::mem::take(&mut server.is_news) || is_repeated {
                let lifetime = ServerLifetime {
                    id: id.clone(),
                    started_ms: server.started_ms,
                };
                news.limits.push((lifetime, server.observation));
            }
        }
        let hearing = (news.silent.clone(), news.reachable.clone());
        let is_calm = hearing.0.is_empty() && hearing.1.is_empty();
        let is_hearing_due = hearing != self.last_hearing
            || !is_calm && now >= self.hearing_sent_at + HEARING_REPEAT_INTERVAL;
        if is_hearing_due {
            self.hearing_sent_at = now;
            self.last_hearing = hearing;
        }
        let has_news = !news.limits.is_empty() || is_hearing_due;
        has_news.then_some(news)
    }

    /// Everything that this entry knows of limits in effect, for an entry that starts.
    pub fn all_limits(&self) -> LimitNews {
        let limited = self.servers.iter();
        let limited = limited.filter(|(_, server)| server.observation.limit.is_some());
        let limits = limited.map(|(id, server)| {
            let lifetime = ServerLifetime {
                id: id.clone(),
                started_ms: server.started_ms,
            };
            (lifetime, server.observation)
        });
        LimitNews {
            limits: limits.collect(),
            ..LimitNews::default()
        }
    }

    /// Takes what another entry knows, with times on the clock of this one. Returns the
    /// changes that it brings.
    pub fn on_news(&mut self, entry: &Name, news: LimitNews, now: Duration) -> Vec<LimitChange> {
        self.membership.on_heard(entry, now);
        let (silent, reachable) = (news.silent, news.reachable);
        self.membership.on_hearing(entry, silent, reachable, now);
        let limits = news.limits.into_iter();
        let changes = limits.filter_map(|(server, observation)| {
            let is_new = !self.servers.contains_key(&server.id);
            // An end is news only to those who know of the limit.
            if observation.limit.is_none() && is_new {
                return None;
            }
            self.merge(&server, observation, now)
        });
        changes.collect()
    }

    /// Forgets servers that are gone.
    pub fn retain_servers(&mut self, is_known: impl Fn(&Name) -> bool) {
        self.servers.retain(|id, _| is_known(id));
    }

    /// How the limits are used of those servers that this entry owns.
    pub fn usage(&self, now: Duration) -> Vec<LimitUsage> {
        let mut out = Vec::new();
        for (id, server) in &self.servers {
            let (Some(limit), Some(issuer)) = (server.observation.limit, &server.issuer) else {
                continue;
            };
            let (granted, refused) = issuer.usage();
            out.push(LimitUsage {
                server: ServerLifetime {
                    id: id.clone(),
                    started_ms: server.started_ms,
                },
                limit,
                age: now.saturating_sub(server.known_since),
                granted: granted.clone(),
                refused,
            });
        }
        out
    }
}
