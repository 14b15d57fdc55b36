use std::path::Path;

use rw_protocol::Plan;

use super::output::{json, line, names};
use crate::{Client, Error, Result};

/// Asks for the plan of an intent file and prints it. Nothing changes.
pub fn plan(client: &Client, path: &Path, as_json: bool) -> Result<Plan> {
    let text = std::fs::read_to_string(path)
        .map_err(|err| Error::Usage(format!("{}: {err}", path.display())))?;
    let plan: Plan = client.post("/plan", &text)?;
    print(&plan, as_json)?;
    Ok(plan)
}

/// Asks for the plan that ends an intent and prints it. Nothing changes.
pub fn plan_removal(client: &Client, name: &str, as_json: bool) -> Result<Plan> {
    let plan: Plan = client.post(&format!("/plan-removal?name={name}"), "")?;
    print(&plan, as_json)?;
    Ok(plan)
}

fn print(plan: &Plan, as_json: bool) -> Result<()> {
    if as_json {
        return json(plan);
    }
    line(&format!("plan {} from generation {}", plan.id, plan.base));
    line(&format!("  joins:  {}", names(&plan.joining)));
    line(&format!("  leaves: {}", names(&plan.leaving)));
    line(&format!("  keeps:  {}", names(&plan.keeping)));
    if let rw_protocol::Change::Put(put) = &plan.change {
        let waves = put
            .assignments
            .iter()
            .map(|a| a.wave + 1)
            .max()
            .unwrap_or(0);
        for wave in 0..waves {
            let hosts = put.assignments.iter().filter(|a| a.wave == wave);
            let hosts: Vec<_> = hosts.map(|a| a.host.clone()).collect();
            line(&format!("  wave {}: {}", wave + 1, names(&hosts)));
        }
    }
    line(&format!("  from the origin: {} bytes", plan.origin_bytes));
    for link in &plan.links {
        line(&format!(
            "  into region {}: {} bytes",
            link.region, link.bytes
        ));
    }
    line(&format!("  takes about {} ms", plan.expected_ms));
    for warning in &plan.warnings {
        line(&format!("  warning: {warning}"));
    }
    line(&format!(
        "nothing has changed; to go on: ragworttack confirm {}",
        plan.id
    ));
    Ok(())
}
