use std::path::Path;

use super::output::print_line;
use crate::{Error, Result};

/// Validates a deployment file and lists every fault in it.
pub fn check_settings(path: &Path) -> Result<()> {
    match rw_settings::load(path) {
        Ok(deployment) => {
            print_line(&format!(
                "{}: {} daemons, {} services, {} teams, no faults",
                path.display(),
                deployment.daemons.len(),
                deployment.services.len(),
                deployment.teams.len()
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
