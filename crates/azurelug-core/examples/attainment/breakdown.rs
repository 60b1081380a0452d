//! Counts of failures and wasted calls by cause, and the seconds that they took.

use std::collections::BTreeMap;

#[derive(Clone, Default)]
pub(crate) struct Breakdown(BTreeMap<String, (u32, f64)>);

impl Breakdown {
    pub(crate) fn add(&mut self, cause: String, seconds: f64) {
        let entry = self.0.entry(cause).or_default();
        *entry = (entry.0 + 1, entry.1 + seconds);
    }

    pub(crate) fn merge(&mut self, other: &Self) {
        for (cause, (count, seconds)) in &other.0 {
            let entry = self.0.entry(cause.clone()).or_default();
            *entry = (entry.0 + count, entry.1 + seconds);
        }
    }

    /// Prints the means over `runs`.
    pub(crate) fn print(&self, runs: usize) {
        for (cause, (count, seconds)) in &self.0 {
            println!(
                "    {cause}: {:.2} a run, {:.1} s a run, {:.2} s each",
                f64::from(*count) / runs as f64,
                seconds / runs as f64,
                seconds / f64::from(*count)
            );
        }
    }
}
