use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use quick_error::quick_error;
use rw_protocol::Name;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::check::{self, Section};
use crate::{
    Control, Daemon, DaemonRole, Diagnostic, Limits, Log, Platform, Region, Service, Team, Weights,
    Zone,
};

quick_error! {
    /// Why settings cannot be used.
    #[derive(Debug)]
    pub enum Error {
        /// The file could not be read.
        Read(path: PathBuf, err: std::io::Error) {
            display("{}: cannot be read: {err}", path.display())
        }
        /// The file is not INI.
        Syntax(msg: String) {
            display("not an INI file: {msg}")
        }
        /// The values are not allowed; every fault is listed.
        Invalid(faults: Vec<Diagnostic>) {
            display("{}", faults.iter().map(Diagnostic::to_string).collect::<Vec<_>>().join("\n"))
        }
    }
}

/// Result of loading settings.
pub type Result<T> = std::result::Result<T, Error>;

/// A checked deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// How to reach the platform.
    pub platform: Platform,
    /// Logging.
    pub log: Log,
    /// Membership and configuration.
    pub control: Control,
    /// Weight distribution.
    pub weights: Weights,
    /// Bounds on requests.
    pub limits: Limits,
    /// Regions by name.
    pub regions: BTreeMap<Name, Region>,
    /// Availability zones by name.
    pub zones: BTreeMap<Name, Zone>,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Teams by name.
    pub teams: BTreeMap<Name, Team>,
    /// Daemons by name.
    pub daemons: BTreeMap<Name, Daemon>,
}

impl Deployment {
    /// Region of an availability zone.
    pub fn region_of(&self, zone: &str) -> Name {
        self.zones
            .get(zone)
            .map(|z| z.region.clone())
            .unwrap_or_default()
    }

    /// The region that holds the origin; the first one when none says so.
    pub fn home_region(&self) -> Name {
        self.regions
            .iter()
            .find(|(_, region)| region.home)
            .or_else(|| self.regions.iter().next())
            .map(|(name, _)| name.clone())
            .unwrap_or_default()
    }

    /// Whether an operation of a service may be repeated.
    pub fn is_idempotent(&self, service: &str, operation: &str) -> bool {
        self.services
            .get(service)
            .is_some_and(|s| s.idempotent.iter().any(|op| **op == *operation))
    }
}

/// Reads and checks a deployment file.
pub fn load(path: &Path) -> Result<Deployment> {
    let text = std::fs::read_to_string(path).map_err(|err| Error::Read(path.to_path_buf(), err))?;
    parse(&text)
}

/// Checks the text of a deployment file and lists every fault at once.
///
/// ```
/// let err = rw_settings::parse("[platform]\nurl = u\n").unwrap_err();
/// assert!(err.to_string().contains("platform.origin_url: missing"));
/// ```
pub fn parse(text: &str) -> Result<Deployment> {
    ini::Ini::load_from_str(text).map_err(|err| Error::Syntax(err.to_string()))?;
    let schema: Value =
        serde_json::from_str(check::SCHEMA).map_err(|err| Error::Syntax(err.to_string()))?;
    let mut reader = Reader {
        schema: &schema["definitions"],
        sections: sections(text),
        faults: Vec::new(),
    };
    let deployment = read(&mut reader);
    reader.report_unknown();
    match deployment {
        Some(dep) if reader.faults.is_empty() => {
            cross_check(&dep, &mut reader);
            reader.finish(dep)
        }
        _ => Err(Error::Invalid(reader.faults)),
    }
}

fn read(reader: &mut Reader<'_>) -> Option<Deployment> {
    let platform = reader.single("platform", "Platform");
    let log = reader.single("log", "Log");
    let control = reader.single("control", "Control");
    let weights = reader.single("weights", "Weights");
    let limits = reader.single("limits", "Limits");
    let regions = reader.named("region", "Region");
    let zones = reader.named("zone", "Zone");
    let services = reader.named("service", "Service");
    let teams = reader.named("team", "Team");
    let daemons = reader.named("daemon", "Daemon");
    Some(Deployment {
        platform: platform?,
        log: log?,
        control: control?,
        weights: weights?,
        limits: limits?,
        regions,
        zones,
        services,
        teams,
        daemons,
    })
}

// The INI library keeps no line numbers, so the faults' lines come from here.
fn sections(text: &str) -> Vec<Section<'_>> {
    let mut out: Vec<Section<'_>> = Vec::new();
    for (at, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(title) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
            out.push(Section {
                title,
                line: at + 1,
                keys: Vec::new(),
            });
        } else if let Some((key, val)) = line.split_once('=') {
            let comment = line.starts_with(';') || line.starts_with('#');
            if let (false, Some(sec)) = (comment, out.last_mut()) {
                sec.keys.push((at + 1, key.trim(), val.trim()));
            }
        }
    }
    out
}

struct Reader<'a> {
    schema: &'a Value,
    sections: Vec<Section<'a>>,
    faults: Vec<Diagnostic>,
}

const SINGLE: [&str; 5] = ["platform", "log", "control", "weights", "limits"];
const NAMED: [&str; 5] = ["region", "zone", "service", "team", "daemon"];

impl Reader<'_> {
    fn fault(&mut self, line: usize, key: String, problem: String) {
        self.faults.push(Diagnostic { line, key, problem });
    }

    fn single<T: DeserializeOwned>(&mut self, title: &str, schema: &str) -> Option<T> {
        let found: Vec<usize> = (0..self.sections.len())
            .filter(|at| self.sections[*at].title == title)
            .collect();
        if let Some(second) = found.get(1) {
            let line = self.sections[*second].line;
            self.fault(
                line,
                title.to_string(),
                "section given twice; join them".to_string(),
            );
        }
        let missing = Section {
            title,
            line: 0,
            keys: Vec::new(),
        };
        let sec = found.first().map_or(&missing, |at| &self.sections[*at]);
        let json = check::section(&self.schema[schema], sec, &mut self.faults);
        serde_json::from_value(json).ok()
    }

    fn named<T: DeserializeOwned>(&mut self, kind: &str, schema: &str) -> BTreeMap<Name, T> {
        let mut out = BTreeMap::new();
        let mut twice = Vec::new();
        for sec in &self.sections {
            let Some((_, name)) = sec.title.split_once(':').filter(|(k, _)| *k == kind) else {
                continue;
            };
            let json = check::section(&self.schema[schema], sec, &mut self.faults);
            let Ok(val) = serde_json::from_value(json) else {
                continue;
            };
            if out.insert(Name::from(name.trim()), val).is_some() {
                twice.push((sec.line, sec.title.to_string()));
            }
        }
        for (line, title) in twice {
            self.fault(line, title, "section given twice; rename one".to_string());
        }
        out
    }

    fn report_unknown(&mut self) {
        for at in 0..self.sections.len() {
            let (title, line) = (self.sections[at].title, self.sections[at].line);
            let kind = title.split_once(':').map(|(kind, _)| kind);
            let known = SINGLE.contains(&title) || kind.is_some_and(|k| NAMED.contains(&k));
            if !known {
                let problem = format!(
                    "unknown section; known are {} and {}:NAME",
                    SINGLE.join(", "),
                    NAMED.join(":NAME, ")
                );
                self.fault(line, title.to_string(), problem);
            }
        }
    }

    fn line_of(&self, title: &str, key: &str) -> usize {
        let sec = self.sections.iter().find(|sec| sec.title == title);
        sec.map_or(0, |sec| {
            let found = sec.keys.iter().find(|(_, k, _)| *k == key);
            found.map_or(sec.line, |(line, _, _)| *line)
        })
    }

    fn finish(self, dep: Deployment) -> Result<Deployment> {
        if self.faults.is_empty() {
            Ok(dep)
        } else {
            Err(Error::Invalid(self.faults))
        }
    }
}

// References between sections.
fn cross_check(dep: &Deployment, reader: &mut Reader<'_>) {
    for (name, zone) in &dep.zones {
        if !dep.regions.contains_key(&zone.region) {
            let title = format!("zone:{name}");
            let line = reader.line_of(&title, "region");
            reader.fault(
                line,
                format!("{title}.region"),
                format!("no section region:{}", zone.region),
            );
        }
    }
    for (name, daemon) in &dep.daemons {
        check_daemon(dep, reader, name, daemon);
    }
}

fn check_daemon(dep: &Deployment, reader: &mut Reader<'_>, name: &Name, daemon: &Daemon) {
    let title = format!("daemon:{name}");
    let mut fault = |key: &str, problem: String| {
        let line = reader.line_of(&title, key);
        reader.fault(line, format!("{title}.{key}"), problem);
    };
    if !dep.zones.contains_key(&daemon.zone) {
        fault("zone", format!("no section zone:{}", daemon.zone));
    }
    for (key, addr) in [
        ("listen", &*daemon.listen),
        ("operator_listen", &*daemon.operator_listen),
    ] {
        if addr.parse::<std::net::SocketAddr>().is_err() {
            fault(key, format!("'{addr}' is not IP:PORT"));
        }
    }
    match daemon.role {
        DaemonRole::Entry => {
            if daemon
                .caller_listen
                .parse::<std::net::SocketAddr>()
                .is_err()
            {
                fault(
                    "caller_listen",
                    format!("'{}' is not IP:PORT", daemon.caller_listen),
                );
            }
        }
        DaemonRole::Host => {
            if !dep.services.contains_key(daemon.service.as_str()) {
                fault("service", format!("no section service:{}", daemon.service));
            }
            if !daemon.backend_url.starts_with("http://") {
                fault("backend_url", "must start with http://".to_string());
            }
        }
    }
}
