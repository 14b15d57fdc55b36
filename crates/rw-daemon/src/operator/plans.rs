use std::collections::BTreeMap;

use rw_coord::{unix_ms, AppendLog, AppendOutcome};
use rw_intent::{parse_intent, plan_intent, NetworkTopology};
use rw_observe::Event;
use rw_platform::{ObjectStore, Origin};
use rw_protocol::{
    manifest_error, manifest_id, Change, Generation, HostRecord, Intent, Manifest, Name, Plan,
    RemoveIntent,
};
use rw_settings::ServiceKind;
use serde_json::json;

use super::server::{fail, ok, ApiResponse, OperatorApi};
use crate::control::broadcast_generation;
use crate::Context;

const BITS_PER_BYTE: u64 = 8;

/// Creates and stores a plan for an intent file. The configuration changes only
/// when the plan is confirmed.
pub(super) fn plan(api: &OperatorApi, body: &str) -> ApiResponse {
    let cx = &api.cx;
    let intent = match parse_intent(body, unix_ms()) {
        Ok(intent) => intent,
        Err(err) => return fail(400, &err.to_string()),
    };
    let errors = validate_intent(cx, &intent);
    if !errors.is_empty() {
        return fail(400, &errors.join("\n"));
    }
    let manifest = match cx.platform.manifest(&intent.model, &intent.version) {
        Ok(manifest) => manifest,
        Err(err @ rw_platform::Error::NotFound(_)) => {
            let requested = format!("model {} version {}", intent.model, intent.version);
            return fail(404, &format!("{requested}: not at the origin ({err})"));
        }
        Err(err) => return fail(503, &format!("origin: {err}; try again")),
    };
    if let Some(error) = manifest_error(&manifest) {
        return fail(
            422,
            &format!("the origin's manifest cannot be used: {error}"),
        );
    }
    let planned = {
        let view = cx.view.read();
        let hosts: Vec<HostRecord> = view.hosts.values().cloned().collect();
        plan_intent(
            &view.cfg,
            &hosts,
            intent,
            &manifest,
            &network_topology(cx),
            unix_ms(),
        )
    };
    match planned {
        Ok(plan) => store_plan(cx, plan, Some(&manifest)),
        Err(err) => fail(409, &err.to_string()),
    }
}

/// Creates and stores a plan that removes an intent.
pub(super) fn plan_removal(api: &OperatorApi, name: &str) -> ApiResponse {
    let cx = &api.cx;
    let plan = {
        let view = cx.view.read();
        let Some(active) = view.cfg.intents().get(name) else {
            return fail(404, &format!("no confirmed intent is called '{name}'"));
        };
        Plan {
            id: Name::default(),
            base: view.cfg.head(),
            change: Change::Remove(RemoveIntent {
                name: Name::from(name),
            }),
            joining: Vec::new(),
            leaving: active.assignments.keys().cloned().collect(),
            keeping: Vec::new(),
            origin_bytes: 0,
            links: Vec::new(),
            expected_ms: 0,
            warnings: vec!["calls that only this intent serves will be refused".to_string()],
        }
    };
    store_plan(cx, plan, None)
}

fn validate_intent(cx: &Context, intent: &Intent) -> Vec<String> {
    let deployment = &cx.deployment;
    let mut errors = Vec::new();
    let service = deployment.services.get(&intent.service);
    if service.is_none_or(|s| s.kind != ServiceKind::Engine) {
        errors.push(format!(
            "intent.service: '{}' is not a service with a model engine",
            intent.service
        ));
    }
    for team in intent
        .teams
        .iter()
        .filter(|t| !deployment.teams.contains_key(*t))
    {
        errors.push(format!(
            "intent.teams: '{team}' is not a team of this deployment"
        ));
    }
    for region in intent
        .regions
        .iter()
        .filter(|r| !deployment.regions.contains_key(*r))
    {
        errors.push(format!(
            "intent.regions: '{region}' is not a region of this deployment"
        ));
    }
    errors
}

fn network_topology(cx: &Context) -> NetworkTopology {
    let regions = cx.deployment.regions.iter();
    let links = regions.map(|(name, r)| (name.clone(), r.link_bits_per_s / BITS_PER_BYTE));
    NetworkTopology {
        origin_region: cx.deployment.home_region(),
        uplink_bytes_per_s: cx.deployment.weights.uplink_bytes_per_s,
        link_bytes_per_s: links.collect::<BTreeMap<_, _>>(),
    }
}

fn plan_key(id: &str) -> String {
    format!("plan/{id}")
}

// Plans are stored in the object store, so that any daemon can confirm them.
// Manifests are stored too, for hosts that cannot get them from a peer.
fn store_plan(cx: &Context, mut plan: Plan, manifest: Option<&Manifest>) -> ApiResponse {
    plan.id = Name::from(format!("{:016x}", rand::random::<u64>()));
    let stored = (|| {
        if let Some(manifest) = manifest {
            let body = serde_json::to_vec(manifest).unwrap_or_default();
            ObjectStore::put(
                &cx.platform,
                &format!("manifest/{}", manifest_id(manifest)),
                &body,
            )?;
        }
        let body = serde_json::to_vec(&plan).unwrap_or_default();
        ObjectStore::put(&cx.platform, &plan_key(&plan.id), &body)
    })();
    match stored {
        Ok(()) => ok(&plan),
        Err(err) => fail(503, &format!("object store: {err}; try again")),
    }
}

/// Appends a stored plan to the configuration, unless it is stale. Confirming a
/// plan again has no further effect.
pub(super) fn confirm(api: &OperatorApi, id: &str) -> ApiResponse {
    let cx = &api.cx;
    if id.is_empty() || !id.chars().all(|c| c.is_ascii_hexdigit()) {
        return fail(400, "plan: not the id of a plan");
    }
    let body = match ObjectStore::get(&cx.platform, &plan_key(id)) {
        Ok(body) => body,
        Err(rw_platform::Error::NotFound(_)) => {
            return fail(404, &format!("no plan is called '{id}'"))
        }
        Err(err) => return fail(503, &format!("object store: {err}; try again")),
    };
    let plan: Plan = match serde_json::from_slice(&body) {
        Ok(plan) => plan,
        Err(err) => return fail(500, &format!("plan {id} cannot be read: {err}")),
    };
    append_plan(api, plan)
}

fn append_plan(api: &OperatorApi, plan: Plan) -> ApiResponse {
    let cx = &api.cx;
    let generation = Generation {
        number: plan.base + 1,
        plan_id: plan.id.clone(),
        at_ms: unix_ms(),
        change: plan.change,
    };
    let text = serde_json::to_string(&generation).unwrap_or_default();
    let log = AppendLog::new(cx.platform.clone(), "config");
    match log.append(plan.base, &text, &plan.id) {
        Ok(AppendOutcome::Written(number)) => {
            let detail = format!("generation={number} plan={}", plan.id);
            cx.recorder.emit(Event::GenerationConfirmed, &detail);
            api.runtime.block_on(broadcast_generation(cx, generation));
            ok(&json!({ "generation": number }))
        }
        Ok(AppendOutcome::Stale(head)) => {
            let newer = describe_newer_generation(&log, plan.base);
            cx.recorder.emit(Event::PlanStale, &format!("plan={} base={} head={head}", plan.id, plan.base));
            fail(409, &format!("the plan is stale: it was made from generation {}, {newer}; plan again", plan.base))
        }
        Err(rw_coord::Error::Platform(rw_platform::Error::Unknown(msg))) => fail(
            504,
            &format!("it is not known whether the plan was confirmed ({msg}); confirm the same plan again to find out"),
        ),
        Err(err) => fail(503, &format!("not confirmed: {err}; try again")),
    }
}

fn describe_newer_generation(log: &AppendLog<rw_platform::HttpPlatform>, base: u64) -> String {
    let entries = log.entries_after(base).unwrap_or_default();
    let Some((number, text)) = entries.first() else {
        return "the configuration has moved on".to_string();
    };
    let generation: Option<Generation> = serde_json::from_str(text).ok();
    let change = generation.map(|generation| match generation.change {
        Change::Put(put) => format!(
            "plan {} put intent {} version {}",
            generation.plan_id, put.intent.name, put.intent.version
        ),
        Change::Remove(remove) => {
            format!("plan {} removed intent {}", generation.plan_id, remove.name)
        }
        Change::Replace(replace) => {
            format!("failed hosts of intent {} were replaced", replace.intent)
        }
    });
    format!(
        "then generation {number} came: {}",
        change.unwrap_or_default()
    )
}
