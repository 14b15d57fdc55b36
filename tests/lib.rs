//! End-to-end tests with real processes. What they share is here.

#[path = "chaos_run.rs"]
pub mod chaos;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

use rw_protocol::Name;
use rw_settings::DaemonRole;
use rw_standins::caller::{call_plain_service, request_completion, Outcome};
use rw_standins::cluster::Cluster;

/// Bytes of the models that tests spread.
pub const MODEL_BYTES: u64 = 1 << 20;
/// Bytes of their chunks.
pub const CHUNK_BYTES: u64 = 64 << 10;
/// Tokens of each draft.
pub const TOKENS: u64 = 8;
/// Deadline of each draft in milliseconds.
pub const DEADLINE_MS: u64 = 20_000;

/// Offers both versions of the test model and brings the first into service.
pub fn serve_v1(cluster: &Cluster, hosts: usize, regions: usize) {
    cluster.add_model("cutlist", "v1", MODEL_BYTES, CHUNK_BYTES);
    cluster.add_model("cutlist", "v2", MODEL_BYTES, CHUNK_BYTES);
    cluster.apply(
        "entry-0",
        &rw_standins::layout::intent("v1", hosts, regions),
    );
    cluster.wait_fulfilled("entry-0", "cuts", "v1");
}

/// Callers that go on until they are stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<(String, Outcome)>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts `callers` callers over all entries; every fourth call is a
    /// charge, which may run once.
    pub fn start(cluster: &Cluster, callers: usize) -> Self {
        let entries: Vec<Name> = cluster.names(DaemonRole::Entry);
        let urls: Vec<String> = entries.iter().map(|e| cluster.entry_url(e)).collect();
        Load::start_at(&urls, callers)
    }

    /// Starts `callers` callers at the given entries.
    pub fn start_at(urls: &[String], callers: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let outcomes = Arc::new(Mutex::new(Vec::new()));
        let caller = |at: usize| {
            let (stop, outcomes, urls) = (stop.clone(), outcomes.clone(), urls.to_vec());
            std::thread::spawn(move || {
                let mut n = 0;
                while !stop.load(Ordering::Relaxed) {
                    n += 1;
                    let url = &urls[(at + n) % urls.len()];
                    let id = format!("call-{at}-{n}");
                    let outcome = if n % 4 == 0 {
                        call_plain_service(url, "penal", "charge", &id, &id)
                    } else {
                        request_completion(
                            url,
                            "arima",
                            &format!("shop {at}|{id}"),
                            TOKENS,
                            DEADLINE_MS,
                        )
                    };
                    outcomes
                        .lock()
                        .expect("no caller panics")
                        .push((id, outcome));
                }
            })
        };
        let threads = (0..callers).map(caller).collect();
        Load {
            stop,
            outcomes,
            threads,
        }
    }

    /// Calls made so far.
    pub fn count(&self) -> usize {
        self.outcomes.lock().expect("no caller panics").len()
    }

    /// Stops the callers; every call with its outcome.
    pub fn stop(self) -> Vec<(String, Outcome)> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("no caller panics");
        }
        let outcomes = self.outcomes.lock().expect("no caller panics");
        outcomes.clone()
    }
}

/// Calls that were neither answered nor, truthfully, not run.
pub fn failures(outcomes: &[(String, Outcome)]) -> Vec<&(String, Outcome)> {
    let fine = |o: &Outcome| matches!(o, Outcome::Answered(_) | Outcome::NotRun(_));
    outcomes.iter().filter(|(_, o)| !fine(o)).collect()
}

/// Calls that were not answered.
pub fn unanswered(outcomes: &[(String, Outcome)]) -> Vec<&(String, Outcome)> {
    let answered = |o: &Outcome| matches!(o, Outcome::Answered(_));
    outcomes.iter().filter(|(_, o)| !answered(o)).collect()
}
