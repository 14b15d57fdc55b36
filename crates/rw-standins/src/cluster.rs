//! Starts a complete deployment as real processes and stops it again.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Instant;

use rw_protocol::{HostRecord, HostState, Name, Role, StatusReport};
use rw_settings::{Daemon, DaemonRole, Deployment, ServiceKind};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::client::{
    get, post, send_request, wait_for, POLL_INTERVAL, REQUEST_TIMEOUT_S, WAIT_TIMEOUT,
};
use crate::platform::{OriginModel, PlatformFaults};
use crate::proxy::{LinkFault, Route};

/// A running deployment. Dropping it kills its processes.
pub struct Cluster {
    /// Parsed deployment file.
    pub deployment: Deployment,
    pub(crate) log_dir: PathBuf,
    settings_path: PathBuf,
    bin_dir: PathBuf,
    proxy_addr: Option<String>,
    processes: BTreeMap<String, Child>,
}

fn url_authority(url: &str) -> &str {
    let addr = url.trim_start_matches("http://");
    addr.split('/').next().unwrap_or(addr)
}

// Test and example executables are one directory below the daemon binary.
fn bin_dir() -> PathBuf {
    let exe = std::env::current_exe().unwrap_or_default();
    let dir = exe.parent().unwrap_or(Path::new("."));
    match dir.file_name().and_then(|n| n.to_str()) {
        Some("deps" | "examples") => dir.parent().unwrap_or(dir).to_path_buf(),
        _ => dir.to_path_buf(),
    }
}

impl Cluster {
    /// Starts the stand-ins of a deployment, but none of its daemons. Logs are
    /// written to `log_dir`.
    pub fn start_without_daemons(settings_path: &Path, log_dir: &Path) -> Self {
        let deployment = rw_settings::load(settings_path).unwrap_or_else(|err| panic!("{err}"));
        std::fs::create_dir_all(log_dir)
            .unwrap_or_else(|err| panic!("{}: {err}", log_dir.display()));
        let mut cluster = Cluster {
            log_dir: log_dir.to_path_buf(),
            settings_path: settings_path.to_path_buf(),
            bin_dir: bin_dir(),
            proxy_addr: None,
            processes: BTreeMap::new(),
            deployment,
        };
        cluster.start_stand_ins();
        cluster
    }

    /// Starts the stand-ins and every daemon of a deployment, and waits until
    /// the entries know all daemons.
    pub fn start(settings_path: &Path, log_dir: &Path) -> Self {
        let mut cluster = Cluster::start_without_daemons(settings_path, log_dir);
        let names: Vec<Name> = cluster.deployment.daemons.keys().cloned().collect();
        for name in &names {
            cluster.start_daemon(name);
        }
        cluster.wait_ready(&names);
        cluster.wait_until_listed();
        cluster
    }

    // Entries plan and route only over hosts in their copy of the host list.
    fn wait_until_listed(&self) {
        let daemon_count = self.deployment.daemons.len();
        for name in self.names(DaemonRole::Entry) {
            wait_for("host list", || {
                let listed = self.metric(&name, "ragworttack_daemons_listed");
                (listed as usize == daemon_count).then_some(())
            });
        }
    }

    fn start_stand_ins(&mut self) {
        let platform = url_authority(&self.deployment.platform.url).to_string();
        self.spawn_stand_in("platform", &platform);
        let mut backends = BTreeSet::new();
        for daemon in self
            .deployment
            .daemons
            .values()
            .filter(|d| d.role == DaemonRole::Host)
        {
            let is_engine =
                self.deployment.services[daemon.service.as_str()].kind == ServiceKind::Engine;
            let kind = if is_engine { "engine" } else { "plain" };
            backends.insert((kind, url_authority(&daemon.backend_url).to_string()));
        }
        for (kind, addr) in &backends {
            self.spawn_stand_in(kind, addr);
        }
        let proxied = self
            .deployment
            .daemons
            .values()
            .any(|d| !d.advertise.is_empty());
        if proxied {
            let addr = format!("{}:7999", platform.split(':').next().unwrap_or(""));
            self.spawn_stand_in("proxy", &addr);
            self.proxy_addr = Some(addr);
            let names: Vec<Name> = self.deployment.daemons.keys().cloned().collect();
            for name in names {
                self.set_link_fault(&name, LinkFault::default());
            }
        }
    }

    fn spawn_stand_in(&mut self, kind: &str, addr: &str) {
        let exe = self.bin_dir.join("examples").join("standin");
        let log = self.log_file(kind);
        let child = Command::new(&exe)
            .args([kind, addr])
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|err| panic!("{}: {err}; build with --examples first", exe.display()));
        self.processes.insert(format!("{kind}@{addr}"), child);
        wait_for(kind, || std::net::TcpStream::connect(addr).ok());
    }

    fn log_file(&self, name: &str) -> Stdio {
        let path = self.log_dir.join(format!("{name}.log"));
        let file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&path);
        file.map_or_else(|_| Stdio::null(), Stdio::from)
    }

    /// The settings of a daemon.
    pub fn daemon(&self, name: &str) -> &Daemon {
        &self.deployment.daemons[name]
    }

    /// The names of all daemons with a role.
    pub fn names(&self, role: DaemonRole) -> Vec<Name> {
        let daemons = self.deployment.daemons.iter();
        daemons
            .filter(|(_, d)| d.role == role)
            .map(|(n, _)| n.clone())
            .collect()
    }

    /// Starts a daemon and lists it as live on the platform.
    pub fn start_daemon(&mut self, name: &str) {
        let child = self.spawn_daemon(name);
        self.processes.insert(name.to_string(), child);
        self.set_host_state(name, HostState::Live);
    }

    /// Starts a daemon process without listing it on the platform. The caller
    /// owns the process.
    pub fn spawn_daemon(&self, name: &str) -> Child {
        let exe = self.bin_dir.join("ragworttackd");
        Command::new(&exe)
            .arg("--settings")
            .arg(&self.settings_path)
            .args(["--name", name])
            .stdin(Stdio::null())
            .stderr(self.log_file(name))
            .spawn()
            .unwrap_or_else(|err| panic!("{}: {err}; build the workspace first", exe.display()))
    }

    /// Adds a daemon to the host list of the platform, or changes its state there.
    pub fn set_host_state(&self, name: &str, state: HostState) {
        let daemon = self.daemon(name);
        let advertised = Name::from(daemon.advertise.as_str());
        let record = HostRecord {
            name: Name::from(name),
            role: match daemon.role {
                DaemonRole::Entry => Role::Entry,
                DaemonRole::Host => Role::Host,
            },
            region: self.deployment.region_of(&daemon.zone),
            zone: daemon.zone.clone(),
            addr: if advertised.is_empty() {
                daemon.listen.clone()
            } else {
                advertised
            },
            operator_addr: daemon.operator_listen.clone(),
            service: Name::from(daemon.service.as_str()),
            state,
            changed: 0,
        };
        self.post_control("/control/host", &record);
    }

    /// Waits until the daemons answer readiness checks on their operator
    /// address.
    pub fn wait_ready(&self, names: &[Name]) {
        for name in names {
            let url = format!("http://{}/ready", self.daemon(name).operator_listen);
            wait_for(name, || get::<String>(&url));
        }
    }

    fn post_control<T: Serialize>(&self, path: &str, value: &T) {
        let url = format!("{}{path}", self.deployment.platform.url);
        let (status, body) = post(&url, value);
        assert_eq!(status, 200, "{path}: {body}");
    }

    /// Replaces the faults that the platform injects.
    pub fn set_platform_faults(&self, faults: &PlatformFaults) {
        self.post_control("/control/faults", faults);
    }

    /// Publishes a model with synthetic weights at the origin.
    pub fn add_model(&self, model: &str, version: &str, length: u64, chunk_bytes: u64) {
        let model = OriginModel {
            model: model.to_string(),
            version: version.to_string(),
            length,
            chunk_bytes,
            bytes_of: String::new(),
        };
        self.publish_model(&model);
    }

    /// Publishes the given model at the origin.
    pub fn publish_model(&self, model: &OriginModel) {
        self.post_control("/control/model", model);
    }

    /// Replaces the fault that the proxy injects between a daemon and its peers.
    /// Does nothing for a daemon that is not proxied.
    pub fn set_link_fault(&self, name: &str, fault: LinkFault) {
        let daemon = self.daemon(name);
        let Some(addr) = &self.proxy_addr else { return };
        if daemon.advertise.is_empty() {
            return;
        }
        let route = Route {
            listen: daemon.advertise.clone(),
            target: daemon.listen.to_string(),
            fault,
        };
        let (status, body) = post(&format!("http://{addr}/route"), &route);
        assert_eq!(status, 200, "proxy: {body}");
    }

    /// Fetches the records of a host's backend server.
    pub fn records<T: DeserializeOwned>(&self, name: &str) -> T {
        let url = format!("{}/control/records", self.daemon(name).backend_url);
        wait_for("records", || get(&url))
    }

    /// Changes the behaviour of a host's backend server.
    pub fn set_behaviour<T: Serialize>(&self, name: &str, behaviour: &T) {
        let url = format!("{}/control/behaviour", self.daemon(name).backend_url);
        let (status, body) = post(&url, behaviour);
        assert_eq!(status, 200, "{name}: {body}");
    }

    /// Process id of a daemon or stand-in, 0 if it is not running.
    pub fn pid(&self, name: &str) -> u32 {
        self.processes.get(name).map_or(0, Child::id)
    }

    /// The value of a metric of a daemon, or 0 if the metric is absent. `series`
    /// is the metric's name with its labels.
    pub fn metric(&self, name: &str, series: &str) -> f64 {
        let url = format!("{}/metrics", self.operator_url(name));
        let res = minreq::get(url).with_timeout(REQUEST_TIMEOUT_S).send().ok();
        let text = res.as_ref().and_then(|r| r.as_str().ok()).unwrap_or("");
        let found = text.lines().find(|l| {
            l.strip_prefix(series)
                .is_some_and(|rest| rest.starts_with(' '))
        });
        found
            .and_then(|l| l.rsplit(' ').next()?.parse().ok())
            .unwrap_or(0.0)
    }

    /// Sends a signal, such as `KILL`, `TERM`, `STOP` or `CONT`, to a daemon or
    /// stand-in.
    pub fn signal(&mut self, name: &str, signal: &str) {
        if let Some(child) = self.processes.get(name) {
            send_signal(child, signal);
        }
    }

    /// Kills a daemon or stand-in and waits for its end.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.processes.remove(name) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until a daemon or stand-in has exited, and returns its exit code.
    pub fn wait_exit(&mut self, name: &str) -> Option<i32> {
        let mut child = self.processes.remove(name)?;
        let status = wait_for("exit", || child.try_wait().ok().flatten());
        status.code()
    }

    /// Base URL at which an entry serves callers.
    pub fn entry_url(&self, name: &str) -> String {
        format!("http://{}", self.daemon(name).caller_listen)
    }

    /// Base URL at which a daemon serves operators.
    pub fn operator_url(&self, name: &str) -> String {
        format!("http://{}", self.daemon(name).operator_listen)
    }

    /// The status report of a daemon.
    pub fn status(&self, name: &str) -> Option<StatusReport> {
        get(&format!("{}/status", self.operator_url(name)))
    }

    /// Requests a plan for an intent from a daemon. Returns HTTP status and body.
    pub fn plan(&self, daemon: &str, intent: &str) -> (i32, serde_json::Value) {
        let url = format!("{}/plan", self.operator_url(daemon));
        send_request(minreq::post(url).with_body(intent))
    }

    /// Confirms a plan at a daemon. Returns HTTP status and body.
    pub fn confirm(&self, daemon: &str, plan: &str) -> (i32, serde_json::Value) {
        let url = format!("{}/confirm?plan={plan}", self.operator_url(daemon));
        send_request(minreq::post(url))
    }

    /// Plans and confirms an intent, and returns the generation of the new
    /// configuration. Retries a failure until [`WAIT_TIMEOUT`] has passed.
    pub fn apply(&self, daemon: &str, intent: &str) -> u64 {
        let start = Instant::now();
        loop {
            match self.plan_and_confirm(daemon, intent) {
                Ok(generation) => return generation,
                Err(response) => {
                    assert!(
                        start.elapsed() < WAIT_TIMEOUT,
                        "no plan was confirmed within {WAIT_TIMEOUT:?}: {response}"
                    )
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn plan_and_confirm(&self, daemon: &str, intent: &str) -> Result<u64, serde_json::Value> {
        let (status, plan) = self.plan(daemon, intent);
        let id = plan["id"].as_str().filter(|_| status == 200);
        let (_, confirmed) = self.confirm(daemon, id.ok_or(plan.clone())?);
        confirmed["generation"].as_u64().ok_or(confirmed)
    }

    /// Waits until a version serves on all hosts that an intent requests.
    pub fn wait_fulfilled(&self, daemon: &str, intent: &str, version: &str) {
        wait_for("intent fulfilled", || {
            let status = self.status(daemon)?;
            let found = status.intents.iter().find(|i| *i.intent == *intent)?;
            (*found.version == *version && found.serving >= found.wanted).then_some(())
        });
    }
}

/// Sends a signal, such as `TERM`, to a child process.
pub fn send_signal(child: &Child, signal: &str) {
    let id = child.id().to_string();
    let _ = Command::new("kill")
        .args([&format!("-{signal}"), &id])
        .status();
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
        }
        for child in self.processes.values_mut() {
            let _ = child.wait();
        }
    }
}
