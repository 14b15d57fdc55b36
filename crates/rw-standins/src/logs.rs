//! Reads the daemons' logs.

use rw_settings::DaemonRole;

use crate::cluster::Cluster;

impl Cluster {
    /// The lines of all daemons' logs that `matches` accepts, by daemon. A log that
    /// cannot be read counts as one line that says so.
    pub fn log_lines(&self, matches: impl Fn(&str) -> bool) -> Vec<String> {
        let daemons = [DaemonRole::Entry, DaemonRole::Host].map(|role| self.names(role));
        let mut lines = Vec::new();
        for name in daemons.iter().flatten() {
            let path = self.log_dir.join(format!("{name}.log"));
            match std::fs::read(&path) {
                Ok(bytes) => {
                    let text = String::from_utf8_lossy(&bytes);
                    lines.extend(text.lines().filter(|l| matches(l)).map(str::to_string));
                }
                Err(err) => lines.push(format!("{}: {err}", path.display())),
            }
        }
        lines
    }
}
