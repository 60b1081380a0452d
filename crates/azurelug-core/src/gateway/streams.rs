//! Records of the versions at which streams began.
//!
//! Load pattern: targets of two versions serve side by side, gateways are killed in the middle of
//! streams, one or all of them at once, and clients take their streams up at other gateways.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use azurelug_types::fleet::StreamGroup;
use azurelug_types::id::ServiceName;

use super::rendezvous;

/// Time for which records are kept, from the last try that continued the stream. A client takes a
/// stream up within its own time limit, which is of the order of the route's.
pub const RETENTION: Duration = Duration::from_secs(120);

/// Most records; the oldest ones are dropped first. Two minutes of 800 streams a second.
const MAX_RECORDS: usize = 100_000;

/// Hash of a stream, which is named by the client's attempt that brought its first event.
#[must_use]
pub fn key(attempt: &str) -> u64 {
    rendezvous::weight("stream", attempt)
}

/// Where streams began.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Origin {
    /// The service.
    pub service: ServiceName,
    /// The software version of the target.
    pub version: String,
}

#[derive(Clone, Debug)]
struct Record {
    origin: Arc<Origin>,
    at: Duration,
}

/// The records. All times are by one clock.
#[derive(Debug, Default)]
pub struct Book {
    records: HashMap<u64, Record>,
    /// Times and keys of the records, oldest first; an entry whose record is newer is void.
    order: VecDeque<(Duration, u64)>,
    /// The origins in use.
    origins: HashSet<Arc<Origin>>,
}

impl Book {
    /// Records that a stream began, or went on, at a version.
    pub fn record(&mut self, stream: u64, origin: Origin, now: Duration) -> Arc<Origin> {
        self.prune(now);
        let origin = match self.origins.get(&origin) {
            Some(known) => Arc::clone(known),
            None => {
                self.origins.retain(|it| Arc::strong_count(it) > 1);
                let origin = Arc::new(origin);
                self.origins.insert(Arc::clone(&origin));
                origin
            }
        };
        let record = Record {
            origin: Arc::clone(&origin),
            at: now,
        };
        self.records.insert(stream, record);
        self.order.push_back((now, stream));
        origin
    }

    /// Returns the version of a service at which a stream began.
    #[must_use]
    pub fn find(&self, service: &ServiceName, stream: u64) -> Option<&str> {
        let record = self.records.get(&stream)?;
        let origin = &record.origin;
        (origin.service == *service).then_some(origin.version.as_str())
    }

    /// Returns the streams of a service.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = (u64, Arc<Origin>)> {
        let records = self.records.iter();
        let own = records.filter(move |(_, record)| record.origin.service == *service);
        own.map(|(stream, record)| (*stream, Arc::clone(&record.origin)))
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn prune(&mut self, now: Duration) {
        while let Some((at, stream)) = self.order.front().copied() {
            let is_current = self.records.get(&stream).is_some_and(|it| it.at == at);
            let is_due = at + RETENTION <= now || self.records.len() >= MAX_RECORDS;
            if is_current && !is_due {
                return;
            }
            self.order.pop_front();
            if is_current {
                self.records.remove(&stream);
            }
        }
    }
}

/// Groups records by their origin, for a message.
#[must_use]
pub fn group(records: impl IntoIterator<Item = (u64, Arc<Origin>)>) -> Vec<StreamGroup> {
    let mut groups: HashMap<Arc<Origin>, Vec<u64>> = HashMap::new();
    for (stream, origin) in records {
        groups.entry(origin).or_default().push(stream);
    }
    let groups = groups.into_iter().map(|(origin, streams)| StreamGroup {
        service: origin.service.clone(),
        version: origin.version.clone(),
        streams,
    });
    groups.collect()
}
