//! HTTP server and client shells on `volo-http`, and on `hyper` where a gateway needs more.
//!
//! Every daemon, the command line and the test doubles use these, so that limits, error answers and
//! the rule "one call is sent once" are the same everywhere. No routing decisions are made here.

pub mod answer;
pub mod client;
pub mod error;
pub mod h1;
pub mod server;

pub use client::Client;
pub use error::Error;
pub use server::Server;
