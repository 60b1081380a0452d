//! Frames over h2 between azurelug processes.
//!
//! One h2 connection joins two processes; each exchange is one h2 stream. The connection is
//! authenticated by a shared key and watched by PINGs. This crate moves frames and decides nothing.

pub mod client;
pub mod codec;
pub mod error;
pub mod frame;
pub mod handshake;
pub mod server;

pub use client::Connection;
pub use error::Error;
pub use frame::Frame;
pub use server::Listener;
