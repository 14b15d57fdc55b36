//! Versions that the backend server of a host has to load.

use std::sync::Arc;

use super::download::TargetVersion;
use crate::{Cx, Engine, PlatformCodec};

pub(super) fn own_engine<D: PlatformCodec>(cx: &Cx<D>) -> Option<Arc<Engine>> {
    let snapshot = cx.cluster.snapshot();
    snapshot
        .cfg
        .as_ref()?
        .service(&cx.settings.service)?
        .engine
        .clone()
}

pub(super) fn target<D: PlatformCodec>(cx: &Cx<D>, version: u64) -> Option<TargetVersion> {
    let engine = own_engine(cx)?;
    let snapshot = cx.cluster.snapshot();
    Some(TargetVersion {
        model: engine.model.clone(),
        version,
        origin: snapshot.cfg.as_ref()?.origin()?.clone(),
        engine,
    })
}

// Next version to load or download after `after`.
pub(super) fn next_target<D: PlatformCodec>(cx: &Cx<D>, after: u64) -> Option<TargetVersion> {
    let engine = own_engine(cx)?;
    let snapshot = cx.cluster.snapshot();
    let uptime = rw_coord::uptime();
    let version = snapshot.next_version(&engine.model, after, &cx.settings.bounds, uptime)?;
    target(cx, version)
}
