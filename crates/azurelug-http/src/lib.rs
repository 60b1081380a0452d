//! HTTP server and client, based on `volo-http`, and on `hyper` where gateways need more control.
//!
//! All daemons, the command line and the test doubles use them, so that limits, error answers and
//! the rule that a call is sent only once are the same everywhere. Contains no routing decisions.

pub mod answer;
pub mod client;
pub mod clients;
pub mod error;
pub mod h1;
pub mod incoming;
pub mod memory;
pub mod pace;
pub mod server;
pub mod throttle;

pub use client::Client;
pub use error::Error;
pub use server::Server;
