use std::path::Path;

use super::output::line;
use crate::{Error, Result};

/// Checks a deployment file and lists every fault.
pub fn check_settings(path: &Path) -> Result<()> {
    match rw_settings::load(path) {
        Ok(dep) => {
            line(&format!(
                "{}: {} daemons, {} services, {} teams, no faults",
                path.display(),
                dep.daemons.len(),
                dep.services.len(),
                dep.teams.len()
            ));
            Ok(())
        }
        Err(rw_settings::Error::Invalid(faults)) => {
            let lines = faults.iter().map(|f| format!("{}: {f}", path.display()));
            Err(Error::Usage(lines.collect::<Vec<_>>().join("\n")))
        }
        Err(err) => Err(Error::Usage(err.to_string())),
    }
}
