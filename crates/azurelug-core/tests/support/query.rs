//! Queries for the engines of the test fleet.

use azurelug_core::routing::{Query, Requirement};
use azurelug_types::config::{ModelRef, StageKind};

pub(crate) fn query<'a>(model: &'a ModelRef, prefix: &'a [u64]) -> Query<'a> {
    Query {
        need: Requirement::Stage(StageKind::Generate, model),
        idempotent: true,
        prefix,
        exclude: &[],
        avoid_cold: false,
    }
}
