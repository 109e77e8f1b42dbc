//! Tries at targets, until there is an answer to give.
//!
//! Each try ends in one of a few ways, and what may follow depends on what is
//! certain:
//!
//! * the target answered: its answer is given unchanged, or, for a failure
//!   of a request that may be repeated, another target is tried first;
//! * it said that it did not run the request, or the request was never sent:
//!   another try is free of risk;
//! * anything else: the request may have run. Only one that may be repeated
//!   is tried again; the caller of another is told that nobody knows.
//!
//! "Not run" is said only when every try ended in the second way. The number
//! of targets that one request is sent to stays within its route's bound,
//! and every try after the first draws on the retry budget.

use std::{rc::Rc, sync::Arc};

use bytes::Bytes;
use cowsliproad_admission::{patience::CallerAttempt, quarantine::WorkDigest};
use cowsliproad_kernel::{Name, clock::Millis};
use cowsliproad_platform::header;
use cowsliproad_routing::catalog::Route;
use http::{
    HeaderValue, Request, Response, StatusCode, Uri, header as standard,
    request, response,
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::{
    attempt::Attempt,
    entry::{Choice, Entry},
    receive::{DEFAULT_TIMEOUT, drop_hop_by_hop, work_of},
    reply::Body,
    upstream::{self, Failure, Lease, Reuse},
};

mod choose;
pub mod failure;

pub use self::choose::{MAX_STAGGER, PROBE_PERIOD};

/// The largest answer that is read whole before it is passed on.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A first answer may take this part of the time it is wanted in, in
/// percent, before another target is asked: what is left is enough for it.
const FIRST_TRY_PERCENT: u64 = 50;

/// The least time for a first try, three times the way there and back and
/// the usual work.
const MIN_TRY: Millis = Millis(40);

/// Ranks that a request falls back in a target's queue once it is late.
const LATE_RANKS: u16 = 2;

/// The last rank of a target's queue.
const LAST_RANK: u16 = 9;

/// A request on its way.
#[derive(Debug)]
pub struct Call {
    /// Its id, for logs.
    pub id: Name,
    /// What it is, whatever its id.
    pub work: WorkDigest,
    /// The rule it goes by.
    pub route: Arc<Route>,
    /// The service that it goes to.
    pub service: Name,
    /// When its head arrived.
    pub arrived: Millis,
    /// When its caller gives up or its route ends it.
    pub until: Millis,
    /// Which of its caller's tries it is.
    caller_try: CallerAttempt,
    /// Its rank among others, 0 first.
    priority: u8,
    head: request::Parts,
    body: Bytes,
    /// Since when it waits for a target.
    waits_since: Millis,
    /// Targets that it was sent to.
    sent: Vec<Name>,
    tries: usize,
    /// Places that it asked for in vain since its last try.
    denied: usize,
    /// How long after the end of a cooldown that it waited for it goes.
    stagger: Millis,
    /// Tries that may have run.
    runs: usize,
    /// What the next try draws on.
    next: RetryCost,
    /// Whether it may have run.
    certainty: Certainty,
}

/// What a try draws on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RetryCost {
    /// Nothing: the request has reached no target yet.
    Nothing,
    /// The retry budget.
    Budget,
}

/// What is known of all tries so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Certainty {
    /// No try ran.
    NotRun,
    /// Some try may have run.
    Unknown,
}

/// How a try ended without an answer to pass on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptError {
    /// The target did not run it and never will.
    Refused(&'static str),
    /// It was not sent.
    Unsent(&'static str),
    /// It was not sent, as its target has asked for less since it was chosen.
    Withheld(&'static str),
    /// It may have run, and was given up here.
    Unknown(&'static str),
    /// It may have run, and its connection broke.
    Broken(&'static str),
}

/// An answer whose body is still to be read.
#[derive(Debug)]
pub struct Opened {
    /// Its status and headers.
    pub head: response::Parts,
    /// Its body.
    pub body: Incoming,
    /// Its connection.
    pub lease: Lease,
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct Destination {
    /// The rule it goes by.
    pub route: Arc<Route>,
    /// The service that it goes to.
    pub service: Name,
    /// Its rank among others, 0 first.
    pub priority: u8,
}

/// When a request began and when it ends.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// When its head arrived.
    pub arrived: Millis,
    /// When its caller gives up or its route ends it.
    pub until: Millis,
    /// Which of its caller's tries it is.
    pub caller_try: CallerAttempt,
}

impl Call {
    /// A request with the headers that targets get.
    pub fn new(
        head: request::Parts,
        body: Bytes,
        destination: Destination,
        span: Span,
    ) -> Call {
        let id = head.headers.get(&header::REQUEST_ID);
        let id = id.and_then(|it| it.to_str().ok()).unwrap_or("-").into();
        Call {
            id,
            work: work_of(&head, &body),
            route: destination.route,
            service: destination.service,
            priority: destination.priority,
            arrived: span.arrived,
            until: span.until,
            caller_try: span.caller_try,
            head,
            body,
            waits_since: span.arrived,
            sent: Vec::new(),
            tries: 0,
            denied: 0,
            stagger: Millis(0),
            runs: 0,
            next: RetryCost::Nothing,
            certainty: Certainty::NotRun,
        }
    }

    /// Notes that a try may have run.
    pub fn ran(&mut self) {
        self.certainty = Certainty::Unknown;
        self.runs += 1;
    }

    /// Notes that it begins to wait for a target anew.
    pub fn waits_anew(&mut self) {
        self.waits_since = Millis::now();
    }

    /// The time left.
    pub fn left(&self) -> Millis {
        self.until.since(Millis::now())
    }

    /// The moment at which the request ends.
    pub fn end(&self) -> Instant {
        Instant::now() + self.left().duration()
    }

    /// Sends the request and waits for the head of an answer of its own.
    pub async fn open(
        &mut self,
        entry: &Rc<Entry>,
        choice: &Choice,
        attempt: &Attempt,
        resume: Option<u64>,
    ) -> Result<Opened, AttemptError> {
        let reuse =
            if self.route.allows_resend() { Reuse::Any } else { Reuse::Fresh };
        if !self.sent.contains(&choice.target.id) {
            self.sent.push(choice.target.id.clone());
        }
        let request = self.request(choice, resume);
        let (answer, lease) = upstream::send(attempt, choice, request, reuse)
            .await
            .map_err(|failure| match failure {
                Failure::Unsent(why) => AttemptError::Unsent(why),
                Failure::Withheld(why) => AttemptError::Withheld(why),
                Failure::Unknown(why) => AttemptError::Broken(why),
            })?;
        let (head, body) = answer.into_parts();
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            // Another process answers: this one is no more.
            entry.note_left(&choice.target);
            return Err(AttemptError::Refused("another incarnation"));
        }
        entry.note_stated(choice, &self.id, &head);
        let echoed = head.headers.get(&header::REQUEST_ID);
        let own = self.head.headers.get(&header::REQUEST_ID);
        if echoed.is_some() && echoed != own {
            return Err(AttemptError::Unknown("another request's answer"));
        }
        if echoed.is_some() || head.headers.contains_key(&header::NOT_RUN) {
            entry.note_limit(choice, attempt, &head.headers);
        }
        attempt.answered();
        if head.headers.contains_key(&header::NOT_RUN) {
            let at_fault = head.headers.contains_key(&header::FAULTY_TARGET);
            drop(body);
            if at_fault {
                entry.note_broken(choice);
                return Err(AttemptError::Refused("its group is broken"));
            }
            return Err(AttemptError::Refused("refused by the target"));
        }
        if echoed.is_none()
            || head.headers.contains_key(standard::CONTENT_ENCODING)
            || head.status.is_success()
                && !head.headers.contains_key(&header::SIGNATURE)
        {
            return Err(AttemptError::Unknown("not an answer of the target"));
        }
        Ok(Opened { head, body, lease })
    }

    /// A whole answer.
    pub async fn get(
        &mut self,
        entry: &Rc<Entry>,
        choice: &Choice,
        attempt: &Attempt,
    ) -> Result<Response<Body>, AttemptError> {
        let opened = self.open(entry, choice, attempt, None).await?;
        read_whole(opened).await
    }

    fn request(
        &self,
        choice: &Choice,
        resume: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self
            .head
            .uri
            .path_and_query()
            .cloned()
            .map_or_else(Uri::default, Uri::from);
        let mut headers = self.head.headers.clone();
        headers.insert(header::TIME_LEFT, HeaderValue::from(self.left().0));
        headers.insert(header::URGENCY, HeaderValue::from(self.urgency()));
        if let Ok(id) = HeaderValue::from_str(&choice.target.id) {
            headers.insert(header::EXPECTED_TARGET, id);
        }
        if let Some(event) = resume {
            headers.insert(header::LAST_EVENT_ID, HeaderValue::from(event));
        }
        *request.headers_mut() = headers;
        request
    }

    /// Its rank in the target's queue. One that can't be on time any more
    /// goes behind those that can: after an outage the others would all be
    /// late too, for as long as the backlog lasts.
    fn urgency(&self) -> u16 {
        let time = self.route.response_timeout.unwrap_or(DEFAULT_TIMEOUT);
        let waited = time.since(self.left());
        let late = self.route.latency_goal.is_some_and(|aim| waited > aim);
        let rank = u16::from(self.priority);
        let rank = if late { rank + LATE_RANKS } else { rank };
        rank.min(LAST_RANK)
    }

    /// How long the next try may take.
    pub fn patience(&self) -> Millis {
        let left = self.left();
        let last = self.sent.len() + 1 >= self.route.max_attempts as usize;
        let Some(aim) = self.route.latency_goal else { return left };
        if last || !self.route.allows_resend() {
            return left;
        }
        let first = Millis(aim.0 * FIRST_TRY_PERCENT / 100);
        first.max(MIN_TRY).min(left)
    }
}

/// Reads the body of an answer and keeps its connection.
pub async fn read_whole(
    opened: Opened,
) -> Result<Response<Body>, AttemptError> {
    let Opened { mut head, body, lease } = opened;
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|_| AttemptError::Broken("the answer was cut"))?;
    lease.keep(Millis::now());
    let promises = matches!(
        head.status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
    );
    if promises {
        // It doesn't say that it did not run the request, so we can't.
        return Err(AttemptError::Unknown("a refusal without a promise"));
    }
    drop_hop_by_hop(&mut head.headers);
    head.headers.remove(standard::CONTENT_LENGTH);
    let body = Body::Whole(Full::new(body.to_bytes()));
    Ok(Response::from_parts(head, body))
}
