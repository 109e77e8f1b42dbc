//! Sends a request to targets, with retries, until there is a response.
//!
//! Each attempt ends in one of three ways, which decide whether a retry is
//! allowed:
//!
//! * The target responded. Its response is passed on unchanged; for a failure
//!   response to a repeatable request, another target is tried first.
//! * The target stated that it did not run the request, or the request was
//!   never sent. A retry is safe.
//! * Anything else: the request may have run. Only a repeatable request is
//!   retried; for any other request, the response states that the outcome is
//!   unknown.
//!
//! The caller gets "not run" only if no attempt may have run the request. The
//! number of targets that a request is sent to stays within the bound of its
//! route, and every attempt after the first spends a retry from the retry
//! budget.

use std::{rc::Rc, sync::Arc};

use cowsliproad_admission::{
    memory::{Account, StoredBody},
    patience::CallerAttempt,
    quarantine::{Admission, Fingerprint},
};
use cowsliproad_kernel::{Name, clock::Millis};
use cowsliproad_net::{
    body::{AnswerError, Pieces, read_answer},
    status,
};
use cowsliproad_platform::header;
use cowsliproad_routing::catalog::Route;
use http::{
    HeaderValue, Request, Response, StatusCode, Uri, header as standard,
    request, response,
};
use hyper::body::Incoming;

use crate::{
    attempt::Attempt,
    entry::{ChosenTarget, Entry},
    receive::{
        DEFAULT_CALLER_TIMEOUT, compute_fingerprint, remove_hop_by_hop_headers,
    },
    reply::Body,
    upstream::{self, ConnectionLease, ConnectionReuse, SendError},
};

mod choose;
pub mod failure;
mod moves;

pub use self::choose::{COOLDOWN_PROBE_PERIOD, MAX_COOLDOWN_STAGGER};

/// The largest response body that is buffered before it is passed on.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 8 << 20;

/// The timeout of an attempt before a request goes to another target, in
/// percent of the route's latency goal. The next attempt needs the rest.
const FIRST_ATTEMPT_LATENCY_GOAL_PERCENT: u64 = 50;

/// The shortest attempt timeout: three times a round trip plus the usual
/// execution time.
const MIN_ATTEMPT_TIMEOUT: Millis = Millis(40);

/// Ranks that a request falls back in a target's queue once the request misses
/// the latency goal of its route.
const LATE_REQUEST_RANK_PENALTY: u16 = 2;

/// The lowest priority in a target's queue, where rank 0 is served first.
const MAX_QUEUE_RANK: u16 = 9;

/// The cause of a refusal by a target whose group is broken.
const GROUP_IS_BROKEN: &str = "its group is broken";

/// A caller's request, with the state of its attempts at targets.
#[derive(Debug)]
pub struct Call {
    /// The id of the request, for logs.
    pub request_id: Name,
    /// What the request executes, independent of its id.
    pub fingerprint: Fingerprint,
    /// Whether the request tries out prompt parts that are refused.
    pub admission: Admission,
    /// The route that matched the request.
    pub route: Arc<Route>,
    /// The service that the request goes to.
    pub service: Name,
    /// When the head of the request arrived.
    pub arrived: Millis,
    /// When the caller gives up or the timeout of the route expires.
    pub deadline: Millis,
    /// Whether the request is the caller's first try or a retry.
    caller_try: CallerAttempt,
    /// The priority of the request; 0 is the most urgent.
    priority: u8,
    /// The method, URI and headers sent to targets.
    head: request::Parts,
    body: StoredBody,
    /// Since when the request has been waiting for a target.
    waiting_since: Millis,
    /// Targets that the request was sent to.
    attempted_targets: Vec<Name>,
    /// The target that still answers the request while another target is
    /// sought.
    held_target: Option<Name>,
    /// The number of attempts for the request so far, including attempts that
    /// sent nothing.
    attempt_count: usize,
    /// How many permits were denied to the request since its last attempt.
    denied_permits: usize,
    /// The random delay that the request adds to each cooldown of a target, so
    /// that waiting requests don't all start at once.
    cooldown_stagger: Millis,
    /// The number of attempts in which a target may have run the request.
    possible_runs: usize,
    /// Whether the next attempt spends a retry from the retry budget.
    next_attempt_cost: AttemptCost,
    /// When the current attempt spent a retry, if it did.
    retry_spent_at: Option<Millis>,
    /// Whether any target may have run the request.
    execution: ExecutionStatus,
}

/// Whether an attempt at a target spends a retry from the service's retry
/// budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AttemptCost {
    /// The attempt spends nothing: the request has reached no target yet.
    Free,
    /// The attempt spends one retry from the retry budget.
    OneRetry,
}

/// Whether a request may have run in its attempts so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ExecutionStatus {
    /// No attempt ran the request.
    NotRun,
    /// Some attempt may have run the request.
    Unknown,
}

/// Why an attempt at a target ended without a response to pass on to the
/// caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptError {
    /// The target did not run the request and never will.
    Refused(&'static str),
    /// The request was not sent.
    Unsent(&'static str),
    /// The request was not sent, because its target has entered a cooldown,
    /// changed its limit or left since it was chosen.
    Withheld(&'static str),
    /// The request may have run, and the entry process gave up on it.
    MayHaveRun(&'static str),
    /// The request may have run, and its connection broke.
    ConnectionBroken(&'static str),
    /// The target answered with a failure whose body did not end in time. The
    /// request may have run.
    EndlessFailure,
    /// The target ran the request, and there is no memory for its answer.
    AnswerDropped,
}

impl AttemptError {
    /// The name of the error in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            AttemptError::Refused(_) => "refused",
            AttemptError::Unsent(_) => "unsent",
            AttemptError::Withheld(_) => "withheld",
            AttemptError::MayHaveRun(_)
            | AttemptError::ConnectionBroken(_)
            | AttemptError::EndlessFailure => "unknown",
            AttemptError::AnswerDropped => "dropped",
        }
    }
}

/// A target's response whose body has not been read yet.
#[derive(Debug)]
pub struct OpenResponse {
    /// The status and headers of the response.
    pub head: response::Parts,
    /// The unread body of the response.
    pub body: Incoming,
    /// The connection that carries the response.
    pub lease: ConnectionLease,
}

/// The route, service and priority of a request.
#[derive(Clone, Debug)]
pub struct RequestDestination {
    /// The route that matched the request.
    pub route: Arc<Route>,
    /// The service that the request goes to.
    pub service: Name,
    /// The priority of the request; 0 is the most urgent.
    pub priority: u8,
}

/// The arrival time and deadline of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestTimes {
    /// When the head of the request arrived.
    pub arrived: Millis,
    /// When the caller gives up or the timeout of the route expires.
    pub deadline: Millis,
    /// Whether the request is the caller's first try or a retry.
    pub caller_try: CallerAttempt,
}

impl Call {
    /// Creates a call from a request whose headers are those sent to targets.
    pub fn new(
        head: request::Parts,
        body: StoredBody,
        destination: RequestDestination,
        times: RequestTimes,
    ) -> Call {
        let request_id = head.headers.get(&header::REQUEST_ID);
        let request_id =
            request_id.and_then(|it| it.to_str().ok()).unwrap_or("-").into();
        Call {
            request_id,
            fingerprint: compute_fingerprint(&head, &body),
            admission: Admission::Regular,
            route: destination.route,
            service: destination.service,
            priority: destination.priority,
            arrived: times.arrived,
            deadline: times.deadline,
            caller_try: times.caller_try,
            head,
            body,
            waiting_since: times.arrived,
            attempted_targets: Vec::new(),
            held_target: None,
            attempt_count: 0,
            denied_permits: 0,
            cooldown_stagger: Millis(0),
            possible_runs: 0,
            next_attempt_cost: AttemptCost::Free,
            retry_spent_at: None,
            execution: ExecutionStatus::NotRun,
        }
    }

    /// Records that a failed attempt may have run the request.
    pub fn note_possible_run(&mut self) {
        self.execution = ExecutionStatus::Unknown;
        self.possible_runs += 1;
    }

    /// Restarts the time limit for waiting for a target.
    pub fn restart_target_wait(&mut self) {
        self.waiting_since = Millis::now();
    }

    /// When the current attempt spent a retry from the retry budget, if it did.
    pub fn retry_spent_at(&self) -> Option<Millis> {
        self.retry_spent_at
    }

    /// The time left until the deadline of the request.
    pub fn time_left(&self) -> Millis {
        self.deadline.since(Millis::now())
    }

    /// Records that an attempt at a target begins.
    pub fn note_attempted_target(&mut self, choice: &ChosenTarget) {
        if !self.attempted_targets.contains(&choice.target.id) {
            self.attempted_targets.push(choice.target.id.clone());
        }
    }

    /// Sends the request to a target and waits for the head of its response,
    /// which must echo the id of the request.
    pub async fn send_to_target(
        &self,
        entry: &Rc<Entry>,
        choice: &ChosenTarget,
        attempt: &Attempt,
        last_event_id: Option<u64>,
    ) -> Result<OpenResponse, AttemptError> {
        let allowed_reuse = if self.route.allows_resend() {
            ConnectionReuse::Any
        } else {
            ConnectionReuse::Fresh
        };
        let request = self.build_request(choice, last_event_id);
        let formation = entry.reported_formation(choice);
        let (response, lease) =
            upstream::send_request(attempt, choice, request, allowed_reuse)
                .await
                .map_err(|error| match error {
                    SendError::Unsent(why) => AttemptError::Unsent(why),
                    SendError::Withheld(why) => AttemptError::Withheld(why),
                    SendError::Unknown(why) => {
                        AttemptError::ConnectionBroken(why)
                    }
                })?;
        let (head, body) = response.into_parts();
        if !status::is_final(head.status) {
            return Err(AttemptError::MayHaveRun("an invalid status"));
        }
        // The late answer to an earlier request says nothing of this one, and
        // may be of an earlier process at the address.
        let echoed_id = head.headers.get(&header::REQUEST_ID);
        let own_id = self.head.headers.get(&header::REQUEST_ID);
        if echoed_id.is_some() && echoed_id != own_id {
            return Err(AttemptError::MayHaveRun("another request's answer"));
        }
        if head.status == StatusCode::MISDIRECTED_REQUEST
            && self.head.headers.contains_key(&header::EXPECTED_WEIGHTS)
            && echoed_id.is_some()
        {
            // The target may lack the weights that this caller wants, which
            // concerns no other request.
            attempt.note_response();
            return Ok(OpenResponse { head, body, lease });
        }
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            // Another process has the address: the chosen one has most likely
            // ended.
            entry.mark_target_displaced(&choice.target);
            return Err(AttemptError::Refused("another incarnation"));
        }
        entry.update_target_from_headers(choice, &self.request_id, &head);
        if echoed_id.is_some() || head.headers.contains_key(&header::NOT_RUN) {
            entry.apply_rate_limit_header(choice, attempt, &head.headers);
        }
        attempt.note_response();
        if head.headers.contains_key(&header::NOT_RUN) {
            let group_is_broken =
                head.headers.contains_key(&header::FAULTY_TARGET);
            drop(body);
            if group_is_broken {
                entry.record_broken_group(formation.as_ref());
                return Err(AttemptError::Refused(GROUP_IS_BROKEN));
            }
            return Err(AttemptError::Refused("refused by the target"));
        }
        if echoed_id.is_none()
            || head.headers.contains_key(standard::CONTENT_ENCODING)
            || head.status.is_success()
                && !head.headers.contains_key(&header::SIGNATURE)
        {
            return Err(AttemptError::MayHaveRun(
                "not a response of the target",
            ));
        }
        Ok(OpenResponse { head, body, lease })
    }

    /// Sends the request to a target and reads the whole response.
    pub async fn fetch_response(
        &mut self,
        entry: &Rc<Entry>,
        choice: &ChosenTarget,
        attempt: &Attempt,
    ) -> Result<Response<Body>, AttemptError> {
        self.note_attempted_target(choice);
        let opened = self.send_to_target(entry, choice, attempt, None).await?;
        read_whole_response(&entry.caller_memory, opened).await
    }

    fn build_request(
        &self,
        choice: &ChosenTarget,
        last_event_id: Option<u64>,
    ) -> Request<Pieces> {
        let mut request = Request::new(Pieces::new(&self.body));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self
            .head
            .uri
            .path_and_query()
            .cloned()
            .map_or_else(Uri::default, Uri::from);
        let mut headers = self.head.headers.clone();
        headers
            .insert(header::TIME_LEFT, HeaderValue::from(self.time_left().0));
        headers.insert(header::URGENCY, HeaderValue::from(self.queue_rank()));
        if let Ok(id) = HeaderValue::from_str(&choice.target.id) {
            headers.insert(header::EXPECTED_TARGET, id);
        }
        if let Some(id) = last_event_id {
            headers.insert(header::LAST_EVENT_ID, HeaderValue::from(id));
        }
        *request.headers_mut() = headers;
        request
    }

    /// The rank of the request in the target's queue. A late request goes
    /// behind requests that can still be on time; otherwise, after an outage,
    /// those would all be late too for as long as the backlog lasts.
    fn queue_rank(&self) -> u16 {
        let time =
            self.route.response_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
        let waited = time.since(self.time_left());
        let is_late = self.route.latency_goal.is_some_and(|aim| waited > aim);
        let rank = u16::from(self.priority);
        let rank =
            if is_late { rank + LATE_REQUEST_RANK_PENALTY } else { rank };
        rank.min(MAX_QUEUE_RANK)
    }

    /// The timeout of the next attempt at a target.
    pub fn attempt_timeout(&self) -> Millis {
        let time_left = self.time_left();
        let is_last = self.attempted_targets.len() + 1
            >= self.route.max_attempts as usize;
        if is_last || !self.route.allows_resend() {
            return time_left;
        }
        self.early_retry_timeout().min(time_left)
    }

    /// How long a target may take if another target can serve the request.
    pub fn early_retry_timeout(&self) -> Millis {
        let Some(aim) = self.route.latency_goal else {
            return self.time_left();
        };
        let timeout = Millis(aim.0 * FIRST_ATTEMPT_LATENCY_GOAL_PERCENT / 100);
        timeout.max(MIN_ATTEMPT_TIMEOUT)
    }

    /// When an answer that has not begun reaches no caller any more: at the
    /// deadline, or when the caller of a stream gives up for silence.
    pub fn latest_answer_time(&self) -> Millis {
        let silence = self.route.caller_idle_timeout;
        let gives_up_at = silence
            .map(|it| self.arrived + (it - choose::RESPONSE_DELIVERY_MARGIN));
        gives_up_at.map_or(self.deadline, |it| it.min(self.deadline))
    }
}

/// Reads the whole body of a response and returns its connection to the pool.
pub async fn read_whole_response(
    account: &Account,
    opened: OpenResponse,
) -> Result<Response<Body>, AttemptError> {
    let OpenResponse { mut head, mut body, lease } = opened;
    let body = read_answer(&mut body, account, MAX_BUFFERED_RESPONSE_BYTES)
        .await
        .map_err(|error| match error {
            AnswerError::Cut => {
                AttemptError::ConnectionBroken("the answer was cut")
            }
            AnswerError::NoRoom => AttemptError::AnswerDropped,
        })?;
    lease.release_to_pool(Millis::now());
    let is_refusal = matches!(
        head.status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
    );
    if is_refusal {
        // The response doesn't state that the request was not run, so the
        // entry process can't state that either.
        return Err(AttemptError::MayHaveRun(
            "a refusal that doesn't state that the request was not run",
        ));
    }
    remove_hop_by_hop_headers(&mut head.headers);
    head.headers.remove(standard::CONTENT_LENGTH);
    let body = Body::Whole(Pieces::new(&body));
    Ok(Response::from_parts(head, body))
}
