//! Beginnings of prompts that the engines of this entry's requests still hold. Only engines
//! whose service declares that it keeps prompts are followed.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rw_coord::uptime;
use rw_protocol::Name;
use rw_routing::HeldPrompts;

use super::{Call, Entry, SlotPermit};
use crate::{BackendServer, Engine, PlatformCodec, Snapshot};

/// Servers that are gone whose prompts are remembered at most.
const MAX_GONE_SERVERS: usize = 16;

/// What each backend server is believed to hold.
#[derive(Default)]
pub(super) struct PromptReuse {
    servers: Mutex<HashMap<Name, HeldPrompts>>,
}

impl PromptReuse {
    fn servers(&self) -> MutexGuard<'_, HashMap<Name, HeldPrompts>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Prompt tokens of a call that a server is expected to hold.
    pub(super) fn expected_tokens(
        &self,
        call: &Call,
        engine: &Engine,
        server: &BackendServer,
    ) -> u32 {
        let Some(retention) = &engine.retention else {
            return 0;
        };
        let servers = self.servers();
        servers.get(&server.id).map_or(0, |held| {
            let started_ms = server.started_ms;
            held.find(&call.prompt_chain, started_ms, retention, uptime())
                .expected_tokens
        })
    }

    // Forgets servers that are gone, once there are many of them.
    fn prune(&self, snapshot: &Snapshot) {
        let mut servers = self.servers();
        if servers.len() > snapshot.servers.len() + MAX_GONE_SERVERS {
            servers.retain(|id, _| snapshot.servers.contains_key(id));
        }
    }
}

impl<D: PlatformCodec> Entry<D> {
    /// Records that a server has read a call's prompt, and whether its first event came as
    /// early as the tokens that it was expected to hold made it.
    pub(super) fn record_prompt_read(&self, call: &Call, permit: &SlotPermit, latency: Duration) {
        let Some((engine, retention)) = call
            .engine()
            .and_then(|engine| Some((engine, engine.retention?)))
        else {
            return;
        };
        let (server, now) = (&permit.server, uptime());
        let mut servers = self.prompt_reuse.servers();
        let held = servers.entry(server.id.clone()).or_default();
        let chain = &call.prompt_chain;
        let reuse = held.find(chain, server.started_ms, &retention, now);
        held.on_read(chain, server.started_ms, &retention, now);
        drop(servers);
        self.prompt_reuse.prune(&self.cx.cluster.snapshot());
        if reuse.expected_tokens > 0 {
            let saved_ms = engine.profile.prefill_ms(reuse.expected_tokens);
            let saved = Duration::from_secs_f64(saved_ms / 1e3);
            let metrics = self.cx.recorder.metrics();
            let is_missed = latency > permit.forecast + saved;
            metrics.count_prompt_reuse(is_missed, reuse.expected_tokens);
        }
    }
}
