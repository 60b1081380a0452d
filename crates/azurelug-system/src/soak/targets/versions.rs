//! Targets of several software versions of a service, which come and go.

use serde_json::Value;

use super::TargetPool;

/// The service of streams.
pub const SERVICE: &str = "llm";

/// Name of a target of a version in a zone.
#[must_use]
pub fn target_name(service: &str, version: u8, zone: &str) -> String {
    match version {
        1 => format!("{service}-{zone}"),
        _ => format!("{service}-v{version}-{zone}"),
    }
}

/// The service of a target.
#[must_use]
pub fn service(name: &str) -> &str {
    name.split('-').next().unwrap_or_default()
}

/// The number of a target's software version.
#[must_use]
pub fn number(name: &str) -> u8 {
    let number = version(name).strip_prefix('v');
    number.and_then(|it| it.parse().ok()).unwrap_or(1)
}

/// The software version of a target.
#[must_use]
pub fn version(name: &str) -> &str {
    let part = name.split('-').nth(1).filter(|it| it.starts_with('v'));
    part.unwrap_or("v1")
}

impl TargetPool {
    /// Number of targets of streams of a version that are listed as ready and up, and whose links
    /// are sound.
    pub fn count_up(&self, version: &str) -> usize {
        let ids: Vec<String> = {
            let list = self.list();
            let entries = list.iter().filter(|entry| {
                entry["service"] == SERVICE
                    && entry["version"] == version
                    && entry["state"] == "ready"
            });
            let ids = entries.filter_map(|entry| entry["id"].as_str());
            ids.map(str::to_owned).collect()
        };
        let names = ids.iter().filter_map(|id| id.split('.').next());
        names.filter(|name| self.is_up(name)).count()
    }

    fn is_up(&self, name: &str) -> bool {
        let faults = self.link_faults.lock().expect("the lock is not poisoned");
        let is_link_sound = faults.get(name).is_none_or(Option::is_some);
        is_link_sound && self.proxies().contains_key(name)
    }

    /// Shows a target as draining, whatever faults of the plan end later.
    pub fn retire(&self, name: &str) {
        self.set_state(name, "draining");
        self.retired().insert(name.to_owned());
    }

    /// Closes the address and all connections of a target, which does not start again.
    pub fn end(&self, name: &str) {
        self.retired().insert(name.to_owned());
        // The end of the target ends answers, not the gateway.
        self.set_link_fault(name, true);
        drop(self.proxies().remove(name));
    }

    /// Removes a target from the platform's list.
    pub fn remove(&self, name: &str) {
        let id = Value::from(self.id(name));
        self.list().retain(|entry| entry["id"] != id);
    }
}
