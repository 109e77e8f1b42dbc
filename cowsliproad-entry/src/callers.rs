//! The HTTP interface for callers, which `docs/CALLERS.md` describes.

mod finish;
mod head;

use std::{
    pin::Pin,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use cowsliproad_admission::{
    memory::{Account, Charge},
    patience,
    register::TICKET_TTL,
    ticket::{self, Ticket, TokenPurpose},
};
use cowsliproad_config::object::RequestType;
use cowsliproad_kernel::{
    clock::Millis,
    code::{ExecutionStatus, ResultCode},
    id,
    wire::{
        CancelRequest, Frame, ProcessPhase, RequestFailure,
        RequestPersistence, Urgency,
    },
};
use cowsliproad_net::{
    body::{self, BodyError, BodyLimits, discard_body},
    reply,
    server::{self, Handler},
    timer,
};
use http::{HeaderValue, Method, StatusCode, header};
use http_body::Body as _;
use serde_json::json;
use slog::info;
use volo_http::{body::Body, request::Request, response::Response};

pub use self::finish::RequestMetrics;
use self::{
    finish::{EntryInFlightGuard, RequestRecorder, UnrecordedReclaim},
    head::{
        authenticate_organisation, read_idempotency_key, requested_delivery,
    },
};
use crate::{
    EntryState,
    answer::{self, AnswerObserver},
    choose,
    forward::{AnswerItem, RequestForwarder, WorkRequest, needs_ticket},
    quarantine,
    target::{AttemptEvent, Target},
    view::{Organisation, OrganisationInFlightGuard, Service},
};

/// The HTTP header that carries a ticket.
pub const TICKET_HEADER: &str = "request-ticket";

/// The maximum number of tickets issued by one HTTP request.
const MAX_TICKETS_PER_REQUEST: u64 = 100;

/// How long a caller that reclaims a kept answer as JSON waits for the end of
/// the answer.
const RECLAIM_TIMEOUT: Millis = Millis(20_000);

/// Copies of a request body that are kept while the request is in flight: the
/// body itself and that in the frame of an attempt.
const BODY_COPIES: usize = 2;

/// The `Retry-After` of a response to a request whose body found no memory.
const NO_MEMORY_RETRY_AFTER: Millis = Millis(1_000);

/// How long the agent may take to answer a cancel frame.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// The `Retry-After` of a response about unfinished work, or about a service
/// without a reachable target.
const UNFINISHED_RETRY_AFTER: Millis = Millis(1_000);

/// The `Retry-After` of a response to a request that exceeds a limit on
/// requests in flight, or that arrives before the entry process has a
/// configuration.
const OVERLOAD_RETRY_AFTER: Millis = Millis(200);

/// Handles the HTTP requests of callers.
#[derive(Debug)]
pub struct CallerApi {
    shared: Arc<EntryState>,
}

/// The organisation, service and request type of an HTTP request whose head
/// was checked.
struct CheckedRequest {
    organisation: Arc<Organisation>,
    service: Arc<Service>,
    request_type: Arc<RequestType>,
}

/// The problem document of a refused HTTP request.
struct RequestRefusal {
    failure: RequestFailure,
    problem_detail: String,
    /// A new ticket with which the caller can send the request again.
    new_ticket: Option<String>,
}

impl RequestRefusal {
    fn new(failure: RequestFailure) -> RequestRefusal {
        RequestRefusal {
            failure,
            problem_detail: String::new(),
            new_ticket: None,
        }
    }

    fn into_response(self) -> Response {
        let mut response =
            reply::problem_response(&self.failure, &self.problem_detail);
        let ticket = self.new_ticket.as_deref().map(HeaderValue::from_str);
        if let Some(Ok(ticket)) = ticket {
            response.headers_mut().insert(TICKET_HEADER, ticket);
        }
        response
    }
}

/// How a caller receives an answer: whole, as a stream of events, or later by
/// its resume token.
#[derive(Clone, Copy, Eq, PartialEq)]
enum AnswerDelivery {
    Whole,
    Stream,
    Async,
}

impl Handler for CallerApi {
    async fn handle_request(&self, request: Request) -> Response {
        let shared = &self.shared;
        shared.in_flight_requests.fetch_add(1, Ordering::Relaxed);
        let entry_in_flight =
            EntryInFlightGuard { entry_state: shared.clone() };
        let mut response = self.route_request(request, entry_in_flight).await;
        if shared.lifecycle_phase() == ProcessPhase::Leaving {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }
}

impl CallerApi {
    /// Creates the handler of callers' HTTP requests.
    pub fn new(shared: Arc<EntryState>) -> CallerApi {
        CallerApi { shared }
    }

    async fn route_request(
        &self,
        request: Request,
        entry_in_flight: EntryInFlightGuard,
    ) -> Response {
        let path = request.uri().path().to_string();
        let path: Vec<&str> =
            path.split('/').filter(|it| !it.is_empty()).collect();
        let outcome = match (request.method().clone(), &path[..]) {
            (Method::GET, ["livez"]) => {
                return reply::text_response(StatusCode::OK, "live\n");
            }
            (Method::GET, ["readyz"]) => return self.readiness_response(),
            (Method::GET, ["metrics"]) => {
                let text = self.shared.metrics.text();
                return reply::text_response(StatusCode::OK, &text);
            }
            // Boxed to keep the common future small: the server moves it
            // several times.
            (Method::GET, ["v1", "requests", token]) => {
                Box::pin(self.reclaim_answer(&request, token, entry_in_flight))
                    .await
            }
            (Method::DELETE, ["v1", "requests", token]) => {
                Box::pin(self.cancel_work(&request, token)).await
            }
            (_, ["v1", "requests", _]) => {
                Err(refuse_unforwarded(ResultCode::BadMethod, "GET or DELETE"))
            }
            (Method::POST, ["v1", service, type_name, "tickets"]) => {
                self.issue_tickets(&request, service, type_name)
            }
            (Method::POST, ["v1", service, type_name]) => {
                Box::pin(self.submit_work(
                    request,
                    service,
                    type_name,
                    entry_in_flight,
                ))
                .await
            }
            (_, ["v1", _, _]) => {
                Err(refuse_unforwarded(ResultCode::BadMethod, "POST"))
            }
            _ => Err(refuse_unforwarded(ResultCode::UnknownPath, "")),
        };
        outcome.unwrap_or_else(RequestRefusal::into_response)
    }

    fn readiness_response(&self) -> Response {
        let view = self.shared.published_view.current_view();
        if self.shared.lifecycle_phase() == ProcessPhase::Leaving {
            return reply::text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "stopping\n",
            );
        }
        if view.services.is_empty() {
            return reply::text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "no configuration yet\n",
            );
        }
        reply::text_response(StatusCode::OK, "ready\n")
    }

    async fn submit_work(
        &self,
        request: Request,
        service: &str,
        type_name: &str,
        entry_in_flight: EntryInFlightGuard,
    ) -> Result<Response, RequestRefusal> {
        let (head, body) = request.into_parts();
        let mut body = Box::pin(body);
        let request = Request::from_parts(head, Body::empty());
        let submitted = self
            .submit_body(
                request,
                &mut body,
                service,
                type_name,
                entry_in_flight,
            )
            .await;
        if submitted.is_err() && !body.is_end_stream() {
            tokio::spawn(discard_body(body));
        }
        submitted
    }

    async fn submit_body(
        &self,
        request: Request,
        body: &mut Pin<Box<Body>>,
        service: &str,
        type_name: &str,
        entry_in_flight: EntryInFlightGuard,
    ) -> Result<Response, RequestRefusal> {
        let arrived_at = Instant::now();
        let checked = self.check_request(&request, service, type_name)?;
        let organisation_in_flight = self.admit_request(&checked)?;
        let delivery = requested_delivery(&request);
        let key = read_idempotency_key(&request)?;
        let ticket = self.verify_ticket(&request, &checked)?;
        let (body, body_charge) =
            self.read_json_body(body, &checked.request_type).await?;
        let keep = delivery != AnswerDelivery::Whole || key.is_some();
        let organisation = &checked.organisation.declaration.name;
        let type_name = &checked.request_type.name;
        let work = quarantine::compute_work_digest(
            &checked.service,
            organisation,
            type_name,
            &body,
        );
        let work_request = WorkRequest {
            request_id: ticket
                .as_ref()
                .map_or_else(id::Request::random, |it| it.1.request),
            organisation: checked.organisation.declaration.name.clone(),
            organisation_weight: checked
                .organisation
                .declaration
                .capacity_weight,
            service: checked.service.clone(),
            request_type: checked.request_type.clone(),
            signed_ticket: ticket,
            idempotency_key: key,
            persistence: match keep {
                true => RequestPersistence::Keep,
                false => RequestPersistence::Drop,
            },
            answer_deadline: Millis::now() + checked.request_type.deadline_ms,
            request_body: body,
            body_charge: Arc::new(body_charge),
            work_digest: work,
        };
        let recorder = RequestRecorder {
            entry_state: self.shared.clone(),
            request_id: work_request.request_id,
            request_type: checked.request_type.clone(),
            arrived_at,
            _entry_in_flight: entry_in_flight,
            _organisation_in_flight: organisation_in_flight,
        };
        let forwarder =
            RequestForwarder::new(self.shared.clone(), work_request);
        let account = &self.shared.caller_memory;
        Ok(deliver_answer(forwarder, account, delivery, recorder, 0).await)
    }

    /// Reads out the kept answer of the request that a resume token names.
    async fn reclaim_answer(
        &self,
        request: &Request,
        token: &str,
        entry_in_flight: EntryInFlightGuard,
    ) -> Result<Response, RequestRefusal> {
        let token = self.verify_resume_token(request, token)?;
        let last = request.headers().get("last-event-id");
        let last = last.and_then(|it| it.to_str().ok()?.parse().ok());
        let delivery = match requested_delivery(request) {
            AnswerDelivery::Stream => AnswerDelivery::Stream,
            AnswerDelivery::Whole | AnswerDelivery::Async => {
                AnswerDelivery::Whole
            }
        };
        let first_byte = match delivery {
            AnswerDelivery::Stream => last.unwrap_or(0),
            _ => 0,
        };
        let deadline = Millis::now() + RECLAIM_TIMEOUT;
        let shared = self.shared.clone();
        let forwarder = RequestForwarder::for_kept_answer(
            shared, token, first_byte, deadline,
        );
        match delivery {
            AnswerDelivery::Stream => Ok(start_answer_stream(
                forwarder,
                first_byte,
                UnrecordedReclaim { _entry_in_flight: entry_in_flight },
            )
            .await),
            _ => {
                let account = &self.shared.caller_memory;
                Ok(kept_answer_response(forwarder, account).await)
            }
        }
    }

    /// Sends a cancel frame to the agent that is, or took over from, the
    /// process named by a resume token.
    async fn cancel_work(
        &self,
        request: &Request,
        token: &str,
    ) -> Result<Response, RequestRefusal> {
        let token = self.verify_resume_token(request, token)?;
        let view = self.shared.published_view.current_view();
        let holder =
            view.target_answering_for(&token.target, token.incarnation);
        let link = holder.and_then(|target| target.agent_link.load_full());
        let gone = || {
            let failure = RequestFailure::new(
                ResultCode::TargetGone,
                ExecutionStatus::OutcomeUnknown,
            );
            RequestRefusal::new(failure)
        };
        let link = link.ok_or_else(gone)?;
        let attempt = id::Attempt::random();
        let mut events = link.register_attempt(attempt);
        let cancel = CancelRequest {
            request: token.request,
            organisation: token.organisation,
            attempt,
        };
        let sent = link.send_frame(Frame::CancelRequest(cancel)).await;
        sent.map_err(|_| gone())?;
        let answer = timer::timeout(CANCEL_TIMEOUT, events.recv()).await;
        link.unregister_attempt(attempt);
        match answer {
            Ok(Some(AttemptEvent::Refused(failure)))
                if failure.code == ResultCode::Cancelled =>
            {
                let body = json!({ "ran": failure.ran.as_str() });
                Ok(reply::json_response(StatusCode::OK, body.to_string()))
            }
            Ok(Some(AttemptEvent::Refused(failure))) => {
                Err(RequestRefusal::new(failure))
            }
            _ => Err(gone()),
        }
    }

    fn issue_tickets(
        &self,
        request: &Request,
        service: &str,
        type_name: &str,
    ) -> Result<Response, RequestRefusal> {
        let checked = self.check_request(request, service, type_name)?;
        if !needs_ticket(&checked.request_type) {
            let text = "this type may be repeated and takes no tickets";
            return Err(refuse_unforwarded(ResultCode::BadRequest, text));
        }
        let count = server::query_number(request, "count").unwrap_or(1);
        let count = count.clamp(1, MAX_TICKETS_PER_REQUEST);
        let tickets: Result<Vec<String>, RequestRefusal> =
            (0..count).map(|_| self.sign_new_ticket(&checked)).collect();
        let tickets = tickets?;
        let body = json!({
            "tickets": tickets,
            "valid_ms": TICKET_TTL.0,
        });
        Ok(reply::json_response(StatusCode::OK, body.to_string()))
    }

    /// Signs a ticket for the target with the best score. If no target may be
    /// used now, the ticket names the target whose cooldown ends first.
    fn sign_new_ticket(
        &self,
        checked: &CheckedRequest,
    ) -> Result<String, RequestRefusal> {
        let service = &checked.service;
        let found = choose::best_sampled_target(&self.shared, service, &[]);
        let target = match found {
            Some(found) => service.targets[found.chosen_index].clone(),
            None => self.earliest_target_out_of_cooldown(checked)?,
        };
        let (heartbeat, received_at) =
            target.last_heartbeat().ok_or_else(no_target_refusal)?;
        let ticket = Ticket {
            purpose: TokenPurpose::Ticket,
            organisation: checked.organisation.declaration.name.clone(),
            service: checked.service.name.clone(),
            request_type: checked.request_type.name.clone(),
            target: target.name.clone(),
            incarnation: heartbeat.incarnation,
            request: id::Request::random(),
            expiry: heartbeat.sender_clock
                + Millis::now().since(received_at)
                + TICKET_TTL,
        };
        info!(self.shared.logger, "ticket";
            "request" => %ticket.request,
            "type" => %ticket.request_type,
            "target" => %ticket.target,
            "score_us" => found.map_or(0, |it| it.chosen_score_us));
        Ok(ticket::sign(&ticket, &self.shared.ticket_key))
    }

    /// Returns the target whose cooldown ends first, if it ends before the
    /// deadline of the request type.
    fn earliest_target_out_of_cooldown(
        &self,
        checked: &CheckedRequest,
    ) -> Result<Arc<Target>, RequestRefusal> {
        let deadline = Millis::now() + checked.request_type.deadline_ms;
        let first = choose::earliest_target_out_of_cooldown(
            &checked.service,
            &[],
            deadline,
        );
        first.map_err(|wait| {
            let Some(wait) = wait else { return no_target_refusal() };
            let after = patience::add_retry_jitter(wait, rand::random());
            let failure = RequestFailure::new(
                ResultCode::Overloaded,
                ExecutionStatus::NotRun,
            );
            RequestRefusal::new(failure.with_retry_after(after))
        })
    }

    /// Checks the organisation key, the service, the request type and the
    /// permission of the organisation to send the type.
    fn check_request(
        &self,
        request: &Request,
        service: &str,
        type_name: &str,
    ) -> Result<CheckedRequest, RequestRefusal> {
        let view = self.shared.published_view.current_view();
        let organisation = authenticate_organisation(request, &view)?;
        let service =
            view.services.get(service).cloned().ok_or_else(|| {
                refuse_unforwarded(ResultCode::UnknownService, "")
            })?;
        let request_type =
            service.request_types.get(type_name).cloned().ok_or_else(
                || refuse_unforwarded(ResultCode::UnknownType, ""),
            )?;
        let allowed = &request_type.allowed_organisations;
        let name = &organisation.declaration.name;
        if !allowed.is_empty() && !allowed.contains(name) {
            return Err(refuse_unforwarded(ResultCode::NotAllowed, ""));
        }
        Ok(CheckedRequest { organisation, service, request_type })
    }

    /// Counts the request as in flight, within the limits of the entry process
    /// and of the organisation.
    fn admit_request(
        &self,
        checked: &CheckedRequest,
    ) -> Result<OrganisationInFlightGuard, RequestRefusal> {
        let max = self.shared.settings.max_in_flight_requests;
        let urgent = checked.request_type.urgency == Urgency::Urgent;
        // The last tenth of the requests in flight is reserved for urgent
        // work.
        let limit = if urgent { max } else { max - max / 10 };
        let full =
            self.shared.in_flight_requests.load(Ordering::Relaxed) > limit;
        let ran = ExecutionStatus::NotForwarded;
        if full {
            let failure = RequestFailure::new(ResultCode::Overloaded, ran);
            let failure = failure.with_retry_after(OVERLOAD_RETRY_AFTER);
            return Err(RequestRefusal::new(failure));
        }
        checked.organisation.try_begin_request().ok_or_else(|| {
            let failure = RequestFailure::new(ResultCode::OverShare, ran);
            let failure = failure.with_retry_after(OVERLOAD_RETRY_AFTER);
            RequestRefusal::new(failure)
        })
    }

    /// Verifies the ticket of a request whose type requires one.
    fn verify_ticket(
        &self,
        request: &Request,
        checked: &CheckedRequest,
    ) -> Result<Option<(String, Ticket)>, RequestRefusal> {
        if !needs_ticket(&checked.request_type) {
            return Ok(None);
        }
        let Some(text) = request.headers().get(TICKET_HEADER) else {
            return Err(self.refuse_with_new_ticket(checked));
        };
        let text = text
            .to_str()
            .map_err(|_| refuse_unforwarded(ResultCode::ForgedToken, ""))?
            .to_string();
        let ticket = ticket::verify(&text, &self.shared.ticket_key)
            .map_err(|_| refuse_unforwarded(ResultCode::ForgedToken, ""))?;
        let fits = ticket.purpose == TokenPurpose::Ticket
            && ticket.organisation == checked.organisation.declaration.name
            && ticket.service == checked.service.name
            && ticket.request_type == checked.request_type.name;
        if !fits {
            return Err(refuse_unforwarded(ResultCode::ForeignToken, ""));
        }
        Ok(Some((text, ticket)))
    }

    /// Refuses a request without a ticket as not run, and issues a ticket with
    /// which the caller can send the request again.
    fn refuse_with_new_ticket(
        &self,
        checked: &CheckedRequest,
    ) -> RequestRefusal {
        match self.sign_new_ticket(checked) {
            Ok(ticket) => {
                let failure = RequestFailure::new(
                    ResultCode::TicketNeeded,
                    ExecutionStatus::NotRun,
                );
                RequestRefusal {
                    new_ticket: Some(ticket),
                    ..RequestRefusal::new(failure)
                }
            }
            Err(refused) => refused,
        }
    }

    /// Verifies that a resume token is genuine and belongs to the organisation
    /// of the request.
    fn verify_resume_token(
        &self,
        request: &Request,
        token: &str,
    ) -> Result<Ticket, RequestRefusal> {
        let view = self.shared.published_view.current_view();
        let organisation = authenticate_organisation(request, &view)?;
        let token = ticket::verify(token, &self.shared.ticket_key)
            .map_err(|_| refuse_unforwarded(ResultCode::ForgedToken, ""))?;
        if token.organisation != organisation.declaration.name {
            return Err(refuse_unforwarded(ResultCode::ForeignToken, ""));
        }
        Ok(token)
    }

    /// Reads the request body within the size and time limits and checks that
    /// it is one JSON value. The charge is for the body and for the copy of an
    /// attempt.
    async fn read_json_body(
        &self,
        body: &mut Pin<Box<Body>>,
        request_type: &RequestType,
    ) -> Result<(Vec<u8>, Charge), RequestRefusal> {
        let account = &self.shared.caller_memory;
        let limit = request_type.max_body_bytes as usize;
        let deadline = Millis::now() + self.shared.settings.body_timeout;
        let limits = BodyLimits::new(limit, deadline);
        let stored = body::read_body(body, account, limits, |_| {}).await;
        let copied = stored.and_then(|stored| {
            let bytes = stored.pieces().concat();
            drop(stored);
            let charged_bytes = BODY_COPIES * bytes.len();
            let charge = account.charge(charged_bytes, Millis::now())?;
            Ok((bytes, charge))
        });
        let (body, charge) = copied.map_err(|error| match error {
            BodyError::NoRoom | BodyError::Evicted => {
                let failure = RequestFailure::new(
                    ResultCode::NoMemory,
                    ExecutionStatus::NotForwarded,
                );
                let failure = failure.with_retry_after(NO_MEMORY_RETRY_AFTER);
                self.shared.request_metrics.record_refused_body(error.label());
                RequestRefusal::new(failure)
            }
            BodyError::TooLarge => refuse_unforwarded(
                ResultCode::TooLarge,
                &format!("at most {limit} bytes"),
            ),
            BodyError::TimedOut => {
                refuse_unforwarded(ResultCode::SlowBody, "")
            }
            BodyError::Incomplete => {
                refuse_unforwarded(ResultCode::BadRequest, "the body was cut")
            }
        })?;
        serde_json::from_slice::<serde::de::IgnoredAny>(&body).map_err(
            |error| {
                refuse_unforwarded(ResultCode::BadJson, &error.to_string())
            },
        )?;
        Ok((body, charge))
    }
}

async fn deliver_answer(
    mut forwarder: RequestForwarder,
    account: &Account,
    delivery: AnswerDelivery,
    mut recorder: RequestRecorder,
    first_byte: u64,
) -> Response {
    match delivery {
        AnswerDelivery::Whole => {
            let (response, failure) =
                answer::whole_answer_response(forwarder, account).await;
            recorder.answer_ended(failure.as_ref());
            response
        }
        AnswerDelivery::Stream => {
            start_answer_stream(forwarder, first_byte, recorder).await
        }
        AnswerDelivery::Async => {
            match wait_for_resume_token(&mut forwarder).await {
                Ok(token) => {
                    forwarder.detach_from_work();
                    recorder.answer_ended(None);
                    answer::accepted_response(&token)
                }
                Err(failure) => {
                    recorder.answer_ended(Some(&failure));
                    reply::problem_response(&failure, "")
                }
            }
        }
    }
}

/// Waits for the resume token of accepted work. Frames of the answer may
/// arrive before the token and are ignored.
async fn wait_for_resume_token(
    forwarder: &mut RequestForwarder,
) -> Result<String, RequestFailure> {
    loop {
        match forwarder.next_item().await {
            Some(AnswerItem::Accepted(token)) => return Ok(token),
            Some(AnswerItem::Failed(failure)) => return Err(failure),
            Some(
                AnswerItem::Bytes(_)
                | AnswerItem::Restart
                | AnswerItem::Done(_),
            ) => {}
            None => {
                let code = ResultCode::TargetFailed;
                return Err(RequestFailure::new(
                    code,
                    ExecutionStatus::OutcomeUnknown,
                ));
            }
        }
    }
}

/// Starts the event stream of an answer. A failure before the first answer
/// item is returned as a plain problem document.
async fn start_answer_stream<C: AnswerObserver>(
    mut forwarder: RequestForwarder,
    first_byte: u64,
    mut observer: C,
) -> Response {
    match forwarder.next_item().await {
        Some(AnswerItem::Failed(failure)) => {
            observer.answer_ended(Some(&failure));
            reply::problem_response(&failure, "")
        }
        Some(first) => {
            answer::stream_answer(forwarder, first, first_byte, observer)
        }
        None => reply::text_response(StatusCode::INTERNAL_SERVER_ERROR, ""),
    }
}

/// Returns a kept answer as one document, or "accepted" with a `Retry-After`
/// while the work is unfinished.
async fn kept_answer_response(
    forwarder: RequestForwarder,
    account: &Account,
) -> Response {
    let (response, failure) =
        answer::whole_answer_response(forwarder, account).await;
    match failure {
        Some(failure) if failure.code == ResultCode::TimedOut => {
            let failure = RequestFailure::new(
                ResultCode::Accepted,
                ExecutionStatus::OutcomeUnknown,
            );
            let failure = failure.with_retry_after(UNFINISHED_RETRY_AFTER);
            reply::problem_response(&failure, "the work is not finished yet")
        }
        _ => response,
    }
}

/// A refusal, with the outcome "not forwarded", of a request that the entry
/// process rejected itself.
fn refuse_unforwarded(code: ResultCode, detail: &str) -> RequestRefusal {
    let failure = RequestFailure::new(code, ExecutionStatus::NotForwarded);
    RequestRefusal {
        problem_detail: detail.into(),
        ..RequestRefusal::new(failure)
    }
}

fn no_target_refusal() -> RequestRefusal {
    let failure = RequestFailure::new(
        ResultCode::NoTarget,
        ExecutionStatus::NotForwarded,
    );
    RequestRefusal::new(failure.with_retry_after(UNFINISHED_RETRY_AFTER))
}
