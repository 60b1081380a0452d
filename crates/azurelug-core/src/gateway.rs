//! Decision logic of the gateway: routing, accounts, target selection, queueing and admission.
//!
//! Nothing here does I/O or reads a clock: `now` is the time since the process started.

pub mod budget;
pub mod dispatch;
pub mod events;
pub mod fleet;
pub mod orders;
pub mod owner;
pub mod plan;
pub mod reach;
pub mod table;
pub mod turn;
pub mod worth;
