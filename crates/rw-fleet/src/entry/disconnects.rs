//! Log of callers that disconnect before their answer begins.

use rw_observe::Event;

use super::caller_connection::RequestGuard;
use super::{Call, Entry};
use crate::PlatformCodec;

/// A request whose answer has not begun. Dropped before it is answered, as it is when the
/// caller disconnects, it emits an event.
pub(super) struct PendingRequest<'a, D: PlatformCodec> {
    entry: &'a Entry<D>,
    guard: &'a RequestGuard,
    is_answered: bool,
}

impl<'a, D: PlatformCodec> PendingRequest<'a, D> {
    pub(super) fn new(entry: &'a Entry<D>, guard: &'a RequestGuard) -> Self {
        PendingRequest {
            entry,
            guard,
            is_answered: false,
        }
    }

    /// The answer begins.
    pub(super) fn on_answer(mut self) {
        self.is_answered = true;
    }
}

impl<D: PlatformCodec> Drop for PendingRequest<'_, D> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        match self.guard.call() {
            Some(call) => {
                let detail = format!("stage={} left_ms={}", stage(&call), left_ms(&call));
                self.entry.record_call(&call, Event::CallCancelled, &detail);
            }
            None => {
                let detail = format!("request={} stage=reading", self.guard.id());
                self.entry.cx.recorder.emit(Event::CallCancelled, &detail);
            }
        }
    }
}

fn stage(call: &Call) -> &'static str {
    match call.was_sent() {
        true => "at_server",
        false => "waiting",
    }
}

fn left_ms(call: &Call) -> u128 {
    call.time_left().as_millis()
}
