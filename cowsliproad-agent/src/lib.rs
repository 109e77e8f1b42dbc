//! The agent: a proxy that admits all requests for one target.
//!
//! An agent runs in the process slot of a target's VM. All requests for the
//! target pass through the agent, so its result "not run" is reliable: the
//! agent records a ticket before it calls the target, and calls once. It
//! queues requests by urgency and deadline, keeps answers for callers whose
//! entry process crashed, and on a graceful stop hands its records to a peer
//! agent.
//!
//! * [`gate`]: admission, the queue, tickets and kept answers;
//! * [`work`]: one accepted request and its answer as it arrives;
//! * [`crashes`]: crashes of the target's process and the requests that ran
//!   then;
//! * [`adapter`]: sending requests to targets, one plug-in for each kind;
//! * [`pace`]: the target's rate limit and cooldown;
//! * [`links`]: the links to entry processes and the frames on them;
//! * [`handover`]: the graceful stop and the handover to a peer;
//! * [`replica`]: a copy of the configuration for entry processes that start
//!   while the log is down.

#![forbid(unsafe_code)]

pub mod adapter;
pub mod ends;
pub mod gate;
pub mod handover;
mod http;
pub mod links;
pub mod pace;
pub mod replica;
pub mod settings;
pub mod work;

use std::{io, net::SocketAddr, sync::Arc};

use cowsliproad_kernel::{log, plugin};
use cowsliproad_net::{
    metrics::Metrics, server::AcceptHandle, threads::Runtimes,
};
use slog::{Logger, info, o};
use tokio::net::TcpListener;

use crate::{
    adapter::AdapterPlugin, gate::TargetGate, links::AgentLinks,
    replica::ConfigReplica, settings::Settings,
};

/// The handle of a running agent, which admits all requests for one target. It
/// holds the agent's settings, shared state and addresses.
#[derive(Clone, Debug)]
pub struct Agent {
    /// The agent's settings.
    pub settings: Arc<Settings>,
    /// The gate that admits and queues the target's requests.
    pub gate: Arc<TargetGate>,
    /// The agent's copy of the configuration.
    pub replica: Arc<ConfigReplica>,
    /// The open links to entry processes and peer agents.
    pub links: Arc<AgentLinks>,
    /// The agent's metrics.
    pub metrics: Metrics,
    /// The agent's logger.
    pub log: Logger,
    /// The address on which the agent accepts links.
    pub link_address: SocketAddr,
    /// The address on which the agent serves `/livez`, `/readyz` and
    /// `/metrics`.
    pub http_address: SocketAddr,
    accept_handle: AcceptHandle,
}

/// Starts an agent and its background tasks.
pub async fn start_agent(
    settings: Settings,
    runtimes: Runtimes,
) -> io::Result<Agent> {
    let settings = Arc::new(settings);
    let log = log::logger("agent", &settings.target_name, settings.log_level);
    let metrics = Metrics::new();
    let gate =
        TargetGate::new(settings.clone(), log.new(o!()), &metrics.meter());
    let gate = Arc::new(gate);
    let adapter = plugin::find_plugin::<AdapterPlugin>(&settings.adapter_name)
        .ok_or_else(|| io::Error::other("no such adapter"))?;
    (adapter.start_adapter)(gate.clone(), &runtimes.traffic_runtime);
    let replica = Arc::new(ConfigReplica::new());
    let listener = TcpListener::bind(settings.link_listen_address).await?;
    let link_address = listener.local_addr()?;
    let links = AgentLinks::new(gate.clone(), replica.clone(), log.new(o!()));
    let links = Arc::new(links);
    runtimes
        .traffic_runtime
        .spawn(links::accept_links(links.clone(), listener));
    runtimes.control_runtime.spawn(links::run_heartbeats(links.clone()));
    runtimes
        .control_runtime
        .spawn(gate::sweep_queue_and_answers(gate.clone()));
    runtimes
        .control_runtime
        .spawn(ends::watch_target_presence(gate.clone(), links.clone()));
    let cooldown_watch =
        ends::watch_target_during_cooldown(gate.clone(), links.clone());
    runtimes.control_runtime.spawn(cooldown_watch);
    let accept_handle = AcceptHandle::new();
    let http_address =
        http::start_http_server(&settings, &gate, &metrics, &accept_handle)
            .await?;
    info!(log, "start";
        "listen" => %link_address,
        "target" => %settings.target_address,
        "adapter" => settings.adapter_name.as_str(),
        "incarnation" => %gate.incarnation());
    Ok(Agent {
        settings,
        gate,
        replica,
        links,
        metrics,
        log,
        link_address,
        http_address,
        accept_handle,
    })
}

impl Agent {
    /// Finishes the accepted requests, then hands the agent's records to a
    /// peer agent.
    pub async fn stop_gracefully(&self) {
        handover::stop_gracefully(self).await;
        self.accept_handle.stop_accepting();
    }
}
