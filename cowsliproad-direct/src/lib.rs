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

use std::{io, path::PathBuf, rc::Rc};

use cowsliproad_kernel::log;
use cowsliproad_net::{program, tcp};
use slog::info;
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

/// Runs an entry process until it gets a stop signal and has finished its
/// requests.
pub async fn run(
    settings_path: PathBuf,
    settings: Settings,
) -> io::Result<()> {
    let log = log::logger("direct", &settings.vm, settings.log_level);
    let caller_listener =
        TcpListener::bind(settings.caller_listen_address).await?;
    tcp::bound_unread_bytes(&caller_listener)?;
    let readiness_listener =
        TcpListener::bind(settings.readiness_address).await?;
    let peer_listener = TcpListener::bind(settings.own_peer_address()).await?;
    let peer_socket =
        Rc::new(UdpSocket::bind(settings.own_peer_address()).await?);
    info!(log, "started"; "callers" => %settings.caller_listen_address);
    let entry = Rc::new(Entry::new(settings, log.clone()));
    entry.limits.borrow_mut().set_permit_socket(peer_socket.clone());
    let readiness_server = readiness::serve_queries(
        entry.clone(),
        readiness_listener,
        readiness::answer_query,
    );
    tokio::task::spawn_local(readiness_server);
    let state_server = readiness::serve_queries(
        entry.clone(),
        peer_listener,
        peers::serve_entry_state,
    );
    tokio::task::spawn_local(state_server);
    tokio::task::spawn_local(peers::receive_datagrams(
        entry.clone(),
        peer_socket.clone(),
    ));
    tokio::task::spawn_local(peers::broadcast_digests(
        entry.clone(),
        peer_socket,
    ));
    tokio::task::spawn_local(follow::follow_config_topic(entry.clone()));
    tokio::task::spawn_local(follow::follow_targets_topic(entry.clone()));
    tokio::task::spawn_local(quarantine::follow_quarantine_topic(
        entry.clone(),
    ));
    tokio::task::spawn_local(quarantine::write_quarantine_records(
        entry.clone(),
    ));
    let reloading_entry = entry.clone();
    let settings_watch = program::watch_settings(settings_path, move |read| {
        reloading_entry.reload_settings(read)
    });
    tokio::task::spawn_local(settings_watch);
    callers::serve_callers(&entry, caller_listener).await?;
    entry.report_stop();
    info!(log, "stopped");
    Ok(())
}
