//! Releases of new software versions of the targets of streams.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use azurelug_testkit::proxy::Proxy;
use tokio::time::sleep;

use super::super::plan::{TARGETS_PER_SERVICE, zone_name};
use super::super::targets::versions::{SERVICE, target_name};
use super::super::targets::{self, TargetPool};
use super::{Deployment, address};

/// Time between the ends of two targets of an old version.
const END_INTERVAL: Duration = Duration::from_millis(1200);

/// Time for which a draining target serves before it ends, longer than a stream.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// Time for which a target that has crashed remains on the list.
const LIST_LAG: Duration = Duration::from_secs(2);

impl Deployment {
    /// The targets of this run.
    pub fn pool(&self) -> Arc<TargetPool> {
        Arc::clone(&self.pool)
    }

    /// Starts targets of a version in each zone, beside those of the version before.
    pub(super) fn start_release(&self, version: u8) {
        for number in 0..TARGETS_PER_SERVICE {
            let (pool, checker) = (Arc::clone(&self.pool), Arc::clone(&self.checker));
            let stages = self.stage.subscribe();
            let IpAddr::V4(own) = self.gateways[0].clients.ip() else {
                continue;
            };
            let network = own.octets()[1];
            let zone = zone_name(number);
            tokio::spawn(async move {
                let name = target_name(version, zone);
                let state = (Arc::clone(&pool), checker);
                let at = targets::start_target(name.clone(), state.0, state.1, stages).await;
                let proxy = Proxy::start(address(network, 1, 1, 0), targets::proxy_settings(at))
                    .await
                    .expect("start a proxy");
                pool.add(&name, SERVICE, zone, proxy);
            });
        }
    }

    /// Ends the targets of the version before, one after the other. A bit of `crashes` for each zone
    /// says whether its target crashes or drains.
    pub(super) fn end_release(&self, version: u8, crashes: u8) {
        let pool = Arc::clone(&self.pool);
        tokio::spawn(async move {
            for number in 0..TARGETS_PER_SERVICE {
                let name = target_name(version - 1, zone_name(number));
                let pool = Arc::clone(&pool);
                let is_crash = crashes >> number & 1 == 1;
                tokio::spawn(async move {
                    if is_crash {
                        pool.end(&name);
                        sleep(LIST_LAG).await;
                    } else {
                        pool.retire(&name);
                        sleep(DRAIN_TIME).await;
                        pool.end(&name);
                    }
                    pool.remove(&name);
                });
                sleep(END_INTERVAL).await;
            }
        });
    }
}
