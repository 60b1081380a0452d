//! Limits on what a daemon holds for clients that it doesn't control.

use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

use crate::{Error, SettingDuration};

/// Memory for the connections as a fraction of the process's memory.
const CONNECTION_MEMORY_FRACTION: usize = 4;

/// Memory of one connection: one that waits has 16 KiB of buffers, one that reads a long head or a body
/// about 40 KiB.
const CONNECTION_BYTES: usize = 32 * 1024;

/// Descriptors that are assumed if they are not set: those of a control daemon's VM.
const DEFAULT_DESCRIPTORS: usize = 4096;

/// Client connections as a fraction of the descriptors. The rest is for targets, other processes and
/// files.
const DESCRIPTOR_FRACTION: usize = 2;

/// Bodies that arrive at the same time as a fraction of the connections.
const BODY_FRACTION: usize = 4;

/// Fewest bodies that may arrive at the same time: the operators' orders at once.
const MIN_BODIES: usize = 8;

/// Least memory in megabytes: a document of 8 MiB needs its share of it.
const MIN_MEMORY_MB: usize = 32;

/// Fewest descriptors with which a daemon can serve.
const MIN_DESCRIPTORS: usize = 64;

/// Bytes of one megabyte in the settings.
pub const MEGABYTE: usize = 1_000_000;

/// The section `client_limits`.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientLimits {
    /// Most connections of clients.
    pub connections: Option<usize>,
    /// Most request bodies that arrive at the same time.
    pub bodies: Option<usize>,
    /// Longest time without a byte of a body.
    pub body_stall: SettingDuration,
    /// Least bytes a second of a body on average, after 15 s.
    pub body_bytes_per_second: u32,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connections: None,
            bodies: None,
            // As long as a connection may wait for an acknowledgement.
            body_stall: SettingDuration(Duration::from_secs(10)),
            // A 57th of a link of 7.5 Mbit/s.
            body_bytes_per_second: 16 * 1024,
        }
    }
}

/// What a daemon's VM has, as far as the settings say.
#[derive(Clone, Copy, Debug, Default)]
pub struct Machine {
    /// Memory in megabytes.
    pub memory_mb: Option<usize>,
    /// File descriptors.
    pub file_descriptors: Option<usize>,
}

impl Machine {
    /// Memory in bytes; `default` if it is not set.
    #[must_use]
    pub fn memory(&self, default: usize) -> usize {
        let set = self.memory_mb;
        set.map_or(default, |megabytes| megabytes.saturating_mul(MEGABYTE))
    }
}

impl ClientLimits {
    /// Most connections on a machine with `memory` bytes.
    #[must_use]
    pub fn connections(&self, memory: usize, machine: &Machine) -> usize {
        let descriptors = machine.file_descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let by_memory = memory / CONNECTION_MEMORY_FRACTION / CONNECTION_BYTES;
        let default = by_memory.min(descriptors / DESCRIPTOR_FRACTION);
        self.connections.unwrap_or(default)
    }

    /// Most bodies that arrive at the same time, with so many connections.
    #[must_use]
    pub fn bodies(&self, connections: usize) -> usize {
        let default = (connections / BODY_FRACTION).max(MIN_BODIES);
        self.bodies.unwrap_or(default)
    }

    /// Checks the section and the machine.
    ///
    /// # Errors
    /// The first invalid field, with the reason and how to correct it.
    pub fn check(&self, path: &Path, machine: &Machine) -> Result<(), Error> {
        let problem = |field: &str, message: String, help: &str| {
            Err(Error::value(path, field, message, help))
        };
        if let Some(memory) = machine.memory_mb.filter(|it| *it < MIN_MEMORY_MB) {
            let help = "set the megabytes of the VM, 32 or more, or leave it out";
            return problem("memory_mb", memory.to_string(), help);
        }
        let descriptors = machine.file_descriptors;
        if let Some(count) = descriptors.filter(|it| *it < MIN_DESCRIPTORS) {
            let help = "set the descriptors that the process may open, 64 or more";
            return problem("file_descriptors", count.to_string(), help);
        }
        let counts = [("connections", self.connections), ("bodies", self.bodies)];
        for (field, count) in counts {
            if count == Some(0) {
                let help = "write 1 or more, or leave it out";
                return problem(&format!("client_limits.{field}"), "0".to_owned(), help);
            }
        }
        if self.body_stall.0 < Duration::from_secs(1) {
            let (field, help) = ("client_limits.body_stall", "write 1s or more");
            return problem(field, self.body_stall.to_string(), help);
        }
        if self.body_bytes_per_second == 0 {
            let (field, help) = ("client_limits.body_bytes_per_second", "write 1 or more");
            return problem(field, "0".to_owned(), help);
        }
        Ok(())
    }
}
