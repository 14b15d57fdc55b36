use rw_protocol::Claim;

use super::output::{json, line};
use crate::{Client, Error, Result};

/// Prints the calls whose end is not known; an error when there are any.
pub fn unresolved(client: &Client, older_ms: u64, as_json: bool) -> Result<()> {
    let claims: Vec<Claim> = client.get(&format!("/unresolved?older_ms={older_ms}"))?;
    if as_json {
        json(&claims)?;
    } else {
        for claim in &claims {
            line(&format!(
                "team {} key {} since {} by {}",
                claim.team, claim.key, claim.at_ms, claim.owner
            ));
        }
    }
    if claims.is_empty() {
        return Ok(());
    }
    Err(Error::Unhealthy(format!(
        "{} calls have an unknown end",
        claims.len()
    )))
}
