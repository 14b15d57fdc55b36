//! Attempts of one call that are under way at several backend servers.

use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::Poll;

/// Attempts that are under way; dropping them closes their connections.
pub(super) struct OpenAttempts<F>(Vec<Pin<Box<F>>>);

impl<F> Default for OpenAttempts<F> {
    fn default() -> Self {
        OpenAttempts(Vec::new())
    }
}

impl<F: Future> OpenAttempts<F> {
    /// Adds an attempt.
    pub(super) fn push(&mut self, attempt: F) {
        self.0.push(Box::pin(attempt));
    }

    /// Whether no attempt is under way.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Waits for the first attempt to end and removes it; waits without end if none is
    /// under way.
    pub(super) async fn next(&mut self) -> F::Output {
        poll_fn(|cx| {
            for n in 0..self.0.len() {
                if let Poll::Ready(output) = self.0[n].as_mut().poll(cx) {
                    drop(self.0.swap_remove(n));
                    return Poll::Ready(output);
                }
            }
            Poll::Pending
        })
        .await
    }
}
