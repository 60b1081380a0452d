//! The initial configuration of a system: zones, entry daemons, models, targets and the pipeline.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use azurelug_types::config::{
    Account, Entry, Model, ModelRef, Operation, Pipeline, Role, Service, Stage, StageKind, State,
    Target, Zone,
};
use azurelug_types::id::{
    AccountName, DaemonName, ModelName, OperationName, PipelineName, ServiceName, TargetName,
    ZoneName,
};
use azurelug_types::patch::Change;
use sha2::{Digest, Sha256};

use super::{ACCOUNT_KEY, PIPELINE, System, TARGET_LIMIT, ZONES, entry_name};

impl System {
    /// The changes of the initial configuration.
    pub fn initial_changes(&self) -> Vec<Change> {
        let mut changes = Vec::new();
        for zone in ZONES {
            let zone_settings = Zone {
                state: State::Active,
                on_partition: Default::default(),
            };
            changes.push(Change::SetZone {
                name: ZoneName::from(zone),
                zone: zone_settings,
            });
        }
        for (index, zone) in ZONES.iter().enumerate() {
            let entry = Entry {
                zone: ZoneName::from(*zone),
            };
            let name = DaemonName(entry_name(index));
            changes.push(Change::SetEntry { name, entry });
        }
        for kind in StageKind::ALL {
            let model = model(kind);
            let definition = Model {
                versions: BTreeSet::from([model.version]),
                adapters: BTreeSet::new(),
            };
            changes.push(Change::SetModel {
                name: model.model,
                model: definition,
            });
        }
        changes.push(account("carts", ACCOUNT_KEY));
        let operations = [("book", false), ("look-up", true)]
            .map(|(name, idempotent)| (OperationName::from(name), Operation { idempotent }));
        let service = Service {
            operations: operations.into(),
        };
        changes.push(Change::SetService {
            name: ServiceName::from("stock"),
            service,
        });
        for (zone, zone_parts) in ZONES.iter().zip(&self.zones) {
            for (kind, address) in &zone_parts.engine_addresses {
                let role = Role::Engine(*kind);
                let loaded = vec![model(*kind)];
                changes.push(target(
                    &format!("{kind}-{zone}"),
                    zone,
                    *address,
                    role,
                    loaded,
                    self.cold_limit,
                ));
            }
            let role = Role::Service(ServiceName::from("stock"));
            let name = format!("stock-{zone}");
            let address = zone_parts.stock_address;
            changes.push(target(&name, zone, address, role, Vec::new(), TARGET_LIMIT));
        }
        let stages = StageKind::ALL
            .map(|kind| Stage {
                kind,
                model: model(kind),
            })
            .to_vec();
        let pipeline = Pipeline { stages };
        changes.push(Change::SetPipeline {
            name: PipelineName::from(PIPELINE),
            pipeline,
        });
        changes
    }
}

fn model(kind: StageKind) -> ModelRef {
    let (model, version) = model_reference(kind)
        .split_once('@')
        .expect("model references contain a version");
    ModelRef {
        model: ModelName::from(model),
        adapter: None,
        version: version.to_owned(),
    }
}

pub(super) fn model_reference(kind: StageKind) -> &'static str {
    match kind {
        StageKind::Encode => "embed@1",
        StageKind::Retrieve => "search@1",
        StageKind::Rerank => "rank@1",
        StageKind::Generate => "writer@2",
    }
}

/// Builds the change that adds a client account.
pub fn account(name: &str, key: &str) -> Change {
    let digest = Sha256::digest(key.as_bytes());
    let account = Account {
        key_digest: digest.iter().map(|byte| format!("{byte:02x}")).collect(),
        weight: 1,
        max_in_flight: 256,
    };
    Change::SetAccount {
        name: AccountName::from(name),
        account,
    }
}

fn target(
    name: &str,
    zone: &str,
    address: SocketAddr,
    role: Role,
    loaded: Vec<ModelRef>,
    cold_limit: u32,
) -> Change {
    let target = Target {
        zone: ZoneName::from(zone),
        address,
        role,
        loaded,
        limit: TARGET_LIMIT,
        cold_limit,
        state: State::Active,
        checks_fencing: true,
    };
    Change::SetTarget {
        name: TargetName::from(name),
        target,
    }
}
