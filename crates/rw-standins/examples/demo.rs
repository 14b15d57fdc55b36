//! Demo: runs an example deployment on stand-ins, brings a model into service,
//! and rolls out a new version while callers send requests.

use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rw_settings::DaemonRole;
use rw_standins::caller::{call_plain_service, request_completion, Outcome};
use rw_standins::cluster::Cluster;

const MODEL_BYTES: u64 = 8 << 20;
const CHUNK_BYTES: u64 = 128 << 10;
const CALLERS: usize = 12;
const TOKENS: u64 = 12;
const DEADLINE_MS: u64 = 20_000;

#[derive(Default)]
struct Counts {
    answered: AtomicU64,
    not_run: AtomicU64,
    failed: AtomicU64,
}

impl Counts {
    fn record(&self, outcome: &Outcome) {
        let counter = match outcome {
            Outcome::Answered(_) => &self.answered,
            Outcome::NotRun(_) => &self.not_run,
            _ => &self.failed,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

fn start_callers(
    cluster: &Cluster,
    counts: &Arc<Counts>,
    stop: &Arc<AtomicBool>,
) -> Vec<std::thread::JoinHandle<()>> {
    let entries: Vec<String> = cluster
        .names(DaemonRole::Entry)
        .iter()
        .map(|name| cluster.entry_url(name))
        .collect();
    let spawn_caller = |index: usize| {
        let (counts, stop) = (counts.clone(), stop.clone());
        let entry = entries[index % entries.len()].clone();
        std::thread::spawn(move || {
            let mut n = 0;
            while !stop.load(Ordering::Relaxed) {
                n += 1;
                let outcome = if n % 4 == 0 {
                    call_plain_service(
                        &entry,
                        "penal",
                        "charge",
                        &format!("demo-{index}-{n}"),
                        &format!("charge {index} {n}"),
                    )
                } else {
                    request_completion(
                        &entry,
                        "arima",
                        &format!("shop {}|cut list {index} {n}", index % 3),
                        TOKENS,
                        DEADLINE_MS,
                    )
                };
                if !matches!(outcome, Outcome::Answered(_) | Outcome::NotRun(_)) {
                    eprintln!("call {index}/{n}: {outcome:?}");
                }
                counts.record(&outcome);
            }
        })
    };
    (0..CALLERS).map(spawn_caller).collect()
}

fn main() -> ExitCode {
    let start = Instant::now();
    let settings = Path::new("deploy/sookram/deployment.ini");
    let cluster = Cluster::start(settings, Path::new("target/demo"));
    println!(
        "{} daemons and their stand-ins are running",
        cluster.deployment.daemons.len()
    );
    cluster.add_model("cutlist", "v1", MODEL_BYTES, CHUNK_BYTES);
    cluster.add_model("cutlist", "v2", MODEL_BYTES, CHUNK_BYTES);
    let operator = cluster.daemon("entry-north").operator_listen.to_string();
    let client = rw_cli::Client::new(&operator);
    let timeout = Some(Duration::from_secs(60));
    let roll_out = |file: &str| -> rw_cli::Result<()> {
        let plan = rw_cli::commands::plan(&client, Path::new(file), false)?;
        rw_cli::commands::confirm(&client, &plan.id, timeout).map(drop)
    };
    if let Err(err) = roll_out("deploy/sookram/cuts-v1.ini") {
        eprintln!("demo: {err}");
        return ExitCode::FAILURE;
    }
    let counts = Arc::new(Counts::default());
    let stop = Arc::new(AtomicBool::new(false));
    let callers = start_callers(&cluster, &counts, &stop);
    std::thread::sleep(Duration::from_secs(2));
    println!("rolling out a new version while {CALLERS} callers send requests:");
    let result = roll_out("deploy/sookram/cuts-v2.ini");
    std::thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    println!(
        "{} calls answered and checked, {} not run, {} failed, in {:.1} s",
        load(&counts.answered),
        load(&counts.not_run),
        load(&counts.failed),
        start.elapsed().as_secs_f64()
    );
    let status = rw_cli::commands::status(&client, false);
    match (result, status) {
        (Ok(()), Ok(())) if load(&counts.failed) == 0 => ExitCode::SUCCESS,
        (result, status) => {
            eprintln!("demo: {result:?} {status:?}");
            ExitCode::FAILURE
        }
    }
}
