//! Messages about roll-outs between gateways and control daemons.

use crate::id::{DaemonName, ServiceName};
use crate::{data, key};

key! {
    /// How far a roll-out has come.
    pub enum Step {
        /// A small part of the exposure bound is used, until the first answers have arrived.
        Probe,
        /// The exposure bound is used.
        Canary,
        /// Half of the requests go to the new version; the others serve as a control group.
        Half,
        /// All requests go to the new version; the old targets finish theirs.
        Full,
        /// The service runs the new version; the old targets are stopped.
        Completed,
        /// The service runs the old version; the new targets get nothing.
        RolledBack,
    }
}

impl Step {
    /// Whether the roll-out has ended.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// Returns the name for log lines and the state dump.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Probe => "probe",
            Self::Canary => "canary",
            Self::Half => "half",
            Self::Full => "full",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }
}

data! {
    /// Which versions of a service may get requests.
    #[derive(Eq)]
    pub struct Policy {
        /// The service.
        pub service: ServiceName,
        /// The versions in force.
        pub allowed: Vec<String>,
        /// Versions that were replaced or rolled back and get nothing.
        pub rejected: Vec<String>,
        /// The roll-out in progress.
        pub running: Option<Running>,
    }

    /// A roll-out in progress.
    #[derive(Eq)]
    pub struct Running {
        /// Its number, which is unique in the cluster.
        pub number: u64,
        /// The new version.
        pub target: String,
        /// Its step.
        pub step: Step,
    }

    /// What one gateway has seen of a roll-out. All counts are cumulative since the gateway learned
    /// of it, so that a newer report replaces an older one.
    pub struct Report {
        /// The service.
        pub service: ServiceName,
        /// The roll-out's number.
        pub number: u64,
        /// The step that the gateway follows.
        pub step: Step,
        /// Requests and calls that are pending at the old version, and results there that are still
        /// needed.
        pub pending_old: u64,
        /// Sends to the new version.
        pub new_sends: u64,
        /// Requests that reached the service through this gateway.
        pub requests: u64,
        /// Outcomes of the answers.
        pub rows: Vec<Row>,
    }

    /// Outcomes of the answers of one version to requests of one kind.
    pub struct Row {
        /// Step of the roll-out in which they arrived.
        pub step: Step,
        /// Whether the new version gave them.
        pub is_new: bool,
        /// Hash of the route and the kind of request.
        pub subject: u64,
        /// Group of the target that gave them, by the hash of its name.
        pub group: u8,
        /// Number of outcomes.
        pub answers: u64,
        /// Those that are failures.
        pub failures: u64,
        /// Number of answers in each class of response times, without empty classes at the end.
        pub times: Vec<u32>,
    }

    /// The reports of one gateway, sent from one control daemon to another.
    pub struct GatewayReports {
        /// The gateway.
        pub gateway: DaemonName,
        /// Random number of the gateway's process.
        pub incarnation: u64,
        /// Number of the poll that carried the reports.
        pub poll: u64,
        /// How long ago they arrived, in milliseconds.
        pub age_ms: u64,
        /// One report for each roll-out in progress.
        pub reports: Vec<Report>,
    }
}
