//! Chooses targets for the calls of a request and starts the calls on their own tasks.
//!
//! Owns no state. A call is started only with a slot at its target.

use std::sync::Arc;
use std::time::Duration;

use azurelug_core::pipeline::CallId;
use azurelug_core::routing::{NoTarget, Query, Requirement, blocks};
use azurelug_types::config::{Stage, StageKind};
use azurelug_types::id::{StageIndex, TargetKey};
use tokio::time::Instant;

use super::{Attempt, Executor, HedgeTimer};
use crate::engine;
use crate::estimates::is_short;
use crate::slots::{self, Slot, WorkKind};
use crate::stage_call;

/// What a call of the current stage needs of its target.
pub(super) struct Need {
    stage: Stage,
    prefix: Vec<u64>,
    exclude: Vec<TargetKey>,
    avoid_cold: bool,
    /// The kind of work, for the reservation of slots.
    pub(super) work: WorkKind,
}

impl Need {
    /// The query for the router.
    pub(super) fn query(&self) -> Query<'_> {
        Query {
            need: Requirement::Stage(self.stage.kind, &self.stage.model),
            idempotent: true,
            prefix: &self.prefix,
            exclude: &self.exclude,
            avoid_cold: self.avoid_cold,
        }
    }

    /// Also allows the targets of earlier attempts.
    pub(super) fn include_tried(&mut self) {
        self.exclude.clear();
    }
}

impl Executor {
    /// Chooses a target, waits for a free slot there and starts the call. A hedge does not wait:
    /// when all targets are busy, it would only add to the load.
    pub(super) async fn dispatch(
        &mut self,
        call: &CallId,
        resume_from: u32,
    ) -> Result<(), NoTarget> {
        let need = self.need(call.stage);
        let name = call.to_string();
        let slot = if self.has_live_attempt() {
            let replaces_call = self.migration.is_active();
            self.try_acquire(&name, &need, replaces_call)?
        } else {
            let limit = self.wait_limit(call.stage);
            slots::acquire(
                &self.entry_state,
                &name,
                &need.work,
                &need.query(),
                limit,
                self.deadline,
            )
            .await?
        };
        self.start(call, resume_from, slot);
        Ok(())
    }

    /// Acquires a slot for a call of the current stage without waiting.
    pub(super) fn try_acquire(
        &self,
        name: &str,
        need: &Need,
        replaces_call: bool,
    ) -> Result<Slot, NoTarget> {
        slots::try_acquire(
            &self.entry_state,
            name,
            &need.work,
            &need.query(),
            self.deadline,
            replaces_call,
        )
    }

    /// What a further call of the current stage needs; excludes the targets of earlier attempts.
    pub(super) fn need(&self, stage: StageIndex) -> Need {
        let stage_index = usize::from(stage.0);
        let stage_config = self.pipeline.stages[stage_index].clone();
        let earlier = self.attempts.iter().filter(|(call, _)| call.stage == stage);
        let exclude = earlier.map(|(_, attempt)| attempt.key).collect();
        let prefix = match stage_config.kind {
            StageKind::Generate => {
                let prompt = engine::prompt(self.run.context());
                blocks(&engine::model_name(&stage_config.model), &prompt)
            }
            _ => Vec::new(),
        };
        let estimates = &self.entry_state.estimates;
        let work = WorkKind {
            kind: stage_config.kind,
            model: stage_config.model.clone(),
            is_short: is_short(self.max_tokens),
        };
        Need {
            stage: stage_config,
            prefix,
            exclude,
            avoid_cold: !estimates.fits_cold(&self.classes, stage_index, self.time_left()),
            work,
        }
    }

    /// How long a call of the stage may wait for a slot.
    pub(super) fn wait_limit(&self, stage: StageIndex) -> Duration {
        let estimates = &self.entry_state.estimates;
        estimates.wait_limit(&self.classes, usize::from(stage.0), self.time_left())
    }

    /// Starts the call on its own task.
    pub(super) fn start(&mut self, call: &CallId, resume_from: u32, acquired: Slot) {
        let stage_index = usize::from(call.stage.0);
        let stage = self.pipeline.stages[stage_index].clone();
        let kind = stage.kind;
        let estimates = Arc::clone(&self.entry_state.estimates);
        let Slot {
            in_flight: slot,
            reservation,
        } = acquired;
        self.tracker.about_to_send();
        let (target, key, address) = (slot.target.to_string(), slot.choice.target, slot.address);
        let started = Instant::now();
        if kind != StageKind::Generate && call.attempt.0 == 0 {
            let p95 = estimates.hedge_delay(self.classes.stage(stage_index));
            let (call, at) = (call.clone(), started + p95);
            self.hedge_timer = Some(HedgeTimer { call, p95, at });
        }
        let attempt = stage_call::Task {
            entry_state: Arc::clone(&self.entry_state),
            call: call.clone(),
            stage,
            classes: self.classes.clone(),
            context: self.run.context().clone(),
            max_tokens: self.max_tokens,
            resume_from,
            kv_source: self.kv_source(call, key),
            first_response_timeout: estimates.attempt_timeout(
                &self.classes,
                stage_index,
                self.time_left(),
            ),
            deadline: self.deadline,
            messages: self.messages.clone(),
            reservation,
        };
        let abort = self.tasks.spawn(attempt.run(slot));
        let attempt = Attempt {
            stage: kind,
            target,
            key,
            address,
            started,
            tokens: 0,
            abort,
            silent_since: None,
            is_takeover: false,
            is_finished: false,
            is_recorded: false,
        };
        self.attempts.insert(call.clone(), attempt);
    }
}
