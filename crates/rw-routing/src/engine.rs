/// Performance of an inference engine, as declared by its service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Maximum number of requests that are decoded concurrently.
    pub slots: u32,
    /// Base time of one decode step.
    pub step_ms: f64,
    /// Time that each concurrent request adds to a step.
    pub step_ms_per_request: f64,
    /// Time that 1,000 tokens of context add to a step.
    pub context_ms_per_1000: f64,
    /// Prefill throughput.
    pub prefill_tokens_per_ms: f64,
    /// Decode steps in a pass; a stream sends one event after each pass.
    pub steps_per_pass: u32,
    /// Mean prompt length.
    pub mean_prompt_tokens: u32,
    /// Mean answer length.
    pub mean_answer_tokens: u32,
}

/// Requests in flight at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests that were sent and have not finished.
    pub running: u32,
    /// Prompt tokens that still await prefill.
    pub unread_tokens: u32,
}

impl EngineLoad {
    /// Adds two loads on the same engine.
    pub fn plus(self, other: EngineLoad) -> EngineLoad {
        EngineLoad {
            running: self.running + other.running,
            unread_tokens: self.unread_tokens + other.unread_tokens,
        }
    }
}

impl EngineProfile {
    /// Prefill time of a prompt.
    pub fn prefill_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.prefill_tokens_per_ms.max(f64::MIN_POSITIVE)
    }

    /// Time of a decode pass without any prefill.
    pub fn decode_pass_ms(&self, decoding: u32) -> f64 {
        let decoding = f64::from(decoding.min(self.slots));
        let context = f64::from(self.mean_prompt_tokens + self.mean_answer_tokens / 2);
        let per_request = self.step_ms_per_request + self.context_ms_per_1000 * context / 1000.0;
        f64::from(self.steps_per_pass) * (self.step_ms + per_request * decoding)
    }

    /// Engine time that one request uses on a full engine: the prefill of its
    /// prompt and its share of the passes that decode its answer.
    pub fn request_cost_ms(&self, prompt_tokens: u32, answer_tokens: u32) -> f64 {
        let passes = f64::from(answer_tokens) / f64::from(self.steps_per_pass.max(1));
        let share = self.decode_pass_ms(self.slots) / f64::from(self.slots.max(1));
        self.prefill_ms(prompt_tokens) + passes * share
    }

    /// Mean time between two released slots on a full engine.
    pub fn slot_release_ms(&self) -> f64 {
        self.request_cost_ms(self.mean_prompt_tokens, self.mean_answer_tokens)
    }

    /// Forecast time from sending a request to its first event.
    ///
    /// ```
    /// use rw_routing::{EngineLoad, EngineProfile};
    /// let engine = EngineProfile {
    ///     slots: 16, step_ms: 10.0, step_ms_per_request: 0.0, context_ms_per_1000: 0.0,
    ///     prefill_tokens_per_ms: 20.0, steps_per_pass: 5, mean_prompt_tokens: 1000,
    ///     mean_answer_tokens: 80,
    /// };
    /// let idle = engine.first_event_ms(EngineLoad::default(), 1000);
    /// let busy = engine.first_event_ms(EngineLoad { running: 16, unread_tokens: 2000 }, 1000);
    /// assert_eq!(idle, 100.0);
    /// assert!(busy > idle + 100.0);
    /// ```
    pub fn first_event_ms(&self, load: EngineLoad, prompt_tokens: u32) -> f64 {
        let pass_ms = self.decode_pass_ms(load.running + 1);
        // The current pass finishes first; on average half of it remains.
        let remaining_ms = if load.running > 0 { pass_ms / 2.0 } else { 0.0 };
        let queued = (load.running + 1).saturating_sub(self.slots);
        let queue_ms = f64::from(queued) * self.slot_release_ms();
        remaining_ms
            + queue_ms
            + self.prefill_ms(load.unread_tokens.saturating_add(prompt_tokens))
            + pass_ms
    }

    /// Longest gap between two events of the running streams if the engine also
    /// accepts this prompt: prefill of all pending prompts delays the next pass.
    pub fn event_gap_ms(&self, load: EngineLoad, prompt_tokens: u32) -> f64 {
        self.prefill_ms(load.unread_tokens.saturating_add(prompt_tokens))
            + self.decode_pass_ms(load.running + 1)
    }
}
