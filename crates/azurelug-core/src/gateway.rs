//! Decision logic of the gateway: routing, accounts, target selection, queueing and admission.
//!
//! Nothing here does I/O or reads a clock: `now` is the time since the process started.

pub mod budget;
pub mod cost;
pub mod dispatch;
pub mod events;
pub mod fleet;
pub mod limits;
pub mod lint;
pub mod orders;
pub mod plan;
pub mod quarantine;
pub mod reachability;
pub mod read_rotation;
pub mod rendezvous;
pub mod rollout;
pub mod roster;
mod shares;
pub mod shutdown;
pub mod slots;
pub mod streams;
pub mod table;
pub mod value_rank;
pub mod versions;
