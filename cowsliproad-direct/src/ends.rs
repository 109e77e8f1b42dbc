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
//!
//! A target may go on with a request that was given up here, as long as it has
//! time: it waits its turn there and runs when nobody listens any more. So a
//! sign of life settles such a request only once its time is over, and puts
//! the question off until then. A request that was never written to a
//! connection is not asked about at all.

use std::{io, rc::Rc};

use cowsliproad_admission::quarantine::WorkDigest;
use cowsliproad_kernel::{Name, clock::Millis};
use slog::info;
use tokio::{net::TcpStream, time::sleep};

use crate::{
    entry::{Choice, Endpoint, Entry},
    quarantine::Extent,
};

/// What a report or answer may have taken on its way: one that came sooner
/// after a break may be from before it.
pub const MAX_LATENCY: Millis = Millis(100);

/// When a target without an agent is asked. Others whose connections broke
/// with it are asked about together.
const PLAIN_DELAY: Millis = Millis(150);

/// When one beside an agent is asked: its agent reports every 400 ms, so that
/// after a whole group was cut off no connection is made.
const AGENT_DELAY: Millis = Millis(550);

/// An agent that was silent for so long before won't speak.
const AGENT_TIMEOUT: Millis = Millis(1_000);

/// The time for a connection to be made or refused.
const CONNECT_TIMEOUT: Millis = Millis(250);

/// How often is asked when there is no answer, and the pause between.
const MAX_ASKED: u32 = 3;
const RETRY_BACKOFF: Millis = Millis(300);

/// Requests that are asked about at once, some 70 bytes each: all that a
/// target runs and has waiting from one entry. Those that were given up give
/// way to others, the oldest first.
const MAX_SUSPICIONS: usize = 64;

/// A request under which its target may have ended.
#[derive(Clone, Debug)]
pub struct Suspicion {
    request: Name,
    work: WorkDigest,
    /// When its connection broke or was given up, or since then the target
    /// was last seen to live.
    at: Millis,
    /// How long after that the target may still have been at work on it
    /// before it is asked.
    lingers: Millis,
    /// Until when the target may be at work on it at all.
    until: Millis,
    /// Whether the target had begun to answer it.
    has_progress: bool,
}

impl Suspicion {
    /// A request whose connection broke.
    pub fn broken(request: Name, work: WorkDigest) -> Suspicion {
        let at = Millis::now();
        Suspicion {
            request,
            work,
            at,
            lingers: Millis(0),
            until: at,
            has_progress: false,
        }
    }

    /// One of whose answer an event had come.
    pub fn with_progress(self, has_progress: bool) -> Suspicion {
        Suspicion { has_progress, ..self }
    }

    /// A request that was given up here, and that the target may go on with
    /// until its time is over.
    pub fn given_up(
        request: Name,
        work: WorkDigest,
        until: Millis,
    ) -> Suspicion {
        let broken = Suspicion::broken(request, work);
        let lingers = LINGER_INTERVAL;
        let until = until.min(broken.at + LONGEST_LINGER);
        Suspicion { lingers, until, ..broken }
    }

    fn is_given_up(&self) -> bool {
        self.lingers > Millis(0)
    }

    /// What is still suspected once the target is seen to live.
    fn renewed(&self, now: Millis) -> Option<Suspicion> {
        (self.until > now).then(|| Suspicion { at: now, ..self.clone() })
    }

    /// From when on a sign of life says that the target outlived it.
    fn counts_from(&self) -> Millis {
        self.at + self.lingers + MAX_LATENCY
    }
}

/// When a target is first asked that may go on with a request whose connection
/// was reset. Most drop it at once; one that reads it late has a tenth of a
/// second to begin and another to end. Others have it wait its turn for as
/// long as it has time; these are looked at again as often.
const LINGER_INTERVAL: Millis = Millis(500);

/// The longest that a request's time may be: that of streams, and a quarter
/// more.
const LONGEST_LINGER: Millis = Millis(10_000);

/// What became of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    Lives,
    Ended,
    /// Nobody can tell.
    Unknown,
}

/// Asks whether a target ended under a request.
pub fn suspect(entry: &Rc<Entry>, choice: &Choice, suspect: Suspicion) {
    let mut endpoint = choice.endpoint.borrow_mut();
    if endpoint.suspicions.len() >= MAX_SUSPICIONS {
        entry.measure.suspected(1, "untold");
        let oldest =
            endpoint.suspicions.iter().position(Suspicion::is_given_up);
        let Some(oldest) = oldest else { return };
        endpoint.suspicions.remove(oldest);
    }
    endpoint.suspicions.push(suspect);
    if endpoint.suspicions.len() == 1 {
        tokio::task::spawn_local(probe(entry.clone(), choice.clone()));
    }
}

/// Looks until nothing is suspected.
async fn probe(entry: Rc<Entry>, choice: Choice) {
    let mut asked = 0;
    loop {
        let Some(due) = settle_by_signs(&entry, &choice) else { return };
        let now = Millis::now();
        let cooldown_end = entry.cooldown_end(&choice.target, now);
        let due = cooldown_end
            .map_or(due, |end| due.max(end.min(due + LONGEST_LINGER)));
        let wait = due.since(now);
        if wait > Millis(0) {
            tokio::select! {
                () = sleep(wait.duration()) => {}
                // An agent may have said what became of it.
                () = entry.news.notified() => {}
            }
            continue;
        }
        let asked_at = Millis::now();
        let fate = match cooldown_end {
            // Not even a connection is made to a target that wants none.
            Some(_) => Fate::Unknown,
            None => ask(&entry, &choice).await,
        };
        asked += 1;
        if fate == Fate::Unknown && asked < MAX_ASKED {
            sleep(RETRY_BACKOFF.duration()).await;
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
        let endpoint = choice.endpoint.borrow();
        (endpoint.lived, endpoint.lost)
    };
    let outlived =
        |it: &Suspicion| lived.is_some_and(|at| it.counts_from() <= at);
    settle(entry, choice, Fate::Lives, outlived);
    let ended =
        |it: &Suspicion| lost.is_some_and(|at| it.at <= at + MAX_LATENCY);
    settle(entry, choice, Fate::Ended, ended);
    let endpoint = choice.endpoint.borrow();
    let due = |it: &Suspicion| it.at + it.lingers + patience(&endpoint, it.at);
    endpoint.suspicions.iter().map(due).min()
}

fn patience(endpoint: &Endpoint, since: Millis) -> Millis {
    let heard = endpoint.group.as_ref().map(|it| since.since(it.heard));
    match heard {
        Some(age) if age < AGENT_TIMEOUT => AGENT_DELAY,
        _ => PLAIN_DELAY,
    }
}

async fn ask(entry: &Entry, choice: &Choice) -> Fate {
    let newest = choice.endpoint.borrow().suspicions.last().map(|it| it.at);
    let since = newest.unwrap_or_default() + MAX_LATENCY;
    let opening = TcpStream::connect(choice.target.address);
    match tokio::time::timeout(CONNECT_TIMEOUT.duration(), opening).await {
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
    is_settled: impl Fn(&Suspicion) -> bool,
) {
    let now = Millis::now();
    let mut settled = Vec::new();
    choice.endpoint.borrow_mut().suspicions.retain_mut(|it| {
        if !is_settled(it) {
            return true;
        }
        let lives_on = fate == Fate::Lives;
        if let Some(renewed) = it.renewed(now).filter(|_| lives_on) {
            *it = renewed;
            return true;
        }
        settled.push(it.clone());
        false
    });
    if settled.is_empty() {
        return;
    }
    match fate {
        Fate::Lives => entry.measure.suspected(settled.len(), "lives"),
        Fate::Unknown => entry.measure.suspected(settled.len(), "unknown"),
        Fate::Ended => {
            entry.measure.suspected(settled.len(), "ended");
            for suspect in settled {
                note_end(entry, choice, &suspect);
            }
        }
    }
}

/// Notes that a target ended under a request.
fn note_end(entry: &Entry, choice: &Choice, suspect: &Suspicion) {
    let age = Millis::now().since(suspect.at);
    // Of what a rank runs, most has begun to answer, and one that crashes it
    // mostly does so before that.
    let in_group = choice.endpoint.borrow().group.is_some();
    let is_likely = !suspect.has_progress && !suspect.is_given_up();
    let extent =
        if in_group && is_likely { Extent::Group } else { Extent::Target };
    info!(entry.log, "ended_under"; "target" => &*choice.target.id,
        "request" => &*suspect.request, "work" => %suspect.work,
        "known_after" => age.0, "extent" => ?extent);
    entry.note_ended(&choice.target, suspect.work, extent, Millis::now());
}
