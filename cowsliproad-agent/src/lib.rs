//! The agent: the one gate in front of a target.
//!
//! An agent runs in the process slot of a target's VM. All work for the
//! target comes through it, which is what makes its word on "not run" true:
//! it records a ticket before it calls the target and calls once. It queues
//! by urgency and deadline, keeps answers for callers whose entry died, and
//! on a graceful stop hands its records to a peer agent.
//!
//! * [`gate`]: admission, the queue, tickets and kept answers;
//! * [`work`]: one request and its growing answer;
//! * [`ends`]: work under which the target's process ended;
//! * [`adapter`]: how the target is spoken to, one plug-in for each kind;
//! * [`pace`]: how many requests a second the target takes;
//! * [`links`]: entries' links and what is said on them;
//! * [`handover`]: the graceful stop;
//! * [`replica`]: the configuration, kept for entries that start while the
//!   log is down.

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
    adapter::Plugin, gate::Gate, links::Links, replica::Replica,
    settings::Settings,
};

/// A running agent.
#[derive(Clone, Debug)]
pub struct Agent {
    /// Its settings.
    pub settings: Arc<Settings>,
    /// Its gate.
    pub gate: Arc<Gate>,
    /// Its copy of the configuration.
    pub replica: Arc<Replica>,
    /// Its links.
    pub links: Arc<Links>,
    /// Its metrics.
    pub metrics: Metrics,
    /// Its logger.
    pub log: Logger,
    /// Where it listens for links.
    pub address: SocketAddr,
    /// Where it answers `/readyz` and `/metrics`.
    pub http: SocketAddr,
    accept_handle: AcceptHandle,
}

/// Starts an agent's tasks.
pub async fn start(
    settings: Settings,
    threads: Runtimes,
) -> io::Result<Agent> {
    let settings = Arc::new(settings);
    let log = log::logger("agent", &settings.name, settings.log);
    let metrics = Metrics::new();
    let gate = Gate::new(settings.clone(), log.new(o!()), &metrics.meter());
    let gate = Arc::new(gate);
    let adapter = plugin::find_plugin::<Plugin>(&settings.adapter)
        .ok_or_else(|| io::Error::other("no such adapter"))?;
    (adapter.start)(gate.clone(), &threads.traffic_runtime);
    let replica = Arc::new(Replica::new());
    let listener = TcpListener::bind(settings.listen).await?;
    let address = listener.local_addr()?;
    let links = Links::new(gate.clone(), replica.clone(), log.new(o!()));
    let links = Arc::new(links);
    threads.traffic_runtime.spawn(links::accept(links.clone(), listener));
    threads.control_runtime.spawn(links::beat(links.clone()));
    threads.control_runtime.spawn(gate::sweep(gate.clone()));
    threads.control_runtime.spawn(ends::follow(gate.clone(), links.clone()));
    let watch = ends::watch_cooldown(gate.clone(), links.clone());
    threads.control_runtime.spawn(watch);
    let accept_handle = AcceptHandle::new();
    let http = http::start(&settings, &gate, &metrics, &accept_handle).await?;
    info!(log, "start";
        "listen" => %address,
        "target" => %settings.target,
        "adapter" => settings.adapter.as_str(),
        "incarnation" => %gate.incarnation());
    Ok(Agent {
        settings,
        gate,
        replica,
        links,
        metrics,
        log,
        address,
        http,
        accept_handle,
    })
}

impl Agent {
    /// Finishes what it has, hands its records to a peer and returns.
    pub async fn stop(&self) {
        handover::stop(self).await;
        self.accept_handle.stop_accepting();
    }
}
