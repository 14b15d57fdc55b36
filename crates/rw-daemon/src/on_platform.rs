use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use rw_adapter::{AdapterCodec, LocalBackendClient, StoreClient, WeightsOriginClient};
use rw_fleet::ExternalClients;
use rw_observe::{Metrics, Recorder};

use crate::Result;

/// Maximum time that the end of the process waits for the last log lines.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Runs a daemon on the platform until it is stopped.
pub fn run_on_platform(settings: &Path) -> Result<()> {
    let platform = rw_adapter::load_settings(settings)?;
    let settings = platform.daemon;
    let log = rw_observe::init_stdout(settings.name.clone())?;
    // Machines of the platform provide a fraction of a core, so one thread is
    // enough.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let recorder = Recorder::new(settings.name.clone(), Metrics::new());
    let clients = ExternalClients {
        store: StoreClient::new(platform.store),
        backend: settings.backend.map(LocalBackendClient::new),
        origin: WeightsOriginClient,
    };
    let codec = Arc::new(AdapterCodec::default());
    let result = runtime.block_on(rw_fleet::run(settings, codec, recorder, clients));
    if !log.flush(LOG_FLUSH_TIMEOUT) {
        eprintln!("the last log lines could not be written");
    }
    Ok(result?)
}
