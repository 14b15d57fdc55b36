use http::{HeaderMap, StatusCode};
use rw_routing::LoadNotice;

use crate::HeaderNames;

/// Reads what the head of a response says about the load of its server: running and waiting
/// requests, slots and optionally the pace in percent. Another server's response says
/// nothing about the one that was addressed.
pub(super) fn parse_load(
    status: StatusCode,
    headers: &HeaderMap,
    names: &HeaderNames,
) -> Option<LoadNotice> {
    let value = headers.get(&names.load)?;
    if status == StatusCode::MISDIRECTED_REQUEST {
        return None;
    }
    let notice = value.to_str().ok().and_then(parse_figures);
    if notice.is_none() {
        log::debug!("ignoring an unreadable load of a backend server: {value:?}");
    }
    notice
}

fn parse_figures(text: &str) -> Option<LoadNotice> {
    let mut figures = text.split(',').map(str::trim);
    let mut count = || figures.next()?.parse().ok();
    let (running, waiting, slots) = (count()?, count()?, count()?);
    let pace = match figures.next() {
        Some(percent) => percent.parse::<f64>().ok()? / 100.0,
        None => 1.0,
    };
    let is_valid = pace.is_finite() && pace > 0.0;
    is_valid.then_some(LoadNotice {
        running,
        waiting,
        slots,
        pace,
    })
}
