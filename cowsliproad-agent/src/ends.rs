//! Work under which the target's process ended.
//!
//! The agent stands on the target's own VM, so a refused connection says for
//! certain that nobody listens there. It tells all entries of the work that
//! was broken off then, and those that link later. What follows is decided by
//! entries, which hear of all targets; see
//! [`cowsliproad_admission::quarantine`].

use std::{io, sync::Mutex, time::Duration};

use cowsliproad_admission::quarantine::{self, Change, End, Ledger};
use cowsliproad_kernel::{
    clock::Millis,
    code::{Code, Ran},
    gossip::Suspect,
    id,
    sync::lock,
    wire::{Failure, Format},
};
use slog::info;
use tokio::{net::TcpStream, time::timeout};

use crate::{gate::Gate, work::Work};

/// The time for a connection on the same VM to be made or refused.
const ASK_TIME: Duration = Duration::from_millis(100);

/// Breaks within so long are of one end: no target starts again sooner.
const ONE_END: Millis = Millis(300);

/// What ended the target.
#[derive(Debug)]
pub struct Ends {
    target: String,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    ledger: Ledger,
    /// The last end and when it was seen.
    last: Option<(End, Millis)>,
    /// Work that entries are to be told of.
    news: Vec<quarantine::Work>,
}

impl Ends {
    /// Nothing seen yet by this process before a target.
    pub fn new(target: &str, incarnation: id::Incarnation) -> Ends {
        Ends {
            target: format!("{target} {incarnation}"),
            inner: Mutex::default(),
        }
    }

    /// What entries haven't been told yet.
    pub fn take_news(&self) -> Vec<Suspect> {
        let mut inner = lock(&self.inner);
        let news = std::mem::take(&mut inner.news);
        let now = Millis::now();
        let known = |it: &quarantine::Work| inner.ledger.suspect(*it, now);
        news.iter().filter_map(known).collect()
    }

    /// All that an entry is told that has just linked.
    pub fn known(&self) -> Vec<Suspect> {
        let mut inner = lock(&self.inner);
        let now = Millis::now();
        inner.ledger.sweep(now);
        inner.ledger.known(now)
    }

    fn outlived(&self, work: quarantine::Work) {
        let mut inner = lock(&self.inner);
        if inner.ledger.outlived(work, Millis::now()) != Change::None {
            inner.news.push(work);
        }
    }

    fn ended(&self, work: quarantine::Work) {
        let now = Millis::now();
        let mut inner = lock(&self.inner);
        let end = match inner.last {
            Some((end, at)) if now.since(at) < ONE_END => end,
            _ => End::new(&self.target, now.0),
        };
        inner.last = Some((end, now));
        inner.ledger.ended(work, end, now);
        inner.news.push(work);
    }
}

/// Notes how work went, and asks whether the target ended under it.
pub async fn look(gate: &Gate, work: &Work, result: Result<Format, Failure>) {
    let kind = work.kind();
    match result {
        Ok(_) => gate.ends.outlived(kind),
        Err(failure) if may_have_ended(&failure) => {
            if nobody_listens(gate).await {
                info!(gate.log(), "ended_under";
                    "request" => %work.request, "work" => %kind,
                    "target" => %gate.settings.target);
                gate.ends.ended(kind);
            }
        }
        Err(_) => {}
    }
}

fn may_have_ended(failure: &Failure) -> bool {
    failure.code == Code::TargetFailed && failure.ran == Ran::OutcomeUnknown
}

async fn nobody_listens(gate: &Gate) -> bool {
    let connecting = TcpStream::connect(gate.settings.target);
    let refused = io::ErrorKind::ConnectionRefused;
    match timeout(ASK_TIME, connecting).await {
        Ok(Err(error)) => error.kind() == refused,
        // One that is frozen or overloaded has not ended.
        Ok(Ok(_)) | Err(_) => false,
    }
}
