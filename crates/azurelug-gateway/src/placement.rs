//! Exchanges what is known of targets' speeds with the control daemon, and shows it to operators.

use azurelug_types::deployment::Target;
use azurelug_types::fleet::TargetSpeed;
use serde::Serialize;

use crate::gateway::Gateway;

/// What is known of the costs of a service's requests, for the state dump.
#[derive(Serialize)]
pub struct ServiceCostRow {
    service: String,
    /// Ratio of the upper to the lower decile of the targets' slowness; 1 if it is unknown.
    speed_ratio: f64,
    is_uneven: bool,
    /// Requests that were placed while the service was uneven.
    placed: u64,
    left_preferred: u64,
}

/// What is known of the speed and the work of a target, for the state dump.
#[derive(Serialize)]
pub struct TargetCostRow {
    name: String,
    /// The time that the target takes relative to the usual time.
    slowness: f64,
    /// Age of this gateway's newest outcome.
    age_ms: Option<u128>,
    /// Expected time of this gateway's requests that wait for an outcome there.
    pending_ms: f64,
}

impl Gateway {
    /// Takes the outcomes of requests that were not reported yet.
    pub fn take_speed_reports(&self) -> Vec<TargetSpeed> {
        self.fleet().take_speed_reports(self.now())
    }

    /// Replaces what is known of the outcomes of all gateways, and updates the metrics.
    pub fn learn_speeds(&self, reports: &[TargetSpeed]) {
        let now = self.now();
        let mut fleet = self.fleet();
        fleet.learn_speeds(reports, now);
        let modes: Vec<(String, f64, bool)> = fleet
            .costs()
            .map(|(service, costs)| (service.to_string(), costs.ratio(), costs.is_uneven()))
            .collect();
        drop(fleet);
        for (service, ratio, is_uneven) in modes {
            if self.metrics.set_speed_ratio(&service, ratio, is_uneven) {
                let mode = if is_uneven { "uneven" } else { "even" };
                log::info!(
                    "gateway: targets of {service} are {mode}; ratio of speeds {ratio:.2}, \
                     outcomes of {} targets reported",
                    reports.len()
                );
            }
        }
    }

    /// Counts a request that has left its preferred target because of its expected time.
    pub fn record_left(&self, target: &Target) {
        self.metrics.record_left(target.service.as_str());
        log::debug!(
            "gateway: target {} has the shortest expected time; the preferred one is left",
            target.name
        );
    }

    /// What is known of costs and speeds, for the state dump.
    pub fn cost_rows(&self) -> (Vec<ServiceCostRow>, Vec<TargetCostRow>) {
        let now = self.now();
        let fleet = self.fleet();
        let services = fleet.costs().map(|(service, costs)| ServiceCostRow {
            service: service.to_string(),
            speed_ratio: costs.ratio(),
            is_uneven: costs.is_uneven(),
            placed: costs.placed,
            left_preferred: costs.left,
        });
        let targets = fleet.target_costs(now).map(|(target, cost)| TargetCostRow {
            name: target.name.to_string(),
            slowness: cost.slowness,
            age_ms: cost.age.map(|age| age.as_millis()),
            pending_ms: cost.pending_s * 1000.0,
        });
        (services.collect(), targets.collect())
    }
}
