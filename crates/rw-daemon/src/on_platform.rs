use std::path::Path;
use std::sync::Arc;

use rw_adapter::{AdapterCodec, LocalRunner, Store, WeightsOrigin};
use rw_fleet::ExternalClients;
use rw_observe::{Metrics, Recorder};

use crate::Result;

/// Runs a daemon on the platform until it is stopped.
pub fn run_on_platform(settings: &Path) -> Result<()> {
    let settings = rw_adapter::load(settings)?;
    let site = settings.site;
    rw_observe::init_stdout(site.name.clone())?;
    // Machines of the platform provide a fraction of a core, so one thread is
    // enough.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let recorder = Recorder::new(site.name.clone(), Metrics::new());
    let clients = ExternalClients {
        store: Store::new(settings.store),
        backend: site.backend.map(LocalRunner::new),
        origin: WeightsOrigin,
    };
    let codec = Arc::new(AdapterCodec::default());
    runtime.block_on(rw_fleet::run(site, codec, recorder, clients))?;
    Ok(())
}
