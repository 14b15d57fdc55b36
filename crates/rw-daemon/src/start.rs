use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use log::LevelFilter;
use rw_engine::HttpBackend;
use rw_observe::{Event, Format, Metrics, Recorder};
use rw_protocol::{HostState, Name};
use rw_settings::{DaemonRole, LogFormat, LogLevel, ServiceKind};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::signal::unix::{signal, SignalKind};

use crate::entry::{serve_callers, start_dispatcher, track_host_status, Entry};
use crate::handler::PeerHandler;
use crate::host::{collect, run_backend, Admission, Weights};
use crate::operator::serve_operators;
use crate::status::StatusBoard;
use crate::{control, Context, Error, Result};

const WORKER_THREADS: usize = 2;
/// Threads for calls that block: backend servers and the platform.
const BLOCKING_THREADS: usize = 512;
/// Time for the balancer to see that an entry is not ready.
const UNREADY_GRACE: Duration = Duration::from_secs(1);
/// Time for the last answers to leave before the process exits.
const LINGER: Duration = Duration::from_millis(300);
const DRAIN_CHECK: Duration = Duration::from_millis(20);

/// Which daemon to run.
pub struct Options {
    /// Deployment file.
    pub settings: PathBuf,
    /// Name of the daemon in it.
    pub name: String,
}

/// Runs a daemon until it is told to stop.
pub fn run(options: &Options) -> Result<()> {
    let deployment = rw_settings::load(&options.settings)?;
    let name = Name::from(options.name.as_str());
    let daemon = deployment.daemons.get(&name).cloned();
    let daemon = daemon.ok_or_else(|| Error::NoDaemon(options.name.clone()))?;
    rw_observe::init_stderr(
        name.clone(),
        level(&deployment.log.level),
        format(&deployment.log.format),
    )?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .max_blocking_threads(BLOCKING_THREADS)
        .enable_all()
        .build()?;
    let recorder = Recorder::new(name.clone(), Metrics::new());
    let cx = Context::new(name, daemon, deployment, recorder);
    let handle = runtime.handle().clone();
    let stopped = runtime.block_on(async {
        match cx.daemon.role {
            DaemonRole::Entry => run_entry(cx, handle).await,
            DaemonRole::Host => run_host(cx, handle).await,
        }
    });
    runtime.shutdown_timeout(LINGER);
    stopped
}

fn level(level: &LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}

fn format(format: &LogFormat) -> Format {
    match format {
        LogFormat::Text => Format::Text,
        LogFormat::Json => Format::Json,
    }
}

async fn listen(addr: &str) -> Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .map_err(|err| Error::Bind(addr.to_string(), err))
}

fn start_control(cx: &Arc<Context>) {
    tokio::spawn(control::run_poller(cx.clone()));
    tokio::spawn(control::run_sync(cx.clone()));
}

async fn run_entry(cx: Arc<Context>, handle: Handle) -> Result<()> {
    let peers = listen(&cx.daemon.listen).await?;
    let callers = listen(&cx.daemon.caller_listen).await?;
    let board = StatusBoard::new(cx.clone(), None);
    let handler = Arc::new(PeerHandler::entry(cx.clone(), board.clone()));
    serve_operators(cx.clone(), None, handle)?;
    cx.recorder.emit(Event::DaemonStarted, "role=entry");
    start_control(&cx);
    tokio::spawn(rw_peer::serve(peers, handler));
    let dispatcher = start_dispatcher(cx.clone());
    tokio::spawn(track_host_status(cx.clone(), dispatcher.clone()));
    tokio::spawn(control::run_supervisor(cx.clone()));
    let entry = Entry::new(cx.clone(), dispatcher);
    let (stop, stopped) = flume::bounded::<()>(0);
    let serving = tokio::spawn(serve_callers(entry, callers, stopped));
    stop_signal().await?;
    // Readiness fails first, so that the balancer sends no more callers.
    cx.leave();
    cx.recorder.emit(Event::DaemonDraining, "");
    tokio::time::sleep(UNREADY_GRACE).await;
    drop(stop);
    let in_flight = cx.recorder.metrics().in_flight.clone();
    drain(&cx, || serving.is_finished() && in_flight.get() == 0).await;
    Ok(())
}

async fn run_host(cx: Arc<Context>, handle: Handle) -> Result<()> {
    let peers = listen(&cx.daemon.listen).await?;
    let service = cx.deployment.services.get(cx.daemon.service.as_str());
    // The settings were checked, so the service is there.
    let (concurrency, queue, is_engine) = service.map_or((1, 0, false), |s| {
        (s.concurrency.get(), s.queue, s.kind == ServiceKind::Engine)
    });
    let backend = HttpBackend::new(&cx.daemon.backend_url, is_engine);
    let admission = Admission::new(concurrency, queue);
    let links = &cx.deployment.weights;
    let weights = Weights::new(links.uplink_bytes_per_s, links.downlink_bytes_per_s);
    let board = StatusBoard::new(cx.clone(), Some(admission.clone()));
    let handler = PeerHandler::host(
        cx.clone(),
        board.clone(),
        admission.clone(),
        backend.clone(),
        weights.clone(),
    );
    serve_operators(cx.clone(), Some(weights.clone()), handle)?;
    cx.recorder.emit(Event::DaemonStarted, "role=host");
    start_control(&cx);
    tokio::spawn(rw_peer::serve(peers, Arc::new(handler)));
    tokio::spawn(collect(cx.clone(), weights.clone()));
    let runner = run_backend(
        cx.clone(),
        backend,
        admission.clone(),
        board.clone(),
        weights.clone(),
    );
    tokio::spawn(runner);
    tokio::spawn(follow_list(cx.clone(), admission.clone(), board.clone()));
    stop_signal().await?;
    leave(&cx, &admission, &board);
    drain(&cx, || admission.held() == 0 && !weights.is_sending()).await;
    Ok(())
}

fn leave(cx: &Context, admission: &Admission, board: &StatusBoard) {
    admission.leave();
    if cx.leave() {
        cx.recorder.emit(Event::DaemonDraining, "");
    }
    board.publish();
}

// The platform may list this host as leaving before it stops the process.
async fn follow_list(cx: Arc<Context>, admission: Arc<Admission>, board: Arc<StatusBoard>) {
    let changed = cx.shared.subscribe();
    while changed.recv_async().await.is_ok() {
        let listed = cx.shared.read().hosts.get(&cx.name).map(|h| h.state);
        if listed.is_some_and(|state| state != HostState::Live) {
            return leave(&cx, &admission, &board);
        }
    }
}

async fn stop_signal() -> Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

async fn drain(cx: &Context, is_empty: impl Fn() -> bool) {
    let limit = Duration::from_millis(cx.deployment.limits.drain_ms);
    let empty = async {
        while !is_empty() {
            tokio::time::sleep(DRAIN_CHECK).await;
        }
    };
    if tokio::time::timeout(limit, empty).await.is_err() {
        cx.recorder.emit(Event::DrainTimedOut, "");
    }
    tokio::time::sleep(LINGER).await;
    cx.recorder.emit(Event::DaemonStopped, "");
}
