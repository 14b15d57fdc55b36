use rw_coord::unix_ms;
use rw_platform::TableService;
use rw_protocol::{Claim, ClaimState};

use crate::ledger::parse;
use crate::Result;

/// Rows read by one scan.
const PAGE_ROWS: usize = 256;

/// Claims that were opened at least `older_ms` ago and never closed.
pub fn unresolved<T: TableService>(table: &T, older_ms: u64) -> Result<Vec<Claim>> {
    let mut out = Vec::new();
    let mut after = String::new();
    loop {
        let rows = table.scan("open/", &after, PAGE_ROWS)?;
        let Some(last) = rows.last() else {
            return Ok(out);
        };
        after = last.key.clone();
        for row in &rows {
            let claim = table.read(&row.value)?;
            let Some(claim) = claim.map(|c| parse(&c.key, &c.value)).transpose()? else {
                continue;
            };
            let open = claim.state == ClaimState::Started
                && row.key.ends_with(&format!("{:016x}", claim.attempt));
            if open && claim.at_ms + older_ms <= unix_ms() {
                out.push(claim);
            }
        }
    }
}
