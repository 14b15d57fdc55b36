use std::net::SocketAddr;
use std::time::Duration;

use rw_protocol::Name;

/// What a daemon does on the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetRole {
    /// Takes requests of callers and sends them to backend servers.
    Entry,
    /// Runs beside one backend server and brings it its weights.
    Host,
}

/// Settings of one daemon: where it runs and the bounds it keeps.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Name of the daemon.
    pub name: Name,
    /// What it does.
    pub role: FleetRole,
    /// Availability zone it runs in.
    pub zone: Name,
    /// Region of that zone.
    pub region: Name,
    /// Region of each availability zone.
    pub regions: Vec<(Name, Name)>,
    /// Address for other daemons.
    pub peer_addr: SocketAddr,
    /// Port on which hosts answer other daemons.
    pub host_peer_port: u16,
    /// Address for callers, on entries.
    pub caller_addr: Option<SocketAddr>,
    /// Address for the balancer's readiness checks, on entries.
    pub ready_addr: Option<SocketAddr>,
    /// Address for metrics.
    pub metrics_addr: Option<SocketAddr>,
    /// The backend server beside this daemon, on hosts.
    pub backend: Option<SocketAddr>,
    /// Service of that backend server.
    pub service: Name,
    /// Daemons that may be asked first; some may be gone.
    pub seeds: Vec<Name>,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// Bounds that the deployment states.
    pub bounds: Bounds,
    /// Bytes a second that the host's link carries each way; 0 is unlimited.
    pub link_bytes_per_s: u64,
}

impl DaemonSettings {
    /// Region of an availability zone; the zone's own name when none is known.
    pub fn region_of(&self, zone: &Name) -> Name {
        let found = self.regions.iter().find(|(name, _)| name == zone);
        found.map_or_else(|| zone.clone(), |(_, region)| region.clone())
    }
}

/// Bounds on the system's behaviour, from the deployment's settings.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Repeats that a service may get for each request.
    pub retry_ratio: f64,
    /// Repeats beyond that share, for all daemons together.
    pub retry_extra: f64,
    /// Window over which repeats are counted.
    pub retry_window: Duration,
    /// Time after a disturbance in which a daemon may be behind.
    pub settling: Duration,
    /// Time within which every backend server runs newly named weights.
    pub rollout_deadline: Duration,
}
