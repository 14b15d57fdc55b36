use rw_platform::TableService;
use rw_protocol::{Claim, ClaimState};

use crate::ledger::parse;
use crate::Result;

/// Maximum rows read by one scan.
const SCAN_PAGE_ROWS: usize = 256;

/// Returns the claims that were made at least `min_age_ms` before the Unix time `now_ms`
/// and not closed. A claim of a machine whose clock is ahead counts as made just now.
pub fn unresolved_claims<T: TableService>(
    table: &T,
    min_age_ms: u64,
    now_ms: u64,
) -> Result<Vec<Claim>> {
    let mut out = Vec::new();
    let mut after = String::new();
    loop {
        let rows = table.scan("open/", &after, SCAN_PAGE_ROWS)?;
        let Some(last) = rows.last() else {
            return Ok(out);
        };
        after = last.key.clone();
        for row in &rows {
            let claim = table.read(&row.value)?;
            let Some(claim) = claim.map(|c| parse(&c.key, &c.value)).transpose()? else {
                continue;
            };
            let is_open = claim.state == ClaimState::Started
                && row.key.ends_with(&format!("{:016x}", claim.attempt));
            if is_open && now_ms.saturating_sub(claim.at_ms) >= min_age_ms {
                out.push(claim);
            }
        }
    }
}
