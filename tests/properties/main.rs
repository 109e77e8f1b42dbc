//! Properties of the pure decisions, with fixed seeds.

mod confirmation;
mod cooldown;
mod decoders;
mod delay;
mod direct;
mod fleet;
mod fold;
mod known_targets;
mod limits;
mod live;
mod memory;
mod patience;
mod placement;
mod prompt_parts;
mod quarantine;
mod queue;
mod readings;
mod register;
mod relay;
mod retry_budget;
mod routing;
mod spread;

use proptest::{
    prelude::ProptestConfig,
    test_runner::{FileFailurePersistence, RngSeed},
};

/// The same cases in every run.
fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(0xC0_57_11),
        failure_persistence: Some(Box::new(FileFailurePersistence::Off)),
        ..ProptestConfig::default()
    }
}
