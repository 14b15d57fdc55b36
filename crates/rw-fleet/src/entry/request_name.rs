//! Names requests by their content, so that a request which comes again is known again.

use http::header::HOST;
use rw_protocol::{fields_hash, Name};

use super::request::{header_text, without_port};
use super::Call;

/// Length of the digests in a name, in hexadecimal digits.
const OUTLINE_DIGITS: usize = 16;
const CONTENT_DIGITS: usize = 32;

impl Call {
    /// Name of the request by what a server is shown of it: method, host, path, team and
    /// body. Headers do not count, as callers send some of them anew each time.
    pub(super) fn request_name(&self) -> &Name {
        self.request_name.get_or_init(|| {
            let content = self.hash_with(&self.body);
            let content = &content[..CONTENT_DIGITS];
            Name::from(format!("{}-{content}", self.request_outline()))
        })
    }

    /// Beginning of the name, which takes no look at the body.
    pub(super) fn request_outline(&self) -> String {
        let outline = self.hash_with(&self.body.len().to_le_bytes());
        rw_routing::request_prefix(&outline[..OUTLINE_DIGITS])
    }

    fn hash_with(&self, content: &[u8]) -> Name {
        let host = header_text(&self.headers, &HOST).unwrap_or_default();
        let host = without_port(host).to_ascii_lowercase();
        let target = self.uri.path_and_query();
        let target = target.map_or("/", |target| target.as_str());
        // An empty field is no name of a team.
        let team = self.team.as_deref().unwrap_or_default();
        fields_hash(&[
            self.method.as_str().as_bytes(),
            host.as_bytes(),
            target.as_bytes(),
            team.as_bytes(),
            content,
        ])
    }
}
