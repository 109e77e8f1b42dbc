//! Whether a target's process ended under its requests.
//!
//! A connection that breaks under a request says little: the target may have
//! ended, its group may have stalled, an answer may be lost, or only the
//! connection went. A caller that leaves says nothing at all. So it is asked
//! a moment later whether the target lives. Its agent, which stands on the
//! same VM, says that it reads its report or that its process is gone, and an
//! answer to anybody says that it lives. Where neither comes, a new connection
//! tells: a VM whose process is gone refuses it. So does a zone that is cut
//! off with resets, so a refusal counts only while somebody else in that zone
//! is heard from. Silence tells nothing, as when a VM is frozen, cut off or
//! without power.

use std::{io, rc::Rc};

use cowsliproad_admission::quarantine::Work;
use cowsliproad_kernel::{Name, clock::Millis};
use slog::info;
use tokio::{net::TcpStream, time::sleep};

use crate::entry::{Choice, Entry, Seat};

/// What a report or answer may have taken on its way: one that came sooner
/// after a break may be from before it. Some 5 ms each, and more where a VM
/// has used up its share of a tenth of a second.
const WAY_TIME: Millis = Millis(100);

/// When a target without an agent is asked. Others whose connections broke
/// with it are asked about together.
const PLAIN_TIME: Millis = Millis(150);

/// When one beside an agent is asked: its agent reports every 400 ms, so that
/// after a whole group was cut off no connection is made.
const AGENT_TIME: Millis = Millis(550);

/// An agent that was silent for so long before won't speak.
const MUTE_TIME: Millis = Millis(1_000);

/// The time for a connection to be made or refused. Both take 3 ms.
const ASK_TIME: Millis = Millis(250);

/// How often is asked when there is no answer, and the pause between.
const MOST_ASKED: u32 = 3;
const PAUSE: Millis = Millis(300);

/// Requests that are asked about at once, some 50 bytes each: all that a
/// target runs and has waiting from one entry.
const MOST_DOUBTS: usize = 64;

/// A request under which its target may have ended.
#[derive(Clone, Debug)]
pub struct Doubt {
    request: Name,
    work: Work,
    /// When its connection broke or was given up.
    at: Millis,
    /// How long after that the target may still have been at work on it.
    lingers: Millis,
}

impl Doubt {
    /// A request whose connection broke.
    pub fn broken(request: Name, work: Work) -> Doubt {
        Doubt { request, work, at: Millis::now(), lingers: Millis(0) }
    }

    /// A request that was given up here.
    pub fn given_up(request: Name, work: Work) -> Doubt {
        let lingers = LINGER_TIME;
        Doubt { lingers, ..Doubt::broken(request, work) }
    }

    /// From when on a sign of life says that the target outlived it.
    fn counts_from(&self) -> Millis {
        self.at + self.lingers + WAY_TIME
    }
}

/// How long a target may go on with a request whose connection was reset. Most
/// drop it at once; one that reads it late has a tenth of a second to begin
/// and another to end.
const LINGER_TIME: Millis = Millis(500);

/// What became of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    Lives,
    Ended,
    /// Nobody can tell.
    Unknown,
}

/// Asks whether a target ended under a request.
pub fn doubt(entry: &Rc<Entry>, choice: &Choice, doubt: Doubt) {
    let mut seat = choice.seat.borrow_mut();
    if seat.doubts.len() >= MOST_DOUBTS {
        entry.measure.doubted(1, "untold");
        return;
    }
    seat.doubts.push(doubt);
    if seat.doubts.len() == 1 {
        tokio::task::spawn_local(look(entry.clone(), choice.clone()));
    }
}

/// Looks until nothing is in doubt.
async fn look(entry: Rc<Entry>, choice: Choice) {
    let mut asked = 0;
    loop {
        let Some(due) = settle_by_signs(&entry, &choice) else { return };
        let wait = due.since(Millis::now());
        if wait > Millis(0) {
            tokio::select! {
                () = sleep(wait.duration()) => {}
                // An agent may have said what became of it.
                () = entry.news.notified() => {}
            }
            continue;
        }
        let asked_at = Millis::now();
        let fate = ask(&entry, &choice).await;
        asked += 1;
        if fate == Fate::Unknown && asked < MOST_ASKED {
            sleep(PAUSE.duration()).await;
            continue;
        }
        settle(&entry, &choice, fate, |it| it.at + it.lingers <= asked_at);
        asked = 0;
    }
}

/// Settles what signs of life have settled, and says when to ask about the
/// rest.
fn settle_by_signs(entry: &Entry, choice: &Choice) -> Option<Millis> {
    let (lived, lost) = {
        let seat = choice.seat.borrow();
        (seat.lived, seat.lost)
    };
    let outlived = |it: &Doubt| lived.is_some_and(|at| it.counts_from() <= at);
    settle(entry, choice, Fate::Lives, outlived);
    let ended = |it: &Doubt| lost.is_some_and(|at| it.at <= at + WAY_TIME);
    settle(entry, choice, Fate::Ended, ended);
    let seat = choice.seat.borrow();
    let due = |it: &Doubt| it.at + it.lingers + patience(&seat, it.at);
    seat.doubts.iter().map(due).min()
}

fn patience(seat: &Seat, since: Millis) -> Millis {
    let heard = seat.group.as_ref().map(|it| since.since(it.heard));
    match heard {
        Some(age) if age < MUTE_TIME => AGENT_TIME,
        _ => PLAIN_TIME,
    }
}

async fn ask(entry: &Entry, choice: &Choice) -> Fate {
    let newest = choice.seat.borrow().doubts.last().map(|it| it.at);
    let since = newest.unwrap_or_default() + WAY_TIME;
    let opening = TcpStream::connect(choice.target.address);
    match tokio::time::timeout(ASK_TIME.duration(), opening).await {
        Ok(Ok(_)) => Fate::Lives,
        Ok(Err(error))
            if error.kind() == io::ErrorKind::ConnectionRefused
                && entry.reaches(&choice.target.zone, since) =>
        {
            Fate::Ended
        }
        Ok(Err(_)) | Err(_) => Fate::Unknown,
    }
}

fn settle(
    entry: &Entry,
    choice: &Choice,
    fate: Fate,
    is_settled: impl Fn(&Doubt) -> bool,
) {
    let mut settled = Vec::new();
    choice.seat.borrow_mut().doubts.retain(|it| {
        let keep = !is_settled(it);
        if !keep {
            settled.push(it.clone());
        }
        keep
    });
    if settled.is_empty() {
        return;
    }
    match fate {
        Fate::Lives => entry.measure.doubted(settled.len(), "lives"),
        Fate::Unknown => entry.measure.doubted(settled.len(), "unknown"),
        Fate::Ended => {
            entry.measure.doubted(settled.len(), "ended");
            for doubt in settled {
                note_end(entry, choice, &doubt);
            }
        }
    }
}

/// Notes that a target ended under a request.
fn note_end(entry: &Entry, choice: &Choice, doubt: &Doubt) {
    let age = Millis::now().since(doubt.at);
    info!(entry.log, "ended_under"; "target" => &*choice.target.id,
        "request" => &*doubt.request, "work" => %doubt.work,
        "known_after" => age.0);
    entry.note_ended(&choice.target, doubt.work, Millis::now());
}
