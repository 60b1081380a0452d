//! Calls in flight, from their start to their outcome.
//!
//! Owns the slab of running calls. A key is used up by its first `finish`, so that a repeated
//! outcome never changes a count twice.

use std::time::Duration;

use azurelug_types::id::TargetKey;
use azurelug_types::key;

key! {
    /// A running call.
    pub struct CallKey {
        index: u32,
        generation: u32,
    }

    /// How a call ended, as far as its target is concerned.
    #[serde(rename_all = "snake_case")]
    pub enum Completion {
        /// The target answered in full.
        Success,
        /// The target failed, refused or did not answer in time.
        Failure,
        /// The call was given up for reasons that say nothing about the target.
        Cancelled,
    }

    /// The outcome of a call.
    pub struct Outcome {
        /// How it ended.
        pub completion: Completion,
        /// Time from start to the first token; none for calls without tokens.
        pub first_token: Option<Duration>,
    }

    /// What the router learned from the end of a call.
    pub struct Finished {
        /// The target.
        pub target: TargetKey,
        /// Time from `begin` to `finish`.
        pub latency: Duration,
        /// Whether the call revealed that the target has turned cold.
        pub turned_cold: bool,
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    pub(super) target: TargetKey,
    pub(super) started: Duration,
}

/// The running calls. Bounded by the sum of the targets' limits, which `begin` enforces.
#[derive(Clone, Debug, Default)]
pub(super) struct Calls {
    slots: Vec<(u32, Option<Call>)>,
    free: Vec<u32>,
}

impl Calls {
    pub(super) fn start(&mut self, call: Call) -> CallKey {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push((0, None));
            self.slots.len() as u32 - 1
        });
        let slot = &mut self.slots[index as usize];
        slot.1 = Some(call);
        CallKey {
            index,
            generation: slot.0,
        }
    }

    pub(super) fn end(&mut self, key: CallKey) -> Option<Call> {
        let slot = self.slots.get_mut(key.index as usize)?;
        if slot.0 != key.generation {
            return None;
        }
        let call = slot.1.take()?;
        slot.0 = slot.0.wrapping_add(1);
        self.free.push(key.index);
        Some(call)
    }
}
