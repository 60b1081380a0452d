//! Hashes of the leading blocks of a prompt, as engines use them in their cache events.
//!
//! Holds no state. An engine with another hash would never match, which costs locality only.

/// Length of a block in bytes.
pub const BLOCK: usize = 64;

/// Blocks that are hashed. Longer common prefixes are as good as this one, and a prompt may have
/// 1 MiB.
pub const MAX_BLOCKS: usize = 64;

/// The hashes of the leading whole blocks. Each covers the model's name and the prompt up to the end
/// of its block, so that equal hashes mean equal prefixes for the same model.
#[must_use]
pub fn blocks(model: &str, prompt: &str) -> Vec<u64> {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(model.as_bytes());
    hasher.update(&[0]);
    let blocks = prompt.as_bytes().chunks_exact(BLOCK).take(MAX_BLOCKS);
    blocks
        .map(|block| {
            hasher.update(block);
            u64::from(hasher.clone().finalize())
        })
        .collect()
}
