//! The random schedules, for the tests and for the example `lease_schedules`.

#[path = "lease_world.rs"]
pub(crate) mod lease_world;
#[path = "membership_world.rs"]
pub(crate) mod membership_world;
#[path = "once_world.rs"]
pub(crate) mod once_world;
#[path = "orders_world.rs"]
pub(crate) mod orders_world;
#[path = "rate_world.rs"]
pub(crate) mod rate_world;
#[path = "share_world.rs"]
pub(crate) mod share_world;
#[path = "sim.rs"]
pub(crate) mod sim;
