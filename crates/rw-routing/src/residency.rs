//! Regions in which requests may be served.

use rw_protocol::Name;

/// Whether lists of regions allow a region. Every list binds; an empty one allows all
/// regions.
///
/// ```
/// use rw_routing::allows_region;
/// let (route, team) = (["north".into(), "south".into()], ["south".into()]);
/// assert!(allows_region([&route[..], &[]], "north"));
/// assert!(!allows_region([&route[..], &team[..]], "north"));
/// assert!(allows_region([&route[..], &team[..]], "south"));
/// ```
pub fn allows_region<'a>(lists: impl IntoIterator<Item = &'a [Name]>, region: &str) -> bool {
    let mut lists = lists.into_iter().filter(|list| !list.is_empty());
    lists.all(|list| list.iter().any(|allowed| **allowed == *region))
}
