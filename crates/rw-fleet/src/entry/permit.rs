use std::sync::Arc;
use std::time::Duration;

use rw_routing::EngineLoad;

use super::LoadTracker;
use crate::BackendServer;

/// A slot taken on a backend server; dropping the permit frees the slot.
pub struct SlotPermit {
    load_tracker: Arc<LoadTracker>,
    /// Backend server of the slot.
    pub server: Arc<BackendServer>,
    /// Known load of the server when the slot was taken.
    pub load: EngineLoad,
    /// Time to the first event, as forecast when the slot was taken.
    pub forecast: Duration,
    // When the slot was taken, on the clock of the load tracker.
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

    /// Records the first event, after which the prompt counts as read.
    pub fn on_first_event(&mut self) {
        self.on_event();
        self.load_tracker.on_first_event(self);
        self.mark_prompt_read();
    }

    /// Records an event.
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
