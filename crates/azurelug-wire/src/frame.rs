//! The messages between azurelug processes.

use azurelug_coordination::{once, share};
use azurelug_types::fleet::{Booking, Inventory, Pieces, PiecesEnd, Poll, Polled};
use azurelug_types::id::{DaemonName, Version, ZoneName};
use serde::{Deserialize, Serialize};

/// The protocol's version. Peers with another one are refused in the handshake.
pub const PROTOCOL: u32 = 2;

/// The most bytes of a configuration in one frame.
pub const PART_LIMIT: usize = 256 * 1024;

/// The longest encoded configuration that is accepted: 50,000 accounts take about 5 MiB.
pub const CONFIGURATION_LIMIT: u64 = 64 * 1024 * 1024;

/// Identifies the sender of a connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The protocol's version.
    pub protocol: u32,
    /// The cluster's id, from the settings.
    pub cluster: String,
    /// The sender.
    pub sender: DaemonName,
    /// The sender's incarnation: a random number for each start of an entry daemon.
    pub incarnation: u64,
    /// The sender's availability zone.
    pub zone: ZoneName,
    /// A random number that the acceptor has to use in its own proof.
    pub nonce: [u8; 16],
    /// HMAC-SHA-256 under the shared key over the fields above and the acceptor's challenge.
    pub mac: [u8; 32],
}

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Acceptor to initiator: a random number to prove knowledge of the key with.
    Challenge {
        /// The random number.
        nonce: [u8; 16],
    },
    /// Initiator to acceptor: identity and proof.
    Hello(Hello),
    /// Acceptor to initiator: the acceptor's proof over the initiator's nonce.
    Welcome {
        /// The acceptor.
        sender: DaemonName,
        /// HMAC-SHA-256 under the shared key over the sender and the initiator's nonce.
        mac: [u8; 32],
    },
    /// The request can't be served.
    Refused {
        /// Why, and what to do.
        message: String,
    },
    /// Done, with no further result.
    Done,
    /// Renews the configuration lease and acknowledges a version.
    Renew {
        /// The version in force at the daemon.
        version: Version,
        /// Requests in flight, for the operators' status.
        in_flight: u32,
        /// Rises with each renewal of the daemon's start, over all connections.
        sequence: u64,
        /// Number of the latest `Renewed` that arrived on this connection, or 0. It proves that
        /// messages pass both ways.
        heard: u64,
    },
    /// The answer to `Renew`.
    Renewed {
        /// The newest committed version.
        latest_version: Version,
        /// How long ago that was known to be the newest, in milliseconds.
        freshness_age_ms: u64,
        /// Rises with each answer of this control daemon's start.
        number: u64,
        /// Whether the lease was renewed. It was not if the daemon has proved no round trip lately.
        leased: bool,
    },
    /// Asks for every version after this one, as a stream of `Configuration` frames.
    Watch {
        /// The version that the daemon has.
        after_version: Version,
    },
    /// A part of a complete configuration. The parts of one configuration follow each other.
    ConfigurationPart {
        /// Bytes of the whole encoded configuration.
        total: u64,
        /// The next bytes, at most [`PART_LIMIT`].
        bytes: Vec<u8>,
    },
    /// The changes that make one version out of the one before, encoded by the core.
    ConfigurationStep {
        /// The encoded step.
        step: Vec<u8>,
    },
    /// A command for the at-most-once records. The receiver sets its clock reading.
    Once(once::Command),
    /// The outcome of `Once`.
    OnceOutcome(once::Outcome),
    /// Renews the shares of targets' limits.
    Share(share::Request),
    /// The answer to `Share`.
    ShareAnswer(share::Answer),
    /// A message of the replicated log, encoded by its own module.
    Raft {
        /// The encoded message.
        message: Vec<u8>,
    },
    /// Asks the leader whether it is still the leader, or a gateway whether it answers.
    Probe,
    /// The leader's answer to `Probe`.
    ProbeAnswer {
        /// The index that was committed when the probe arrived.
        committed: u64,
    },
    /// Passes a command for the replicated log to the leader, encoded by its own module.
    Forward {
        /// The encoded command.
        command: Vec<u8>,
    },
    /// The encoded outcome of a forwarded command.
    Forwarded {
        /// The encoded outcome.
        outcome: Vec<u8>,
    },
    /// A gateway asks a control daemon for the orders in force and the fleet.
    Poll(Poll),
    /// The answer to `Poll`.
    Polled(Polled),
    /// Asks for the deployment document in force, as a stream of `ConfigurationPart` frames.
    FetchDocument,
    /// A control daemon tells another which gateways poll it.
    Gateways(Vec<azurelug_types::fleet::Peer>),
    /// Asks a gateway to have pieces of a stage run.
    Pieces(Pieces),
    /// The first answer to `Pieces`, sent at once: the order is being dealt with.
    PiecesTaken,
    /// The second answer to `Pieces`.
    PiecesEnd(PiecesEnd),
    /// Asks a gateway to keep time for pieces of a later stage.
    Book(Booking),
    /// The answer to `Book`.
    Booked {
        /// When a new request is likely to be served, in milliseconds, if there is no time.
        refused_ms: Option<u64>,
        /// The wait that an order has to expect at present, in milliseconds.
        delay_ms: u64,
    },
    /// Takes bookings of a request back, because it needs them no longer.
    Unbook {
        /// The id of the client's request.
        request: String,
    },
    /// Results that are no longer needed, by their handles.
    Release {
        /// The handles.
        handles: Vec<String>,
    },
    /// A control daemon tells another the platform's list of targets, which it has just read.
    Inventory(Inventory),
}
