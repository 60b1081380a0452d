//! Entry daemon: serves callers and routes stages to targets.

pub mod admin;
pub mod admit;
pub mod call;
pub mod callers;
pub mod drive;
pub mod engine;
pub mod estimates;
pub mod gateway;
pub mod link;
pub mod locality;
pub mod metrics;
pub mod observe;
pub mod plain;
pub mod recent;
pub mod refuse;
pub mod refused;
pub mod run;
pub mod settings;
pub mod shares;
pub mod shutdown;
pub mod slots;
pub mod view;
