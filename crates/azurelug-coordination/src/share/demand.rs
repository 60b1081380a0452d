/// Demand for one target, summed over the holders with a valid lease.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Demand {
    /// Slots that the holders could use.
    pub(super) wanted: u64,
    /// Holders that could use at least one slot.
    pub(super) holders: u64,
}

impl Demand {
    /// A holder's part of `pool`, or `None` when there are fewer slots than
    /// holders, which must then use them in rotation. The parts of all holders
    /// add up to at most `pool`.
    ///
    /// If the pool covers the demand, the remaining slots are divided equally, so
    /// that a burst need not wait for a renewal. Otherwise each holder gets one
    /// slot and the rest is divided in proportion to demand, so that no holder
    /// starves.
    pub(super) fn allocation(self, pool: u32, wanted: u32) -> Option<u32> {
        let pool = u64::from(pool);
        if wanted == 0 {
            return Some(0);
        }
        if pool < self.holders {
            return None;
        }
        let wanted = u64::from(wanted);
        let part = if self.wanted <= pool {
            wanted + (pool - self.wanted) / self.holders
        } else {
            1 + (pool - self.holders) * (wanted - 1) / (self.wanted - self.holders)
        };
        Some(u32::try_from(part).expect("a part is not larger than the pool"))
    }
}
