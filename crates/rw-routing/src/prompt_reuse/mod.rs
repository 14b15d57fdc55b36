//! Beginnings of prompts that engines still hold, and the prefill that a request saves there.

mod chain;
mod held;

pub use chain::PromptChain;
pub use held::{HeldPrompts, PromptRetention, Reuse};
