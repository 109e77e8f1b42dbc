//! The agent beside a model engine whose ranks share experts.
//!
//! It reports its engine's load and standing to the entries that ask for it,
//! and carries out the group's changes of map at its own engine, where
//! reports, counts and orders cost nothing. One agent of the group is the
//! coordinator. It needs no store: state lives in the engines, and only its
//! fencing number comes from the platform's log.
//!
//! * [`settings`]: the settings file;
//! * [`agent`]: the loop of an agent;
//! * [`lead`]: the coordinator;
//! * [`engine`]: calls to the engine;
//! * [`wire`]: the datagrams between agents.

#![forbid(unsafe_code)]

use std::io;

use cowsliproad_kernel::log;
use cowsliproad_net::program;
use slog::info;

use crate::{agent::Agent, settings::Settings};

pub mod agent;
pub mod engine;
pub mod lead;
pub mod settings;
pub mod wire;

/// Runs an agent until it is told to stop.
pub async fn run(settings: Settings) -> io::Result<()> {
    let log = log::logger("rank", &settings.vm, settings.log_level);
    info!(log, "started"; "engine" => %settings.engine);
    let agent = Agent::new(settings, log.clone()).await?;
    tokio::select! {
        outcome = agent.run() => outcome?,
        () = program::stopped() => {}
    }
    info!(log, "stopped");
    Ok(())
}
