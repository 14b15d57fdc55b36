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
    /// Why settings could not be loaded.
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
        /// The settings are invalid; lists every error.
        Invalid(diagnostics: Vec<Diagnostic>) {
            display("{}", diagnostics.iter().map(Diagnostic::to_string).collect::<Vec<_>>().join("\n"))
        }
    }
}

/// Result of loading settings.
pub type Result<T> = std::result::Result<T, Error>;

/// A validated deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Connection to the platform.
    pub platform: Platform,
    /// Logging.
    pub log: Log,
    /// Membership and configuration.
    pub control: Control,
    /// Weight distribution.
    pub weights: Weights,
    /// Limits on requests.
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

    /// The region of the origin, which is the first one if none is marked as home.
    pub fn home_region(&self) -> Name {
        self.regions
            .iter()
            .find(|(_, region)| region.home)
            .or_else(|| self.regions.iter().next())
            .map(|(name, _)| name.clone())
            .unwrap_or_default()
    }

    /// Whether an operation of a service may be retried.
    pub fn is_idempotent(&self, service: &str, operation: &str) -> bool {
        self.services
            .get(service)
            .is_some_and(|s| s.idempotent.iter().any(|op| **op == *operation))
    }
}

/// Reads and validates a deployment file.
pub fn load(path: &Path) -> Result<Deployment> {
    let text = std::fs::read_to_string(path).map_err(|err| Error::Read(path.to_path_buf(), err))?;
    parse(&text)
}

/// Validates the text of a deployment file and lists every error at once.
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
        sections: parse_sections(text),
        diagnostics: Vec::new(),
    };
    let deployment = read_deployment(&mut reader);
    reader.report_unknown();
    match deployment {
        Some(deployment) if reader.diagnostics.is_empty() => {
            check_references(&deployment, &mut reader);
            reader.into_result(deployment)
        }
        _ => Err(Error::Invalid(reader.diagnostics)),
    }
}

fn read_deployment(reader: &mut Reader<'_>) -> Option<Deployment> {
    let platform = reader.read_section("platform", "Platform");
    let log = reader.read_section("log", "Log");
    let control = reader.read_section("control", "Control");
    let weights = reader.read_section("weights", "Weights");
    let limits = reader.read_section("limits", "Limits");
    let regions = reader.read_named_sections("region", "Region");
    let zones = reader.read_named_sections("zone", "Zone");
    let services = reader.read_named_sections("service", "Service");
    let teams = reader.read_named_sections("team", "Team");
    let daemons = reader.read_named_sections("daemon", "Daemon");
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

// The INI library keeps no line numbers, so this second pass collects them for the
// diagnostics.
fn parse_sections(text: &str) -> Vec<Section<'_>> {
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
            if let (false, Some(section)) = (comment, out.last_mut()) {
                section.keys.push((at + 1, key.trim(), val.trim()));
            }
        }
    }
    out
}

struct Reader<'a> {
    schema: &'a Value,
    sections: Vec<Section<'a>>,
    diagnostics: Vec<Diagnostic>,
}

const SINGLE_SECTIONS: [&str; 5] = ["platform", "log", "control", "weights", "limits"];
const NAMED_SECTIONS: [&str; 5] = ["region", "zone", "service", "team", "daemon"];

impl Reader<'_> {
    fn report(&mut self, line: usize, key: String, problem: String) {
        self.diagnostics.push(Diagnostic { line, key, problem });
    }

    fn read_section<T: DeserializeOwned>(&mut self, title: &str, schema: &str) -> Option<T> {
        let found: Vec<usize> = (0..self.sections.len())
            .filter(|at| self.sections[*at].title == title)
            .collect();
        if let Some(second) = found.get(1) {
            let line = self.sections[*second].line;
            self.report(
                line,
                title.to_string(),
                "section given twice; merge them".to_string(),
            );
        }
        let empty = Section {
            title,
            line: 0,
            keys: Vec::new(),
        };
        let section = found.first().map_or(&empty, |at| &self.sections[*at]);
        let json = check::validate_section(&self.schema[schema], section, &mut self.diagnostics);
        serde_json::from_value(json).ok()
    }

    fn read_named_sections<T: DeserializeOwned>(
        &mut self,
        kind: &str,
        schema: &str,
    ) -> BTreeMap<Name, T> {
        let mut out = BTreeMap::new();
        let mut duplicates = Vec::new();
        for section in &self.sections {
            let Some((_, name)) = section.title.split_once(':').filter(|(k, _)| *k == kind) else {
                continue;
            };
            let json =
                check::validate_section(&self.schema[schema], section, &mut self.diagnostics);
            let Ok(val) = serde_json::from_value(json) else {
                continue;
            };
            if out.insert(Name::from(name.trim()), val).is_some() {
                duplicates.push((section.line, section.title.to_string()));
            }
        }
        for (line, title) in duplicates {
            self.report(line, title, "section given twice; rename one".to_string());
        }
        out
    }

    fn report_unknown(&mut self) {
        for at in 0..self.sections.len() {
            let (title, line) = (self.sections[at].title, self.sections[at].line);
            let kind = title.split_once(':').map(|(kind, _)| kind);
            let known = SINGLE_SECTIONS.contains(&title)
                || kind.is_some_and(|k| NAMED_SECTIONS.contains(&k));
            if !known {
                let problem = format!(
                    "unknown section; known are {} and {}:NAME",
                    SINGLE_SECTIONS.join(", "),
                    NAMED_SECTIONS.join(":NAME, ")
                );
                self.report(line, title.to_string(), problem);
            }
        }
    }

    fn line_of(&self, title: &str, key: &str) -> usize {
        let section = self.sections.iter().find(|section| section.title == title);
        section.map_or(0, |section| {
            let found = section.keys.iter().find(|(_, k, _)| *k == key);
            found.map_or(section.line, |(line, _, _)| *line)
        })
    }

    fn into_result(self, deployment: Deployment) -> Result<Deployment> {
        if self.diagnostics.is_empty() {
            Ok(deployment)
        } else {
            Err(Error::Invalid(self.diagnostics))
        }
    }
}

// Checks references between sections.
fn check_references(deployment: &Deployment, reader: &mut Reader<'_>) {
    for (name, zone) in &deployment.zones {
        if !deployment.regions.contains_key(&zone.region) {
            let title = format!("zone:{name}");
            let line = reader.line_of(&title, "region");
            reader.report(
                line,
                format!("{title}.region"),
                format!("no section region:{}", zone.region),
            );
        }
    }
    for (name, daemon) in &deployment.daemons {
        check_daemon(deployment, reader, name, daemon);
    }
}

fn check_daemon(deployment: &Deployment, reader: &mut Reader<'_>, name: &Name, daemon: &Daemon) {
    let title = format!("daemon:{name}");
    let mut report = |key: &str, problem: String| {
        let line = reader.line_of(&title, key);
        reader.report(line, format!("{title}.{key}"), problem);
    };
    if !deployment.zones.contains_key(&daemon.zone) {
        report("zone", format!("no section zone:{}", daemon.zone));
    }
    for (key, addr) in [
        ("listen", &*daemon.listen),
        ("operator_listen", &*daemon.operator_listen),
    ] {
        if addr.parse::<std::net::SocketAddr>().is_err() {
            report(key, format!("'{addr}' is not IP:PORT"));
        }
    }
    match daemon.role {
        DaemonRole::Entry => {
            if daemon
                .caller_listen
                .parse::<std::net::SocketAddr>()
                .is_err()
            {
                report(
                    "caller_listen",
                    format!("'{}' is not IP:PORT", daemon.caller_listen),
                );
            }
        }
        DaemonRole::Host => {
            if !deployment.services.contains_key(daemon.service.as_str()) {
                report("service", format!("no section service:{}", daemon.service));
            }
            if !daemon.backend_url.starts_with("http://") {
                report("backend_url", "must start with http://".to_string());
            }
        }
    }
}
