//! An entry process that forwards callers' requests directly to targets.
//!
//! If a target states truthfully that it did not run a request, and refuses a
//! request meant for another incarnation, a single entry process can guarantee
//! "at most once" and "not run" without tickets and without the hop through an
//! agent.
//!
//! * [`settings`]: the settings file;
//! * [`entry`]: the state shared by all tasks of the process;
//! * [`callers`]: connections of callers and their requests;
//! * [`receive`]: reading and routing of requests;
//! * [`forward`]: handling of a request up to its response;
//! * [`call`]: attempts at targets, with retries and rejections;
//! * [`stream`]: event streams, resumed at another target after a failure;
//! * [`stated`]: what targets state with their responses;
//! * [`attempt`]: one attempt at a target;
//! * [`upstream`]: connections to targets;
//! * [`ends`]: whether a target crashed while it ran requests;
//! * [`limits`]: rate limits that targets state for all entry processes;
//! * [`retries`]: the retry budget, and reports of what was spent;
//! * [`quarantine`]: crash-inducing requests, refused by all entry processes;
//! * [`follow`]: configuration and targets from the platform's log;
//! * [`rollback`]: recovery after that log was restored from an older copy;
//! * [`peers`]: gossip among entry processes and agents;
//! * [`reply`]: responses that the entry process creates itself;
//! * [`outcome`]: how requests end, for metrics;
//! * [`readiness`], [`measure`]: readiness and metrics endpoints.
//!
//! The process has one thread: a VM has a fraction of one core, and state that
//! no other thread sees needs no locks.

#![forbid(unsafe_code)]

use std::{io, rc::Rc};

use cowsliproad_kernel::log;
use cowsliproad_net::{
    program::{self, Startup},
    tcp,
};
use slog::{Logger, info};
use tokio::net::{TcpListener, UdpSocket};

use crate::{entry::Entry, settings::Settings};

pub mod attempt;
pub mod call;
pub mod callers;
pub mod ends;
pub mod entry;
pub mod follow;
pub mod forward;
pub mod limits;
pub mod measure;
pub mod outcome;
pub mod peers;
pub mod quarantine;
pub mod readiness;
pub mod receive;
pub mod reply;
pub mod retries;
pub mod rollback;
pub mod settings;
pub mod stated;
pub mod stream;
pub mod upstream;

/// The name of the program in its log lines.
pub const LOG_NAME: &str = "direct";

/// The sockets at which an entry process receives.
struct Sockets {
    callers: TcpListener,
    readiness: Rc<TcpListener>,
    peers: Rc<TcpListener>,
    datagrams: Rc<UdpSocket>,
}

impl Sockets {
    /// Binds all sockets, the one for callers last: nothing answers them until
    /// all are bound.
    async fn bind(settings: &Settings, log: &Logger) -> io::Result<Sockets> {
        let peer_address = settings.own_peer_address();
        let datagrams = Rc::new(tcp::bind_udp(log, peer_address).await?);
        let peers = Rc::new(tcp::listen(log, peer_address).await?);
        let readiness = tcp::listen(log, settings.readiness_address).await?;
        let readiness = Rc::new(readiness);
        let callers = tcp::listen(log, settings.caller_listen_address).await?;
        tcp::bound_unread_bytes(&callers)?;
        Ok(Sockets { callers, readiness, peers, datagrams })
    }
}

/// Runs an entry process until it gets a stop signal and has finished its
/// requests.
pub async fn run(startup: Startup<Settings>) -> io::Result<()> {
    let Startup { settings, settings_watch, mut stop_signals } = startup;
    let log = log::logger(LOG_NAME, &settings.vm, settings.log_level);
    info!(log, "starting"; "callers" => %settings.caller_listen_address);
    let sockets = tokio::select! {
        sockets = Sockets::bind(&settings, &log) => sockets?,
        signal = stop_signals.recv() => {
            info!(log, "stopped"; "signal" => signal);
            return Ok(());
        }
    };
    info!(log, "started"; "callers" => %settings.caller_listen_address);
    let entry = Rc::new(Entry::new(settings, log.clone()));
    start_tasks(&entry, &sockets);
    let reloading_entry = entry.clone();
    let watching = settings_watch
        .watch(move |read| reloading_entry.reload_settings(read));
    tokio::task::spawn_local(watching);
    callers::serve_callers(&entry, sockets.callers, &mut stop_signals).await?;
    entry.report_stop();
    info!(log, "stopped");
    Ok(())
}

/// Starts the tasks that run for as long as the process.
fn start_tasks(entry: &Rc<Entry>, sockets: &Sockets) {
    let Sockets { readiness, peers, datagrams, .. } = sockets;
    entry.limits.borrow_mut().set_permit_socket(datagrams.clone());
    keep_running(entry, "readiness", readiness, |entry, listener| {
        readiness::serve_queries(entry, listener, readiness::answer_query)
    });
    keep_running(entry, "peer state", peers, |entry, listener| {
        readiness::serve_queries(entry, listener, peers::serve_entry_state)
    });
    keep_running(entry, "datagrams", datagrams, peers::receive_datagrams);
    keep_running(entry, "digests", datagrams, peers::broadcast_digests);
    keep_running(
        entry,
        "configuration",
        &Rc::default(),
        |entry, _: Rc<()>| follow::follow_config_topic(entry),
    );
    keep_running(entry, "targets", &Rc::default(), |entry, _: Rc<()>| {
        follow::follow_targets_topic(entry)
    });
    keep_running(entry, "quarantine", &Rc::default(), |entry, _: Rc<()>| {
        quarantine::follow_quarantine_topic(entry)
    });
    keep_running(entry, "records", &Rc::default(), |entry, _: Rc<()>| {
        quarantine::write_quarantine_records(entry)
    });
}

/// Keeps a task running that uses the entry process's state and a socket.
fn keep_running<S: 'static, F: Future<Output = ()> + 'static>(
    entry: &Rc<Entry>,
    task_name: &'static str,
    socket: &Rc<S>,
    start: impl Fn(Rc<Entry>, Rc<S>) -> F + 'static,
) {
    let (entry, socket) = (entry.clone(), socket.clone());
    tokio::task::spawn_local(async move {
        let start = || start(entry.clone(), socket.clone());
        let on_restart = || entry.metrics.record_task_restart(task_name);
        program::supervise(&entry.log, task_name, start, on_restart).await;
    });
}
