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
use crate::host::{download_weights, reconcile_backend, AdmissionController, WeightCache};
use crate::operator::serve_operator_api;
use crate::status::StatusPublisher;
use crate::{control, Context, Error, Result};

const WORKER_THREADS: usize = 2;
/// Threads for blocking calls to backend servers and the platform.
const MAX_BLOCKING_THREADS: usize = 512;
/// Time for the load balancer to notice that an entry is not ready.
const READINESS_PROPAGATION_DELAY: Duration = Duration::from_secs(1);
/// Time to send the last responses before the process exits.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(300);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Which daemon to run.
pub struct Options {
    /// Deployment file.
    pub settings: PathBuf,
    /// Name of the daemon in the deployment file.
    pub name: String,
}

/// Runs a daemon until it receives a stop signal.
pub fn run(options: &Options) -> Result<()> {
    let deployment = rw_settings::load(&options.settings)?;
    let name = Name::from(options.name.as_str());
    let daemon = deployment.daemons.get(&name).cloned();
    let daemon = daemon.ok_or_else(|| Error::UnknownDaemon(options.name.clone()))?;
    rw_observe::init_stderr(
        name.clone(),
        level_filter(&deployment.log.level),
        log_format(&deployment.log.format),
    )?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .max_blocking_threads(MAX_BLOCKING_THREADS)
        .enable_all()
        .build()?;
    let recorder = Recorder::new(name.clone(), Metrics::new());
    let cx = Context::new(name, daemon, deployment, recorder);
    let handle = runtime.handle().clone();
    let result = runtime.block_on(async {
        match cx.daemon.role {
            DaemonRole::Entry => run_entry(cx, handle).await,
            DaemonRole::Host => run_host(cx, handle).await,
        }
    });
    runtime.shutdown_timeout(SHUTDOWN_GRACE);
    result
}

fn level_filter(level: &LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}

fn log_format(format: &LogFormat) -> Format {
    match format {
        LogFormat::Text => Format::Text,
        LogFormat::Json => Format::Json,
    }
}

async fn bind(addr: &str) -> Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .map_err(|err| Error::Bind(addr.to_string(), err))
}

fn start_control(cx: &Arc<Context>) {
    tokio::spawn(control::run_poller(cx.clone()));
    tokio::spawn(control::run_sync(cx.clone()));
}

async fn run_entry(cx: Arc<Context>, handle: Handle) -> Result<()> {
    let peers = bind(&cx.daemon.listen).await?;
    let callers = bind(&cx.daemon.caller_listen).await?;
    let status_publisher = StatusPublisher::new(cx.clone(), None);
    let handler = Arc::new(PeerHandler::for_entry(cx.clone(), status_publisher.clone()));
    serve_operator_api(cx.clone(), None, handle)?;
    cx.recorder.emit(Event::DaemonStarted, "role=entry");
    start_control(&cx);
    tokio::spawn(rw_peer::serve(peers, handler));
    let dispatcher = start_dispatcher(cx.clone());
    tokio::spawn(track_host_status(cx.clone(), dispatcher.clone()));
    tokio::spawn(control::run_supervisor(cx.clone()));
    let entry = Entry::new(cx.clone(), dispatcher);
    let (stop_tx, stop_rx) = flume::bounded::<()>(0);
    let serving = tokio::spawn(serve_callers(entry, callers, stop_rx));
    wait_for_stop_signal().await?;
    // Readiness fails first, so that the load balancer sends no more callers here.
    cx.start_draining();
    cx.recorder.emit(Event::DaemonDraining, "");
    tokio::time::sleep(READINESS_PROPAGATION_DELAY).await;
    drop(stop_tx);
    let in_flight = cx.recorder.metrics().in_flight.clone();
    drain_and_stop(&cx, || serving.is_finished() && in_flight.get() == 0).await;
    Ok(())
}

async fn run_host(cx: Arc<Context>, handle: Handle) -> Result<()> {
    let peers = bind(&cx.daemon.listen).await?;
    let service = cx.deployment.services.get(cx.daemon.service.as_str());
    // Settings validation ensures that the service exists.
    let (concurrency, queue, is_engine) = service.map_or((1, 0, false), |s| {
        (s.concurrency.get(), s.queue, s.kind == ServiceKind::Engine)
    });
    let backend = HttpBackend::new(&cx.daemon.backend_url, is_engine);
    let admission = AdmissionController::new(concurrency, queue);
    let rate_limits = &cx.deployment.weights;
    let weights = WeightCache::new(
        rate_limits.uplink_bytes_per_s,
        rate_limits.downlink_bytes_per_s,
    );
    let status_publisher = StatusPublisher::new(cx.clone(), Some(admission.clone()));
    let handler = PeerHandler::for_host(
        cx.clone(),
        status_publisher.clone(),
        admission.clone(),
        backend.clone(),
        weights.clone(),
    );
    serve_operator_api(cx.clone(), Some(weights.clone()), handle)?;
    cx.recorder.emit(Event::DaemonStarted, "role=host");
    start_control(&cx);
    tokio::spawn(rw_peer::serve(peers, Arc::new(handler)));
    tokio::spawn(download_weights(cx.clone(), weights.clone()));
    let reconciler = reconcile_backend(
        cx.clone(),
        backend,
        admission.clone(),
        status_publisher.clone(),
        weights.clone(),
    );
    tokio::spawn(reconciler);
    tokio::spawn(drain_when_not_live(
        cx.clone(),
        admission.clone(),
        status_publisher.clone(),
    ));
    wait_for_stop_signal().await?;
    start_draining(&cx, &admission, &status_publisher);
    drain_and_stop(&cx, || {
        admission.in_flight() == 0 && !weights.is_uploading()
    })
    .await;
    Ok(())
}

fn start_draining(
    cx: &Context,
    admission: &AdmissionController,
    status_publisher: &StatusPublisher,
) {
    admission.start_draining();
    if cx.start_draining() {
        cx.recorder.emit(Event::DaemonDraining, "");
    }
    status_publisher.publish();
}

// The platform may list this host as leaving before it stops the process.
async fn drain_when_not_live(
    cx: Arc<Context>,
    admission: Arc<AdmissionController>,
    status_publisher: Arc<StatusPublisher>,
) {
    let changed = cx.view.subscribe();
    while changed.recv_async().await.is_ok() {
        let state = cx.view.read().hosts.get(&cx.name).map(|h| h.state);
        if state.is_some_and(|state| state != HostState::Live) {
            return start_draining(&cx, &admission, &status_publisher);
        }
    }
}

async fn wait_for_stop_signal() -> Result<()> {
    let mut sigterm = signal(SignalKind::terminate())?;
    let mut sigint = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = sigterm.recv() => {}
        _ = sigint.recv() => {}
    }
    Ok(())
}

async fn drain_and_stop(cx: &Context, is_drained: impl Fn() -> bool) {
    let timeout = Duration::from_millis(cx.deployment.limits.drain_ms);
    let drained = async {
        while !is_drained() {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    if tokio::time::timeout(timeout, drained).await.is_err() {
        cx.recorder.emit(Event::DrainTimedOut, "");
    }
    tokio::time::sleep(SHUTDOWN_GRACE).await;
    cx.recorder.emit(Event::DaemonStopped, "");
}
