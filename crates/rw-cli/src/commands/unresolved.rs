use rw_protocol::Claim;

use super::output::{print_json, print_line};
use crate::{Client, Error, Result};

/// Prints the requests whose outcome is unknown; fails if there are any.
pub fn unresolved(client: &Client, min_age_ms: u64, as_json: bool) -> Result<()> {
    let claims: Vec<Claim> = client.get(&format!("/unresolved?older_ms={min_age_ms}"))?;
    if as_json {
        print_json(&claims)?;
    } else {
        for claim in &claims {
            print_line(&format!(
                "team {} key {} since {} by {}",
                claim.team, claim.key, claim.at_ms, claim.owner
            ));
        }
    }
    if claims.is_empty() {
        return Ok(());
    }
    Err(Error::Unhealthy(format!(
        "{} requests have an unknown outcome",
        claims.len()
    )))
}
