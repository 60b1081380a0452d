//! The entry daemon's bounds on what it holds for callers.

use std::time::Duration;

use azurelug_http::clients::Clients;
use azurelug_http::h1::server::{self, Connections};
use azurelug_http::memory::{Budget, Limits};
use azurelug_http::pace::Pace;

use azurelug_settings::ClientLimits;
use azurelug_settings::clients::Machine;

/// Memory that is assumed if it is not set, in bytes: that of the smallest VM.
const DEFAULT_MEMORY: usize = 120_000_000;

/// The limits for shared and unshared bytes, each as a fraction of the memory. Bodies are parsed and
/// sent to several stages, which takes a multiple of their bytes.
const MEMORY_FRACTION: usize = 8;

/// Connections of callers have no idle time limit: the one that waits longest is closed when the bound
/// is reached. A head may take as long as a connection waits for an acknowledgement.
pub const CONNECTION_LIMITS: server::Limits = server::Limits {
    idle: Duration::MAX,
    head: Duration::from_secs(10),
    head_bytes: 16 * 1024,
};

/// The bounds of the settings.
#[must_use]
pub fn bounds(machine: Machine, limits: &ClientLimits) -> Clients {
    let memory = machine.memory(DEFAULT_MEMORY);
    let connections = limits.connections(memory, &machine);
    Clients {
        memory: Budget::new(Limits {
            shared: memory / MEMORY_FRACTION,
            unshared: memory / MEMORY_FRACTION,
            bodies: limits.bodies(connections),
        }),
        connections: Connections::new(connections),
        pace: Pace {
            stall: limits.body_stall.0,
            bytes_per_second: limits.body_bytes_per_second,
        },
    }
}
