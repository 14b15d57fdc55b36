//! Notices in which entries tell each other about requests, and parts of prompts, that crash
//! backend servers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rw_protocol::{
    Name, PeerRequest, PoisonNotice, PromptPartAge, QuarantinedParts, ServerCrash, ServerEventAge,
};
use rw_routing::{CrashedServer, PoisonReport, SuspectedCrash};
use tokio::time::{sleep, Instant};

use crate::entry::PoisonGuard;
use crate::peers::notify;
use crate::{Cx, PlatformCodec};

/// Interval at which an entry weighs what it knows and sends what has changed.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after each exchange that new evidence caused, in which more of it arrives; longer if
/// weighing it would take more than a tenth of the time.
const MIN_EXCHANGE_PAUSE: Duration = Duration::from_millis(20);
const WEIGHING_PAUSE_FACTOR: u32 = 9;
/// Rounds after which an unchanged notice is sent again, in case it was lost or an entry
/// has started.
const MAX_UNCHANGED_ROUNDS: u32 = 30;

/// Weighs the suspicions of this entry and sends its notices to the other entries.
pub async fn exchange_poison_notices<D: PlatformCodec>(
    cx: Arc<Cx<D>>,
    poison_guard: Arc<PoisonGuard>,
) {
    let ticks = cx.timer.subscribe(EXCHANGE_INTERVAL);
    let evidence = poison_guard.subscribe_evidence();
    let mut last = BTreeSet::new();
    let mut unchanged_rounds = 0;
    let mut is_tick = true;
    let mut pause = MIN_EXCHANGE_PAUSE;
    loop {
        if !is_tick {
            sleep(pause).await;
        }
        is_tick = tokio::select! {
            tick = ticks.recv_async() => match tick {
                Ok(_) => true,
                Err(_) => return,
            },
            // A request that crashed a server comes again within milliseconds.
            Ok(()) = evidence.recv_async() => false,
        };
        let started = Instant::now();
        let report = poison_guard.evaluate(|server| {
            let snapshot = cx.cluster.snapshot();
            let listed = snapshot.servers.get(&server.id);
            listed.is_some_and(|listed| listed.started_ms == server.started_ms)
        });
        pause = MIN_EXCHANGE_PAUSE.max(started.elapsed() * WEIGHING_PAUSE_FACTOR);
        let Some(report) = report else {
            continue;
        };
        let content = content(&report);
        unchanged_rounds += u32::from(is_tick);
        let is_due = unchanged_rounds >= MAX_UNCHANGED_ROUNDS && !content.is_empty();
        if content == last && !is_due {
            continue;
        }
        unchanged_rounds = 0;
        last = content;
        let notice = encode(cx.settings.name.clone(), &report);
        let snapshot = cx.cluster.snapshot();
        let others = snapshot.daemons.values();
        for daemon in others.filter(|daemon| daemon.name != cx.settings.name) {
            let req = PeerRequest::Poison(notice.clone());
            notify(&cx, daemon.addr.clone(), req);
        }
    }
}

// What a report says, without the ages.
fn content(report: &PoisonReport) -> BTreeSet<(u8, String, Name)> {
    let crashes = report.crashes.iter().map(|c| {
        let server = format!("{} {}", c.server.id, c.server.started_ms);
        (0, server, c.part.clone())
    });
    let survivals = report.survivals.iter();
    let survivals = survivals.map(|(part, _)| (1, String::new(), part.clone()));
    let alive = report.alive.iter();
    let alive = alive.map(|(s, _)| (2, s.started_ms.to_string(), s.id.clone()));
    let quarantines = report.quarantines.iter();
    let quarantines = quarantines.map(|(parts, _)| (3, parts.join(","), Name::default()));
    crashes
        .chain(survivals)
        .chain(alive)
        .chain(quarantines)
        .collect()
}

fn encode(entry: Name, report: &PoisonReport) -> PoisonNotice {
    let ms = |age: &Duration| age.as_millis() as u64;
    let crashes = report.crashes.iter().map(|crash| ServerCrash {
        part: crash.part.clone(),
        server: crash.server.id.clone(),
        started_ms: crash.server.started_ms,
        age_ms: ms(&crash.at),
        is_repeat: crash.is_repeat,
    });
    let survivals = report.survivals.iter().map(|(part, age)| PromptPartAge {
        part: part.clone(),
        age_ms: ms(age),
    });
    let alive = report.alive.iter().map(|(server, age)| ServerEventAge {
        server: server.id.clone(),
        started_ms: server.started_ms,
        age_ms: ms(age),
    });
    let quarantines = report.quarantines.iter();
    let quarantines = quarantines.map(|(parts, age)| QuarantinedParts {
        parts: parts.clone(),
        age_ms: ms(age),
    });
    PoisonNotice {
        entry,
        crashes: crashes.collect(),
        survivals: survivals.collect(),
        alive: alive.collect(),
        quarantines: quarantines.collect(),
    }
}

/// Decodes a notice into the name of its entry and its report.
pub(crate) fn decode(notice: PoisonNotice) -> (Name, PoisonReport) {
    let crashed = |id, started_ms| CrashedServer { id, started_ms };
    let crashes = notice.crashes.into_iter().map(|crash| SuspectedCrash {
        part: crash.part,
        server: crashed(crash.server, crash.started_ms),
        at: Duration::from_millis(crash.age_ms),
        is_repeat: crash.is_repeat,
    });
    let survivals = notice.survivals.into_iter();
    let survivals = survivals.map(|s| (s.part, Duration::from_millis(s.age_ms)));
    let alive = notice.alive.into_iter().map(|alive| {
        let server = crashed(alive.server, alive.started_ms);
        (server, Duration::from_millis(alive.age_ms))
    });
    let quarantines = notice.quarantines.into_iter();
    let quarantines = quarantines.map(|q| (q.parts, Duration::from_millis(q.age_ms)));
    let report = PoisonReport {
        crashes: crashes.collect(),
        survivals: survivals.collect(),
        alive: alive.collect(),
        quarantines: quarantines.collect(),
    };
    (notice.entry, report)
}
