use std::sync::{Mutex, MutexGuard, PoisonError};

/// Notifies subscribers that something changed. A slow subscriber receives one
/// notification for several changes. Dropping a receiver ends its subscription.
///
/// ```
/// let notifier = rw_coord::ChangeNotifier::default();
/// let rx = notifier.subscribe();
/// notifier.notify();
/// notifier.notify();
/// assert!(rx.try_recv().is_ok());
/// assert!(rx.try_recv().is_err());
/// ```
#[derive(Debug, Default)]
pub struct ChangeNotifier(Mutex<Vec<flume::Sender<()>>>);

impl ChangeNotifier {
    fn subscribers(&self) -> MutexGuard<'_, Vec<flume::Sender<()>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Subscribes to every change from now on.
    pub fn subscribe(&self) -> flume::Receiver<()> {
        let (tx, rx) = flume::bounded(1);
        let mut subscribers = self.subscribers();
        // Changes may be rare, and subscriptions short.
        if subscribers.len() == subscribers.capacity() {
            subscribers.retain(|tx| !tx.is_disconnected());
        }
        subscribers.push(tx);
        rx
    }

    /// Number of subscriptions that are kept, some of which may have ended.
    pub fn subscription_count(&self) -> usize {
        self.subscribers().len()
    }

    /// Notifies all subscribers of a change.
    pub fn notify(&self) {
        let disconnected = |tx: &flume::Sender<()>| {
            matches!(tx.try_send(()), Err(flume::TrySendError::Disconnected(())))
        };
        self.subscribers().retain(|tx| !disconnected(tx));
    }
}
