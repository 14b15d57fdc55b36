use std::borrow::Borrow;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Immutable name that is cheap to clone: all clones share one allocation.
///
/// ```
/// let name = rw_protocol::Name::from("north-1");
/// assert_eq!(&*name, "north-1");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Name(Arc<str>);

impl Default for Name {
    fn default() -> Self {
        Name(Arc::from(""))
    }
}

impl Deref for Name {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Name(Arc::from(text))
    }
}

impl From<String> for Name {
    fn from(text: String) -> Self {
        Name(Arc::from(text))
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
