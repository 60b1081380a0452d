//! The targets of one zone that can serve one need, with the available ones in front.
//!
//! Owns the order of its members. A random pick looks only at available targets, so its cost does
//! not depend on how many targets there are or how many are full.

use azurelug_types::id::TargetKey;

/// Members in two runs: available ones first.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    members: Vec<TargetKey>,
    available: usize,
}

impl Pool {
    /// Adds a member that is not available yet, and returns its position.
    pub(super) fn add(&mut self, target: TargetKey) -> usize {
        self.members.push(target);
        self.members.len() - 1
    }

    /// All members.
    pub(super) fn members(&self) -> &[TargetKey] {
        &self.members
    }

    /// The available members.
    pub(super) fn available(&self) -> &[TargetKey] {
        &self.members[..self.available]
    }

    /// Moves the member at `position` into the run it belongs to. Returns its new position and
    /// the member that changed places with it.
    pub(super) fn place(&mut self, position: usize, available: bool) -> (usize, TargetKey) {
        let other = match (available, position < self.available) {
            (true, false) => {
                self.available += 1;
                self.available - 1
            }
            (false, true) => {
                self.available -= 1;
                self.available
            }
            _ => position,
        };
        self.members.swap(position, other);
        (other, self.members[position])
    }
}
