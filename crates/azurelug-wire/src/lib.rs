#![doc = include_str!("../README.md")]

pub mod client;
pub mod codec;
pub mod error;
pub mod frame;
pub mod handshake;
mod handshakes;
pub mod server;

pub use client::Connection;
pub use error::Error;
pub use frame::Frame;
pub use server::Listener;
