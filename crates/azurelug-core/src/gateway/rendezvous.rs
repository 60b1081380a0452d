//! Rendezvous hashing: all daemons with the same list choose the same entry for a key, and a change
//! of the list moves only the keys of the entry that was added or removed.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns the weight of an entry for a key; the entry with the highest weight is chosen.
///
/// [`DefaultHasher`] with its fixed keys gives the same value in all processes of one build.
#[must_use]
pub fn weight<K: Hash + ?Sized, E: Hash + ?Sized>(key: &K, entry: &E) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    entry.hash(&mut hasher);
    hasher.finish()
}

/// Returns the weight of an entry that is chosen `share` times as often as one with a share of 1.
#[must_use]
pub fn weighted<K: Hash + ?Sized, E: Hash + ?Sized>(key: &K, entry: &E, share: f64) -> f64 {
    -share.max(f64::MIN_POSITIVE) / uniform(key, entry).ln()
}

/// Hashes a key and an entry to a number between 0 and 1, both excluded.
#[must_use]
pub fn uniform<K: Hash + ?Sized, E: Hash + ?Sized>(key: &K, entry: &E) -> f64 {
    // Uses the upper 53 bits, which a float represents exactly.
    ((weight(key, entry) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
}

/// Returns the entries in descending order of their weight for a key.
pub fn ranked<'a, K: Hash + ?Sized, E: Hash>(key: &K, entries: &'a [E]) -> Vec<&'a E> {
    let mut weighed: Vec<(u64, &E)> = entries.iter().map(|it| (weight(key, it), it)).collect();
    weighed.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    weighed.into_iter().map(|(_, entry)| entry).collect()
}

/// Returns the entries in descending order of preference for the key at `position` of `keys`. The
/// first choices of different keys are different entries as long as there are enough.
///
/// Load pattern: the dispatchers of several services need most of a small VM's CPU. Two of them on
/// one VM delay every call of both by tens of milliseconds.
pub fn spread<'a, K: Hash, E: Hash>(keys: &[K], position: usize, entries: &'a [E]) -> Vec<&'a E> {
    spread_by(keys, position, entries, weight)
}

/// As [`spread`]; an entry is chosen in proportion to its share. With equal shares the result is the
/// same.
///
/// Load pattern: gateways whose VMs differ by a factor of three in processor time, memory and link.
pub fn spread_weighted<'a, K: Hash, E: Hash>(
    keys: &[K],
    position: usize,
    entries: &'a [E],
    share: impl Fn(&E) -> f64,
) -> Vec<&'a E> {
    let mut shares = entries.iter().map(&share);
    let first = shares.next();
    if shares.all(|share| Some(share) == first) {
        return spread(keys, position, entries);
    }
    // Positive floats are ordered like their bits.
    let weight = |key: &K, entry: &E| weighted(key, entry, share(entry)).to_bits();
    spread_by(keys, position, entries, weight)
}

fn spread_by<'a, K, E>(
    keys: &[K],
    position: usize,
    entries: &'a [E],
    weight: impl Fn(&K, &E) -> u64,
) -> Vec<&'a E> {
    let mut is_first_choice: Vec<bool> = vec![false; entries.len()];
    let mut ranking: Vec<usize> = Vec::new();
    for (count, key) in keys.iter().take(position + 1).enumerate() {
        if entries.is_empty() {
            break;
        }
        if count % entries.len() == 0 {
            is_first_choice.fill(false);
        }
        ranking = (0..entries.len()).collect();
        // Entries that are the first choice of earlier keys go last.
        ranking.sort_by_key(|&at| {
            (
                is_first_choice[at],
                std::cmp::Reverse(weight(key, &entries[at])),
            )
        });
        is_first_choice[ranking[0]] = true;
    }
    ranking.into_iter().map(|at| &entries[at]).collect()
}
