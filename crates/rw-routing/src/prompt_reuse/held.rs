//! What one engine is believed to hold.

use std::collections::HashMap;
use std::time::Duration;

use super::chain::Link;
use super::PromptChain;

/// Beginnings remembered for one engine; the least recently used are forgotten first.
const MAX_BEGINNINGS: usize = 4096;
/// Times that expired beginnings are removed within the time for which they are kept.
const EXPIRY_ROUNDS: u32 = 8;

/// For how long, and for how many tokens, an engine keeps prompts after their requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptRetention {
    /// Time after its last use for which a prompt is kept at most.
    pub time: Duration,
    /// Tokens that are kept at most.
    pub tokens: u64,
}

/// What a request would find at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reuse {
    /// Tokens of the longest beginning of the prompt that the engine is believed to hold.
    pub tokens: u32,
    /// Time since that beginning was last used.
    pub age: Duration,
    /// Tokens that are expected to be found, given that age.
    pub expected_tokens: u32,
}

struct Beginning {
    // Tokens beyond those of the beginning one part shorter.
    own_tokens: u32,
    tokens: u32,
    used_at: Duration,
}

/// Beginnings of prompts that an engine is believed to hold, from the requests that it was
/// sent. The engine reports neither hits nor evictions, so all of it is an estimate. Times
/// count from any fixed moment.
#[derive(Default)]
pub struct HeldPrompts {
    started_ms: u64,
    beginnings: HashMap<u64, Beginning>,
    held_tokens: u64,
    expired_at: Duration,
}

impl HeldPrompts {
    /// Records that an engine, which started at `started_ms`, has read a prompt.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rw_routing::{HeldPrompts, PromptChain, PromptRetention};
    /// let retention = PromptRetention { time: Duration::from_secs(60), tokens: 10_000 };
    /// let mut held = HeldPrompts::default();
    /// let first = PromptChain::new([("system".into(), 800), ("a".into(), 100)]);
    /// held.on_read(&first, 1, &retention, Duration::ZERO);
    /// let second = PromptChain::new([("system".into(), 800), ("b".into(), 100)]);
    /// assert_eq!(held.find(&second, 1, &retention, Duration::ZERO).tokens, 800);
    /// assert_eq!(held.find(&second, 2, &retention, Duration::ZERO).tokens, 0);
    /// ```
    pub fn on_read(
        &mut self,
        chain: &PromptChain,
        started_ms: u64,
        retention: &PromptRetention,
        now: Duration,
    ) {
        self.forget_earlier_start(started_ms);
        let mut shorter = 0;
        for link in chain.links() {
            let own_tokens = link.tokens - shorter;
            shorter = link.tokens;
            self.insert(*link, own_tokens, now);
        }
        self.expire(retention, now);
        self.shrink(retention.tokens);
    }

    /// What a prompt would find at the engine, which started at `started_ms`. The longer a
    /// beginning has not been used, the less of it is expected to be there.
    pub fn find(
        &self,
        chain: &PromptChain,
        started_ms: u64,
        retention: &PromptRetention,
        now: Duration,
    ) -> Reuse {
        if started_ms != self.started_ms || retention.time.is_zero() {
            return Reuse::default();
        }
        let age = |beginning: &Beginning| now.saturating_sub(beginning.used_at);
        let held = chain
            .links()
            .iter()
            .map_while(|link| self.beginnings.get(&link.key))
            .take_while(|beginning| age(beginning) < retention.time)
            .last();
        let Some(held) = held else {
            return Reuse::default();
        };
        let age = age(held);
        let confidence = 1.0 - age.as_secs_f64() / retention.time.as_secs_f64();
        Reuse {
            tokens: held.tokens,
            age,
            expected_tokens: (f64::from(held.tokens) * confidence) as u32,
        }
    }

    /// Forgets the least recently used beginnings until `free_tokens` suffice. The memory
    /// that running requests need comes from what is held.
    pub fn on_memory(&mut self, free_tokens: u64) {
        self.shrink(free_tokens);
    }

    /// Tokens that the engine is believed to hold.
    pub fn held_tokens(&self) -> u64 {
        self.held_tokens
    }

    fn forget_earlier_start(&mut self, started_ms: u64) {
        if self.started_ms != started_ms {
            *self = HeldPrompts {
                started_ms,
                ..HeldPrompts::default()
            };
        }
    }

    fn insert(&mut self, link: Link, own_tokens: u32, now: Duration) {
        let known = self.beginnings.insert(
            link.key,
            Beginning {
                own_tokens,
                tokens: link.tokens,
                used_at: now,
            },
        );
        let replaced = known.map_or(0, |old| old.own_tokens);
        self.held_tokens = self.held_tokens - u64::from(replaced) + u64::from(own_tokens);
    }

    // Expired beginnings are never found, so removing them is not urgent.
    fn expire(&mut self, retention: &PromptRetention, now: Duration) {
        if now < self.expired_at + retention.time / EXPIRY_ROUNDS {
            return;
        }
        self.expired_at = now;
        let held_tokens = &mut self.held_tokens;
        self.beginnings.retain(|_, beginning| {
            let is_kept = now.saturating_sub(beginning.used_at) < retention.time;
            if !is_kept {
                *held_tokens -= u64::from(beginning.own_tokens);
            }
            is_kept
        });
    }

    // Of beginnings that were used at the same time, the longest goes first: it is
    // of no use without the shorter ones.
    fn shrink(&mut self, max_tokens: u64) {
        if self.held_tokens <= max_tokens && self.beginnings.len() <= MAX_BEGINNINGS {
            return;
        }
        let mut by_use: Vec<(Duration, std::cmp::Reverse<u32>, u64)> = self
            .beginnings
            .iter()
            .map(|(key, b)| (b.used_at, std::cmp::Reverse(b.tokens), *key))
            .collect();
        by_use.sort_unstable();
        for (_, _, key) in by_use {
            if self.held_tokens <= max_tokens && self.beginnings.len() <= MAX_BEGINNINGS {
                return;
            }
            if let Some(beginning) = self.beginnings.remove(&key) {
                self.held_tokens -= u64::from(beginning.own_tokens);
            }
        }
    }
}
