//! The messages between azurelug processes.

use azurelug_coordination::{once, share};
use azurelug_types::fleet::{
    Booking, Grant, Inventory, PartKey, PermitRequest, Pieces, PiecesEnd, Poll, Polled,
    StreamGroup, StreamOrigin, StreamQuery, SuspectPart, TargetLimit, TargetSpeed,
};
use azurelug_types::id::{DaemonName, Version, ZoneName};
use serde::{Deserialize, Serialize};

/// The protocol version. Peers with another version are refused in the handshake.
pub const PROTOCOL: u32 = 6;

/// Maximum number of bytes of a configuration in one frame.
pub const PART_LIMIT: usize = 256 * 1024;

/// Maximum size of an encoded configuration in bytes. 50,000 accounts need about 5 MiB.
pub const CONFIGURATION_LIMIT: u64 = 64 * 1024 * 1024;

/// Identity and proof of the process that opened a connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's protocol version.
    pub protocol: u32,
    /// The id of the sender's cluster, from its settings.
    pub cluster: String,
    /// The sender's name.
    pub sender: DaemonName,
    /// The sender's incarnation: a random number for each start of an entry daemon.
    pub incarnation: u64,
    /// The sender's availability zone.
    pub zone: ZoneName,
    /// A random number that the acceptor must sign in its own proof.
    pub nonce: [u8; 16],
    /// HMAC-SHA-256 under the shared key over the fields above and the acceptor's challenge.
    pub mac: [u8; 32],
}

/// A message between two processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Acceptor to initiator: a random number that the initiator must sign with the shared key.
    Challenge {
        /// The random number.
        nonce: [u8; 16],
    },
    /// Initiator to acceptor: identity and proof.
    Hello(Hello),
    /// Acceptor to initiator: the acceptor's identity and proof.
    Welcome {
        /// The acceptor's name.
        sender: DaemonName,
        /// HMAC-SHA-256 under the shared key over the sender and the initiator's nonce.
        mac: [u8; 32],
    },
    /// The request is refused.
    Refused {
        /// The reason, and what to do.
        message: String,
    },
    /// The request was done; it has no result.
    Done,
    /// Renews the configuration lease and acknowledges a version.
    Renew {
        /// The configuration version in force at the daemon.
        version: Version,
        /// Number of requests in flight, for status reports to operators.
        in_flight: u32,
        /// Sequence number that increases with each renewal since the daemon's start, across all
        /// connections.
        sequence: u64,
        /// Number of the latest `Renewed` received on this connection, or 0. Proves that messages
        /// pass in both directions.
        heard: u64,
    },
    /// The answer to `Renew`.
    Renewed {
        /// The newest committed version.
        latest_version: Version,
        /// How long ago that version was confirmed to be the newest, in milliseconds.
        freshness_age_ms: u64,
        /// Sequence number that increases with each answer since the control daemon's start.
        number: u64,
        /// Whether the lease was renewed. It is not renewed if the daemon has not proved a recent
        /// round trip.
        leased: bool,
    },
    /// Requests all versions after a given one, as a stream of `ConfigurationPart` and
    /// `ConfigurationStep` frames.
    Watch {
        /// The version that the daemon already has.
        after_version: Version,
    },
    /// A part of a complete configuration. The parts of one configuration are sent in order.
    ConfigurationPart {
        /// Size of the whole encoded configuration in bytes.
        total: u64,
        /// The next bytes, at most [`PART_LIMIT`].
        bytes: Vec<u8>,
    },
    /// The changes from one version to the next, encoded by the core.
    ConfigurationStep {
        /// The encoded step.
        step: Vec<u8>,
    },
    /// A command for the at-most-once records. The receiver fills in the time from its own clock.
    Once(once::Command),
    /// The answer to `Once`.
    OnceOutcome(once::Outcome),
    /// Renews the sender's shares of targets' limits.
    Share(share::Request),
    /// The answer to `Share`.
    ShareAnswer(share::Answer),
    /// A message of the replicated log, encoded by the log's module.
    Raft {
        /// The encoded message.
        message: Vec<u8>,
    },
    /// Asks the leader whether it is still the leader, or checks whether a gateway is reachable.
    Probe,
    /// The leader's answer to `Probe`.
    ProbeAnswer {
        /// The commit index when the probe arrived.
        committed: u64,
    },
    /// Forwards a command for the replicated log to the leader, encoded by the command's module.
    Forward {
        /// The encoded command.
        command: Vec<u8>,
    },
    /// The answer to `Forward`.
    Forwarded {
        /// The encoded outcome.
        outcome: Vec<u8>,
    },
    /// A gateway asks a control daemon for the operator orders in force and the state of the fleet.
    Poll(Box<Poll>),
    /// The answer to `Poll`.
    Polled(Box<Polled>),
    /// Requests the deployment document in force, as a stream of `ConfigurationPart` frames.
    FetchDocument,
    /// A control daemon reports to another which gateways poll it.
    Gateways(Vec<azurelug_types::fleet::Peer>),
    /// Asks a gateway to dispatch pieces of a stage.
    Pieces(Box<Pieces>),
    /// The first answer to `Pieces`, sent at once: the order has arrived and is being processed.
    PiecesTaken,
    /// The second answer to `Pieces`, sent when the order has ended.
    PiecesEnd(PiecesEnd),
    /// Asks a gateway to reserve capacity for pieces of a later stage.
    Book(Box<Booking>),
    /// The answer to `Book`.
    Booked {
        /// Set if the booking is refused: when a new request is likely to be accepted, in
        /// milliseconds from now.
        refused_ms: Option<u64>,
        /// Expected queueing delay of a new order, in milliseconds.
        delay_ms: u64,
    },
    /// Cancels the bookings of a request that no longer needs them.
    Unbook {
        /// The id of the client's request.
        request: String,
    },
    /// Releases results that are no longer needed.
    Release {
        /// Handles of the results.
        handles: Vec<String>,
    },
    /// A control daemon sends another the platform's list of targets, which it has just read.
    Inventory(Inventory),
    /// A gateway asks another one for permits to send requests to a target that has a limit.
    TakePermits(PermitRequest),
    /// The answer to `TakePermits`.
    Permits(Grant),
    /// A control daemon sends another the limits of targets that it knows.
    Limits(Vec<TargetLimit>),
    /// A control daemon sends another suspected prompt parts.
    Suspects(Vec<SuspectPart>),
    /// A gateway asks the one that decides on probes whether it may send a request with these
    /// accused parts.
    TakeProbe(Vec<PartKey>),
    /// The answer to `TakeProbe`.
    ProbeTaken {
        /// Whether the request may be sent.
        is_granted: bool,
    },
    /// Between control daemons: a gateway that stops as planned.
    GatewayLeft(DaemonName),
    /// A control daemon sends another what gateways have seen of the roll-outs in progress.
    Rollouts(Vec<azurelug_types::rollout::GatewayReports>),
    /// A control daemon sends another the outcomes that its gateways have seen.
    Speeds(Vec<TargetSpeed>),
    /// A gateway reports at which versions streams have begun. The answer is `Done`.
    Streams(Vec<StreamGroup>),
    /// A control daemon passes such a report on to another.
    StreamsReported(Vec<StreamGroup>),
    /// Asks for the version at which a stream began.
    FindStream(StreamQuery),
    /// The answer to `FindStream`.
    StreamFound(StreamOrigin),
    /// The answer to `Forward` for a command that the leader refuses, because a snapshot could not
    /// hold the replicated state with it. It was not committed.
    StateFull {
        /// Size of the state with the command, estimated, in bytes.
        size: u64,
        /// Limit in bytes.
        limit: u64,
    },
}
