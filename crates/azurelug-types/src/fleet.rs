//! What gateways and control daemons tell each other about the fleet, and what gateways ask of each
//! other. All times are relative, because clocks of different VMs can't be compared.

use std::net::SocketAddr;
use std::time::Duration;

use crate::data;
use crate::deployment::Target;
use crate::id::{DaemonName, ServiceName, ZoneName};

data! {
    /// One gateway.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct Peer {
        /// Its name, unique in the cluster.
        pub name: DaemonName,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Where other gateways reach it.
        pub address: SocketAddr,
    }

    /// A gateway's question to a control daemon, sent several times a second.
    pub struct Poll {
        /// The gateway itself.
        pub peer: Peer,
        /// Digest of the list of targets that it has; 0 without one.
        pub targets: u64,
        /// Digest of the list of gateways that it has; 0 without one.
        pub peers: u64,
    }

    /// The control daemon's answer.
    pub struct Polled {
        /// How long ago the state below was known to be the newest, in milliseconds.
        pub age_ms: u64,
        /// Number of the operators' last accepted order.
        pub sequence: u64,
        /// Version of the deployment configuration; none before the first.
        pub version: Option<u64>,
        /// Zones that operators have drained.
        pub drained: Vec<ZoneName>,
        /// How long ago the platform's list was read; none if it never was.
        pub targets_age_ms: Option<u64>,
        /// The targets, if the list differs from the one that the gateway has.
        pub targets: Option<List<Target>>,
        /// The gateways, if the list differs from the one that the gateway has.
        pub peers: Option<List<Peer>>,
        /// Internal addresses of the control daemons.
        pub controls: Vec<SocketAddr>,
    }

    /// The platform's list as one control daemon has read it for the others.
    pub struct Inventory {
        /// The targets.
        pub targets: List<Target>,
        /// How long ago it was read, in milliseconds.
        pub age_ms: u64,
    }

    /// A list and its digest.
    pub struct List<T> {
        /// Digest of the entries; never 0.
        pub digest: u64,
        /// The entries.
        pub entries: Vec<T>,
    }

    /// Pieces of one stage of one request, for the gateway that dispatches the service's calls.
    pub struct Pieces {
        /// The service whose targets run them.
        pub service: ServiceName,
        /// Only targets of this zone are to run them; none for all targets of the service.
        pub scope: Option<ZoneName>,
        /// The zone in which the pieces are to run if it can be: the one that holds what they fetch,
        /// or where their results are likely to be needed.
        pub home: ZoneName,
        /// Bytes that cross zones if they run in another one.
        pub crossing_bytes: u64,
        /// The id of the client's request.
        pub request: String,
        /// The stage's position in the route.
        pub stage: u8,
        /// Equal for pieces of the same route and stage, which take about the same time.
        pub kind: u64,
        /// The pieces' positions in the stage.
        pub pieces: Vec<u16>,
        /// What the pieces work on.
        pub source: Source,
        /// Size of one result in bytes.
        pub result_bytes: u64,
        /// Rank; 0 is the most urgent.
        pub rank: u16,
        /// Place among requests of its route by worth for the work, from 0 to 1.
        pub worth: f64,
        /// Time until the results are needed for an answer within its objective, in milliseconds.
        /// Negative if that time has passed.
        pub due_ms: i64,
        /// Time until the client gives up, in milliseconds.
        pub deadline_ms: u64,
    }

    /// Pieces of a later stage that a request will need, for which a dispatcher is to keep time.
    pub struct Booking {
        /// The service whose targets will run them.
        pub service: ServiceName,
        /// As in [`Pieces`].
        pub scope: Option<ZoneName>,
        /// The id of the client's request.
        pub request: String,
        /// The stage's position in the route.
        pub stage: u8,
        /// As in [`Pieces`].
        pub kind: u64,
        /// How many pieces there are.
        pub pieces: u16,
        /// Rank; 0 is the most urgent.
        pub rank: u16,
        /// Place among requests of its route by worth for the work, from 0 to 1.
        pub worth: f64,
        /// Time until the results are needed, in milliseconds.
        pub due_ms: u64,
        /// Time until the client gives up, in milliseconds.
        pub deadline_ms: u64,
    }

    /// What pieces work on.
    pub enum Source {
        /// The client's key of the work, for a stage that follows no other.
        Key(String),
        /// Handles of the earlier stages' results.
        Results(Vec<String>),
    }

    /// The end of a [`Pieces`] order.
    pub struct PiecesEnd {
        /// Handles of the results in the order of the pieces, or why there are none.
        pub result: Result<Vec<String>, PiecesError>,
        /// The wait that the next order has to expect at this dispatcher, in milliseconds.
        pub delay_ms: u64,
    }

    /// Why pieces have no results.
    #[derive(Eq)]
    pub enum PiecesError {
        /// They can't be done before the deadline.
        Late {
            /// When a new request is likely to be served, in milliseconds from now.
            retry_after_ms: u64,
        },
        /// An earlier stage's result no longer exists.
        ResultsGone,
        /// The targets failed.
        Failed,
        /// There is no target.
        NoTarget,
    }
}

/// One piece of a call to a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// The id of the client's request.
    pub request: String,
    /// The stage's position in the route.
    pub stage: u8,
    /// The piece's position in the stage.
    pub piece: u16,
    /// What the piece works on.
    pub source: Source,
    /// Time until the client gives up.
    pub left: Duration,
    /// Whether the call holds all pieces of their order, so that nothing else needs their inputs.
    pub is_whole_order: bool,
}

/// How one piece of a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemEnd {
    /// The result's handle.
    Done(String),
    /// The client's deadline had passed when the call's turn came.
    Late,
    /// An earlier stage's result no longer exists.
    InputGone,
    /// The target has no room for the result.
    NoRoom,
    /// The target failed on this piece.
    Failed,
}
