//! Bytes that an exchange holds.

use bytes::Bytes;

use super::{Exhausted, Holder, Kind};

/// Bytes that are held. Dropping it releases them.
#[derive(Debug)]
pub struct Held {
    pub(super) holder: Holder,
    pub(super) kind: Kind,
    pub(super) bytes: usize,
}

impl Drop for Held {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.holder.release(self.kind, self.bytes);
        }
    }
}

impl Held {
    /// Holds nothing of an answer yet.
    #[must_use]
    pub fn empty(holder: &Holder) -> Self {
        Self::empty_of(holder, Kind::Answer)
    }

    /// Holds nothing yet of what `kind` says.
    #[must_use]
    pub fn empty_of(holder: &Holder, kind: Kind) -> Self {
        Self {
            holder: holder.clone(),
            kind,
            bytes: 0,
        }
    }

    /// Bytes that are held.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Grows to `bytes`; nothing happens if it is as large already.
    ///
    /// # Errors
    /// As [`Holder::hold`].
    pub async fn grow_to(&mut self, bytes: usize) -> Result<(), Exhausted> {
        if bytes > self.bytes {
            let mut more = self.holder.hold_as(self.kind, bytes - self.bytes).await?;
            self.bytes += std::mem::take(&mut more.bytes);
        }
        Ok(())
    }

    /// Shrinks to `bytes`; nothing happens if it is as small already.
    pub fn shrink_to(&mut self, bytes: usize) {
        let less = self.bytes.saturating_sub(bytes);
        drop(self.split(less));
    }

    /// Splits off `bytes`, at most all.
    #[must_use]
    pub fn split(&mut self, bytes: usize) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self {
            holder: self.holder.clone(),
            kind: self.kind,
            bytes,
        }
    }

    /// Ties the accounting to `bytes`, so that it ends when the last copy of them is dropped.
    #[must_use]
    pub fn attach(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(Attached { bytes, _held: self })
    }
}

struct Attached {
    bytes: Bytes,
    _held: Held,
}

impl AsRef<[u8]> for Attached {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
