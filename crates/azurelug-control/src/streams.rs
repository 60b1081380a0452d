//! Records of the versions at which streams began, as gateways report them. They are kept in memory by
//! all control daemons and not in the log: a stream without a record starts anew.

use std::time::Duration;

use azurelug_core::gateway::streams::{Book, Origin};
use azurelug_types::fleet::{StreamGroup, StreamOrigin, StreamQuery};
use azurelug_wire::Frame;
use futures_util::future::join_all;

use crate::gateways::Gateways;

/// Longest wait for the confirmation that the registered versions are the newest: two freshness probes.
const FRESH_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a question to another control daemon: a few round trips between zones.
const RELAY_TIMEOUT: Duration = Duration::from_millis(150);

impl Gateways {
    /// Records at which versions streams have begun. A report of a gateway goes to the other control
    /// daemons, so that it outlives this one.
    pub fn receive_streams(&self, groups: &[StreamGroup], is_from_gateway: bool) {
        let now = self.now();
        self.with_streams(|book| record(book, groups, now));
        if is_from_gateway {
            for slot in self.other_slots() {
                let frame = Frame::StreamsReported(groups.to_vec());
                self.peers().send(slot, frame);
            }
        }
    }

    /// Returns the version at which a stream began, as far as it is certain.
    pub async fn find_stream(&self, query: StreamQuery) -> StreamOrigin {
        if let Some(version) = self.recorded(&query) {
            return StreamOrigin::Recorded(version);
        }
        if query.is_relayed {
            return StreamOrigin::Unrecorded;
        }
        let replica = self.replica();
        if replica.orders().versions().count(&query.service) < 2 {
            if !replica.wait_fresh(FRESH_TIMEOUT).await {
                return StreamOrigin::NotCurrent;
            }
            if let Some(only) = replica.orders().versions().only(&query.service) {
                return StreamOrigin::Only(only.to_owned());
            }
        }
        self.ask_others(query).await
    }

    fn recorded(&self, query: &StreamQuery) -> Option<String> {
        let stream = query.stream?;
        self.with_streams(|book| book.find(&query.service, stream).map(str::to_owned))
    }

    /// Asks the other control daemons, which may have records from before the start of this one.
    async fn ask_others(&self, query: StreamQuery) -> StreamOrigin {
        if query.stream.is_none() {
            return StreamOrigin::Unrecorded;
        }
        let question = Frame::FindStream(StreamQuery {
            is_relayed: true,
            ..query
        });
        let slots = self.other_slots().into_iter();
        let calls = slots.map(|slot| self.peers().call(slot, question.clone(), RELAY_TIMEOUT));
        let answers = join_all(calls).await.into_iter().flatten();
        let mut recorded = answers.filter_map(|answer| match answer {
            Frame::StreamFound(StreamOrigin::Recorded(version)) => Some(version),
            _ => None,
        });
        recorded
            .next()
            .map_or(StreamOrigin::Unrecorded, StreamOrigin::Recorded)
    }
}

fn record(book: &mut Book, groups: &[StreamGroup], now: Duration) {
    for group in groups {
        for stream in &group.streams {
            let origin = Origin {
                service: group.service.clone(),
                version: group.version.clone(),
            };
            book.record(*stream, origin, now);
        }
    }
}
