//! The parts of a prompt, in the order in which an engine reads them.

use std::hash::{DefaultHasher, Hash, Hasher};

use rw_protocol::Name;

/// Parts of a prompt that are told apart; later ones count as the request's own.
const MAX_LINKS: usize = 64;

/// The beginnings of one prompt. An engine can reuse a part only if it holds all parts
/// before it as well, so each beginning is identified by all of its parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptChain {
    links: Vec<Link>,
}

/// One beginning of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Link {
    /// Hash of the ids of all parts up to this one.
    pub(super) key: u64,
    /// Tokens of these parts together.
    pub(super) tokens: u32,
}

impl PromptChain {
    /// Creates the chain of a prompt from the ids of its parts and their tokens.
    ///
    /// ```
    /// use rw_routing::PromptChain;
    /// let chain = PromptChain::new([("system".into(), 800), ("session".into(), 250)]);
    /// assert_eq!(chain.tokens(), 1050);
    /// assert_eq!(PromptChain::new([]).tokens(), 0);
    /// ```
    pub fn new(parts: impl IntoIterator<Item = (Name, u32)>) -> Self {
        let mut hasher = DefaultHasher::new();
        let mut tokens: u32 = 0;
        let links = parts.into_iter().take(MAX_LINKS).map(|(id, part_tokens)| {
            id.hash(&mut hasher);
            tokens = tokens.saturating_add(part_tokens);
            Link {
                key: hasher.finish(),
                tokens,
            }
        });
        PromptChain {
            links: links.collect(),
        }
    }

    /// Tokens of all parts together.
    pub fn tokens(&self) -> u32 {
        self.links.last().map_or(0, |link| link.tokens)
    }

    pub(super) fn links(&self) -> &[Link] {
        &self.links
    }
}
