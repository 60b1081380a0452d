//! What a process holds for its clients, and the bounds of it.

use std::fmt::{Display, Write};

use bytes::Bytes;
use http_body::Body;

use crate::h1::server::{Connections, Counts};
use crate::incoming::{self, Error};
use crate::memory::{Budget, Usage};
use crate::pace::Pace;

/// Last line of metrics in the OpenMetrics format.
const END: &str = "# EOF\n";

/// Most bytes in the read buffer of a connection whose request is arriving or being answered.
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// Bytes in the read buffer of an idle connection.
const IDLE_BUFFER_BYTES: usize = 8 * 1024;

/// Connections to an address for operators and health checks.
pub const ADMIN_CONNECTIONS: usize = 64;

/// The bounds on what a process holds for its clients. Clones share them.
#[derive(Clone, Debug)]
pub struct Clients {
    /// The bytes of bodies and answers.
    pub memory: Budget,
    /// The connections.
    pub connections: Connections,
    /// How slowly a body may arrive.
    pub pace: Pace,
}

/// What is held for clients, for state dumps.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Held {
    /// The bytes of bodies and answers.
    pub memory: Usage,
    /// The connections by state.
    pub connections: Counts,
}

impl Clients {
    /// What is held now.
    #[must_use]
    pub fn held(&self) -> Held {
        Held {
            memory: self.memory.usage(),
            connections: self.connections.counts(),
        }
    }

    /// Reads the body of a request of at most `limit` bytes, which counts until the result is dropped.
    ///
    /// # Errors
    /// Why the body could not be read completely.
    pub async fn read<B>(&self, body: B, limit: usize) -> Result<Bytes, Error>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: Display + 'static,
    {
        incoming::read_request(&self.memory.open(), body, limit, self.pace).await
    }

    /// Adds what is held to metrics in the OpenMetrics format, which end with `# EOF`.
    pub fn append_metrics(&self, prefix: &str, text: &mut String) {
        let Held {
            memory: usage,
            connections: counts,
        } = self.held();
        let active = counts.reading + counts.answering;
        let buffers = active * READ_BUFFER_BYTES + counts.idle * IDLE_BUFFER_BYTES;
        if text.ends_with(END) {
            text.truncate(text.len() - END.len());
        }
        let gauge = "Bytes held for clients by kind; of connection buffers the upper bound";
        let held = [
            ("request_bodies", usage.requests),
            ("answers", usage.answers),
            ("connection_buffers", buffers),
        ];
        family(text, prefix, ("held_bytes", "gauge", gauge), "kind", &held);
        let states = [
            ("new", counts.new),
            ("reading_head", counts.reading),
            ("answering", counts.answering),
            ("idle", counts.idle),
            ("reading_body", usage.bodies),
        ];
        let help = "Client connections by state; those that read a body are answering, too";
        family(
            text,
            prefix,
            ("client_connections", "gauge", help),
            "state",
            &states,
        );
        let cut_off = [
            ("no_memory", usage.evictions),
            ("connection_replaced", counts.closed),
            ("connection_refused", counts.refused),
        ];
        let help = "Clients that a bound has cut off, by reason";
        family(
            text,
            prefix,
            ("clients_cut_off", "counter", help),
            "reason",
            &cut_off,
        );
        text.push_str(END);
    }
}

fn family<N: Display>(
    text: &mut String,
    prefix: &str,
    (name, kind, help): (&str, &str, &str),
    label: &str,
    rows: &[(&str, N)],
) {
    let total = if kind == "counter" { "_total" } else { "" };
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "# HELP {prefix}_{name} {help}.\n# TYPE {prefix}_{name} {kind}"
    );
    for (value, number) in rows {
        let _ = writeln!(
            text,
            "{prefix}_{name}{total}{{{label}=\"{value}\"}} {number}"
        );
    }
}
