//! The control daemon's bounds on what it holds for operators.

use azurelug_http::clients::Clients;
use azurelug_http::h1::server::Connections;
use azurelug_http::memory::{Budget, Limits};
use azurelug_http::pace::Pace;

use crate::settings::Settings;

/// Memory that is assumed if it is not set, in bytes.
pub const DEFAULT_MEMORY: usize = 256_000_000;

/// The part of the memory for documents and patches that arrive: with 256 MB eight documents of 8 MiB,
/// the operators' orders at once.
const SHARED_PART: (usize, usize) = (3, 10);

/// The part of the memory for the first 64 KiB of each document and patch.
const UNSHARED_FRACTION: usize = 16;

/// The bounds of the settings.
#[must_use]
pub fn bounds(settings: &Settings) -> Clients {
    let (machine, limits) = (settings.machine(), &settings.client_limits);
    let memory = machine.memory(DEFAULT_MEMORY);
    let connections = limits.connections(memory, &machine);
    Clients {
        memory: Budget::new(Limits {
            shared: memory / SHARED_PART.1 * SHARED_PART.0,
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
