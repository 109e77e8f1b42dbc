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
//!   [`view::ConfigView`] that requests read;
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

use cowsliproad_admission::{memory::Account, quarantine::CrashLedger};
use cowsliproad_kernel::{clock::Millis, id, wire::ProcessPhase};
use cowsliproad_net::{
    client::Client,
    metrics::Metrics,
    server::{self, AcceptHandle, Listener},
    threads::Runtimes,
    timer::sleep,
};
use slog::{Logger, info, warn};

use crate::{control::ControlTask, settings::Settings, view::PublishedView};

/// The state that the tasks of an entry process share.
#[derive(Debug)]
pub struct EntryState {
    /// The settings of the entry process.
    pub settings: Settings,
    /// The id of this start of the entry process.
    pub own_incarnation: id::Incarnation,
    /// The key that signs tickets and resume tokens.
    pub ticket_key: [u8; 32],
    /// The view of the configuration that requests read.
    pub published_view: PublishedView,
    /// The crashes recorded for each work digest, by which crash-inducing
    /// requests are refused.
    pub crash_ledger: Mutex<CrashLedger>,
    /// The account of the bytes that callers make the process hold.
    pub caller_memory: Account,
    /// The number of callers' requests in flight through the entry process.
    pub in_flight_requests: AtomicU32,
    /// Whether the entry process is stopping.
    pub is_stopping: AtomicBool,
    /// Sends events to the control task.
    pub control_queue: control::ControlQueue,
    /// The HTTP client for the platform's log and VM list.
    pub platform_client: Client,
    /// The metrics of the entry process, in text form at `/metrics`.
    pub metrics: Metrics,
    /// The metrics of callers' requests.
    pub request_metrics: callers::RequestMetrics,
    /// The logger of the entry process.
    pub logger: Logger,
    /// The thread pools on which the tasks run.
    pub runtimes: Runtimes,
}

impl EntryState {
    /// The phase of the entry process that its heartbeats state.
    pub fn lifecycle_phase(&self) -> ProcessPhase {
        match self.is_stopping.load(Ordering::Relaxed) {
            true => ProcessPhase::Leaving,
            false => ProcessPhase::Serving,
        }
    }
}

/// A running entry process.
#[derive(Clone, Debug)]
pub struct EntryProcess {
    /// The state that the tasks of the entry process share.
    pub shared: Arc<EntryState>,
    /// The address at which callers connect.
    pub caller_address: SocketAddr,
    /// The address at which operators connect.
    pub admin_address: SocketAddr,
    /// The address at which other entry processes connect.
    pub link_address: SocketAddr,
    accept_handle: AcceptHandle,
}

/// One part in so many of the memory is for bodies and answers that callers
/// make the process hold.
const CALLER_MEMORY_SHARE: usize = 4;

/// The interval at which a stopping entry process checks whether its requests
/// have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long a stopping entry process waits for the last bytes of answers to be
/// sent.
const FINAL_WRITE_DELAY: Duration = Duration::from_millis(100);

/// Starts the tasks of an entry process.
pub async fn start_entry(
    settings: Settings,
    runtimes: Runtimes,
) -> io::Result<EntryProcess> {
    let log = cowsliproad_kernel::log::logger(
        "entry",
        &settings.name,
        settings.log_level,
    );
    let metrics = Metrics::new();
    let (control_queue, events) = control::new_control_queue();
    let memory_bytes = (settings.memory_mb as usize).saturating_mul(1 << 20);
    let shared = Arc::new(EntryState {
        own_incarnation: id::Incarnation::random(),
        ticket_key: settings.shared_key.derive("cowsliproad ticket").0,
        published_view: PublishedView::new(),
        crash_ledger: Mutex::default(),
        caller_memory: Account::new(memory_bytes / CALLER_MEMORY_SHARE),
        in_flight_requests: AtomicU32::new(0),
        is_stopping: AtomicBool::new(false),
        control_queue,
        platform_client: Client::with_local_address(settings.source_address),
        request_metrics: callers::RequestMetrics::new(&metrics.meter()),
        metrics,
        logger: log,
        runtimes: runtimes.clone(),
        settings,
    });
    let accept_handle = AcceptHandle::new();
    let http =
        Listener::bind(shared.settings.caller_address, &accept_handle).await?;
    let admin =
        Listener::bind(shared.settings.admin_address, &accept_handle).await?;
    let link =
        tokio::net::TcpListener::bind(shared.settings.link_address).await?;
    let entry = EntryProcess {
        caller_address: http.address(),
        admin_address: admin.address(),
        link_address: link.local_addr()?,
        shared: shared.clone(),
        accept_handle: accept_handle.clone(),
    };
    runtimes
        .control_runtime
        .spawn(ControlTask::new(shared.clone()).handle_events(events));
    runtimes.control_runtime.spawn(control::watch_ejections(shared.clone()));
    runtimes.control_runtime.spawn(log::follow_log(shared.clone()));
    runtimes.control_runtime.spawn(vms::watch_vm_list(shared.clone()));
    runtimes
        .control_runtime
        .spawn(links::send_agent_heartbeats(shared.clone()));
    runtimes
        .control_runtime
        .spawn(links::accept_peer_links(shared.clone(), link));
    for peer in shared.settings.peer_link_addresses.clone() {
        runtimes
            .control_runtime
            .spawn(links::keep_peer_link(shared.clone(), peer));
    }
    for seed in shared.settings.seed_agent_addresses.clone() {
        runtimes
            .control_runtime
            .spawn(links::pull_config_from_seed(shared.clone(), seed));
    }
    let callers = Arc::new(callers::CallerApi::new(shared.clone()));
    runtimes.traffic_runtime.spawn(server::serve(
        http,
        callers,
        accept_handle.clone(),
    ));
    runtimes.control_runtime.spawn(admin::serve_operators(
        shared.clone(),
        admin,
        accept_handle,
    ));
    info!(shared.logger, "start";
        "http" => %entry.caller_address, "admin" => %entry.admin_address,
        "link" => %entry.link_address);
    Ok(entry)
}

impl EntryProcess {
    /// Stops gracefully: the entry process is not ready at once, keeps
    /// accepting requests for the grace time, and then waits for the requests
    /// in flight up to the stop limit.
    pub async fn stop_gracefully(&self) {
        let shared = &self.shared;
        shared.is_stopping.store(true, Ordering::Relaxed);
        let in_flight = || shared.in_flight_requests.load(Ordering::Relaxed);
        info!(shared.logger, "stop"; "in_flight" => in_flight());
        sleep(shared.settings.stop_grace_time.duration()).await;
        self.accept_handle.stop_accepting();
        let deadline = Millis::now() + shared.settings.stop_timeout;
        while in_flight() > 0 && Millis::now() < deadline {
            sleep(STOP_POLL_INTERVAL).await;
        }
        if in_flight() > 0 {
            warn!(shared.logger, "stop_bound"; "cut" => in_flight());
        }
        sleep(FINAL_WRITE_DELAY).await;
        info!(shared.logger, "stopped"; "at" => %Millis::now());
    }
}
