//! The entry process, which serves callers and operators.
//!
//! All entry processes are equal and store nothing. An entry process holds a
//! replica of the configuration folded from the platform's log, links to the
//! agents of the targets, and the requests in flight through it.
//!
//! * [`callers`]: the HTTP interface for callers;
//! * [`forward`]: the attempts of one request, and its one whole answer;
//! * [`choose`]: the choice of a target; [`target`]: the state of each target;
//! * [`control`]: the control task, which owns the replica and publishes the
//!   [`view::View`] that requests read;
//! * [`quarantine`]: the refusal of crash-inducing requests;
//! * [`links`]: links to agents and between entry processes;
//! * [`log`] and [`vms`]: the platform's log and VM list;
//! * [`admin`]: the gRPC interface for operators.

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
use cowsliproad_kernel::{clock::Millis, id, wire::Phase};
use cowsliproad_net::{
    client::Client,
    metrics::Metrics,
    server::{self, AcceptHandle, Listener},
    threads::Threads,
};
use slog::{Logger, info, warn};
use tokio::time::{Instant, sleep};

use crate::{control::Control, settings::Settings, view::Published};

/// The state that the tasks of an entry process share.
#[derive(Debug)]
pub struct Shared {
    /// The settings of the entry process.
    pub settings: Settings,
    /// The id of this start of the entry process.
    pub incarnation: id::Incarnation,
    /// The key that signs tickets and resume tokens.
    pub ticket_key: [u8; 32],
    /// The view of the configuration that requests read.
    pub published: Published,
    /// The crashes recorded for each work digest, by which crash-inducing
    /// requests are refused.
    pub quarantine: Mutex<CrashLedger>,
    /// The number of callers' requests in flight through the entry process.
    pub in_flight: AtomicU32,
    /// Whether the entry process is stopping.
    pub stopping: AtomicBool,
    /// Sends events to the control task.
    pub control: control::Inbox,
    /// The HTTP client for the platform's log and VM list.
    pub client: Client,
    /// The metrics of the entry process, in text form at `/metrics`.
    pub metrics: Metrics,
    /// The metrics of callers' requests.
    pub instruments: callers::Instruments,
    /// The logger of the entry process.
    pub log: Logger,
    /// The thread pools on which the tasks run.
    pub threads: Threads,
}

impl Shared {
    /// The phase of the entry process that its heartbeats state.
    pub fn phase(&self) -> Phase {
        match self.stopping.load(Ordering::Relaxed) {
            true => Phase::Leaving,
            false => Phase::Serving,
        }
    }
}

/// A running entry process.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The state that the tasks of the entry process share.
    pub shared: Arc<Shared>,
    /// The address at which callers connect.
    pub http: SocketAddr,
    /// The address at which operators connect.
    pub admin: SocketAddr,
    /// The address at which other entry processes connect.
    pub link: SocketAddr,
    accept_handle: AcceptHandle,
}

/// The interval at which a stopping entry process checks whether its requests
/// have ended.
const POLL: Duration = Duration::from_millis(10);

/// How long a stopping entry process waits for the last bytes of answers to be
/// sent.
const LINGER: Duration = Duration::from_millis(100);

/// Starts the tasks of an entry process.
pub async fn start(settings: Settings, threads: Threads) -> io::Result<Entry> {
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
    threads.control.spawn(Control::new(shared.clone()).run(events));
    threads.control.spawn(control::weigh_ejections(shared.clone()));
    threads.control.spawn(log::tail(shared.clone()));
    threads.control.spawn(vms::watch(shared.clone()));
    threads.control.spawn(links::beat(shared.clone()));
    threads.control.spawn(links::accept_peers(shared.clone(), link));
    for peer in shared.settings.peers.clone() {
        threads.control.spawn(links::dial_peer(shared.clone(), peer));
    }
    for seed in shared.settings.seeds.clone() {
        threads.control.spawn(links::dial_seed(shared.clone(), seed));
    }
    let callers = Arc::new(callers::Api::new(shared.clone()));
    threads.traffic.spawn(server::serve(http, callers, accept_handle.clone()));
    threads.control.spawn(admin::serve(shared.clone(), admin, accept_handle));
    info!(shared.log, "start";
        "http" => %entry.http, "admin" => %entry.admin,
        "link" => %entry.link);
    Ok(entry)
}

impl Entry {
    /// Stops gracefully: the entry process is not ready at once, keeps
    /// accepting requests for the grace time, and then waits for the requests
    /// in flight up to the stop limit.
    pub async fn stop(&self) {
        let shared = &self.shared;
        shared.stopping.store(true, Ordering::Relaxed);
        let in_flight = || shared.in_flight.load(Ordering::Relaxed);
        info!(shared.log, "stop"; "in_flight" => in_flight());
        sleep(shared.settings.grace_ms.duration()).await;
        self.accept_handle.close();
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
