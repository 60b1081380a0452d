//! The gateway's bounds on what it holds for its clients.

use azurelug_http::clients::Clients;
use azurelug_http::h1::server::Connections;
use azurelug_http::memory::{Budget, Limits};
use azurelug_http::pace::Pace;

use crate::settings::Settings;

/// Memory that is assumed if it is not set, in bytes.
const DEFAULT_MEMORY: usize = 192 * 1024 * 1024;

/// The limit for shared bytes as a fraction of the memory. A quarter is for connections, and the rest
/// for the process itself, connections to targets, and bodies that are copied when they are whole.
const SHARED_FRACTION: usize = 8;

/// The limit for unshared bytes as a fraction of the memory: on the smallest VM the first 64 KiB of
/// 114 exchanges. What exceeds it counts as shared.
const UNSHARED_FRACTION: usize = 16;

/// The bounds of the settings.
#[must_use]
pub fn bounds(settings: &Settings) -> Clients {
    let (machine, limits) = (settings.machine(), &settings.client_limits);
    let memory = machine.memory(DEFAULT_MEMORY);
    let connections = limits.connections(memory, &machine);
    Clients {
        memory: Budget::new(Limits {
            shared: memory / SHARED_FRACTION,
            unshared: memory / UNSHARED_FRACTION,
            bodies: limits.bodies(connections),
        }),
        connections: Connections::new(connections),
        pace: Pace {
            stall: limits.body_stall.0,
            bytes_per_second: limits.body_bytes_per_second,
        },
    }
}
