//! Validation of patches: each change on its own, then the whole configuration that results.

use std::collections::BTreeSet;

use azurelug_types::config::{Config, ModelRef, Role};
use azurelug_types::patch::{Answer, Change, Patch};

/// Maximum length of a name or id, in bytes.
const NAME_LIMIT: usize = 128;

/// Maximum number of changes in one patch. The first patch of a new system sets up everything at
/// once.
const CHANGE_LIMIT: usize = 10_000;

/// Maximum number of stages in one pipeline. The largest known pipeline has six.
const STAGE_LIMIT: usize = 8;

/// An invalid field, and how to correct it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidField {
    field: String,
    help: String,
}

impl InvalidField {
    fn new(field: impl Into<String>, help: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            help: help.into(),
        }
    }

    /// The answer for an invalid field of the change at `index`.
    pub fn at_change(self, index: usize) -> Answer {
        Answer::Invalid {
            field: format!("changes[{index}].{}", self.field),
            help: self.help,
        }
    }

    /// The answer for an invalid field of the patch itself or of the resulting configuration.
    pub fn into_answer(self) -> Answer {
        Answer::Invalid {
            field: self.field,
            help: self.help,
        }
    }
}

/// Checks the patch's id, author and number of changes.
///
/// # Errors
/// An `Invalid` answer that names the field.
pub fn patch_fields(patch: &Patch) -> Result<(), Answer> {
    check_name("patch_id", &patch.patch_id).map_err(InvalidField::into_answer)?;
    if patch.author.is_empty() || patch.author.len() > NAME_LIMIT {
        return Err(InvalidField::new("author", "name the sender in 1 to 128 bytes").into_answer());
    }
    if patch.changes.is_empty() || patch.changes.len() > CHANGE_LIMIT {
        return Err(InvalidField::new("changes", "send 1 to 10000 changes").into_answer());
    }
    Ok(())
}

/// Applies one change to a configuration.
///
/// # Errors
/// The first field of the change that is not valid for this configuration.
pub fn apply(config: &mut Config, change: &Change) -> Result<(), InvalidField> {
    match change {
        Change::SetZone {
            name: zone,
            zone: definition,
        } => {
            check_name("set_zone.name", zone.as_str())?;
            config.zones.insert(zone.clone(), definition.clone());
        }
        Change::SetZoneState { name: zone, state } => {
            let found = config.zones.get_mut(zone);
            found
                .ok_or_else(|| unknown("set_zone_state.name", "zone", zone.as_str()))?
                .state = *state;
        }
        Change::SetEntry {
            name: daemon,
            entry,
        } => {
            check_name("set_entry.name", daemon.as_str())?;
            config.entries.insert(daemon.clone(), entry.clone());
        }
        Change::RemoveEntry { name: daemon } => {
            let found = config.entries.remove(daemon);
            found.ok_or_else(|| unknown("remove_entry.name", "entry daemon", daemon.as_str()))?;
        }
        Change::SetAccount {
            name: account,
            account: definition,
        } => {
            check_name("set_account.name", account.as_str())?;
            config.accounts.insert(account.clone(), definition.clone());
        }
        Change::RemoveAccount { name: account } => {
            let found = config.accounts.remove(account);
            found.ok_or_else(|| unknown("remove_account.name", "account", account.as_str()))?;
        }
        Change::SetModel {
            name: model,
            model: definition,
        } => {
            check_name("set_model.name", model.as_str())?;
            config.models.insert(model.clone(), definition.clone());
        }
        Change::SetTarget {
            name: target,
            target: definition,
        } => {
            check_name("set_target.name", target.as_str())?;
            let known = config.targets.get(target);
            if known.is_none_or(|known| known.address != definition.address) {
                config.last_target_number += 1;
                config
                    .target_numbers
                    .insert(target.clone(), config.last_target_number);
            }
            config.targets.insert(target.clone(), definition.clone());
        }
        Change::SetTargetState {
            name: target,
            state,
        } => {
            let found = config.targets.get_mut(target);
            found
                .ok_or_else(|| unknown("set_target_state.name", "target", target.as_str()))?
                .state = *state;
        }
        Change::RemoveTarget { name: target } => {
            config.target_numbers.remove(target);
            let found = config.targets.remove(target);
            found.ok_or_else(|| unknown("remove_target.name", "target", target.as_str()))?;
        }
        Change::SetPipeline {
            name: pipeline,
            pipeline: definition,
        } => {
            check_name("set_pipeline.name", pipeline.as_str())?;
            config
                .pipelines
                .insert(pipeline.clone(), definition.clone());
        }
        Change::RemovePipeline { name: pipeline } => {
            let found = config.pipelines.remove(pipeline);
            found.ok_or_else(|| unknown("remove_pipeline.name", "pipeline", pipeline.as_str()))?;
        }
        Change::SetService {
            name: service,
            service: definition,
        } => {
            check_name("set_service.name", service.as_str())?;
            config.services.insert(service.clone(), definition.clone());
        }
        Change::RemoveService { name: service } => {
            let found = config.services.remove(service);
            found.ok_or_else(|| unknown("remove_service.name", "service", service.as_str()))?;
        }
    }
    Ok(())
}

/// Checks that all references in a configuration resolve and all numbers are in range.
///
/// # Errors
/// The first invalid field.
pub fn configuration(config: &Config) -> Result<(), InvalidField> {
    for (daemon, definition) in &config.entries {
        if !config.zones.contains_key(&definition.zone) {
            let field = format!("entries.{daemon}.zone");
            return Err(unknown(&field, "zone", definition.zone.as_str()));
        }
    }
    check_targets(config)?;
    check_pipelines(config)?;
    check_accounts(config)?;
    for (service, definition) in &config.services {
        for operation in definition.operations.keys() {
            check_name(
                &format!("services.{service}.operations"),
                operation.as_str(),
            )?;
        }
    }
    Ok(())
}

fn check_targets(config: &Config) -> Result<(), InvalidField> {
    let mut addresses = BTreeSet::new();
    for (target, definition) in &config.targets {
        let field = |part: &str| format!("targets.{target}.{part}");
        if !config.zones.contains_key(&definition.zone) {
            return Err(unknown(&field("zone"), "zone", definition.zone.as_str()));
        }
        if !addresses.insert(definition.address) {
            return Err(InvalidField::new(
                field("address"),
                "give each target its own address",
            ));
        }
        if definition.limit == 0 || definition.limit > 4096 {
            return Err(InvalidField::new(field("limit"), "set 1 to 4096 calls"));
        }
        if definition.cold_limit == 0 || definition.cold_limit > definition.limit {
            return Err(InvalidField::new(
                field("cold_limit"),
                "set 1 call up to the target's limit",
            ));
        }
        if let Role::Service(service) = &definition.role
            && !config.services.contains_key(service)
        {
            return Err(unknown(&field("role.service"), "service", service.as_str()));
        }
        for loaded in &definition.loaded {
            check_model(config, &field("loaded"), loaded)?;
        }
    }
    Ok(())
}

fn check_pipelines(config: &Config) -> Result<(), InvalidField> {
    for (pipeline, definition) in &config.pipelines {
        if definition.stages.is_empty() || definition.stages.len() > STAGE_LIMIT {
            let field = format!("pipelines.{pipeline}.stages");
            return Err(InvalidField::new(field, "declare 1 to 8 stages"));
        }
        for (index, stage) in definition.stages.iter().enumerate() {
            check_model(
                config,
                &format!("pipelines.{pipeline}.stages[{index}].model"),
                &stage.model,
            )?;
        }
    }
    Ok(())
}

fn check_accounts(config: &Config) -> Result<(), InvalidField> {
    let mut digests = BTreeSet::new();
    for (account, definition) in &config.accounts {
        let field = |part: &str| format!("accounts.{account}.{part}");
        let digest = &definition.key_digest;
        let is_hex = digest
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        if digest.len() != 64 || !is_hex {
            let help = "give the SHA-256 of the account's key in 64 lowercase hex digits";
            return Err(InvalidField::new(field("key_digest"), help));
        }
        if !digests.insert(digest) {
            return Err(InvalidField::new(
                field("key_digest"),
                "give each account its own key",
            ));
        }
        if definition.weight == 0 || definition.weight > 1000 {
            return Err(InvalidField::new(field("weight"), "set 1 to 1000"));
        }
        if definition.max_in_flight == 0 {
            return Err(InvalidField::new(
                field("max_in_flight"),
                "set at least 1 call",
            ));
        }
    }
    Ok(())
}

fn check_model(config: &Config, field: &str, reference: &ModelRef) -> Result<(), InvalidField> {
    let Some(known) = config.models.get(&reference.model) else {
        return Err(unknown(field, "model", reference.model.as_str()));
    };
    if !known.versions.contains(&reference.version) {
        return Err(unknown(field, "model version", &reference.version));
    }
    match &reference.adapter {
        Some(adapter) if !known.adapters.contains(adapter) => {
            Err(unknown(field, "adapter", adapter))
        }
        _ => Ok(()),
    }
}

fn check_name(field: &str, text: &str) -> Result<(), InvalidField> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if text.is_empty() || text.len() > NAME_LIMIT || !text.bytes().all(is_allowed) {
        return Err(InvalidField::new(
            field,
            "use 1 to 128 letters, digits, '-', '_' or '.'",
        ));
    }
    Ok(())
}

fn unknown(field: &str, kind: &str, text: &str) -> InvalidField {
    InvalidField::new(
        field,
        format!("no {kind} is named '{text}'; add it first or correct the name"),
    )
}
