use std::sync::Arc;
use std::time::Duration;

use rw_routing::EngineLoad;

use super::LoadTracker;
use crate::BackendServer;

/// A place at a backend server; dropping it frees the place.
pub struct SlotPermit {
    load_tracker: Arc<LoadTracker>,
    /// The server.
    pub server: Arc<BackendServer>,
    /// Load of the server as it was known when the place was taken.
    pub load: EngineLoad,
    /// Time to the first event that was forecast then.
    pub forecast: Duration,
    // Time of the board at which the place was taken.
    pub(super) taken_at: Duration,
    unread_tokens: u32,
}

impl SlotPermit {
    pub(super) fn new(
        load_tracker: Arc<LoadTracker>,
        server: Arc<BackendServer>,
        unread_tokens: u32,
        taken_at: Duration,
    ) -> Self {
        SlotPermit {
            load_tracker,
            server,
            load: EngineLoad::default(),
            forecast: Duration::ZERO,
            taken_at,
            unread_tokens,
        }
    }

    /// The first event is here.
    pub fn on_first_event(&mut self) {
        self.on_event();
        self.load_tracker.on_first_event(self);
        self.mark_prompt_read();
    }

    /// Another event is here.
    pub fn on_event(&self) {
        self.load_tracker.on_event(&self.server.id);
    }

    fn mark_prompt_read(&mut self) {
        let unread_tokens = std::mem::take(&mut self.unread_tokens);
        self.load_tracker
            .on_prompt_read(&self.server.id, unread_tokens);
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.mark_prompt_read();
        self.load_tracker.on_slot_released(&self.server.id);
    }
}
