//! The agent beside a model engine whose ranks share experts.
//!
//! The agent reports the engine's load and state to the entry processes that
//! subscribe, and executes the group's switches of maps at its own engine,
//! where reports, counts and orders are cheap. One agent of the group is the
//! coordinator. The coordinator needs no store: state lives in the engines,
//! and only the fencing number comes from the platform's log.
//!
//! * [`settings`]: the settings file;
//! * [`agent`]: the loop of an agent;
//! * [`lead`]: the coordinator;
//! * [`plan`]: the transfer of a map to all agents;
//! * [`rota`]: the schedule by which a rank reports its counts;
//! * [`engine`]: calls to the engine;
//! * [`wire`]: the datagrams between agents.

#![forbid(unsafe_code)]

use std::io;

use cowsliproad_kernel::log;
use cowsliproad_net::program::Startup;
use slog::{Logger, info, warn};

use crate::{agent::Agent, settings::Settings};

pub mod agent;
pub mod engine;
pub mod lead;
pub mod plan;
pub mod rota;
pub mod settings;
pub mod wire;

/// The name of the program in its log lines.
pub const LOG_NAME: &str = "rank";

/// Runs an agent until the process is asked to stop.
pub async fn run(startup: Startup<Settings>) -> io::Result<()> {
    let Startup { settings, settings_watch, mut stop_signals } = startup;
    let log = log::logger(LOG_NAME, &settings.vm_name, settings.log_level);
    info!(log, "starting"; "engine" => %settings.engine_address);
    let agent = tokio::select! {
        agent = Agent::new(settings, log.clone()) => agent?,
        signal = stop_signals.recv() => {
            info!(log, "stopped"; "signal" => signal);
            return Ok(());
        }
    };
    info!(log, "started");
    let stop = async {
        let signal = stop_signals.recv().await;
        info!(log, "stopping"; "signal" => signal);
    };
    tokio::select! {
        outcome = agent.run_until_stopped(stop) => outcome?,
        () = settings_watch.watch(|reloaded| {
            log_settings_reload(&log, reloaded)
        }) => {}
    }
    info!(log, "stopped");
    Ok(())
}

/// Logs that the settings file was read again. An agent keeps no state that a
/// restart would lose, so new settings apply from its next start.
fn log_settings_reload(
    log: &Logger,
    reloaded: Result<Settings, cowsliproad_kernel::settings::Error>,
) {
    match reloaded {
        Ok(_) => info!(log, "settings_read"; "in_force" => "at next start"),
        Err(error) => warn!(log, "settings_refused"; "error" => %error),
    }
}
