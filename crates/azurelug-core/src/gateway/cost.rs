//! Expected cost of requests, and the speeds of targets, learned from outcomes.
//!
//! Load pattern: requests that look alike take targets very different times, because prompts and
//! answers differ in length by a factor of ten, and targets of one service differ in speed by more
//! than a factor of two. With hundreds of gateways, each sees a target once in tens of seconds.

pub mod board;
pub mod model;
pub mod speed;

/// What is known of a request's work before it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Tokens of the prompt parts that other requests share; a target may have them cached.
    pub shared_tokens: u64,
    /// Tokens of the prompt that belong to this request or its session.
    pub own_tokens: u64,
    /// Likely tokens of the answer, if its outcome is known only at its end; 0 for a stream, whose
    /// outcome is known at its first event.
    pub output_tokens: u64,
}

/// Number of quantities that the time of a request depends on.
pub const FEATURES: usize = 4;

/// The quantities that the time of a request at a target depends on: 1, and thousands of tokens
/// that are read, that are likely to be cached, and that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Features(pub(super) [f64; FEATURES]);

/// Unit of tokens in [`Features`], so that all quantities are of similar size.
const TOKEN_UNIT: f64 = 1000.0;

impl Work {
    /// The quantities at a target. `is_likely_cached` says whether the target is the one that other
    /// requests with the same shared parts are sent to.
    #[must_use]
    pub fn features(&self, is_likely_cached: bool) -> Features {
        let shared = self.shared_tokens as f64 / TOKEN_UNIT;
        let own = self.own_tokens as f64 / TOKEN_UNIT;
        let written = self.output_tokens as f64 / TOKEN_UNIT;
        if is_likely_cached {
            Features([1.0, own, shared, written])
        } else {
            Features([1.0, own + shared, 0.0, written])
        }
    }
}

impl Features {
    /// The quantities if all tokens that are likely to be cached are, and if none is.
    fn cached_and_read(self) -> (Self, Self) {
        let [one, read, cached, written] = self.0;
        let all_cached = Self([one, read, 0.0, written]);
        (all_cached, Self([one, read + cached, 0.0, written]))
    }
}
