//! Counters of the faults and events in schedules.

macro_rules! counts {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Number of events of each kind in one or more schedules.
        #[derive(Clone, Copy, Debug, Default)]
        pub(crate) struct Counts { $($(#[$doc])* pub(crate) $name: u64),* }

        impl std::ops::AddAssign for Counts {
            fn add_assign(&mut self, other: Self) { $(self.$name += other.$name;)* }
        }

        impl std::fmt::Display for Counts {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                let pairs = [$((stringify!($name), self.$name)),*];
                let pairs = pairs.map(|(name, count)| format!("{name} {count}"));
                f.write_str(&pairs.join(", "))
            }
        }
    };
}

counts! {
    steps, kills, lost_disks, torn_writes, cuts, one_way_cuts, staggered_cuts, freezes, common_freezes, duplicated, reordered,
    dropped, drifting_starts, transfers, membership_changes, elections, acknowledged, fresh_reads,
    restored_snapshots, replaced_members, removed_members, refused_joins,
}
