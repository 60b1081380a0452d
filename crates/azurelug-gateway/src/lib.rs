//! Gateway: takes clients' requests, has their stages run, and forwards them to targets.
//!
//! The decisions are in `azurelug_core::gateway`. This crate owns the sockets, timers and tasks
//! round them, and everything that one process knows of the others.

pub mod admin;
pub mod answers;
pub mod attempt;
pub mod body;
pub mod control;
pub mod exchange;
pub mod gateway;
pub mod metrics;
pub mod peers;
pub mod relay;
pub mod run;
pub mod serve;
pub mod settings;
pub mod stages;
pub mod station;
pub mod upstream;
