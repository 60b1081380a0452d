//! Releases of new software versions of the targets of streams.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use azurelug_http::h1::server::ShutdownState;
use azurelug_testkit::proxy::Proxy;
use tokio::sync::watch;
use tokio::time::sleep;

use super::super::checker::Checker;
use super::super::plan::{TARGETS_PER_SERVICE, zone_name};
use super::super::targets::versions::{SERVICE, target_name};
use super::super::targets::{self, Behaviour, TargetPool};
use super::{Deployment, address};

/// Time between the ends of two targets of an old version.
const END_INTERVAL: Duration = Duration::from_millis(1200);

/// Time for which a draining target serves before it ends, longer than a stream.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// Time for which a target that has crashed remains on the list.
const LIST_LAG: Duration = Duration::from_secs(2);

/// Starts and ends targets of new versions, one in each zone.
#[derive(Clone)]
pub struct Starter {
    pool: Arc<TargetPool>,
    checker: Arc<Checker>,
    stages: watch::Receiver<ShutdownState>,
    /// The second number of the run's loopback addresses.
    network: u8,
}

impl Starter {
    /// Starts targets of a version and adds them to the platform's list.
    ///
    /// # Panics
    /// If a proxy can't be started.
    pub async fn start(&self, service: &str, version: u8, behaviour: Behaviour) {
        for number in 0..TARGETS_PER_SERVICE {
            let zone = zone_name(number);
            let name = target_name(service, version, zone);
            self.pool.set_behaviour(&name, behaviour);
            let state = (Arc::clone(&self.pool), Arc::clone(&self.checker));
            let at =
                targets::start_target(name.clone(), state.0, state.1, self.stages.clone()).await;
            let proxy = Proxy::start(address(self.network, 1, 1, 0), targets::proxy_settings(at))
                .await
                .expect("start a proxy");
            self.pool.add(&name, service, zone, proxy);
        }
    }

    /// Ends the targets of a version and removes them from the platform's list.
    pub fn end(&self, service: &str, version: u8) {
        for number in 0..TARGETS_PER_SERVICE {
            let name = target_name(service, version, zone_name(number));
            self.pool.end(&name);
            self.pool.remove(&name);
        }
    }
}

impl Deployment {
    /// The targets of this run.
    pub fn pool(&self) -> Arc<TargetPool> {
        Arc::clone(&self.pool)
    }

    /// What starts and ends targets of new versions.
    pub fn starter(&self) -> Starter {
        let network = match self.gateways[0].clients.ip() {
            IpAddr::V4(own) => own.octets()[1],
            IpAddr::V6(_) => 0,
        };
        Starter {
            pool: Arc::clone(&self.pool),
            checker: Arc::clone(&self.checker),
            stages: self.stage.subscribe(),
            network,
        }
    }

    /// Starts targets of a version in each zone, beside those of the version before.
    pub(super) fn start_release(&self, version: u8) {
        let starter = self.starter();
        tokio::spawn(async move { starter.start(SERVICE, version, Behaviour::Normal).await });
    }

    /// Ends the targets of the version before, one after the other. A bit of `crashes` for each zone
    /// says whether its target crashes or drains.
    pub(super) fn end_release(&self, version: u8, crashes: u8) {
        let pool = Arc::clone(&self.pool);
        tokio::spawn(async move {
            for number in 0..TARGETS_PER_SERVICE {
                let name = target_name(SERVICE, version - 1, zone_name(number));
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
