//! Answers that are streams of events, resumed at another target within one
//! answer.
//!
//! The caller gets whole events only. When a target breaks off, the stream
//! goes on at another one after the last event that was passed on, so none
//! is missing, doubled or joined. The answer keeps the head of its first
//! target. A stream that can't go on is cut, so that it doesn't look
//! complete.

use std::rc::Rc;

use cowsliproad_kernel::clock::Millis;
use cowsliproad_relay::events::{EventSplitter, ServerSentEvent};
use http::{Response, header as standard, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use slog::info;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};

use crate::{
    attempt::Attempt,
    call::{AttemptError, Call, Opened, read_whole},
    callers::Busy,
    entry::{Choice, Entry, Group},
    receive::drop_hop_by_hop,
    reply::{Body, Piece},
    upstream::Lease,
};

/// Pieces that wait for a slow reader, a second's worth of events.
const WAITING_PIECES: usize = 16;

/// How long a target may be silent while its group goes on. Ten passes.
const SILENCE_TIMEOUT: Millis = Millis(800);

/// How often a silent stream is looked at.
const SILENCE_CHECK_INTERVAL: Millis = Millis(400);

/// From this pace on a target's streams are moved, in percent of the usual. A
/// move costs its new target that the prompt is read again.
const SLOW_PERCENT: u32 = 300;

/// Passes that a group must have begun to go on.
const PASSES: u64 = 6;

/// One target's part of a stream.
struct Run {
    choice: Choice,
    attempt: Attempt,
    body: Incoming,
    lease: Option<Lease>,
    splitter: EventSplitter,
    last_bytes: Moment,
    /// The news that it knows of.
    news: u64,
}

/// What came next.
enum Next {
    Event(ServerSentEvent),
    End,
    Failed(AttemptError),
}

/// Answers with a stream.
pub async fn run(
    entry: &Rc<Entry>,
    mut call: Call,
    busy: Busy,
) -> Response<Body> {
    let (head, run, first) = loop {
        let choice = match call.next_target(entry).await {
            Ok(choice) => choice,
            Err(answer) => return answer,
        };
        match begin(entry, &mut call, &choice).await {
            Ok(Begun::Stream(head, run, first)) => break (head, run, first),
            Ok(Begun::Whole(answer)) => return answer,
            Err(error) => {
                choice.on_attempt_failed(entry, &error);
                if let Some(answer) =
                    call.on_attempt_failed(entry, &choice, error).await
                {
                    return answer;
                }
            }
        }
    };
    let (pieces, body) = mpsc::channel(WAITING_PIECES);
    let relay = Relay {
        entry: entry.clone(),
        call,
        pieces,
        last: None,
        events: 0,
        given: None,
        pause: Millis(0),
    };
    tokio::task::spawn_local(relay.run(*run, first, busy));
    Response::from_parts(head, Body::Events(body))
}

enum Begun {
    /// A stream with its first event.
    Stream(response::Parts, Box<Run>, Option<ServerSentEvent>),
    /// A failure, passed on as it is.
    Whole(Response<Body>),
}

/// Sends the request and waits for the first event.
async fn begin(
    entry: &Rc<Entry>,
    call: &mut Call,
    choice: &Choice,
) -> Result<Begun, AttemptError> {
    let mut run = match open(entry, call, choice, None).await? {
        Ok(opened) => opened,
        Err(opened) => {
            return read_whole(opened).await.map(Begun::Whole);
        }
    };
    let end = call.end();
    let (mut head, run_ref) = (run.0, &mut run.1);
    let first = match run_ref.next(entry, end).await {
        Next::Event(event) => Some(event),
        Next::End => None,
        Next::Failed(error) => {
            run_ref.attempt.left(&error);
            return Err(error);
        }
    };
    drop_hop_by_hop(&mut head.headers);
    head.headers.remove(standard::CONTENT_LENGTH);
    Ok(Begun::Stream(head, Box::new(run.1), first))
}

/// Opens a run; an answer that is no stream is the inner error.
async fn open(
    entry: &Rc<Entry>,
    call: &mut Call,
    choice: &Choice,
    resume: Option<u64>,
) -> Result<Result<(response::Parts, Run), Opened>, AttemptError> {
    let attempt = Attempt::new(entry, call, choice);
    let opened = answer(entry, call, choice, &attempt, resume).await?;
    if !opened.head.status.is_success() {
        attempt.outlived();
        return Ok(Err(opened));
    }
    let run = Run {
        choice: choice.clone(),
        attempt,
        body: opened.body,
        lease: Some(opened.lease),
        splitter: EventSplitter::new(),
        last_bytes: Moment::new(entry, choice),
        news: 0,
    };
    Ok(Ok((opened.head, run)))
}

/// Waits for the head of an answer, for as long as the target is well.
async fn answer(
    entry: &Rc<Entry>,
    call: &mut Call,
    choice: &Choice,
    attempt: &Attempt,
    resume: Option<u64>,
) -> Result<Opened, AttemptError> {
    let (end, work) = (call.end(), call.work);
    let since = Moment::new(entry, choice);
    let mut opening =
        std::pin::pin!(call.open(entry, choice, attempt, resume));
    loop {
        let look = Instant::now() + SILENCE_CHECK_INTERVAL.duration();
        tokio::select! {
            opened = &mut opening => {
                return opened.inspect_err(|error| attempt.left(error));
            }
            () = entry.news.notified() => {}
            () = sleep_until(end.min(look)) => {}
        }
        if Instant::now() >= end {
            return Err(AttemptError::Unknown("no answer in time"));
        }
        if slows_others(entry, choice) {
            return Err(AttemptError::Unknown("slow"));
        }
        // It may still wait its turn there; left alone it ends one more.
        if entry.quarantine.borrow().refuses(work, Millis::now()) {
            return Err(AttemptError::Unknown("it crashes its targets"));
        }
        // A request may wait its turn at a target that is well.
        let alone = is_left_behind(entry, choice, since);
        if alone && !entry.hears_of(choice) {
            return Err(AttemptError::Unknown("silent"));
        }
    }
}

impl Run {
    /// The next whole event, the end, or why there is none.
    async fn next(&mut self, entry: &Entry, end: Instant) -> Next {
        loop {
            if let Some(event) = self.splitter.pop_event() {
                self.attempt.progress();
                return Next::Event(event);
            }
            if self.splitter.event_exceeds_max_size() {
                return Next::Failed(AttemptError::Unknown(
                    "an event without an end",
                ));
            }
            // News may have come while an event was passed on.
            let told = entry.news_told.get();
            if self.news != told {
                self.news = told;
                if slows_others(entry, &self.choice) {
                    return Next::Failed(AttemptError::Unknown("slow"));
                }
            }
            let look = Instant::now() + SILENCE_CHECK_INTERVAL.duration();
            let frame = tokio::select! {
                frame = self.body.frame() => frame,
                () = entry.news.notified() => continue,
                () = sleep_until(end.min(look)) => {
                    if Instant::now() >= end {
                        return Next::Failed(AttemptError::Unknown("no time left"));
                    }
                    if is_left_behind(entry, &self.choice, self.last_bytes) {
                        info!(entry.log, "silent";
                            "target" => &*self.choice.target.id);
                        return Next::Failed(AttemptError::Unknown("silent"));
                    }
                    continue;
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    self.splitter.push_bytes(&bytes);
                    self.last_bytes = Moment::new(entry, &self.choice);
                }
                Some(Err(_)) => {
                    return Next::Failed(AttemptError::Broken(
                        "the stream was cut",
                    ));
                }
                None if self.splitter.has_partial_event() => {
                    return Next::Failed(AttemptError::Broken(
                        "cut inside an event",
                    ));
                }
                None => return Next::End,
            }
        }
    }
}

/// A moment and the pass that a target's group was at.
#[derive(Clone, Copy, Debug)]
struct Moment {
    at: Millis,
    step: u64,
}

impl Moment {
    fn new(entry: &Entry, choice: &Choice) -> Moment {
        let step = entry.step_of(&choice.target.service);
        Moment { at: Millis::now(), step }
    }
}

/// Whether a target has sent nothing for long while its group went on.
fn is_left_behind(entry: &Entry, choice: &Choice, since: Moment) -> bool {
    let now = Millis::now();
    let endpoint = choice.endpoint.borrow();
    let Some(group) = &endpoint.group else { return false };
    let goes_on = entry.step_of(&choice.target.service) >= since.step + PASSES;
    now.since(since.at) > SILENCE_TIMEOUT && group.open && goes_on
}

/// Whether a target is so slow that it sets the pace of its group, and others
/// of the service are not. A rank without requests takes no time of its own
/// in a pass, so moving a dozen streams away from it gives all others their
/// pace back.
fn slows_others(entry: &Entry, choice: &Choice) -> bool {
    let pace = |group: Option<&Group>| group.map_or(100, |it| it.pace);
    let own = pace(choice.endpoint.borrow().group.as_ref());
    if own < SLOW_PERCENT {
        return false;
    }
    let mut least = u32::MAX;
    let service = &choice.target.service;
    entry.each_group(service, |group| least = least.min(pace(group)));
    u64::from(least) * u64::from(SLOW_PERCENT) / 100 <= u64::from(own)
}

/// Passes a stream on to its caller.
struct Relay {
    entry: Rc<Entry>,
    call: Call,
    pieces: mpsc::Sender<Piece>,
    /// The last event that was passed on.
    last: Option<u64>,
    events: u64,
    /// When it was passed on.
    given: Option<Millis>,
    /// The longest pause between two events.
    pause: Millis,
}

impl Relay {
    async fn run(
        mut self,
        mut run: Run,
        first: Option<ServerSentEvent>,
        busy: Busy,
    ) {
        let outcome = self.pass(&mut run, first).await;
        drop(run);
        let took = Millis::now().since(self.call.arrived);
        self.entry.measure.ended(took);
        info!(self.entry.log, "stream_ended"; "request" => &*self.call.id,
            "outcome" => outcome, "events" => self.events,
            "pause" => self.pause.0, "took" => took.0);
        drop(busy);
    }

    /// Passes events on until the stream ends in one way or another.
    async fn pass(
        &mut self,
        run: &mut Run,
        first: Option<ServerSentEvent>,
    ) -> &'static str {
        if let Some(event) = first
            && !self.give(event).await
        {
            return "caller left";
        }
        loop {
            let end = self.call.end();
            let pieces = self.pieces.clone();
            let next = tokio::select! {
                next = run.next(&self.entry, end) => next,
                () = pieces.closed() => return "caller left",
            };
            match next {
                Next::Event(event) => {
                    if !self.give(event).await {
                        return "caller left";
                    }
                }
                Next::End => {
                    run.attempt.success();
                    if let Some(lease) = run.lease.take() {
                        lease.keep(Millis::now());
                    }
                    // A caller that left needs no end.
                    let _ = self.pieces.send(Piece::End).await;
                    return "complete";
                }
                Next::Failed(error) => {
                    run.attempt.on_attempt_failed(&error);
                    let resumed = tokio::select! {
                        resumed = self.resume(run, error) => resumed,
                        () = pieces.closed() => return "caller left",
                    };
                    match resumed {
                        Some(next) => *run = next,
                        None => return "cut",
                    }
                }
            }
        }
    }

    /// Goes on at another target, if that is allowed and one can be had.
    async fn resume(&mut self, run: &Run, error: AttemptError) -> Option<Run> {
        let mut error = error;
        let mut choice = run.choice.clone();
        self.call.waits_anew();
        loop {
            self.call
                .on_attempt_failed(&self.entry, &choice, error)
                .await
                .is_none()
                .then_some(())?;
            choice = self.call.next_target(&self.entry).await.ok()?;
            match open(&self.entry, &mut self.call, &choice, self.last).await {
                Ok(Ok((_, next))) => return Some(next),
                Ok(Err(_)) => error = AttemptError::Unknown("a failure"),
                Err(other) => error = other,
            }
        }
    }

    /// Passes an event on, unless the caller has it.
    async fn give(&mut self, event: ServerSentEvent) -> bool {
        if event.id.is_some() && event.id <= self.last {
            return true;
        }
        self.last = event.id.or(self.last);
        self.events += 1;
        let now = Millis::now();
        let pause = self.given.replace(now).map(|it| now.since(it));
        self.pause = self.pause.max(pause.unwrap_or_default());
        let end = self.call.end();
        let given = tokio::time::timeout_at(
            end,
            self.pieces.send(Piece::Events(event.bytes)),
        );
        matches!(given.await, Ok(Ok(())))
    }
}
