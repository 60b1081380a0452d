//! The targets of one zone that can serve one need, ordered by availability.
//!
//! Available targets come first, so a random pick does not depend on how many targets there are or
//! how many of them are full.

use azurelug_types::id::TargetKey;

/// Segment of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Segment {
    /// Available and not in cold start.
    Warm,
    /// Available, in cold start.
    Cold,
    /// Not available.
    Unavailable,
}

/// Members in three segments, in the order of `Segment`.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    members: Vec<TargetKey>,
    /// End positions of the warm and the cold segment.
    segment_ends: [usize; 2],
    /// Members in cold start, available or not.
    cold_count: usize,
}

impl Pool {
    /// Adds a member as unavailable and returns its position.
    pub(super) fn add(&mut self, target: TargetKey) -> usize {
        self.members.push(target);
        self.members.len() - 1
    }

    pub(super) fn members(&self) -> &[TargetKey] {
        &self.members
    }

    /// The available members, without those in cold start if `avoid_cold` is set.
    pub(super) fn available(&self, avoid_cold: bool) -> &[TargetKey] {
        &self.members[..self.segment_ends[usize::from(!avoid_cold)]]
    }

    /// Whether any member, available or not, is not in cold start.
    pub(super) fn has_warm(&self) -> bool {
        self.cold_count < self.members.len()
    }

    /// Adjusts the number of cold members when a member's cold start begins or ends.
    pub(super) fn count_cold(&mut self, is_cold: bool) {
        if is_cold {
            self.cold_count += 1;
        } else {
            self.cold_count -= 1;
        }
    }

    /// Moves the member at `position` to `segment`, one segment at a time. Calls `moved`
    /// with each member that was swapped with it and that member's new position. Returns the new
    /// position.
    pub(super) fn move_to(
        &mut self,
        mut position: usize,
        segment: Segment,
        mut moved: impl FnMut(TargetKey, usize),
    ) -> usize {
        loop {
            let current = self
                .segment_ends
                .iter()
                .filter(|end| position >= **end)
                .count();
            let next = match current.cmp(&(segment as usize)) {
                std::cmp::Ordering::Equal => return position,
                std::cmp::Ordering::Greater => {
                    self.segment_ends[current - 1] += 1;
                    self.segment_ends[current - 1] - 1
                }
                std::cmp::Ordering::Less => {
                    self.segment_ends[current] -= 1;
                    self.segment_ends[current]
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
