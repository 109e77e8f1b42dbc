//! How callers' requests end, counted by service, route and reason.
//!
//! Each request that is read counts once: as served, as failed by a target, as
//! left by its caller, or as rejected for a reason. Together the counts split
//! what was not served without any log line.

use std::{cell::Cell, rc::Rc};

use cowsliproad_kernel::{Name, clock::Millis};
use http::Response;

use crate::{call::Call, entry::Entry, reply::Body};

/// How a caller's request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer, or the first event of a complete stream, was on time.
    Served,
    /// The same, later than the latency goal of the route.
    ServedLate,
    /// A target answered with a failure, which was passed on.
    TargetFailed,
    /// The caller left before its answer was complete.
    CallerLeft,
    /// The stream was cut, and no target continued it.
    StreamCut,
    /// The request is malformed, or its body was too large, cut or slow.
    BadRequest,
    /// The entry process has no memory for the body.
    NoMemory,
    /// The body made room for others, as it made no headway.
    BodyEvicted,
    /// The entry process has no configuration.
    NoConfiguration,
    /// No route matches the request.
    NoRoute,
    /// No organisation holds the key of the request.
    BadKey,
    /// No target of the service is known, or the route names no service.
    NoTarget,
    /// The group of every target is broken or halted.
    GroupDown,
    /// The agent of every other usable target is silent.
    AgentSilent,
    /// All connections that this entry process may have to the targets are in
    /// use.
    NoConnection,
    /// A rank crashed while it ran this request, which is suspended.
    Suspected,
    /// The request crashes its targets, or has a prompt part that does.
    Quarantined,
    /// The targets state rate limits that leave no capacity.
    RateLimit,
    /// The targets asked for a pause.
    Cooldown,
    /// The retry budget of the service is spent.
    RetryBudget,
    /// The targets refused the request, as their queues are full.
    QueueFull,
    /// The request could not be sent to any target.
    Unsent,
    /// The last attempt that the route allows failed after the request was
    /// sent.
    AttemptFailed,
    /// The request waited so long that no answer could be in time.
    TooLate,
    /// The deadline passed.
    Deadline,
}

impl Outcome {
    /// The name of the outcome in metrics and log lines.
    pub fn label(self) -> &'static str {
        match self {
            Outcome::Served => "served",
            Outcome::ServedLate => "served_late",
            Outcome::TargetFailed => "target_failed",
            Outcome::CallerLeft => "caller_left",
            Outcome::StreamCut => "stream_cut",
            Outcome::BadRequest => "bad_request",
            Outcome::NoMemory => "no_memory",
            Outcome::BodyEvicted => "body_evicted",
            Outcome::NoConfiguration => "no_configuration",
            Outcome::NoRoute => "no_route",
            Outcome::BadKey => "bad_key",
            Outcome::NoTarget => "no_target",
            Outcome::GroupDown => "group_down",
            Outcome::AgentSilent => "agent_silent",
            Outcome::NoConnection => "no_connection",
            Outcome::Suspected => "suspected",
            Outcome::Quarantined => "quarantined",
            Outcome::RateLimit => "rate_limit",
            Outcome::Cooldown => "cooldown",
            Outcome::RetryBudget => "retry_budget",
            Outcome::QueueFull => "queue_full",
            Outcome::Unsent => "unsent",
            Outcome::AttemptFailed => "attempt_failed",
            Outcome::TooLate => "too_late",
            Outcome::Deadline => "deadline",
        }
    }

    /// Notes the outcome on a response, for [`RequestRecord::finish`].
    pub fn attach_to(self, mut response: Response<Body>) -> Response<Body> {
        response.extensions_mut().insert(self);
        response
    }
}

/// Counts one request by its outcome. A record that is dropped unfinished
/// counts the request as left by its caller.
#[derive(Debug)]
pub struct RequestRecord {
    entry: Rc<Entry>,
    arrived: Millis,
    destination: Option<Destination>,
    /// When the first event of a stream was passed on.
    first_event_at: Cell<Option<Millis>>,
    is_finished: Cell<bool>,
}

/// What a request asks for.
#[derive(Clone, Debug)]
struct Destination {
    service: Name,
    route: Name,
    latency_goal: Option<Millis>,
}

impl RequestRecord {
    /// Starts the record of a request that arrived at `arrived`.
    pub fn new(entry: &Rc<Entry>, arrived: Millis) -> RequestRecord {
        RequestRecord {
            entry: entry.clone(),
            arrived,
            destination: None,
            first_event_at: Cell::new(None),
            is_finished: Cell::new(false),
        }
    }

    /// Sets the route and service that the request was matched to.
    pub fn set_destination(&mut self, call: &Call) {
        self.destination = Some(Destination {
            service: call.service.clone(),
            route: call.route.name.clone(),
            latency_goal: call.route.latency_goal,
        });
    }

    /// Records that the first event of a stream is passed on.
    pub fn note_first_event(&self) {
        self.first_event_at.set(Some(Millis::now()));
    }

    /// Counts the request by its complete response.
    pub fn finish(&self, response: &Response<Body>) {
        let attached = response.extensions().get::<Outcome>().copied();
        let outcome =
            attached.unwrap_or_else(|| match response.status().is_success() {
                true => self.served_outcome(Millis::now()),
                false => Outcome::TargetFailed,
            });
        self.finish_with(outcome);
    }

    /// Counts a stream that ended complete.
    pub fn finish_complete_stream(&self) {
        let first_event_at = self.first_event_at.get();
        let answered_at = first_event_at.unwrap_or_else(Millis::now);
        self.finish_with(self.served_outcome(answered_at));
    }

    /// Counts the request by its outcome, unless it was counted before.
    pub fn finish_with(&self, outcome: Outcome) {
        if self.is_finished.replace(true) {
            return;
        }
        let names = self.destination.as_ref();
        self.entry.metrics.record_request_outcome(
            names.map(|it| (&it.service, &it.route)),
            &self.entry.settings().zone,
            outcome.label(),
        );
    }

    fn served_outcome(&self, answered_at: Millis) -> Outcome {
        let goal = self.destination.as_ref().and_then(|it| it.latency_goal);
        match goal {
            Some(goal) if answered_at.since(self.arrived) > goal => {
                Outcome::ServedLate
            }
            _ => Outcome::Served,
        }
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        self.finish_with(Outcome::CallerLeft);
    }
}
