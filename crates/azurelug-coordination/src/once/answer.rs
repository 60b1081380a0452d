use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The result of a call, stored for callers that resend its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Status code of the call.
    pub status: u16,
    /// Body of the answer, or its digest.
    pub body: Body,
}

/// A body that is kept whole or as a digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// All bytes of the body.
    Whole(Vec<u8>),
    /// A body that was too long to keep.
    Digest {
        /// Length of the body in bytes.
        length: u64,
        /// SHA-256 of the body.
        sha256: [u8; 32],
    },
}

impl Answer {
    /// An answer with its whole body.
    pub fn whole(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            body: Body::Whole(body.into()),
        }
    }

    /// Replaces a body of more than `limit` bytes by its digest. Claimants call
    /// this before they propose a record, to keep long bodies out of the log.
    pub fn with_digest_above(self, limit: usize) -> Self {
        match self.body {
            Body::Whole(bytes) if bytes.len() > limit => Self {
                status: self.status,
                body: Body::Digest {
                    length: bytes.len() as u64,
                    sha256: Sha256::digest(&bytes).into(),
                },
            },
            body => Self {
                status: self.status,
                body,
            },
        }
    }

    /// Size of the body on the heap, in bytes.
    pub(super) fn heap_bytes(&self) -> u64 {
        match &self.body {
            Body::Whole(bytes) => bytes.len() as u64,
            Body::Digest { .. } => 0,
        }
    }
}
