use std::sync::{Mutex, MutexGuard, PoisonError};

/// Tells subscribers that something changed. A slow subscriber gets one signal
/// for several changes; dropping a receiver ends its subscription.
///
/// ```
/// let signal = rw_coord::Signal::default();
/// let rx = signal.subscribe();
/// signal.notify();
/// signal.notify();
/// assert!(rx.try_recv().is_ok());
/// assert!(rx.try_recv().is_err());
/// ```
#[derive(Debug, Default)]
pub struct Signal(Mutex<Vec<flume::Sender<()>>>);

impl Signal {
    fn subscribers(&self) -> MutexGuard<'_, Vec<flume::Sender<()>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A receiver for every change from now on.
    pub fn subscribe(&self) -> flume::Receiver<()> {
        let (tx, rx) = flume::bounded(1);
        self.subscribers().push(tx);
        rx
    }

    /// Signals a change.
    pub fn notify(&self) {
        let disconnected = |tx: &flume::Sender<()>| {
            matches!(tx.try_send(()), Err(flume::TrySendError::Disconnected(())))
        };
        self.subscribers().retain(|tx| !disconnected(tx));
    }
}
