//! Code that the end-to-end tests share. They run real processes.

#[path = "chaos_run.rs"]
pub mod chaos;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

use rw_protocol::Name;
use rw_settings::DaemonRole;
use rw_standins::caller::{call_plain_service, request_completion, Outcome};
use rw_standins::cluster::Cluster;

/// Size in bytes of the models that tests distribute.
pub const MODEL_BYTES: u64 = 1 << 20;
/// Size in bytes of their chunks.
pub const CHUNK_BYTES: u64 = 64 << 10;
/// Number of tokens in each chat completion.
pub const TOKENS: u64 = 8;
/// Deadline of each chat completion in milliseconds.
pub const DEADLINE_MS: u64 = 20_000;

/// Publishes both versions of the test model and deploys the first.
pub fn deploy_v1(cluster: &Cluster, hosts: usize, regions: usize) {
    cluster.add_model("cutlist", "v1", MODEL_BYTES, CHUNK_BYTES);
    cluster.add_model("cutlist", "v2", MODEL_BYTES, CHUNK_BYTES);
    cluster.apply(
        "entry-0",
        &rw_standins::layout::intent("v1", hosts, regions),
    );
    cluster.wait_fulfilled("entry-0", "cuts", "v1");
}

/// Callers that send requests until they are stopped.
pub struct LoadGenerator {
    stop: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<(String, Outcome)>>>,
    threads: Vec<JoinHandle<()>>,
}

impl LoadGenerator {
    /// Starts `callers` callers that send their requests to all entries in
    /// turn. Every fourth request is a charge, which may run at most once.
    pub fn start(cluster: &Cluster, callers: usize) -> Self {
        let entries: Vec<Name> = cluster.names(DaemonRole::Entry);
        let urls: Vec<String> = entries.iter().map(|e| cluster.entry_url(e)).collect();
        LoadGenerator::start_at(&urls, callers)
    }

    /// Starts `callers` callers that send their requests to the given entries
    /// in turn.
    pub fn start_at(urls: &[String], callers: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let outcomes = Arc::new(Mutex::new(Vec::new()));
        let caller = |index: usize| {
            let (stop, outcomes, urls) = (stop.clone(), outcomes.clone(), urls.to_vec());
            std::thread::spawn(move || {
                let mut n = 0;
                while !stop.load(Ordering::Relaxed) {
                    n += 1;
                    let url = &urls[(index + n) % urls.len()];
                    let id = format!("call-{index}-{n}");
                    let outcome = if n % 4 == 0 {
                        call_plain_service(url, "penal", "charge", &id, &id)
                    } else {
                        request_completion(
                            url,
                            "arima",
                            &format!("shop {index}|{id}"),
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
        LoadGenerator {
            stop,
            outcomes,
            threads,
        }
    }

    /// Number of requests completed so far.
    pub fn count(&self) -> usize {
        self.outcomes.lock().expect("no caller panics").len()
    }

    /// Stops the callers and returns the id and outcome of every request.
    pub fn stop(self) -> Vec<(String, Outcome)> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("no caller panics");
        }
        let outcomes = self.outcomes.lock().expect("no caller panics");
        outcomes.clone()
    }
}

/// Whether the request of a [`LoadGenerator`] with this id is a charge.
pub fn is_charge(id: &str) -> bool {
    let number = id.rsplit('-').next().and_then(|n| n.parse::<u32>().ok());
    number.is_some_and(|n| n.is_multiple_of(4))
}

/// Requests that were neither answered nor reported as not run.
pub fn failures(outcomes: &[(String, Outcome)]) -> Vec<&(String, Outcome)> {
    let acceptable = |o: &Outcome| matches!(o, Outcome::Answered(_) | Outcome::NotRun(_));
    outcomes.iter().filter(|(_, o)| !acceptable(o)).collect()
}

/// Requests that were not answered.
pub fn unanswered(outcomes: &[(String, Outcome)]) -> Vec<&(String, Outcome)> {
    let answered = |o: &Outcome| matches!(o, Outcome::Answered(_));
    outcomes.iter().filter(|(_, o)| !answered(o)).collect()
}

/// Fails unless every request was answered. The message has what the callers of
/// the others were told, and the daemons' log lines about these requests and about
/// anything unusual.
#[track_caller]
pub fn assert_all_answered(cluster: &Cluster, outcomes: &[(String, Outcome)]) {
    let unanswered = unanswered(outcomes);
    if unanswered.is_empty() {
        return;
    }
    // Lines name a request by its id, or by the key of a charge.
    let mut names: Vec<String> = Vec::new();
    let mut message = format!("{} requests were not answered:\n", unanswered.len());
    for (id, outcome) in unanswered {
        names.push(format!("key={id} "));
        if let Outcome::NotRun(refusal) = outcome {
            names.push(format!("request={} ", refusal.request_id));
        }
        message.push_str(&format!("{id}: {outcome:?}\n"));
    }
    let is_unusual = |line: &str| line.contains("level=WARN") || line.contains("level=ERROR");
    let is_about_them = |line: &str| names.iter().any(|name| format!("{line} ").contains(name));
    let lines = cluster.log_lines(|line| is_unusual(line) || is_about_them(line));
    panic!("{message}{}", lines.join("\n"));
}
