//! Polls the cache events of the generate engines in the daemon's zone, from which the router
//! learns which engines hold which prompt prefixes.
//!
//! Owns only the polls, and limits their bandwidth. A missing or malformed answer changes nothing;
//! the router gives older entries less weight.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use azurelug_core::routing::{CacheChange, CacheEvent};
use azurelug_http::client::Call;
use azurelug_types::config::{Role, StageKind};
use azurelug_types::id::TargetKey;
use serde::Deserialize;
use tokio::time::sleep;

use crate::entry_state::EntryState;

/// Estimated size of the HTTP heads of a poll and its answer, in bytes.
const HTTP_HEAD_BYTES: usize = 250;

/// Size limit of an answer, in bytes: about the number of events that an engine keeps.
const MAX_ANSWER_BYTES: usize = 512 * 1024;

/// Timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay while there is no engine to poll.
const IDLE_DELAY: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct Answer {
    started_at_ms: u64,
    events: Vec<Event>,
}

#[derive(Deserialize)]
struct Event {
    /// Sequence number, counted from 1.
    seq: u64,
    prefix_hash: u64,
    kind: EventKind,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum EventKind {
    Stored,
    Evicted,
}

/// Polls the engines in rotation until the entry state is dropped, using `bytes_per_second` on average;
/// 0 disables polling.
pub async fn run(entry_state: Weak<EntryState>, bytes_per_second: u32) {
    if bytes_per_second == 0 {
        return;
    }
    loop {
        let Some(engines) = entry_state
            .upgrade()
            .map(|entry_state| engines(&entry_state))
        else {
            return;
        };
        if engines.is_empty() {
            sleep(IDLE_DELAY).await;
        }
        for (target, address) in engines {
            let Some(entry_state) = entry_state.upgrade() else {
                return;
            };
            let bytes = poll(&entry_state, target, address).await;
            drop(entry_state);
            let bytes = u32::try_from(HTTP_HEAD_BYTES + bytes).unwrap_or(u32::MAX);
            sleep(Duration::from_secs(1) * bytes / bytes_per_second).await;
        }
    }
}

/// The generate engines in the daemon's zone. Engines in other zones are used too rarely to justify
/// the traffic.
fn engines(entry_state: &Arc<EntryState>) -> Vec<(TargetKey, SocketAddr)> {
    let Some(view) = entry_state.view() else {
        return Vec::new();
    };
    let targets = view.config.targets.iter().filter(|(_, target)| {
        target.zone == entry_state.zone && target.role == Role::Engine(StageKind::Generate)
    });
    entry_state.with_router(|router, _| {
        targets
            .filter_map(|(name, target)| Some((router.table().key(name)?, target.address)))
            .collect()
    })
}

/// Polls one engine; returns the size of the answer's body in bytes.
async fn poll(entry_state: &EntryState, target: TargetKey, address: SocketAddr) -> usize {
    let next = entry_state.with_router(|router, _| router.next_cache_sequence(target));
    let path = format!("/v1/cache_events?after={next}");
    let call = Call::get(address, path, POLL_TIMEOUT);
    let body = match entry_state.pooled.send_whole(call, MAX_ANSWER_BYTES).await {
        Ok((200, body)) => body,
        Ok((status, _)) => {
            log::debug!("entry: polling cache events of {address} failed with status {status}");
            return 0;
        }
        Err(error) => {
            log::debug!("entry: polling cache events failed: {error}");
            return 0;
        }
    };
    match serde_json::from_slice::<Answer>(&body) {
        Ok(answer) => apply_events(entry_state, target, address, &answer),
        Err(error) => log::debug!("entry: malformed cache events of {address}: {error}"),
    }
    body.len()
}

fn apply_events(entry_state: &EntryState, target: TargetKey, address: SocketAddr, answer: &Answer) {
    let start_stamp = answer.started_at_ms;
    let event = |event: &Event| {
        let blocks = vec![event.prefix_hash];
        Some(CacheEvent {
            start_stamp,
            sequence: event.seq.checked_sub(1)?,
            change: match event.kind {
                EventKind::Stored => CacheChange::Stored(blocks),
                EventKind::Evicted => CacheChange::Removed(blocks),
            },
        })
    };
    let events: Vec<CacheEvent> = answer.events.iter().filter_map(event).collect();
    entry_state.with_router(|router, now| {
        // The key may have been reassigned to another target since the poll was sent.
        let owner = router.table().target(target).map(|entry| entry.address);
        if owner == Some(address) {
            router.apply_cache_poll(target, start_stamp, &events, now);
        }
    });
}
