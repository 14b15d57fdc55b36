use std::net::SocketAddr;
use std::time::Duration;

use rw_protocol::Name;

/// Role of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetRole {
    /// Forwards callers' requests to backend servers.
    Entry,
    /// Runs beside one backend server and loads its weights.
    Host,
}

/// Settings of one daemon.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Name of the daemon.
    pub name: Name,
    /// Role of the daemon.
    pub role: FleetRole,
    /// Availability zone in which it runs.
    pub zone: Name,
    /// Region of its availability zone.
    pub region: Name,
    /// Availability zones, each with its region.
    pub regions: Vec<(Name, Name)>,
    /// Address on which it accepts connections from other daemons.
    pub peer_addr: SocketAddr,
    /// Port on which hosts accept connections from other daemons.
    pub host_peer_port: u16,
    /// Address for callers, on entries.
    pub caller_addr: Option<SocketAddr>,
    /// Address for the balancer's readiness checks, on entries.
    pub ready_addr: Option<SocketAddr>,
    /// Address for metrics.
    pub metrics_addr: Option<SocketAddr>,
    /// Address of the backend server beside this daemon, on hosts.
    pub backend: Option<SocketAddr>,
    /// Service of that backend server.
    pub service: Name,
    /// Addresses of daemons that are contacted first; some may no longer exist.
    pub seeds: Vec<Name>,
    /// Whether the complete fleet starts for the first time.
    pub first_start: bool,
    /// Limits from the deployment's settings.
    pub bounds: Bounds,
    /// Seed of the random choices among servers; `None` takes one from the system.
    pub random_seed: Option<u64>,
    /// Bandwidth of the host's link in each direction, in bytes per second; 0
    /// is unlimited.
    pub link_bytes_per_s: u64,
    /// Memory that the process may use, in bytes; 0 is unlimited.
    pub memory_bytes: u64,
    /// File descriptors that the process may open; 0 is unlimited.
    pub descriptors: u32,
}

impl DaemonSettings {
    /// Region of an availability zone, or the zone's own name if its region is
    /// not known.
    pub fn region_of(&self, zone: &Name) -> Name {
        let found = self.regions.iter().find(|(name, _)| name == zone);
        found.map_or_else(|| zone.clone(), |(_, region)| region.clone())
    }
}

/// Limits from the deployment's settings.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bounds {
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Time after which a leaving backend server must get no more requests.
    pub drain: Duration,
    /// Retries allowed per request of a service.
    pub retry_ratio: f64,
    /// Retries allowed beyond that ratio, for all daemons together.
    pub retry_extra: f64,
    /// Time window over which retries are counted.
    pub retry_window: Duration,
    /// Time after a disturbance, such as a restart, during which a daemon may be behind.
    pub settling: Duration,
    /// Time within which every backend server has to run newly requested
    /// weights.
    pub rollout_deadline: Duration,
    /// Time after which servers of an evacuated availability zone must get no more
    /// requests; `None` where operators evacuate none.
    pub evacuation: Option<Duration>,
    /// Time by which an unstable store extends that limit at most.
    pub partition_extension: Duration,
    /// Factor by which cold servers may be sent more requests than they tolerate.
    pub cold_overrun: f64,
    /// Requests that a cold server may be sent in one second beyond that.
    pub cold_tolerance: f64,
}
