use std::path::Path;

use rw_protocol::Plan;

use super::output::{join_names, print_json, print_line};
use crate::{Client, Error, Result};

/// Requests a plan for an intent file and prints it, without changing anything.
pub fn plan(client: &Client, path: &Path, as_json: bool) -> Result<Plan> {
    let text = std::fs::read_to_string(path)
        .map_err(|err| Error::Usage(format!("{}: {err}", path.display())))?;
    let plan: Plan = client.post("/plan", &text)?;
    print_plan(&plan, as_json)?;
    Ok(plan)
}

/// Requests a plan that removes an intent and prints it, without changing
/// anything.
pub fn plan_removal(client: &Client, name: &str, as_json: bool) -> Result<Plan> {
    let plan: Plan = client.post(&format!("/plan-removal?name={name}"), "")?;
    print_plan(&plan, as_json)?;
    Ok(plan)
}

fn print_plan(plan: &Plan, as_json: bool) -> Result<()> {
    if as_json {
        return print_json(plan);
    }
    print_line(&format!("plan {} from generation {}", plan.id, plan.base));
    print_line(&format!("  joins:  {}", join_names(&plan.joining)));
    print_line(&format!("  leaves: {}", join_names(&plan.leaving)));
    print_line(&format!("  keeps:  {}", join_names(&plan.keeping)));
    if let rw_protocol::Change::Put(put) = &plan.change {
        let waves = put
            .assignments
            .iter()
            .map(|a| a.wave + 1)
            .max()
            .unwrap_or(0);
        for wave in 0..waves {
            let in_wave = put.assignments.iter().filter(|a| a.wave == wave);
            let hosts: Vec<_> = in_wave.map(|a| a.host.clone()).collect();
            print_line(&format!("  wave {}: {}", wave + 1, join_names(&hosts)));
        }
    }
    print_line(&format!("  from the origin: {} bytes", plan.origin_bytes));
    for link in &plan.links {
        print_line(&format!(
            "  into region {}: {} bytes",
            link.region, link.bytes
        ));
    }
    print_line(&format!("  takes about {} ms", plan.expected_ms));
    for warning in &plan.warnings {
        print_line(&format!("  warning: {warning}"));
    }
    print_line(&format!(
        "nothing has changed yet; to apply this plan: ragworttack confirm {}",
        plan.id
    ));
    Ok(())
}
