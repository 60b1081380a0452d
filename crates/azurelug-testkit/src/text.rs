//! The deterministic output of the engine double.
//!
//! Every result depends only on the model string and the input, so that tests can compute the
//! expected result and any engine can continue a text where another one stopped.

use rand::RngExt;
use rand_pcg::Pcg32;

/// Length of a prefix block in bytes. The prefix cache stores whole blocks.
pub const BLOCK_BYTES: usize = 64;

/// Number of floats in an embedding.
pub const EMBEDDING_LEN: usize = 8;

const SYLLABLES: [&str; 32] = [
    "ba", "be", "bi", "bo", "da", "de", "di", "do", "ka", "ke", "ki", "ko", "la", "le", "li", "lo",
    "ma", "me", "mi", "mo", "na", "ne", "ni", "no", "ra", "re", "ri", "ro", "sa", "se", "si", "so",
];

/// Token `n` of the text that `model` generates for `prompt`: a space and a word.
pub fn token(model: &str, prompt: &str, n: u64) -> String {
    // The token number selects the stream of the generator, so that a token does not depend on its
    // predecessors.
    let mut random = Pcg32::new(seed(model, prompt), n);
    let mut word = String::from(" ");
    for _ in 0..3 {
        word.push_str(SYLLABLES[random.random_range(0..SYLLABLES.len())]);
    }
    word
}

/// The tokens `from..to` of the text that `model` generates for `prompt`.
pub fn tokens(model: &str, prompt: &str, from: u64, to: u64) -> String {
    (from..to).map(|n| token(model, prompt, n)).collect()
}

/// The embedding of `input`, with values in `-1.0..1.0`.
pub fn embedding(model: &str, input: &str) -> Vec<f32> {
    let mut random = Pcg32::new(seed(model, input), 0);
    (0..EMBEDDING_LEN)
        .map(|_| random.random_range(-1.0..1.0))
        .collect()
}

/// Document at `rank` in the results of a search for `query`, as id and text.
pub fn document(model: &str, query: &str, rank: u64) -> (String, String) {
    let id = format!("doc-{}", seed(model, query).wrapping_add(rank) % 100_000);
    let text = tokens(model, &id, 0, 8);
    (id, text.trim_start().to_owned())
}

/// The relevance of `document` for `query`, in `0.0..1.0`.
pub fn relevance(model: &str, query: &str, document: &str) -> f64 {
    Pcg32::new(seed(model, query), seed("", document)).random_range(0.0..1.0)
}

/// Hashes of the prefixes of `prompt` at block boundaries: hash `i` covers the first
/// `(i + 1) * BLOCK_BYTES` bytes. An incomplete last block has no hash.
pub fn prefix_hashes(model: &str, prompt: &str) -> Vec<u32> {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(model.as_bytes());
    hasher.update(&[0]);
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks
        .map(|block| {
            hasher.update(block);
            hasher.clone().finalize()
        })
        .collect()
}

fn seed(model: &str, input: &str) -> u64 {
    let high = u64::from(crc32fast::hash(model.as_bytes()));
    let low = u64::from(crc32fast::hash(input.as_bytes()));
    high << 32 | low
}
