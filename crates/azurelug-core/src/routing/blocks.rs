//! Hashes of the leading blocks of a prompt, as engines use them in their cache events.
//!
//! An engine that hashes differently never matches, which loses locality but is otherwise harmless.

/// Length of a block in bytes.
pub const BLOCK: usize = 64;

/// Maximum number of hashed blocks. Longer common prefixes add little, and a prompt may be as large
/// as 1 MiB.
pub const MAX_BLOCKS: usize = 64;

/// Hashes the leading whole blocks of a prompt. Each hash covers the model's name and the prompt up
/// to the end of its block, so equal hashes mean equal prefixes for the same model.
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
