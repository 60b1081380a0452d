//! Merges the tokens of one generation from any number of attempts.
//!
//! Each token is delivered to the caller once and in order, whichever attempt it came from; a gap
//! is never skipped.

use std::collections::BTreeMap;

/// Maximum number of tokens buffered after a gap. An engine that is further ahead is treated as
/// failed.
pub const MAX_BUFFERED: usize = 1024;

/// A token that is ready for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Zero-based position in the generation.
    pub index: u32,
    /// Its text.
    pub text: String,
}

/// Why a token was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// More than `MAX_BUFFERED` tokens are buffered after a gap.
    #[error(
        "more than {MAX_BUFFERED} tokens are buffered after a gap; resume the stream on another target"
    )]
    TooFarAhead,
}

/// The token stream of one generation.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    next: u32,
    buffered: BTreeMap<u32, String>,
    end: Option<u32>,
    duplicates: u64,
}

impl Stream {
    /// Adds a token from any attempt and returns the tokens that can be delivered now.
    ///
    /// # Errors
    /// `TooFarAhead` if too many tokens are buffered after a gap; the stream's state is unchanged.
    pub fn push(&mut self, index: u32, text: String) -> Result<Vec<Token>, Error> {
        let is_after_end = self.end.is_some_and(|end| index >= end);
        if index < self.next || is_after_end || self.buffered.contains_key(&index) {
            self.duplicates += 1;
            return Ok(Vec::new());
        }
        if index != self.next && self.buffered.len() >= MAX_BUFFERED {
            return Err(Error::TooFarAhead);
        }
        self.buffered.insert(index, text);
        let mut ready = Vec::new();
        while let Some(text) = self.buffered.remove(&self.next) {
            ready.push(Token {
                index: self.next,
                text,
            });
            self.next += 1;
        }
        Ok(ready)
    }

    /// Sets the total number of tokens of the generation. Only the first call has an effect.
    pub fn finish_at(&mut self, total: u32) {
        if self.end.is_none() {
            self.end = Some(total);
            self.buffered.retain(|index, _| *index < total);
        }
    }

    /// Index of the next token to deliver, from which an engine resumes the generation.
    pub fn next_index(&self) -> u32 {
        self.next
    }

    /// Whether the end is known and every token before it was delivered.
    pub fn is_complete(&self) -> bool {
        self.end.is_some_and(|end| self.next >= end)
    }

    /// Number of redundant tokens: those received more than once or after the end.
    pub fn duplicates(&self) -> u64 {
        self.duplicates
    }
}
