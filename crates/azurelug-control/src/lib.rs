//! Control daemon: keeps the replicated state and serves it to entry daemons, gateways and
//! operators.

pub mod bounds;
pub mod clients;
pub mod cluster;
pub mod daemons;
pub mod deployment;
pub mod disk;
pub mod gateways;
pub mod holders;
pub mod internal;
pub mod limits;
pub mod metrics;
pub mod operators;
pub mod orders;
pub mod peers;
pub mod platform;
pub mod quarantine;
pub mod replica;
pub mod rollouts;
pub mod run;
pub mod settings;
pub mod shares;
pub mod speeds;
pub mod streams;
pub mod updates;
pub mod versions;
