//! Crashes of targets, which start again after a while.

use std::sync::Arc;
use std::time::Duration;

use azurelug_gateway::body::{Body, BodyInterrupted};
use azurelug_testkit::crash::Cause;
use azurelug_testkit::proxy::Proxy;
use bytes::Bytes;
use http::Response;
use rand::RngExt;
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use super::manner::Run;
use super::versions::version;
use super::{Behaviour, Target, TargetPool, proxy_settings};

/// Time that bytes need to the gateway before the target ends.
const WRITE_TIME: Duration = Duration::from_millis(10);

/// Range of the time for which a crashed target is down, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 2000..3000;

/// Crashed targets out of ten that start again under their name.
const KEPT_NAMES: u32 = 2;

/// Pause until the address of a crashed target is tried again.
const BIND_PAUSE: Duration = Duration::from_millis(20);

/// What a target has written of an answer when it crashes.
const WRITTEN: [Option<&str>; 4] = [
    None,
    Some(""),
    Some("id: 1\nda"),
    Some("id: 1\ndata: VERSION\n\n"),
];

impl TargetPool {
    /// Closes a target's connections and its address, and starts it again after a while, mostly
    /// under another name. It remains on the platform's list. False if it is down.
    pub fn crash(self: &Arc<Self>, name: &str) -> bool {
        let Some(proxy) = self.proxies().remove(name) else {
            return false;
        };
        let (address, target) = (proxy.address(), proxy.target());
        // The crash ends answers, not the gateway.
        self.set_link_fault(name, true);
        drop(proxy);
        let (pool, name) = (Arc::clone(self), name.to_owned());
        let down = Duration::from_millis(rand::rng().random_range(DOWN_MS));
        tokio::spawn(async move {
            sleep(down).await;
            let proxy = loop {
                match Proxy::start(address, proxy_settings(target)).await {
                    Ok(proxy) => break proxy,
                    Err(_) => sleep(BIND_PAUSE).await,
                }
            };
            pool.restart(&name, proxy);
        });
        true
    }

    fn restart(&self, name: &str, proxy: Proxy) {
        let mut ids = self.ids();
        let id = ids
            .entry(name.to_owned())
            .or_insert_with(|| name.to_owned());
        let old = id.clone();
        if rand::rng().random_range(0..10) >= KEPT_NAMES {
            *id = format!("{name}.{:x}", rand::random::<u32>());
        }
        for entry in self.list().iter_mut().filter(|entry| entry["id"] == old) {
            entry["id"] = Value::from(id.as_str());
        }
        let cold_until = Instant::now() + self.cold_time();
        self.cold().insert(id.clone(), cold_until);
        self.proxies().insert(name.to_owned(), proxy);
        self.set_link_fault(name, false);
    }
}

impl Target {
    /// Begins to write an answer to a request, and crashes; without a cause for no reason in it.
    pub(super) async fn crash_on(
        &self,
        id: &str,
        cause: Option<Cause>,
        run: Run,
    ) -> Response<Body> {
        let choice = rand::rng().random_range(0..WRITTEN.len());
        let Some(text) = WRITTEN[choice] else {
            self.checker.record_run(id, &self.name);
            self.crash(cause.as_ref());
            return std::future::pending().await;
        };
        let mut response = self.run(id, 0, Behaviour::Normal, run);
        let (sender, body) = mpsc::channel::<Result<Bytes, BodyInterrupted>>(1);
        *response.body_mut() = Body::Stream(body);
        let target = self.clone();
        tokio::spawn(async move {
            if !text.is_empty() {
                let text = text.replace("VERSION", version(&target.name));
                let _ = sender.send(Ok(Bytes::from(text))).await;
            }
            sleep(WRITE_TIME).await;
            target.crash(cause.as_ref());
            sender.closed().await;
        });
        response
    }

    fn crash(&self, cause: Option<&Cause>) {
        let now = self.checker.limits.now();
        if !self.pool.crash(&self.name) {
            return;
        }
        self.checker.limits.record_crash(&self.name);
        if let Some(cause) = cause {
            let crashes = &self.checker.crashes;
            crashes.record_crash(self.service(), cause, now);
        }
    }
}
