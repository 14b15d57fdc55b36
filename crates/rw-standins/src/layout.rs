//! Deployment files for tests, each on its own loopback network.

use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::cluster::Cluster;

/// Size and settings of a test deployment.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Number of entries, spread over the regions.
    pub entries: usize,
    /// Number of hosts with an engine, spread over the regions.
    pub engines: usize,
    /// Number of hosts with a plain service, spread over the regions.
    pub plain: usize,
    /// Number of regions, each with one availability zone.
    pub regions: usize,
    /// Whether daemons connect to each other through the fault-injecting proxy.
    pub proxied: bool,
    /// Settings in sections other than those that the layout writes.
    pub extra_settings: String,
    /// Concurrency limit of each engine.
    pub concurrency: u32,
    /// Names and weights of the teams.
    pub teams: Vec<(&'static str, u32)>,
}

impl Default for Layout {
    fn default() -> Self {
        Layout {
            entries: 2,
            engines: 4,
            plain: 1,
            regions: 1,
            proxied: false,
            extra_settings: String::new(),
            concurrency: 8,
            teams: vec![("arima", 1), ("penal", 1)],
        }
    }
}

static DEPLOYMENT_COUNT: AtomicU32 = AtomicU32::new(0);

// Derives the network from the process id, which is unique among running
// processes, and from a counter, which separates deployments of one process.
fn unique_network() -> String {
    let id = std::process::id() * 8 + DEPLOYMENT_COUNT.fetch_add(1, Ordering::Relaxed);
    format!("127.{}.{}", 10 + (id / 250) % 240, id % 250)
}

impl Layout {
    /// Content of the deployment file for a network such as `127.10.0`.
    pub fn settings_text(&self, net: &str) -> String {
        let mut out = format!(
            "[platform]\nurl = http://{net}.1:8000\norigin_url = http://{net}.1:8000\n{}\n",
            self.extra_settings
        );
        for region in 0..self.regions {
            let home = region == 0;
            let _ = writeln!(
                out,
                "[region:r{region}]\nhome = {home}\n[zone:z{region}]\nregion = r{region}"
            );
        }
        let _ = writeln!(
            out,
            "[service:assistant]\nkind = engine\nconcurrency = {}\n[service:checkout]\nkind = plain\nidempotent = stock\nconcurrency = 32\nqueue = 32",
            self.concurrency
        );
        for (team, weight) in &self.teams {
            let _ = writeln!(out, "[team:{team}]\nweight = {weight}");
        }
        let mut daemon_count = 0;
        for index in 0..self.entries {
            self.write_daemon(
                &mut out,
                net,
                &mut daemon_count,
                &format!("entry-{index}"),
                index,
                "entry",
                "",
            );
        }
        for index in 0..self.engines {
            let name = format!("engine-{index}");
            let backend_settings =
                format!("service = assistant\nbackend_url = http://{net}.2:9000/{name}\n");
            self.write_daemon(
                &mut out,
                net,
                &mut daemon_count,
                &name,
                index,
                "host",
                &backend_settings,
            );
        }
        for index in 0..self.plain {
            let backend_settings =
                format!("service = checkout\nbackend_url = http://{net}.2:9001/checkout\n");
            self.write_daemon(
                &mut out,
                net,
                &mut daemon_count,
                &format!("plain-{index}"),
                index,
                "host",
                &backend_settings,
            );
        }
        out
    }

    #[allow(clippy::too_many_arguments)]
    fn write_daemon(
        &self,
        out: &mut String,
        net: &str,
        daemon_count: &mut usize,
        name: &str,
        index: usize,
        role: &str,
        extra_lines: &str,
    ) {
        let ip = format!("{net}.{}", 4 + *daemon_count % 250);
        let port = 10_000 + 4 * (*daemon_count / 250);
        *daemon_count += 1;
        let _ = write!(
            out,
            "[daemon:{name}]\nrole = {role}\nzone = z{}\nlisten = {ip}:{port}\noperator_listen = {ip}:{}\n{extra_lines}",
            index % self.regions,
            port + 1
        );
        if role == "entry" {
            let _ = writeln!(out, "caller_listen = {ip}:{}", port + 2);
        }
        if self.proxied {
            let _ = writeln!(out, "advertise = {ip}:{}", port + 3);
        }
    }

    fn write_settings(&self, name: &str) -> (PathBuf, PathBuf) {
        let net = unique_network();
        let dir =
            std::env::temp_dir().join(format!("ragworttack-{name}-{}", net.replace('.', "-")));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).unwrap_or_else(|err| panic!("{}: {err}", dir.display()));
        let settings = dir.join("deployment.ini");
        std::fs::write(&settings, self.settings_text(&net))
            .unwrap_or_else(|err| panic!("{}: {err}", settings.display()));
        (settings, dir)
    }

    /// Starts the stand-ins and every daemon. `name` is part of the name of the
    /// log directory.
    pub fn start(&self, name: &str) -> Cluster {
        let (settings, dir) = self.write_settings(name);
        Cluster::start(&settings, Path::new(&dir))
    }

    /// Starts the stand-ins, but no daemons.
    pub fn start_without_daemons(&self, name: &str) -> Cluster {
        let (settings, dir) = self.write_settings(name);
        Cluster::start_without_daemons(&settings, Path::new(&dir))
    }
}

/// Content of an intent file for the `assistant` service of test deployments.
pub fn intent(version: &str, hosts: usize, regions: usize) -> String {
    let regions: Vec<String> = (0..regions).map(|r| format!("r{r}")).collect();
    format!(
        "[intent]\nname = cuts\nservice = assistant\nmodel = cutlist\nversion = {version}\nhosts = {hosts}\nregions = {}\nfinish_within_s = 600\n",
        regions.join(",")
    )
}
