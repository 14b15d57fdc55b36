use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// One tick of a subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tick;

struct Subscription {
    period: Duration,
    tx: flume::Sender<Tick>,
}

/// Service that sends periodic ticks to its subscribers. Dropping a receiver
/// ends its subscription; dropping the last handle stops the service.
///
/// ```
/// use std::time::Duration;
/// let timer = rw_coord::Timer::start();
/// let rx = timer.subscribe(Duration::from_millis(1));
/// assert!(rx.recv().is_ok());
/// ```
#[derive(Clone)]
pub struct Timer {
    tx: flume::Sender<Subscription>,
}

impl Timer {
    /// Starts the timer thread.
    pub fn start() -> Self {
        let (tx, rx) = flume::unbounded();
        std::thread::spawn(move || run(rx));
        Timer { tx }
    }

    /// Sends a tick every `period`. A slow subscriber receives one tick in place of
    /// all that it missed.
    pub fn subscribe(&self, period: Duration) -> flume::Receiver<Tick> {
        let (tx, rx) = flume::bounded(1);
        // If the service has stopped, `tx` is dropped here and the subscriber sees
        // a disconnected channel.
        let _ = self.tx.send(Subscription { period, tx });
        rx
    }
}

fn run(rx: flume::Receiver<Subscription>) {
    let mut subs: Vec<Option<Subscription>> = Vec::new();
    let mut due: BinaryHeap<Reverse<(Instant, usize)>> = BinaryHeap::new();
    loop {
        let received = match due.peek() {
            Some(Reverse((at, _))) => rx.recv_deadline(*at),
            None => rx.recv().map_err(|_| flume::RecvTimeoutError::Disconnected),
        };
        match received {
            Ok(sub) => {
                due.push(Reverse((Instant::now() + sub.period, subs.len())));
                subs.push(Some(sub));
            }
            Err(flume::RecvTimeoutError::Disconnected) => return,
            Err(flume::RecvTimeoutError::Timeout) => fire_due(&mut subs, &mut due),
        }
    }
}

fn fire_due(subs: &mut [Option<Subscription>], due: &mut BinaryHeap<Reverse<(Instant, usize)>>) {
    let now = Instant::now();
    while let Some(Reverse((at, id))) = due.peek().copied() {
        if at > now {
            return;
        }
        due.pop();
        let Some(sub) = &subs[id] else { continue };
        if let Err(flume::TrySendError::Disconnected(_)) = sub.tx.try_send(Tick) {
            subs[id] = None;
            continue;
        }
        due.push(Reverse((now + sub.period, id)));
    }
}
