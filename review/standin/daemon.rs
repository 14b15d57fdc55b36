//! Processes of the system, and the settings of their machines.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub const ZONES: [&str; 3] = ["north-a", "central-a", "south-a"];
pub const FRONTEND: u16 = 8005;
pub const READY: u16 = 8002;
pub const CONTROL: u16 = 8000;

/// Loopback addresses of the machines of one run.
pub struct Network([u8; 2]);

impl Network {
    /// Takes a part of the loopback range in which the ports are free.
    pub fn find() -> Option<Network> {
        let pid = std::process::id();
        (0..200)
            .map(|n| {
                Network([
                    (pid.wrapping_add(n * 37) % 200 + 20) as u8,
                    (pid / 200 % 250) as u8,
                ])
            })
            .find(|net| {
                let ports = [FRONTEND, READY, CONTROL, 7700, 9464];
                ports.iter().all(|port| {
                    TcpListener::bind(SocketAddr::new(net.ip(11).into(), *port)).is_ok()
                })
            })
    }

    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0[0], self.0[1], machine)
    }

    pub fn addr(&self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(machine).into(), port)
    }
}

/// A machine of the system with its process. Killed when dropped.
pub struct Machine {
    pub name: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Role<'a> {
    pub name: String,
    pub zone: &'a str,
    pub ip: Ipv4Addr,
    // Address of the runner and its service, on a side machine.
    pub app: Option<(SocketAddr, &'a str)>,
    pub seeds: &'a [SocketAddr],
    pub store: SocketAddr,
}

impl Machine {
    pub fn new(role: &Role, dir: &Path) -> std::io::Result<Machine> {
        let machine = Machine {
            name: role.name.clone(),
            settings: dir.join(format!("{}.toml", role.name)),
            log: dir.join(format!("{}.log", role.name)),
            child: None,
        };
        fs::write(&machine.settings, settings(role))?;
        Ok(machine)
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new("target/release/ragworttackd")
            .arg("platform")
            .env("RAGWORTTACK_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Changes the settings for later starts: the whole system has started.
    pub fn end_bootstrap(&self) -> std::io::Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        fs::write(
            &self.settings,
            text.replace("bootstrap = true", "bootstrap = false"),
        )
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .args(["-s", name, &child.id().to_string()])
                .status();
        }
    }

    /// Waits for the end of the process; kills it after `limit`. Returns whether it ended
    /// by itself.
    pub fn wait_for_end(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let Some(mut child) = self.child.take() else {
            return true;
        };
        while Instant::now() < until {
            if matches!(child.try_wait(), Ok(Some(_))) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        let _ = child.kill();
        let _ = child.wait();
        false
    }

    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn settings(role: &Role) -> String {
    let (name, zone, ip) = (&role.name, role.zone, role.ip);
    let region = zone.trim_end_matches("-a");
    let (class, serves) = match role.app {
        Some(_) => ("side", "\"side\""),
        None => ("edge", "\"edge\",\"control_plane\""),
    };
    let app = role.app.map_or(String::new(), |(app, service)| {
        format!("app = \"{app}\"\nservice = \"{service}\"\n")
    });
    let listen = match role.app {
        Some(_) => String::new(),
        None => format!(
            "frontend = \"{ip}:{FRONTEND}\"\nready = \"{ip}:{READY}\"\ncontrolPlane = \"{ip}:{CONTROL}\"\n"
        ),
    };
    let (cpu, memory, files, link) = match role.app {
        Some(_) => (0.3, 128, 2048, 7.3),
        None => (0.19, 260, 4200, 1000.0),
    };
    let seeds: Vec<String> = role
        .seeds
        .iter()
        .map(|seed| format!("\"{seed}\""))
        .collect();
    format!(
        r#"nodeName = "{name}"
role = "{class}"
machineClass = "{class}"
serves = [{serves}]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internalPortRange = [7700,7715]
seedNodes = [{seeds}]
bootstrap = true
countsAsLoss = false
discovery = "platform"
entryPoint = "virtual_ip"
heartbeatIntervalMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","chunks"]
{app}[zones]
north-a = "north"
central-a = "central"
south-a = "south"
[listenAddresses]
{listen}[limits]
cpuShare = {cpu}
cpuCores = 1
memoryMb = {memory}
fileDescriptors = {files}
linkMbps = {link:.1}
diskMb = 0
[faultTolerance]
machineFailures = 1
zones = 0
regionFailures = 0
[bounds]
seedPropagationS = 3
addressReuseS = 2
contactWindowMs = 3000
replyDeadlineMs = 4000
catchUpS = 4
drainTimeoutMs = 2000
gracePeriodS = 8
lossSlackMs = 200
configPropagationMs = 2000
downgradeSlackMs = 250
partitionExtensionMs = 5000
revocationFailClosed = false
revocationMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = 100
recoveryS = 12
eventDelayMs = 120
retryAfterS = 0
version_ms = 8000
version_all_ms = 0
[platform]
address = "{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
transactionTimeoutMs = 3.0
partWritesPerS = 300
maxRowBytes = 65536
crossPartition = true
historyRetentionS = 20
maxBlobBytes = 8388608
blobLatencyMs = 25.0
blobMbPerS = 80.0
"#,
        seeds = seeds.join(","),
        store = role.store
    )
}
