//! Event streams to callers, resumed at another target after a failure.
//!
//! The caller gets complete events only. If a target fails, the stream resumes
//! at another target after the last event that was passed on, so that no event
//! is lost, duplicated or merged with another one. The response keeps the head
//! that the first target sent. A stream that can't be resumed is aborted, so
//! that it doesn't look complete.

use std::{pin::pin, rc::Rc};

use cowsliproad_admission::memory::NoRoom;
use cowsliproad_kernel::clock::Millis;
use cowsliproad_net::timer::{self, sleep_until};
use cowsliproad_relay::events::{EventSplitter, ServerSentEvent};
use http::{Response, header as standard, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use slog::info;
use tokio::sync::mpsc;

use crate::{
    attempt::Attempt,
    call::{AttemptError, Call, OpenResponse, read_whole_response},
    callers::InFlightRequestGuard,
    entry::{ChosenTarget, Entry, GroupReport},
    outcome::{Outcome, RequestRecord},
    receive::remove_hop_by_hop_headers,
    reply::{Body, StreamPiece},
    upstream::ConnectionLease,
};

/// Stream pieces buffered for a slow caller: about one second of events.
const PIECE_CHANNEL_CAPACITY: usize = 16;

/// How long a target may send nothing while its group makes progress: ten
/// forward passes of the group.
const TARGET_SILENCE_TIMEOUT: Millis = Millis(800);

/// How often a stream that receives no data is checked for a silent target.
const SILENCE_CHECK_INTERVAL: Millis = Millis(400);

/// Streams leave a target whose service time reaches this percentage of the
/// usual time. A move is costly, because the new target must process the
/// prompt again.
const SLOW_SERVICE_TIME_PERCENT: u32 = 300;

/// Forward passes that a service's groups must begin after a target last sent
/// data before the target's group counts as making progress.
const MIN_GROUP_PROGRESS_PASSES: u64 = 6;

/// The part of a caller's stream that one target sends.
struct TargetStream {
    choice: ChosenTarget,
    attempt: Attempt,
    body: Incoming,
    lease: Option<ConnectionLease>,
    splitter: EventSplitter,
    last_data_at: ForwardPassSnapshot,
    /// The value of [`Entry::target_change_count`] at the last check.
    seen_target_change_count: u64,
}

/// The next item that a target's stream yields.
enum NextEvent {
    Event(ServerSentEvent),
    Complete,
    Failed(AttemptError),
    /// The target may still send the next event, but another target would
    /// probably send it sooner.
    Stalled(Stall),
}

/// Why a stream would be better off at another target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stall {
    /// The target sends nothing while its group makes progress.
    Silent,
    /// The target slows down its group.
    Slow,
}

impl Stall {
    /// The name of the reason in log lines.
    fn label(self) -> &'static str {
        match self {
            Stall::Silent => "silent",
            Stall::Slow => "slow",
        }
    }
}

/// Forwards a stream request to targets and returns a response whose body
/// relays the events.
pub async fn respond_with_stream(
    entry: &Rc<Entry>,
    mut call: Call,
    record: RequestRecord,
    in_flight: InFlightRequestGuard,
) -> Response<Body> {
    let reject = |answer| {
        record.finish(&answer);
        answer
    };
    let (head, target_stream, first) = loop {
        let choice = match call.wait_for_next_target(entry).await {
            Ok(choice) => choice,
            Err(answer) => return reject(answer),
        };
        match wait_for_first_event(entry, &mut call, &choice).await {
            Ok(FirstReply::Stream(head, target_stream, first)) => {
                break (head, target_stream, first);
            }
            Ok(FirstReply::Whole(answer)) => return reject(answer),
            Err(error) => {
                choice.record_failed_attempt(entry, &error);
                if let Some(answer) =
                    call.note_attempt_error(entry, &choice, error).await
                {
                    return reject(answer);
                }
            }
        }
    };
    record.note_first_event();
    let (pieces, body) = mpsc::channel(PIECE_CHANNEL_CAPACITY);
    let caller_stream = CallerStream {
        entry: entry.clone(),
        call,
        record,
        pieces,
        last_event_id: None,
        event_count: 0,
        last_event_at: None,
        longest_gap: Millis(0),
    };
    tokio::task::spawn_local(caller_stream.relay_stream(
        *target_stream,
        first,
        in_flight,
    ));
    Response::from_parts(head, Body::Events(body))
}

/// The first reply of a target that is passed on to the caller.
enum FirstReply {
    /// A stream with its first event, if it has any.
    Stream(response::Parts, Box<TargetStream>, Option<ServerSentEvent>),
    /// A response with a failure status, passed on unchanged.
    Whole(Response<Body>),
}

/// Sends the request and waits for the first event.
async fn wait_for_first_event(
    entry: &Rc<Entry>,
    call: &mut Call,
    choice: &ChosenTarget,
) -> Result<FirstReply, AttemptError> {
    let mut opened =
        match open_target_stream(entry, call, choice, None).await? {
            Ok(opened) => opened,
            Err(opened) => {
                return read_failure(entry, call, opened)
                    .await
                    .map(FirstReply::Whole);
            }
        };
    let deadline = call.deadline;
    let (mut head, target_stream) = (opened.0, &mut opened.1);
    let first_event = loop {
        let error = match target_stream.next_event(entry, deadline).await {
            NextEvent::Event(event) => break Some(event),
            NextEvent::Complete => break None,
            NextEvent::Failed(error) => error,
            NextEvent::Stalled(stall) => {
                if !call.can_move(entry) {
                    continue;
                }
                AttemptError::MayHaveRun(stall.label())
            }
        };
        target_stream.attempt.check_target_after_error(&error);
        return Err(error);
    };
    remove_hop_by_hop_headers(&mut head.headers);
    head.headers.remove(standard::CONTENT_LENGTH);
    Ok(FirstReply::Stream(head, Box::new(opened.1), first_event))
}

/// Reads a response with a failure status, whose body may have no end. Gives up
/// once another target can serve the request, and before the caller does.
async fn read_failure(
    entry: &Rc<Entry>,
    call: &Call,
    opened: OpenResponse,
) -> Result<Response<Body>, AttemptError> {
    let mut reading = pin!(read_whole_response(&entry.caller_memory, opened));
    let latest = call.latest_answer_time();
    let early = (Millis::now() + call.early_retry_timeout()).min(latest);
    if let Ok(read) = timer::timeout_at(early, &mut reading).await {
        return read;
    }
    if !call.can_move(entry)
        && let Ok(read) = timer::timeout_at(latest, reading).await
    {
        return read;
    }
    Err(AttemptError::EndlessFailure)
}

/// Opens a stream at a target. A response with a failure status is returned as
/// the inner error.
async fn open_target_stream(
    entry: &Rc<Entry>,
    call: &mut Call,
    choice: &ChosenTarget,
    last_event_id: Option<u64>,
) -> Result<Result<(response::Parts, TargetStream), OpenResponse>, AttemptError>
{
    let attempt = Attempt::new(entry, call, choice);
    call.note_attempted_target(choice);
    let opened =
        wait_for_response_head(entry, call, choice, &attempt, last_event_id)
            .await?;
    if !opened.head.status.is_success() {
        attempt.note_target_survived();
        return Ok(Err(opened));
    }
    let target_stream = TargetStream {
        choice: choice.clone(),
        attempt,
        body: opened.body,
        lease: Some(opened.lease),
        splitter: EventSplitter::new(),
        last_data_at: ForwardPassSnapshot::new(entry, choice),
        seen_target_change_count: 0,
    };
    Ok(Ok((opened.head, target_stream)))
}

/// Waits for the head of a target's response. Gives up early if the request is
/// in quarantine, or if the target is slow or silent and the request can go on
/// elsewhere.
async fn wait_for_response_head(
    entry: &Rc<Entry>,
    call: &Call,
    choice: &ChosenTarget,
    attempt: &Attempt,
    last_event_id: Option<u64>,
) -> Result<OpenResponse, AttemptError> {
    let deadline = call.deadline;
    let (fingerprint, admission) = (call.fingerprint.clone(), call.admission);
    let since = ForwardPassSnapshot::new(entry, choice);
    let mut opening =
        pin!(call.send_to_target(entry, choice, attempt, last_event_id));
    loop {
        let next_check = Millis::now() + SILENCE_CHECK_INTERVAL;
        tokio::select! {
            opened = &mut opening => {
                return opened.inspect_err(|error| attempt.check_target_after_error(error));
            }
            () = entry.targets_changed.notified() => {}
            () = sleep_until(deadline.min(next_check)) => {}
        }
        if Millis::now() >= deadline {
            return Err(AttemptError::MayHaveRun("no answer in time"));
        }
        // A quarantined request may still be queued at the target, and would
        // crash the target too.
        if entry.request_quarantine.borrow().refuses_request(
            &fingerprint,
            admission,
            Millis::now(),
        ) {
            return Err(AttemptError::MayHaveRun(
                "the request crashes its targets",
            ));
        }
        if let Some(stall) = find_stall_before_head(entry, choice, since)
            && call.can_move(entry)
        {
            return Err(AttemptError::MayHaveRun(stall.label()));
        }
    }
}

/// Why a request whose response has not begun would be better off at another
/// target, if it would.
fn find_stall_before_head(
    entry: &Entry,
    choice: &ChosenTarget,
    since: ForwardPassSnapshot,
) -> Option<Stall> {
    if target_slows_its_group(entry, choice) {
        return Some(Stall::Slow);
    }
    // A silent target whose agent still reports may be healthy and have the
    // request in its queue.
    let lags = target_lags_behind_group(entry, choice, since);
    (lags && !entry.has_recent_agent_report(choice)).then_some(Stall::Silent)
}

impl TargetStream {
    /// Waits for the next complete event, the end of the stream, a failure, or
    /// a reason to look for another target.
    async fn next_event(
        &mut self,
        entry: &Entry,
        deadline: Millis,
    ) -> NextEvent {
        loop {
            if let Some(event) = self.splitter.pop_event() {
                self.attempt.note_event_received();
                return NextEvent::Event(event);
            }
            if self.splitter.event_exceeds_max_size() {
                return NextEvent::Failed(AttemptError::MayHaveRun(
                    "an event exceeds the maximum size",
                ));
            }
            // A change may have been announced while an event was passed on,
            // when nothing waited for the notification.
            let target_change_count = entry.target_change_count.get();
            if self.seen_target_change_count != target_change_count {
                self.seen_target_change_count = target_change_count;
                if target_slows_its_group(entry, &self.choice) {
                    return NextEvent::Stalled(Stall::Slow);
                }
            }
            let next_check = Millis::now() + SILENCE_CHECK_INTERVAL;
            let frame = tokio::select! {
                frame = self.body.frame() => frame,
                () = entry.targets_changed.notified() => continue,
                () = sleep_until(deadline.min(next_check)) => {
                    if Millis::now() >= deadline {
                        return NextEvent::Failed(AttemptError::MayHaveRun("no time left"));
                    }
                    if target_lags_behind_group(entry, &self.choice, self.last_data_at) {
                        return NextEvent::Stalled(Stall::Silent);
                    }
                    continue;
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    self.splitter.push_bytes(&bytes);
                    self.last_data_at =
                        ForwardPassSnapshot::new(entry, &self.choice);
                }
                Some(Err(_)) => {
                    return NextEvent::Failed(AttemptError::ConnectionBroken(
                        "the stream was cut",
                    ));
                }
                None if self.splitter.has_partial_event() => {
                    return NextEvent::Failed(AttemptError::ConnectionBroken(
                        "cut inside an event",
                    ));
                }
                None => return NextEvent::Complete,
            }
        }
    }

    /// Waits for the next item of the stream, however long the target stalls.
    async fn next_unstalled(
        &mut self,
        entry: &Entry,
        deadline: Millis,
    ) -> NextEvent {
        loop {
            match self.next_event(entry, deadline).await {
                NextEvent::Stalled(_) => {}
                next => return next,
            }
        }
    }

    /// Waits until a silent target sends the next item. A slow target sends
    /// items all the time, which end no move.
    async fn end_of_silence(
        &mut self,
        entry: &Entry,
        deadline: Millis,
        stall: Stall,
    ) -> NextEvent {
        match stall {
            Stall::Silent => self.next_unstalled(entry, deadline).await,
            Stall::Slow => std::future::pending().await,
        }
    }
}

/// Opens a stream at another target than the one that is held, and waits for
/// its next event.
async fn open_at_other_target(
    entry: &Rc<Entry>,
    call: &mut Call,
    last_event_id: Option<u64>,
) -> Option<(TargetStream, NextEvent)> {
    let choice = call.wait_for_next_target(entry).await.ok()?;
    call.note_move_attempt();
    let error =
        match open_target_stream(entry, call, &choice, last_event_id).await {
            Ok(Ok((_, mut target_stream))) => {
                let deadline = call.deadline;
                match target_stream.next_unstalled(entry, deadline).await {
                    NextEvent::Failed(error) => {
                        target_stream.attempt.check_target_after_error(&error);
                        error
                    }
                    next => return Some((target_stream, next)),
                }
            }
            Ok(Err(_)) => AttemptError::MayHaveRun("a failure"),
            Err(error) => error,
        };
    call.note_move_error(entry, &choice, &error);
    None
}

/// A time and the highest forward pass that any group of a target's service
/// had begun by then.
#[derive(Clone, Copy, Debug)]
struct ForwardPassSnapshot {
    taken_at: Millis,
    highest_pass: u64,
}

impl ForwardPassSnapshot {
    fn new(entry: &Entry, choice: &ChosenTarget) -> ForwardPassSnapshot {
        let highest_pass = entry.highest_forward_pass(&choice.target.service);
        ForwardPassSnapshot { taken_at: Millis::now(), highest_pass }
    }
}

/// Whether a target has sent nothing since the snapshot `since`, for longer
/// than the silence timeout, while its group made progress.
fn target_lags_behind_group(
    entry: &Entry,
    choice: &ChosenTarget,
    since: ForwardPassSnapshot,
) -> bool {
    let now = Millis::now();
    let endpoint = choice.endpoint.borrow();
    let Some(group) = &endpoint.group else { return false };
    let group_advanced = entry.highest_forward_pass(&choice.target.service)
        >= since.highest_pass + MIN_GROUP_PROGRESS_PASSES;
    now.since(since.taken_at) > TARGET_SILENCE_TIMEOUT
        && group.accepts_requests
        && group_advanced
}

/// Whether a target slows down its whole group while other targets of the
/// service are not slow. A rank without requests adds no time to a step, so
/// moving a dozen streams off the slow rank restores the speed of the others.
fn target_slows_its_group(entry: &Entry, choice: &ChosenTarget) -> bool {
    let service_time = |group: Option<&GroupReport>| {
        group.map_or(100, |it| it.service_time_percent_of_normal)
    };
    let own_service_time =
        service_time(choice.endpoint.borrow().group.as_ref());
    if own_service_time < SLOW_SERVICE_TIME_PERCENT {
        return false;
    }
    let mut shortest_service_time = u32::MAX;
    let service = &choice.target.service;
    entry.for_each_group(service, |group| {
        shortest_service_time = shortest_service_time.min(service_time(group))
    });
    u64::from(shortest_service_time) * u64::from(SLOW_SERVICE_TIME_PERCENT)
        / 100
        <= u64::from(own_service_time)
}

/// How the stream to a caller ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamEnd {
    Complete,
    CallerLeft,
    Cut,
}

impl StreamEnd {
    /// The name of the end in log lines.
    fn label(self) -> &'static str {
        match self {
            StreamEnd::Complete => "complete",
            StreamEnd::CallerLeft => "caller left",
            StreamEnd::Cut => "cut",
        }
    }
}

/// The stream to one caller, relayed from one target after another.
struct CallerStream {
    entry: Rc<Entry>,
    call: Call,
    record: RequestRecord,
    pieces: mpsc::Sender<StreamPiece>,
    /// The id of the last event that was passed on to the caller.
    last_event_id: Option<u64>,
    event_count: u64,
    /// When the last event was passed on to the caller.
    last_event_at: Option<Millis>,
    /// The longest time between two events passed on to the caller.
    longest_gap: Millis,
}

impl CallerStream {
    async fn relay_stream(
        mut self,
        mut target_stream: TargetStream,
        first_event: Option<ServerSentEvent>,
        in_flight: InFlightRequestGuard,
    ) {
        let end = self.relay_events(&mut target_stream, first_event).await;
        drop(target_stream);
        match end {
            StreamEnd::Complete => self.record.finish_complete_stream(),
            StreamEnd::CallerLeft => {
                self.record.finish_with(Outcome::CallerLeft);
            }
            StreamEnd::Cut => self.record.finish_with(Outcome::StreamCut),
        }
        let duration = Millis::now().since(self.call.arrived);
        self.entry.metrics.record_answer_duration(duration);
        info!(self.entry.log, "stream_ended"; "request" => &*self.call.request_id,
            "outcome" => end.label(), "events" => self.event_count,
            "pause" => self.longest_gap.0, "took" => duration.0);
        drop(in_flight);
    }

    /// Relays events until the stream ends.
    async fn relay_events(
        &mut self,
        target_stream: &mut TargetStream,
        first_event: Option<ServerSentEvent>,
    ) -> StreamEnd {
        if let Some(event) = first_event
            && let Err(end) = self.send_event_to_caller(event).await
        {
            return end;
        }
        loop {
            let deadline = self.call.deadline;
            let pieces = self.pieces.clone();
            let next = tokio::select! {
                next = target_stream.next_event(&self.entry, deadline) => next,
                () = pieces.closed() => return StreamEnd::CallerLeft,
            };
            let next = match next {
                NextEvent::Stalled(stall) => tokio::select! {
                    next = self.leave_stalled_target(target_stream, stall) => next,
                    () = pieces.closed() => return StreamEnd::CallerLeft,
                },
                next => next,
            };
            match next {
                NextEvent::Stalled(_) => {}
                NextEvent::Event(event) => {
                    if let Err(end) = self.send_event_to_caller(event).await {
                        return end;
                    }
                }
                NextEvent::Complete => {
                    target_stream.attempt.note_successful_response();
                    if let Some(lease) = target_stream.lease.take() {
                        lease.release_to_pool(Millis::now());
                    }
                    // If the caller has left, the end needn't arrive.
                    let _ = self.pieces.send(StreamPiece::End).await;
                    return StreamEnd::Complete;
                }
                NextEvent::Failed(error) => {
                    target_stream.attempt.note_error(&error);
                    let resumed = tokio::select! {
                        next = self.resume_at_another_target(target_stream, error) => next,
                        () = pieces.closed() => return StreamEnd::CallerLeft,
                    };
                    match resumed {
                        Some(resumed_stream) => {
                            *target_stream = resumed_stream
                        }
                        None => return StreamEnd::Cut,
                    }
                }
            }
        }
    }

    /// Moves the stream from a stalled target to another one, if that can take
    /// over, and returns its next event. The stalled target is kept until then:
    /// if it goes on first, or if the move fails, the stream stays.
    async fn leave_stalled_target(
        &mut self,
        target_stream: &mut TargetStream,
        stall: Stall,
    ) -> NextEvent {
        let (entry, call) = (&self.entry, &mut self.call);
        if !call.can_move(entry) {
            return NextEvent::Stalled(stall);
        }
        call.start_move(entry, &target_stream.choice, stall.label());
        let deadline = call.deadline;
        let moved = {
            let mut moving =
                pin!(open_at_other_target(entry, call, self.last_event_id));
            tokio::select! {
                moved = &mut moving => moved.ok_or(NextEvent::Stalled(stall)),
                next = target_stream.end_of_silence(entry, deadline, stall) => {
                    match next {
                        NextEvent::Failed(error) => {
                            moving.await.ok_or(NextEvent::Failed(error))
                        }
                        next => Err(next),
                    }
                }
            }
        };
        match moved {
            Ok((new_stream, next)) => {
                self.call.complete_move(&self.entry, &target_stream.choice);
                let error = AttemptError::MayHaveRun(stall.label());
                target_stream.attempt.note_error(&error);
                *target_stream = new_stream;
                next
            }
            Err(next) => {
                self.call.abandon_move(&self.entry);
                next
            }
        }
    }

    /// Resumes the stream at another target, if a retry is allowed and a
    /// target is usable.
    async fn resume_at_another_target(
        &mut self,
        target_stream: &TargetStream,
        error: AttemptError,
    ) -> Option<TargetStream> {
        let mut error = error;
        let mut choice = target_stream.choice.clone();
        self.call.restart_target_wait();
        loop {
            self.call
                .note_attempt_error(&self.entry, &choice, error)
                .await
                .is_none()
                .then_some(())?;
            choice = self.call.wait_for_next_target(&self.entry).await.ok()?;
            match open_target_stream(
                &self.entry,
                &mut self.call,
                &choice,
                self.last_event_id,
            )
            .await
            {
                Ok(Ok((_, resumed_stream))) => return Some(resumed_stream),
                Ok(Err(_)) => error = AttemptError::MayHaveRun("a failure"),
                Err(next_error) => error = next_error,
            }
        }
    }

    /// Sends an event to the caller unless it was sent before. Fails if the
    /// caller left, the deadline passed, or there is no memory for events that
    /// callers have not read.
    async fn send_event_to_caller(
        &mut self,
        event: ServerSentEvent,
    ) -> Result<(), StreamEnd> {
        if event.id.is_some() && event.id <= self.last_event_id {
            return Ok(());
        }
        self.last_event_id = event.id.or(self.last_event_id);
        self.event_count += 1;
        let now = Millis::now();
        let gap = self.last_event_at.replace(now).map(|it| now.since(it));
        self.longest_gap = self.longest_gap.max(gap.unwrap_or_default());
        let length = event.bytes.len();
        let charge = self
            .entry
            .caller_memory
            .charge(length, now)
            .map_err(|NoRoom| StreamEnd::Cut)?;
        let deadline = self.call.deadline;
        let sent = timer::timeout_at(
            deadline,
            self.pieces.send(StreamPiece::Events(event.bytes, charge)),
        );
        match sent.await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(StreamEnd::CallerLeft),
        }
    }
}
