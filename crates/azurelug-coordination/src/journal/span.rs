//! Indices and terms of the log, without payloads.

/// The terms of the entries after a base, which is the entry that a snapshot ends with (or 0).
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Span {
    base_index: u64,
    base_term: u64,
    terms: Vec<u64>,
}

impl Span {
    /// An empty span after the given entry.
    #[must_use]
    pub fn after(index: u64, term: u64) -> Self {
        Self {
            base_index: index,
            base_term: term,
            terms: Vec::new(),
        }
    }

    /// Index of the entry before the first one.
    #[must_use]
    pub fn base_index(&self) -> u64 {
        self.base_index
    }

    /// Index of the last entry, or of the base if there is none.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.base_index + self.terms.len() as u64
    }

    /// Term of the last entry, or of the base if there is none.
    #[must_use]
    pub fn last_term(&self) -> u64 {
        self.terms.last().copied().unwrap_or(self.base_term)
    }

    /// Term of an entry or of the base; `None` outside the span.
    #[must_use]
    pub fn term(&self, index: u64) -> Option<u64> {
        let distance = index.checked_sub(self.base_index)?;
        match distance.checked_sub(1) {
            None => Some(self.base_term),
            Some(at) => self.terms.get(usize::try_from(at).ok()?).copied(),
        }
    }

    /// Adds an entry after the last one.
    pub fn push(&mut self, term: u64) {
        self.terms.push(term);
    }

    /// Removes all entries after `index`, which must not be below the base.
    pub fn keep_until(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base_index);
        self.terms
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Makes the given entry the base. Entries after it stay if the span holds this entry;
    /// otherwise they belong to a replaced history, and the span becomes empty.
    /// Returns the number of entries removed from the front, or `None` if all were removed.
    pub fn rebase(&mut self, index: u64, term: u64) -> Option<usize> {
        if self.term(index) != Some(term) {
            *self = Self::after(index, term);
            return None;
        }
        let removed = usize::try_from(index - self.base_index).unwrap_or(usize::MAX);
        self.terms.drain(..removed);
        self.base_index = index;
        self.base_term = term;
        Some(removed)
    }
}
