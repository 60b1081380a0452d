//! Rendezvous hashing: all daemons with the same list choose the same entry for a key, and a change
//! of the list moves only the keys of the entry that came or went.

use std::hash::{DefaultHasher, Hash, Hasher};

/// The weight of an entry for a key; the entry with the highest weight is chosen.
///
/// [`DefaultHasher`] with its fixed keys gives the same value in all processes of one build.
#[must_use]
pub fn weight<K: Hash + ?Sized, E: Hash + ?Sized>(key: &K, entry: &E) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    entry.hash(&mut hasher);
    hasher.finish()
}

/// The weight of an entry that is to be chosen `share` times as often as one with a share of 1.
#[must_use]
pub fn weighted<K: Hash + ?Sized, E: Hash + ?Sized>(key: &K, entry: &E, share: f64) -> f64 {
    // Uniform in 0..1 from the upper bits, which a float holds exactly.
    let uniform = ((weight(key, entry) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -share.max(f64::MIN_POSITIVE) / uniform.ln()
}

/// The entries by falling weight for a key.
pub fn ranked<'a, K: Hash + ?Sized, E: Hash>(key: &K, entries: &'a [E]) -> Vec<&'a E> {
    let mut weighed: Vec<(u64, &E)> = entries.iter().map(|it| (weight(key, it), it)).collect();
    weighed.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    weighed.into_iter().map(|(_, entry)| entry).collect()
}
