//! Looks up the route and the account of a request.

use std::collections::HashMap;
use std::sync::Arc;

use azurelug_types::deployment::{
    Account, Deployment, Route, Service, ServiceKey, WeightedService,
};

/// A configuration with indexes for the lookup of requests.
#[derive(Debug, Default)]
pub struct Table {
    deployment: Arc<Deployment>,
    /// Positions of the routes of each host, longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    /// Position of the account of each key; none if requests need no key.
    keys: Option<HashMap<String, usize>>,
}

impl Table {
    /// Builds the indexes of a configuration.
    #[must_use]
    pub fn new(deployment: Arc<Deployment>) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (position, route) in deployment.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(position);
        }
        for positions in hosts.values_mut() {
            positions.sort_by_key(|&it| std::cmp::Reverse(deployment.routes[it].prefix.len()));
        }
        let keys = deployment.accounts.as_deref().map(positions_by_key);
        Self {
            deployment,
            hosts,
            keys,
        }
    }

    /// Returns the indexed configuration.
    #[must_use]
    pub fn deployment(&self) -> &Arc<Deployment> {
        &self.deployment
    }

    /// Returns the route of the host with the longest prefix of the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let positions = match self.hosts.get(host) {
            Some(positions) => positions,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let routes = positions.iter().map(|&it| &self.deployment.routes[it]);
        routes
            .into_iter()
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the account of a key.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Account> {
        let position = self.keys.as_ref()?.get(key)?;
        self.deployment.accounts.as_ref()?.get(*position)
    }

    /// Whether requests must have a key.
    #[must_use]
    pub fn requires_key(&self) -> bool {
        self.keys.is_some()
    }

    /// Selects a service of a traffic split by weight; `random` is uniform in 0..1.
    #[must_use]
    pub fn choose(&self, split: &[WeightedService], random: f64) -> ServiceKey {
        let total: f64 = split.iter().map(|share| f64::from(share.weight)).sum();
        let mut remaining = random * total;
        for share in split {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return share.service;
            }
        }
        let last = split.iter().rev().find(|share| share.weight > 0);
        last.or(split.last())
            .map_or(ServiceKey(0), |share| share.service)
    }

    /// Returns the service of a key.
    #[must_use]
    pub fn service(&self, key: ServiceKey) -> &Service {
        self.deployment.service(key)
    }
}

fn positions_by_key(accounts: &[Account]) -> HashMap<String, usize> {
    let accounts = accounts.iter().enumerate();
    let keys = accounts.flat_map(|(position, account)| {
        account.keys.iter().map(move |key| (key.clone(), position))
    });
    keys.collect()
}
