//! Puts the tokens of one generation in order, from any number of attempts.
//!
//! Owns what was delivered to the caller. A token is delivered once, in order, whichever attempt it
//! came from; a gap is never skipped.

use std::collections::BTreeMap;

/// Tokens held back behind a gap. An engine that runs further ahead is treated as failed.
pub const HELD_LIMIT: usize = 1024;

/// A token that is ready for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Its position in the generation, from 0.
    pub index: u32,
    /// Its text.
    pub text: String,
}

/// Why a token was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// More than `HELD_LIMIT` tokens wait behind a gap.
    #[error("more than {HELD_LIMIT} tokens wait behind a gap; resume the stream on another target")]
    TooFarAhead,
}

/// The order of one generation.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    next: u32,
    held: BTreeMap<u32, String>,
    end: Option<u32>,
    duplicates: u64,
}

impl Stream {
    /// Takes a token from any attempt and returns the tokens that can be delivered now.
    ///
    /// # Errors
    /// `TooFarAhead` if too many tokens wait behind a gap; the stream's state is unchanged.
    pub fn push(&mut self, index: u32, text: String) -> Result<Vec<Token>, Error> {
        let is_after_end = self.end.is_some_and(|end| index >= end);
        if index < self.next || is_after_end || self.held.contains_key(&index) {
            self.duplicates += 1;
            return Ok(Vec::new());
        }
        if index != self.next && self.held.len() >= HELD_LIMIT {
            return Err(Error::TooFarAhead);
        }
        self.held.insert(index, text);
        let mut ready = Vec::new();
        while let Some(text) = self.held.remove(&self.next) {
            ready.push(Token {
                index: self.next,
                text,
            });
            self.next += 1;
        }
        Ok(ready)
    }

    /// Notes that the generation has exactly `total` tokens. The first statement counts.
    pub fn finish_at(&mut self, total: u32) {
        if self.end.is_none() {
            self.end = Some(total);
            self.held.retain(|index, _| *index < total);
        }
    }

    /// The index of the next token the caller needs; a resumed engine starts here.
    pub fn next_index(&self) -> u32 {
        self.next
    }

    /// Whether every token up to the stated end was delivered.
    pub fn is_complete(&self) -> bool {
        self.end.is_some_and(|end| self.next >= end)
    }

    /// Tokens that arrived more than once, as wasted work.
    pub fn duplicates(&self) -> u64 {
        self.duplicates
    }
}
