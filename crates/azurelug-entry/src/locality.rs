//! Polls the cache events of the own zone's generate engines and tells the router which engines hold
//! which prompt prefixes.
//!
//! Owns nothing but the polls, which it paces by the bytes that they cost. An answer that is missing
//! or malformed changes nothing; the router trusts old entries less and less.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use azurelug_core::routing::{CacheChange, CacheEvent};
use azurelug_http::client::Call;
use azurelug_types::config::{Role, StageKind};
use azurelug_types::id::TargetKey;
use serde::Deserialize;
use tokio::time::sleep;

use crate::gateway::Gateway;

/// The heads of a poll and of its answer, in bytes (estimated).
const HEADS: usize = 250;

/// The longest answer, in bytes: about as many events as engines keep.
const ANSWER_LIMIT: usize = 512 * 1024;

/// A poll without an answer for this long is given up.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause while there is no engine to poll.
const IDLE: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct Answer {
    started_at_ms: u64,
    events: Vec<Event>,
}

#[derive(Deserialize)]
struct Event {
    /// From 1.
    seq: u64,
    prefix_hash: u64,
    kind: Kind,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Stored,
    Evicted,
}

/// Polls the engines in turn until the gateway is gone, for `bytes_per_second` on average. None are
/// polled for 0.
pub async fn run(gateway: Weak<Gateway>, bytes_per_second: u32) {
    if bytes_per_second == 0 {
        return;
    }
    loop {
        let Some(engines) = gateway.upgrade().map(|gateway| engines(&gateway)) else {
            return;
        };
        if engines.is_empty() {
            sleep(IDLE).await;
        }
        for (target, address) in engines {
            let Some(gateway) = gateway.upgrade() else {
                return;
            };
            let bytes = poll(&gateway, target, address).await;
            drop(gateway);
            let bytes = u32::try_from(HEADS + bytes).unwrap_or(u32::MAX);
            sleep(Duration::from_secs(1) * bytes / bytes_per_second).await;
        }
    }
}

/// The own zone's generate engines. Other zones' engines are used too rarely to be worth the bytes.
fn engines(gateway: &Arc<Gateway>) -> Vec<(TargetKey, SocketAddr)> {
    let Some(view) = gateway.view() else {
        return Vec::new();
    };
    let targets = view.config.targets.iter().filter(|(_, target)| {
        target.zone == gateway.zone && target.role == Role::Engine(StageKind::Generate)
    });
    gateway.with_router(|router, _| {
        targets
            .filter_map(|(name, target)| Some((router.table().key(name)?, target.address)))
            .collect()
    })
}

/// Polls one engine; returns the length of its answer.
async fn poll(gateway: &Gateway, target: TargetKey, address: SocketAddr) -> usize {
    let next = gateway.with_router(|router, _| router.cache_next(target));
    let path = format!("/v1/cache_events?after={next}");
    let call = Call::get(address, path, POLL_TIMEOUT);
    let body = match gateway.pooled.send_whole(call, ANSWER_LIMIT).await {
        Ok((200, body)) => body,
        Ok((status, _)) => {
            log::debug!("entry: cache events of {address}: status {status}");
            return 0;
        }
        Err(error) => {
            log::debug!("entry: cache events: {error}");
            return 0;
        }
    };
    match serde_json::from_slice::<Answer>(&body) {
        Ok(answer) => take(gateway, target, address, &answer),
        Err(error) => log::debug!("entry: cache events of {address}: {error}"),
    }
    body.len()
}

fn take(gateway: &Gateway, target: TargetKey, address: SocketAddr, answer: &Answer) {
    let start_stamp = answer.started_at_ms;
    let event = |event: &Event| {
        let blocks = vec![event.prefix_hash];
        Some(CacheEvent {
            start_stamp,
            sequence: event.seq.checked_sub(1)?,
            change: match event.kind {
                Kind::Stored => CacheChange::Stored(blocks),
                Kind::Evicted => CacheChange::Removed(blocks),
            },
        })
    };
    let events: Vec<CacheEvent> = answer.events.iter().filter_map(event).collect();
    gateway.with_router(|router, now| {
        // The key may have a new owner since the poll was sent.
        let owner = router.table().target(target).map(|entry| entry.address);
        if owner == Some(address) {
            router.cache_answer(target, start_stamp, &events, now);
        }
    });
}
