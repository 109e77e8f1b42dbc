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
//! * [`plan`]: a map on its way to all agents;
//! * [`rota`]: when a rank counts;
//! * [`engine`]: calls to the engine;
//! * [`wire`]: the datagrams between agents.

#![forbid(unsafe_code)]

use std::{io, path::PathBuf};

use cowsliproad_kernel::log;
use cowsliproad_net::program;
use slog::{Logger, info, warn};

use crate::{agent::Agent, settings::Settings};

pub mod agent;
pub mod engine;
pub mod lead;
pub mod plan;
pub mod rota;
pub mod settings;
pub mod wire;

/// Runs an agent until it is told to stop.
pub async fn run(path: PathBuf, settings: Settings) -> io::Result<()> {
    let log = log::logger("rank", &settings.vm, settings.log_level);
    info!(log, "started"; "engine" => %settings.engine);
    let agent = Agent::new(settings, log.clone()).await?;
    tokio::select! {
        outcome = agent.run(program::wait_for_stop_signal()) => outcome?,
        () = program::watch_settings(path, |read| note(&log, read)) => {}
    }
    info!(log, "stopped");
    Ok(())
}

/// Notes settings that were read again. An agent keeps nothing that a
/// restart would lose, so new settings hold from its next start.
fn note(
    log: &Logger,
    read: Result<Settings, cowsliproad_kernel::settings::Error>,
) {
    match read {
        Ok(_) => info!(log, "settings_read"; "in_force" => "at next start"),
        Err(error) => warn!(log, "settings_refused"; "error" => %error),
    }
}
