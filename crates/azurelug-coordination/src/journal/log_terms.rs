//! Indices and terms of the log entries, without payloads.

/// Terms of the entries after a base entry, which is the last one in the snapshot (0 if none).
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LogTerms {
    base_index: u64,
    base_term: u64,
    terms: Vec<u64>,
}

impl LogTerms {
    /// Creates an empty log whose base is the given entry.
    #[must_use]
    pub fn after(index: u64, term: u64) -> Self {
        Self {
            base_index: index,
            base_term: term,
            terms: Vec::new(),
        }
    }

    /// Index of the base entry.
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

    /// Term of an entry or of the base; `None` for any other index.
    #[must_use]
    pub fn term(&self, index: u64) -> Option<u64> {
        let distance = index.checked_sub(self.base_index)?;
        match distance.checked_sub(1) {
            None => Some(self.base_term),
            Some(at) => self.terms.get(usize::try_from(at).ok()?).copied(),
        }
    }

    /// Appends the term of the next entry.
    pub fn push(&mut self, term: u64) {
        self.terms.push(term);
    }

    /// Removes all entries after `index`, which must not be below the base.
    pub fn truncate_after(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base_index);
        self.terms
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Makes the given entry the base. Later entries are kept if the log contains this entry;
    /// otherwise the log ends before it or diverges from it, and all entries are removed.
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
