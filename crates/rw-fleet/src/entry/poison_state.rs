//! What an entry knows of requests that crash backend servers, and what it logs of that.

use std::collections::BTreeMap;
use std::time::Duration;

use rw_observe::Event;
use rw_protocol::Name;
use rw_routing::{CrashedServer, PoisonDetector, Quarantine};

/// Time in which a silent server has to leave the list of servers, or its silence is none of
/// a crash.
const SILENCE_TTL: Duration = Duration::from_secs(10);
/// Silences that are kept until it is known what became of their servers.
const MAX_SILENCES: usize = 256;

/// A server that has not answered a request in time, and may have crashed under it.
struct Silence {
    request: Name,
    server: CrashedServer,
    at: Duration,
}

/// What a guard knows.
#[derive(Default)]
pub(super) struct State {
    pub(super) detector: PoisonDetector,
    silences: Vec<Silence>,
    // Quarantines whose beginning has been logged.
    logged: Vec<Quarantine>,
    // Route and team of suspected requests.
    pub(super) origins: BTreeMap<Name, (Name, Name)>,
}

/// Where a change of the quarantines comes from, for the log.
#[derive(Clone, Copy)]
pub(super) enum Source {
    Evidence,
    Store,
    Operator,
}

impl State {
    /// Keeps a silence until it is known what became of the server.
    pub(super) fn add_silence(&mut self, request: Name, server: CrashedServer, at: Duration) {
        self.silences.truncate(MAX_SILENCES - 1);
        self.silences.push(Silence {
            request,
            server,
            at,
        });
    }

    /// Counts silences as crashes whose servers have left the list.
    pub(super) fn weigh_silences(
        &mut self,
        now: Duration,
        is_listed: impl Fn(&CrashedServer) -> bool,
    ) {
        let mut silences = std::mem::take(&mut self.silences);
        silences.retain(|silence| {
            if is_listed(&silence.server) {
                return now <= silence.at + SILENCE_TTL;
            }
            let request = std::slice::from_ref(&silence.request);
            let detector = &mut self.detector;
            detector.on_crash(&silence.server, request, false, silence.at);
            false
        });
        self.silences = silences;
    }

    /// Numbers of quarantined requests, and of parts.
    pub(super) fn counts(&self) -> (i64, i64) {
        let quarantines = self.detector.quarantines();
        let requests = quarantines.iter().filter(|q| q.is_request()).count();
        (requests as i64, (quarantines.len() - requests) as i64)
    }

    /// Events for the quarantines that began or ended since the last call.
    pub(super) fn take_events(&mut self, source: Source) -> Vec<(Event, String)> {
        let current = self.detector.quarantines();
        let is_same = |(a, b): (&Quarantine, &Quarantine)| a.parts == b.parts;
        let logged = &self.logged;
        if current.len() == logged.len() && current.iter().zip(logged).all(is_same) {
            return Vec::new();
        }
        let is_in = |list: &[Quarantine], q: &Quarantine| list.iter().any(|o| o.parts == q.parts);
        let began = current.iter().filter(|q| !is_in(logged, q));
        let ended = logged.iter().filter(|q| !is_in(current, q));
        let began = began.map(|q| self.describe_start(q, source));
        let ended = ended.map(|q| describe_end(q, source));
        let events = began.chain(ended).collect();
        self.logged = current.to_vec();
        events
    }

    fn describe_start(&self, quarantine: &Quarantine, source: Source) -> (Event, String) {
        let source = match (source, quarantine.crashes) {
            (Source::Store, _) => "store",
            (_, 0) => "entry",
            (_, _) => "own",
        };
        let parts = quarantine.parts.join(",");
        let crashes = quarantine.crashes;
        let detail = format!("crashed_servers={crashes} source={source} until=released");
        if !quarantine.is_request() {
            return (Event::PromptQuarantined, format!("parts={parts} {detail}"));
        }
        let origin = quarantine.parts.iter().find_map(|p| self.origins.get(p));
        let (route, team) = origin.cloned().unwrap_or_default();
        let detail = format!("content={parts} route={route} team={team} {detail}");
        (Event::RequestQuarantined, detail)
    }
}

fn describe_end(quarantine: &Quarantine, source: Source) -> (Event, String) {
    let by = match source {
        Source::Evidence => "survival",
        Source::Store => "entry",
        Source::Operator => "operator",
    };
    let parts = quarantine.parts.join(",");
    match quarantine.is_request() {
        true => (Event::RequestReleased, format!("content={parts} by={by}")),
        false => (Event::PromptReleased, format!("parts={parts} by={by}")),
    }
}
