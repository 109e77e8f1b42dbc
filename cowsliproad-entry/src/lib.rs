//! The entry: where callers and operators come in.
//!
//! All entries are equal and keep nothing. An entry holds a replica of the
//! configuration folded from the platform's log, links to the agents of the
//! targets, and the requests in flight through it.
//!
//! * [`callers`]: the callers' HTTP interface;
//! * [`forward`]: one request's attempts, and its one whole answer;
//! * [`choose`]: the choice of a target; [`target`]: what is known of each;
//! * [`control`]: the control thread, which owns the replica and publishes
//!   the [`view::View`] that traffic reads;
//! * [`quarantine`]: requests that crash their targets are refused;
//! * [`links`]: links to agents and between entries;
//! * [`log`] and [`vms`]: the platform's log and VM list;
//! * [`admin`]: the operators' gRPC.

#![forbid(unsafe_code)]

pub mod admin;
pub mod answer;
pub mod callers;
pub mod choose;
pub mod control;
pub mod forward;
pub mod links;
pub mod log;
pub mod quarantine;
pub mod settings;
pub mod target;
pub mod view;
pub mod vms;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use cowsliproad_admission::quarantine::CrashLedger;
use cowsliproad_kernel::{clock::Millis, id, wire::ProcessPhase};
use cowsliproad_net::{
    client::Client,
    metrics::Metrics,
    server::{self, AcceptHandle, Listener},
    threads::Runtimes,
};
use slog::{Logger, info, warn};
use tokio::time::{Instant, sleep};

use crate::{control::Control, settings::Settings, view::Published};

/// What the parts of an entry share.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// This process start.
    pub incarnation: id::Incarnation,
    /// The key of tickets and resume tokens.
    pub ticket_key: [u8; 32],
    /// What traffic reads.
    pub published: Published,
    /// Requests that crash their targets.
    pub quarantine: Mutex<CrashLedger>,
    /// Requests in flight.
    pub in_flight: AtomicU32,
    /// Whether the entry is stopping.
    pub stopping: AtomicBool,
    /// Where control events go.
    pub control: control::Inbox,
    /// The client towards the platform.
    pub client: Client,
    /// Metrics.
    pub metrics: Metrics,
    /// Instruments.
    pub instruments: callers::Instruments,
    /// The logger.
    pub log: Logger,
    /// Where tasks run.
    pub threads: Runtimes,
}

impl Shared {
    /// Where the entry is in its life.
    pub fn phase(&self) -> ProcessPhase {
        match self.stopping.load(Ordering::Relaxed) {
            true => ProcessPhase::Leaving,
            false => ProcessPhase::Serving,
        }
    }
}

/// A running entry.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its parts' shared state.
    pub shared: Arc<Shared>,
    /// Where callers connect.
    pub http: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
    /// Where other entries connect.
    pub link: SocketAddr,
    accept_handle: AcceptHandle,
}

/// How often a stopping entry looks whether its requests are done.
const POLL: Duration = Duration::from_millis(10);

/// How long the last bytes of answers get to leave.
const LINGER: Duration = Duration::from_millis(100);

/// Starts an entry's tasks.
pub async fn start(
    settings: Settings,
    threads: Runtimes,
) -> io::Result<Entry> {
    let log =
        cowsliproad_kernel::log::logger("entry", &settings.name, settings.log);
    let metrics = Metrics::new();
    let (inbox, events) = control::inbox();
    let shared = Arc::new(Shared {
        incarnation: id::Incarnation::random(),
        ticket_key: settings.key.derive("cowsliproad ticket").0,
        published: Published::new(),
        quarantine: Mutex::default(),
        in_flight: AtomicU32::new(0),
        stopping: AtomicBool::new(false),
        control: inbox,
        client: Client::with_local_address(settings.source),
        instruments: callers::Instruments::new(&metrics.meter()),
        metrics,
        log,
        threads: threads.clone(),
        settings,
    });
    let accept_handle = AcceptHandle::new();
    let http = Listener::bind(shared.settings.http, &accept_handle).await?;
    let admin = Listener::bind(shared.settings.admin, &accept_handle).await?;
    let link = tokio::net::TcpListener::bind(shared.settings.link).await?;
    let entry = Entry {
        http: http.address(),
        admin: admin.address(),
        link: link.local_addr()?,
        shared: shared.clone(),
        accept_handle: accept_handle.clone(),
    };
    threads.control_runtime.spawn(Control::new(shared.clone()).run(events));
    threads.control_runtime.spawn(control::weigh_ejections(shared.clone()));
    threads.control_runtime.spawn(log::tail(shared.clone()));
    threads.control_runtime.spawn(vms::watch(shared.clone()));
    threads.control_runtime.spawn(links::beat(shared.clone()));
    threads.control_runtime.spawn(links::accept_peers(shared.clone(), link));
    for peer in shared.settings.peers.clone() {
        threads.control_runtime.spawn(links::dial_peer(shared.clone(), peer));
    }
    for seed in shared.settings.seeds.clone() {
        threads.control_runtime.spawn(links::dial_seed(shared.clone(), seed));
    }
    let callers = Arc::new(callers::Api::new(shared.clone()));
    threads.traffic_runtime.spawn(server::serve(
        http,
        callers,
        accept_handle.clone(),
    ));
    threads.control_runtime.spawn(admin::serve(
        shared.clone(),
        admin,
        accept_handle,
    ));
    info!(shared.log, "start";
        "http" => %entry.http, "admin" => %entry.admin,
        "link" => %entry.link);
    Ok(entry)
}

impl Entry {
    /// Stops gracefully: not ready at once, no request in flight cut off.
    pub async fn stop(&self) {
        let shared = &self.shared;
        shared.stopping.store(true, Ordering::Relaxed);
        let in_flight = || shared.in_flight.load(Ordering::Relaxed);
        info!(shared.log, "stop"; "in_flight" => in_flight());
        sleep(shared.settings.grace_ms.duration()).await;
        self.accept_handle.stop_accepting();
        let most = shared.settings.stop_ms.duration();
        let deadline = Instant::now() + most;
        while in_flight() > 0 && Instant::now() < deadline {
            sleep(POLL).await;
        }
        if in_flight() > 0 {
            warn!(shared.log, "stop_bound"; "cut" => in_flight());
        }
        sleep(LINGER).await;
        info!(shared.log, "stopped"; "at" => %Millis::now());
    }
}
