use std::sync::{Arc, Mutex, PoisonError};

/// Bytes up to which a message may use all of the budget; larger ones share half of it, so
/// that they cannot keep out reports and notices.
const SMALL_BYTES: usize = 64 << 10;

/// Bound on the bytes of incomplete messages, and of replies that peers have not taken.
pub struct MessageBudget {
    max: Option<usize>,
    held: Mutex<usize>,
}

impl MessageBudget {
    /// Allows `max` bytes; `None` is unlimited.
    pub fn new(max: Option<usize>) -> Arc<Self> {
        Arc::new(MessageBudget {
            max,
            held: Mutex::new(0),
        })
    }

    /// Starts to count the bytes of a message.
    pub fn open(self: &Arc<Self>) -> MessageBytes {
        MessageBytes {
            budget: self.clone(),
            held: 0,
        }
    }

    /// Whether there is a bound.
    pub fn is_limited(&self) -> bool {
        self.max.is_some()
    }
}

/// Bytes of one message, given back when it is dropped.
pub struct MessageBytes {
    budget: Arc<MessageBudget>,
    held: usize,
}

impl MessageBytes {
    /// Takes more bytes; false if there are none. A message alone gets all it asks for.
    pub fn take(&mut self, bytes: usize) -> bool {
        let Some(max) = self.budget.max else {
            return true;
        };
        let mut held = self
            .budget
            .held
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let bound = match self.held + bytes <= SMALL_BYTES {
            true => max,
            false => max / 2,
        };
        let is_alone = *held == self.held;
        if *held + bytes > bound && !is_alone {
            return false;
        }
        *held += bytes;
        self.held += bytes;
        true
    }

    /// Gives back all bytes.
    pub fn clear(&mut self) {
        if self.budget.max.is_none() || self.held == 0 {
            return;
        }
        let mut held = self
            .budget
            .held
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *held -= std::mem::take(&mut self.held);
    }
}

impl Drop for MessageBytes {
    fn drop(&mut self) {
        self.clear();
    }
}
