//! An entry that forwards callers' requests straight to targets.
//!
//! Where a target says truthfully that it did not run a request, and refuses
//! one that was meant for another incarnation, one entry alone can keep "at
//! most once" and "not run". Tickets and the hop through an agent buy
//! nothing there.
//!
//! * [`settings`]: the settings file;
//! * [`entry`]: what the process believes, shared by all its tasks;
//! * [`callers`]: connections of callers and their requests;
//! * [`receive`]: a request read whole, and where it goes;
//! * [`forward`]: from a request to its answer;
//! * [`call`]: tries at targets, and what may follow each;
//! * [`stream`]: answers that are streams of events, resumed elsewhere;
//! * [`stated`]: what targets state with their answers;
//! * [`attempt`]: one attempt at a target;
//! * [`upstream`]: connections to targets;
//! * [`ends`]: whether a target ended under its requests;
//! * [`limits`]: targets that name how much they take from all entries;
//! * [`quarantine`]: all entries refuse requests that crash their targets;
//! * [`follow`]: configuration and targets from the platform's log;
//! * [`rollback`]: what is done when that log comes back from an older copy;
//! * [`peers`]: what entries and agents tell one another;
//! * [`reply`]: the entry's own answers;
//! * [`readiness`], [`measure`]: what the balancer and operators ask.
//!
//! One thread does it all: a VM has a part of one core, and state that no
//! other thread sees needs no locks.

#![forbid(unsafe_code)]

use std::{io, path::PathBuf, rc::Rc};

use cowsliproad_kernel::log;
use cowsliproad_net::program;
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
pub mod peers;
pub mod quarantine;
pub mod readiness;
pub mod receive;
pub mod reply;
pub mod rollback;
pub mod settings;
pub mod stated;
pub mod stream;
pub mod upstream;

/// Runs an entry until it is told to stop and has finished its requests.
pub async fn run(path: PathBuf, settings: Settings) -> io::Result<()> {
    let log = log::logger("direct", &settings.vm, settings.log_level);
    let callers = TcpListener::bind(settings.caller_address).await?;
    let readiness = TcpListener::bind(settings.readiness_address).await?;
    let peer_calls = TcpListener::bind(settings.peer_address()).await?;
    let datagrams = Rc::new(UdpSocket::bind(settings.peer_address()).await?);
    info!(log, "started"; "callers" => %settings.caller_address);
    let entry = Rc::new(Entry::new(settings, log.clone()));
    entry.limits.borrow_mut().set_socket(datagrams.clone());
    let answers =
        readiness::serve(entry.clone(), readiness, readiness::answer);
    tokio::task::spawn_local(answers);
    let states =
        readiness::serve(entry.clone(), peer_calls, peers::serve_state);
    tokio::task::spawn_local(states);
    tokio::task::spawn_local(peers::receive_datagrams(
        entry.clone(),
        datagrams.clone(),
    ));
    tokio::task::spawn_local(peers::broadcast_digests(
        entry.clone(),
        datagrams,
    ));
    tokio::task::spawn_local(follow::follow_catalog(entry.clone()));
    tokio::task::spawn_local(follow::follow_targets(entry.clone()));
    tokio::task::spawn_local(quarantine::follow_quarantine(entry.clone()));
    tokio::task::spawn_local(quarantine::write_quarantine_records(
        entry.clone(),
    ));
    let reloaded = entry.clone();
    let reload =
        program::watch_settings(path, move |read| reloaded.reload(read));
    tokio::task::spawn_local(reload);
    callers::serve(&entry, callers).await?;
    info!(log, "stopped");
    Ok(())
}
