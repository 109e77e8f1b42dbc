//! Work under which the target's process ended.
//!
//! The agent stands on the target's own VM, so a refused connection says for
//! certain that nobody listens there. It tells all entries of the work that
//! was broken off then, and those that link later. What follows is decided by
//! entries, which hear of all targets; see
//! [`cowsliproad_admission::quarantine`].
//!
//! Entries hear it before the answer to that work, on the same link: one
//! request goes to another target at each attempt, and would end four of them
//! in the quarter of a second between two heartbeats. They also hear that the
//! process is gone and that it is back, and send nothing there meanwhile.

use std::{
    collections::VecDeque,
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use cowsliproad_admission::quarantine::{
    self, CrashId, CrashLedger, QuarantineChange,
};
use cowsliproad_kernel::{
    clock::Millis,
    code::{Code, ExecutionStatus},
    gossip::CrashSuspectRequest,
    id,
    sync::lock,
    wire::{RequestFailure, TargetPresence},
};
use slog::info;
use tokio::{
    io::AsyncReadExt,
    net::TcpStream,
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{gate::Gate, links::Links, work::Work};

/// The time for a connection on the same VM to be made or refused.
const ASK_TIME: Duration = Duration::from_millis(100);

/// Breaks within so long are of one end: no target starts again sooner.
const ONE_END: Millis = Millis(300);

/// A process closes its listener and its connections one after the other. It
/// is asked once more after this time, which it never takes to start again.
const CLOSE_TIME: Duration = Duration::from_millis(50);

/// How often it is looked whether the target is back, or still there while it
/// may be at work that was given up: one connection on the same VM each time.
const LOOK_TIME: Duration = Duration::from_millis(100);

/// How long a target may go on with work that was given up, if its deadline
/// is nearer. Ten times the usual work.
const LINGER_TIME: Millis = Millis(1_000);

/// The longest pause between idle connections to a target that closes them.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Work that was given up and is remembered, 16 bytes a piece: all that waits
/// at a target.
const MAX_LEFT: usize = 256;

/// What ended the target, and whether it is there.
#[derive(Debug)]
pub struct Ends {
    target: String,
    inner: Mutex<Inner>,
    /// Wakes whoever looks after it while it is gone or has work that was
    /// given up.
    watch: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    ledger: CrashLedger,
    /// The last end and when it was seen.
    last: Option<(CrashId, Millis)>,
    /// Work that entries are to be told of.
    news: Vec<quarantine::WorkDigest>,
    presence: TargetPresence,
    /// Whether entries are to be told of that.
    changed: bool,
    /// Work that was given up, and until when the target may go on with it.
    left: VecDeque<(quarantine::WorkDigest, Millis)>,
}

/// What was seen of the target after work failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Seen {
    /// All that there is to see.
    Enough,
    /// Somebody still listens, which an ending process may do for a moment.
    Listens,
}

impl Ends {
    /// Nothing seen yet by this process before a target.
    pub fn new(target: &str, incarnation: id::Incarnation) -> Ends {
        Ends {
            target: format!("{target} {incarnation}"),
            inner: Mutex::default(),
            watch: Notify::new(),
        }
    }

    /// Whether the target's process is there.
    pub fn presence(&self) -> TargetPresence {
        lock(&self.inner).presence
    }

    /// Whether there is anything that entries haven't been told yet.
    pub fn has_news(&self) -> bool {
        let inner = lock(&self.inner);
        inner.changed || !inner.news.is_empty()
    }

    /// What entries haven't been told yet.
    pub fn take_news(&self) -> Vec<CrashSuspectRequest> {
        let mut inner = lock(&self.inner);
        inner.changed = false;
        let news = std::mem::take(&mut inner.news);
        let now = Millis::now();
        let known = |it: &quarantine::WorkDigest| {
            inner.ledger.export_suspect(*it, now)
        };
        news.iter().filter_map(known).collect()
    }

    /// All that an entry is told that has just linked.
    pub fn known(&self) -> Vec<CrashSuspectRequest> {
        let mut inner = lock(&self.inner);
        let now = Millis::now();
        inner.ledger.evict_expired_cases(now);
        inner.ledger.snapshot_suspects(now)
    }

    /// Notes that the target outlived work.
    pub fn outlived(&self, work: quarantine::WorkDigest) {
        let mut inner = lock(&self.inner);
        if inner.ledger.record_survived_request(work, Millis::now())
            != QuarantineChange::None
        {
            inner.news.push(work);
        }
    }

    fn ended(&self, work: quarantine::WorkDigest) {
        let now = Millis::now();
        let mut inner = lock(&self.inner);
        let end = match inner.last {
            Some((end, at)) if now.since(at) < ONE_END => end,
            _ => CrashId::new(&self.target, now.0),
        };
        inner.last = Some((end, now));
        inner.ledger.record_crash(work, end, now);
        inner.news.push(work);
    }

    /// Notes whether the target's process is there. Returns whether that is
    /// new.
    fn note(&self, presence: TargetPresence) -> bool {
        let mut inner = lock(&self.inner);
        let is_new = inner.presence != presence;
        inner.presence = presence;
        inner.changed |= is_new;
        drop(inner);
        if presence == TargetPresence::Gone {
            self.watch.notify_one();
        }
        is_new
    }

    /// Notes that work was given up, which the target may go on with.
    fn leave(&self, work: quarantine::WorkDigest, until: Millis) {
        let mut inner = lock(&self.inner);
        if inner.left.len() >= MAX_LEFT {
            inner.left.pop_front();
        }
        inner.left.push_back((work, until));
        drop(inner);
        self.watch.notify_one();
    }

    /// Whether the target is to be looked after.
    fn is_watched(&self) -> bool {
        let inner = lock(&self.inner);
        inner.presence == TargetPresence::Gone || !inner.left.is_empty()
    }

    /// Notes that the target lived at a moment: what it had time for until
    /// then did not end it.
    fn lived(&self, at: Millis) {
        lock(&self.inner).left.retain(|it| at < it.1);
    }

    /// The work that was given up and that the target may have been at.
    fn take_left(&self) -> Vec<quarantine::WorkDigest> {
        let left = std::mem::take(&mut lock(&self.inner).left);
        left.into_iter().map(|it| it.0).collect()
    }
}

/// Asks whether the target ended under work that failed.
pub async fn look(gate: &Gate, work: &Work, failure: RequestFailure) -> Seen {
    if failure.code != Code::TargetFailed {
        if failure.ran == ExecutionStatus::OutcomeUnknown {
            let until = Millis::now() + LINGER_TIME;
            gate.ends.leave(work.kind(), until.max(work.deadline));
        }
        return Seen::Enough;
    }
    let is_gone = nobody_listens(gate).await;
    match (failure.ran, is_gone) {
        (ExecutionStatus::OutcomeUnknown, true) => {
            note_end(gate, work);
            Seen::Enough
        }
        (ExecutionStatus::OutcomeUnknown, false) => Seen::Listens,
        // It was gone before this work came.
        (_, true) => {
            note_presence(gate, TargetPresence::Gone);
            Seen::Enough
        }
        (_, false) => Seen::Enough,
    }
}

/// Asks a moment later whether the target ended under work.
pub async fn look_again(gate: &Gate, work: &Work) {
    sleep(CLOSE_TIME).await;
    if nobody_listens(gate).await {
        note_end(gate, work);
    }
}

/// Looks after the target for as long as the agent runs: whether it is back
/// when it was gone, and whether it ends under work that was given up. Tells
/// entries.
pub async fn follow(gate: Arc<Gate>, links: Arc<Links>) {
    loop {
        gate.ends.watch.notified().await;
        while gate.ends.is_watched() {
            let asked = Millis::now();
            if nobody_listens(&gate).await {
                note_left(&gate);
                note_presence(&gate, TargetPresence::Gone);
            } else {
                gate.ends.lived(asked);
                note_presence(&gate, TargetPresence::Here);
            }
            links.tell_news();
            sleep(LOOK_TIME).await;
        }
    }
}

/// Sees whether the process ends that asked to be left alone, for as long as
/// the agent runs. Tells entries: the one that follows it asked for nothing.
pub async fn watch_cooldown(gate: Arc<Gate>, links: Arc<Links>) {
    loop {
        let changed = gate.pace.changes();
        let left = gate.pace.cooldown(Millis::now());
        if left.0 == 0 {
            changed.await;
            continue;
        }
        tokio::select! {
            () = changed => {}
            () = sleep(left.duration()) => {}
            () = until_ended(&gate) => {
                note_presence(&gate, TargetPresence::Gone);
                links.tell_news();
            }
        }
    }
}

/// Waits until the target's process is gone. An idle connection tells, which
/// asks nothing of the process.
async fn until_ended(gate: &Gate) {
    let mut pause = CLOSE_TIME;
    loop {
        match TcpStream::connect(gate.settings.target).await {
            Ok(mut stream) => {
                let mut bytes = [0; 64];
                while matches!(stream.read(&mut bytes).await, Ok(1..)) {}
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return;
            }
            Err(_) => {}
        }
        // The listener of a process that ends may go after its connections.
        sleep(pause).await;
        pause = MAX_PAUSE.min(2 * pause);
    }
}

/// Notes that the target ended under work that had been given up.
fn note_left(gate: &Gate) {
    for kind in gate.ends.take_left() {
        info!(gate.log(), "ended_under_left"; "work" => %kind,
            "target" => %gate.settings.target);
        gate.ends.ended(kind);
    }
}

fn note_end(gate: &Gate, work: &Work) {
    let kind = work.kind();
    info!(gate.log(), "ended_under";
        "request" => %work.request, "work" => %kind,
        "target" => %gate.settings.target);
    gate.ends.ended(kind);
    note_presence(gate, TargetPresence::Gone);
}

fn note_presence(gate: &Gate, presence: TargetPresence) {
    if presence == TargetPresence::Gone {
        gate.pace.forget();
    }
    if gate.ends.note(presence) {
        info!(gate.log(), "target_presence";
            "target" => %gate.settings.target, "is" => ?presence);
    }
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
