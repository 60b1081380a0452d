#![doc = include_str!("../README.md")]

pub mod journal;
pub mod lease;
pub mod membership;
pub mod once;
pub mod orders;
pub mod raft;
pub mod rate;
pub mod share;
