use std::sync::Arc;
use std::time::Duration;

use rw_routing::EngineLoad;

use super::Board;
use crate::BackendServer;

/// A place at a backend server; dropping it frees the place.
pub struct Ticket {
    board: Arc<Board>,
    /// The server.
    pub server: Arc<BackendServer>,
    /// Load of the server as it was known when the place was taken.
    pub load: EngineLoad,
    /// Time to the first event that was forecast then.
    pub forecast: Duration,
    // Time of the board at which the place was taken.
    pub(super) since: Duration,
    unread: u32,
}

impl Ticket {
    pub(super) fn new(
        board: Arc<Board>,
        server: Arc<BackendServer>,
        unread: u32,
        since: Duration,
    ) -> Self {
        Ticket {
            board,
            server,
            load: EngineLoad::default(),
            forecast: Duration::ZERO,
            since,
            unread,
        }
    }

    /// The first event is here.
    pub fn on_first_event(&mut self) {
        self.on_event();
        self.board.on_first_event(self);
        self.prompt_read();
    }

    /// Another event is here.
    pub fn on_event(&self) {
        self.board.on_event(&self.server.id);
    }

    fn prompt_read(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.board.on_prompt_read(&self.server.id, unread);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.prompt_read();
        self.board.on_left(&self.server.id);
    }
}
