//! Messages about the fleet between gateways and control daemons, and about work that gateways
//! delegate to each other. All times are relative, because clocks of different VMs can't be
//! compared.

use std::net::SocketAddr;
use std::time::Duration;

use crate::deployment::Target;
use crate::id::{DaemonName, ServiceName, TargetName, ZoneName};
use crate::rate::Rate;
use crate::rollout::{Policy, Report};
use crate::{data, key};

key! {
    /// What requests to one service have in common: a part of their prompts, or the whole request
    /// when clients repeat it.
    pub struct PartKey {
        /// Hash of the service's name.
        pub service: u64,
        /// Hash of the part's id, or digest of the request. The highest bit is set for requests.
        pub id: u64,
    }
}

/// The bit of [`PartKey::id`] that is set for whole requests.
const REQUEST_BIT: u64 = 1 << 63;

impl PartKey {
    /// The key of a prompt part. `hash` is the hash of its id.
    #[must_use]
    pub fn part(service: u64, hash: u64) -> Self {
        Self {
            service,
            id: hash & !REQUEST_BIT,
        }
    }

    /// The key of a whole request. `digest` covers all that a repeat has in common with it: path,
    /// caller and body.
    #[must_use]
    pub fn request(service: u64, digest: u64) -> Self {
        Self {
            service,
            id: digest | REQUEST_BIT,
        }
    }

    /// Whether this is the key of a whole request.
    #[must_use]
    pub fn is_request(&self) -> bool {
        self.id & REQUEST_BIT != 0
    }
}

data! {
    /// A gateway.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct Peer {
        /// Its name, unique in the cluster.
        pub name: DaemonName,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Address for connections from other gateways.
        pub address: SocketAddr,
        /// What its VM can do, in hundredths of a usual VM.
        pub capacity: u16,
    }

    /// A gateway's request for changes, sent to a control daemon several times a second.
    pub struct Poll {
        /// The gateway that sends the request.
        pub peer: Peer,
        /// Digest of the gateway's list of targets; 0 if it has none.
        pub targets: u64,
        /// Digest of the gateway's list of gateways; 0 if it has none.
        pub peers: u64,
        /// Digest of the targets' limits that it received last; 0 if it has none.
        pub limits: u64,
        /// Limits that differ from those.
        pub observed_limits: Vec<TargetLimit>,
        /// Revision of the suspected parts that it received last on this connection; 0 for none.
        pub suspects_revision: u64,
        /// Suspected parts that have changed at the gateway since its last poll on this connection.
        pub suspects: Vec<SuspectPart>,
        /// Whether the gateway stops now and is to be removed from the list.
        pub is_leaving: bool,
        /// Random number of the gateway's process.
        pub incarnation: u64,
        /// Number of this poll, which increases while the process runs.
        pub number: u64,
        /// Sequence number of the operator orders from which the gateway has its policies for
        /// versions; none if it has none.
        pub policies: Option<u64>,
        /// What the gateway has seen of the roll-outs in progress.
        pub rollouts: Vec<Report>,
        /// Outcomes of requests that the gateway has seen since its last poll.
        pub speeds: Vec<TargetSpeed>,
        /// Sequence number of the operator orders from which the gateway has the versions of
        /// services; none if it has none.
        pub versions: Option<u64>,
    }

    /// The control daemon's answer to [`Poll`].
    pub struct Polled {
        /// How long ago the state below was confirmed to be the newest, in milliseconds.
        pub age_ms: u64,
        /// Sequence number of the last accepted operator order.
        pub sequence: u64,
        /// Version of the deployment configuration; none if there is no configuration yet.
        pub version: Option<u64>,
        /// Zones that operators have drained.
        pub drained: Vec<ZoneName>,
        /// How long ago the platform's list of targets was read, in milliseconds; none if never.
        pub targets_age_ms: Option<u64>,
        /// The targets, if the list differs from the gateway's.
        pub targets: Option<List<Target>>,
        /// The gateways, if the list differs from the gateway's.
        pub peers: Option<List<Peer>>,
        /// The targets' limits, if the list differs from the gateway's.
        pub limits: Option<List<TargetLimit>>,
        /// Revision of the suspected parts at the control daemon.
        pub suspects_revision: u64,
        /// Suspected parts that have changed since the gateway's revision.
        pub suspects: Vec<SuspectPart>,
        /// Internal addresses of the control daemons.
        pub controls: Vec<SocketAddr>,
        /// How long this control daemon has received polls, in milliseconds. Until that is longer
        /// than the time after which silent gateways are removed, gateways may be missing in
        /// `peers`.
        pub known_for_ms: u64,
        /// Which versions of services may get requests, if the gateway's policies may be older.
        pub policies: Option<Vec<Policy>>,
        /// Outcomes of requests that all gateways have seen.
        pub speeds: Vec<TargetSpeed>,
        /// The versions of services at which streams may begin, if the gateway's may be older.
        pub versions: Option<Vec<ServiceVersions>>,
    }

    /// The software versions of a service at which streams may begin.
    #[derive(Eq)]
    pub struct ServiceVersions {
        /// The service.
        pub service: ServiceName,
        /// Its versions.
        pub versions: Vec<String>,
    }

    /// Streams that began at one version of a service.
    #[derive(Eq)]
    pub struct StreamGroup {
        /// The service.
        pub service: ServiceName,
        /// The software version of their targets.
        pub version: String,
        /// Hashes of the ids of the clients' attempts that brought their first events.
        pub streams: Vec<u64>,
    }

    /// Asks a control daemon for the version at which a stream began.
    #[derive(Eq)]
    pub struct StreamQuery {
        /// The service.
        pub service: ServiceName,
        /// As in [`StreamGroup::streams`]; none if the client names no attempt.
        pub stream: Option<u64>,
        /// Whether a control daemon asks, which has no record of the stream.
        pub is_relayed: bool,
    }

    /// The answer to [`StreamQuery`].
    #[derive(Eq)]
    pub enum StreamOrigin {
        /// A gateway has reported the version.
        Recorded(String),
        /// Streams of the service can have begun at this version only.
        Only(String),
        /// Streams have begun at several versions, and there is no record of this one.
        Unrecorded,
        /// The versions that are known here may not be all.
        NotCurrent,
    }

    /// A target's limit for the requests from all gateways together.
    pub struct TargetLimit {
        /// The target.
        pub target: TargetName,
        /// The limit that the target named last.
        pub rate: Rate,
        /// Whether it has named no limit since then.
        pub is_ended: bool,
        /// How long ago the target said so, in milliseconds.
        pub age_ms: u64,
    }

    /// Outcomes of requests at one target, relative to the usual time of their service.
    pub struct TargetSpeed {
        /// The target.
        pub target: TargetName,
        /// Hash of its address, which differs after a restart on another VM.
        pub address: u64,
        /// Number of outcomes, with decay.
        pub outcomes: f32,
        /// Mean of the logarithms of observed to usual times.
        pub mean_log: f32,
        /// Sum of the squared deviations of outcomes from the mean of earlier ones, with decay.
        pub squares: f32,
        /// Number of these deviations, with decay.
        pub deviations: f32,
        /// Age of the newest outcome in milliseconds.
        pub age_ms: u64,
        /// Time that its request waited beyond the expected time, in milliseconds.
        pub delay_ms: u32,
    }

    /// A gateway's request for permits to send requests to a target that has a limit.
    pub struct PermitRequest {
        /// What the asking gateway knows of the limit.
        pub limit: TargetLimit,
        /// The target's availability zone.
        pub zone: ZoneName,
        /// Most permits that it can use at once.
        pub wanted: u32,
    }

    /// The answer to [`PermitRequest`].
    pub struct Grant {
        /// What the granting gateway knows of the limit.
        pub limit: TargetLimit,
        /// Number of permits.
        pub granted: u32,
        /// Time until there is a permit if none was granted, in milliseconds.
        pub retry_after_ms: u64,
    }

    /// What is known of a prompt part, or of a whole request, that was pending at targets that
    /// crashed.
    #[derive(Eq)]
    pub struct SuspectPart {
        /// The part or the request.
        pub part: PartKey,
        /// The crashes since the last progress.
        pub crashes: Vec<TargetCrash>,
        /// How long ago probes were sent since the last progress, in milliseconds.
        pub probe_ages_ms: Vec<u64>,
        /// How long ago an answer to a request with the part went on after its start, in
        /// milliseconds; none if that is not known.
        pub progress_age_ms: Option<u64>,
    }

    /// The crash of a target at which a request was pending.
    #[derive(Eq)]
    pub struct TargetCrash {
        /// Hash of the target's name.
        pub target: u64,
        /// How long ago it crashed, in milliseconds.
        pub age_ms: u64,
    }

    /// The platform's list of targets, read by one control daemon and shared with the others.
    pub struct Inventory {
        /// The targets.
        pub targets: List<Target>,
        /// How long ago the list was read, in milliseconds.
        pub age_ms: u64,
    }

    /// A list with a digest to detect changes.
    pub struct List<T> {
        /// Digest of the entries; never 0.
        pub digest: u64,
        /// The entries.
        pub entries: Vec<T>,
    }

    /// An order to run pieces of one stage of one request, sent to the gateway that dispatches the
    /// service's calls.
    pub struct Pieces {
        /// The service whose targets run them.
        pub service: ServiceName,
        /// The zone whose targets may run them; none for all targets of the service.
        pub scope: Option<ZoneName>,
        /// Preferred zone: the one that stores the pieces' inputs, or the one in which the results
        /// are likely to be needed.
        pub home: ZoneName,
        /// Bytes that are transferred between zones if the pieces run outside the preferred zone.
        pub crossing_bytes: u64,
        /// The id of the client's request.
        pub request: String,
        /// The stage's index in the route.
        pub stage: u8,
        /// Identifies route and stage. Pieces of the same kind take about the same time.
        pub kind: u64,
        /// Indices of the pieces in the stage.
        pub pieces: Vec<u16>,
        /// Input of the pieces.
        pub source: Source,
        /// Size of one result in bytes.
        pub result_bytes: u64,
        /// Priority; 0 is the most urgent.
        pub rank: u16,
        /// Quantile of the request's value per work among requests of its route, from 0 to 1.
        pub worth: f64,
        /// Time until the results are needed for the route's latency objective, in milliseconds.
        /// Negative if that time has passed.
        pub due_ms: i64,
        /// Time until the client's deadline, in milliseconds.
        pub deadline_ms: u64,
        /// Hash of the client account's name; 0 for none.
        pub account: u64,
        /// Digest by which a repeat of the request is recognized; 0 if it was not computed.
        pub digest: u64,
    }

    /// Reserves a dispatcher's capacity for pieces of a later stage of a request.
    pub struct Booking {
        /// The service whose targets will run the pieces.
        pub service: ServiceName,
        /// As in [`Pieces::scope`].
        pub scope: Option<ZoneName>,
        /// The id of the client's request.
        pub request: String,
        /// The stage's index in the route.
        pub stage: u8,
        /// As in [`Pieces::kind`].
        pub kind: u64,
        /// Number of pieces.
        pub pieces: u16,
        /// Priority; 0 is the most urgent.
        pub rank: u16,
        /// Quantile of the request's value per work among requests of its route, from 0 to 1.
        pub worth: f64,
        /// Time until the results are needed, in milliseconds.
        pub due_ms: u64,
        /// Time until the client's deadline, in milliseconds.
        pub deadline_ms: u64,
        /// Hash of the client account's name; 0 for none.
        pub account: u64,
        /// Digest by which a repeat of the request is recognized; 0 if it was not computed.
        pub digest: u64,
    }

    /// Input of pieces.
    pub enum Source {
        /// Key that the client chose for its input, for a stage without predecessors.
        Key(String),
        /// Handles of results of earlier stages.
        Results(Vec<String>),
    }

    /// The outcome of a [`Pieces`] order.
    pub struct PiecesEnd {
        /// Handles of the results in the order of the pieces, or the reason why there are none.
        pub result: Result<Vec<String>, PiecesError>,
        /// Expected queueing delay of the next order at this dispatcher, in milliseconds.
        pub delay_ms: u64,
    }

    /// Why pieces have no results.
    #[derive(Eq)]
    pub enum PiecesError {
        /// They can't be completed before the deadline.
        Late {
            /// When a new request is likely to be accepted, in milliseconds from now.
            retry_after_ms: u64,
        },
        /// An earlier stage's result no longer exists.
        ResultsGone,
        /// The targets failed.
        Failed,
        /// No target is available.
        NoTarget,
    }
}

/// One piece of a call to a target.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkItem {
    /// The id of the client's request.
    pub request: String,
    /// The stage's index in the route.
    pub stage: u8,
    /// The piece's index in the stage.
    pub piece: u16,
    /// Input of the piece.
    pub source: Source,
    /// Time until the client's deadline.
    pub time_left: Duration,
    /// Whether the call contains all pieces of their order, so that no other call needs the inputs.
    pub is_whole_order: bool,
}

/// The outcome of one piece of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemOutcome {
    /// The piece was run; handle of its result.
    Done(String),
    /// The client's deadline had passed when the target was ready to run the call.
    Late,
    /// An earlier stage's result no longer exists.
    InputMissing,
    /// The target has no memory left for the result.
    ResultMemoryFull,
    /// The target failed on this piece.
    Failed,
}
