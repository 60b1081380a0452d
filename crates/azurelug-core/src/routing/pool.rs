//! The targets of one zone that can serve one need, with the available ones in front.
//!
//! Owns the order of its members. A random pick looks only at available targets, so its cost does
//! not depend on how many targets there are or how many are full.

use azurelug_types::id::TargetKey;

/// Where a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Run {
    /// It gets new work and is not in cold start.
    Warm,
    /// It gets new work although it is in cold start.
    Cold,
    /// It gets no new work.
    Out,
}

/// Members in three runs, in the order of `Run`.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    members: Vec<TargetKey>,
    /// Where the warm and the cold run end.
    ends: [usize; 2],
    /// Members in cold start, available or not.
    cold: usize,
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

    /// The available members; only those that are not in cold start if `avoid_cold`.
    pub(super) fn available(&self, avoid_cold: bool) -> &[TargetKey] {
        &self.members[..self.ends[usize::from(!avoid_cold)]]
    }

    /// Whether there is a member that is not in cold start.
    pub(super) fn has_warm(&self) -> bool {
        self.cold < self.members.len()
    }

    /// A member's cold start has begun or ended.
    pub(super) fn count_cold(&mut self, is_cold: bool) {
        if is_cold {
            self.cold += 1;
        } else {
            self.cold -= 1;
        }
    }

    /// Moves the member at `position` into the run it belongs to, one run at a time. Calls `moved`
    /// with each member that changed places with it, and returns its new position.
    pub(super) fn place(
        &mut self,
        mut position: usize,
        run: Run,
        mut moved: impl FnMut(TargetKey, usize),
    ) -> usize {
        loop {
            let present = self.ends.iter().filter(|end| position >= **end).count();
            let next = match present.cmp(&(run as usize)) {
                std::cmp::Ordering::Equal => return position,
                std::cmp::Ordering::Greater => {
                    self.ends[present - 1] += 1;
                    self.ends[present - 1] - 1
                }
                std::cmp::Ordering::Less => {
                    self.ends[present] -= 1;
                    self.ends[present]
                }
            };
            self.members.swap(position, next);
            if next != position {
                moved(self.members[position], position);
            }
            position = next;
        }
    }
}
