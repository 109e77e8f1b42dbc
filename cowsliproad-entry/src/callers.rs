//! The callers' HTTP interface. `docs/CALLERS.md` describes it.

mod finish;
mod head;

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use cowsliproad_admission::{
    patience,
    register::TICKET_TTL,
    ticket::{self, Ticket, TokenPurpose},
};
use cowsliproad_config::object::RequestType;
use cowsliproad_kernel::{
    clock::Millis,
    code::{Code, ExecutionStatus},
    id,
    wire::{
        CancelRequest, Frame, ProcessPhase, RequestFailure,
        RequestPersistence, Urgency,
    },
};
use cowsliproad_net::{
    reply,
    server::{self, BodyError, Handler},
};
use http::{HeaderValue, Method, StatusCode, header};
use serde_json::json;
use slog::info;
use volo_http::{request::Request, response::Response};

pub use self::finish::Instruments;
use self::{
    finish::{EntryGuard, Finish, Ignored},
    head::{delivery, idempotency_key, organisation},
};
use crate::{
    Shared,
    answer::{self, Companion},
    choose,
    forward::{Forward, Item, Order, needs_ticket},
    quarantine,
    target::{Event, Target},
    view::{InFlight, Organisation, Service},
};

/// The header that carries a ticket.
pub const TICKET_HEADER: &str = "request-ticket";

/// The most tickets given out at once.
const MAX_TICKETS: u64 = 100;

/// How long a caller that asks for a kept answer as JSON waits for its end.
const RECLAIM_WAIT: Millis = Millis(20_000);

/// How long a cancel may take.
const CANCEL_WAIT: Duration = Duration::from_secs(2);

/// When to come back for an answer that is still being worked on.
const NOT_YET: Millis = Millis(1_000);

/// When to come back after the organisation's limit was met.
const OVER_SHARE: Millis = Millis(200);

/// The interface.
#[derive(Debug)]
pub struct Api {
    shared: Arc<Shared>,
}

/// What is known of a request once its head was checked.
struct Checked {
    organisation: Arc<Organisation>,
    service: Arc<Service>,
    request_type: Arc<RequestType>,
}

/// A refusal with its explanation.
struct Refused {
    failure: RequestFailure,
    detail: String,
    /// A ticket to send again with.
    ticket: Option<String>,
}

impl Refused {
    fn new(failure: RequestFailure) -> Refused {
        Refused { failure, detail: String::new(), ticket: None }
    }

    fn into_response(self) -> Response {
        let mut response =
            reply::problem_response(&self.failure, &self.detail);
        let ticket = self.ticket.as_deref().map(HeaderValue::from_str);
        if let Some(Ok(ticket)) = ticket {
            response.headers_mut().insert(TICKET_HEADER, ticket);
        }
        response
    }
}

/// How the caller wants its answer.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Delivery {
    Whole,
    Stream,
    Async,
}

impl Handler for Api {
    async fn handle(&self, request: Request) -> Response {
        let shared = &self.shared;
        shared.in_flight.fetch_add(1, Ordering::Relaxed);
        let guard = EntryGuard { shared: shared.clone() };
        let mut response = self.route(request, guard).await;
        if shared.phase() == ProcessPhase::Leaving {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }
}

impl Api {
    /// The interface of an entry.
    pub fn new(shared: Arc<Shared>) -> Api {
        Api { shared }
    }

    async fn route(&self, request: Request, guard: EntryGuard) -> Response {
        let path = request.uri().path().to_string();
        let path: Vec<&str> =
            path.split('/').filter(|it| !it.is_empty()).collect();
        let outcome = match (request.method().clone(), &path[..]) {
            (Method::GET, ["livez"]) => {
                return reply::text_response(StatusCode::OK, "live\n");
            }
            (Method::GET, ["readyz"]) => return self.ready(),
            (Method::GET, ["metrics"]) => {
                let text = self.shared.metrics.text();
                return reply::text_response(StatusCode::OK, &text);
            }
            // Boxed, so that the common future stays small: the server
            // moves it several times.
            (Method::GET, ["v1", "requests", token]) => {
                Box::pin(self.reclaim(&request, token, guard)).await
            }
            (Method::DELETE, ["v1", "requests", token]) => {
                Box::pin(self.cancel(&request, token)).await
            }
            (_, ["v1", "requests", _]) => {
                Err(refused(Code::BadMethod, "GET or DELETE"))
            }
            (Method::POST, ["v1", service, kind, "tickets"]) => {
                self.tickets(&request, service, kind)
            }
            (Method::POST, ["v1", service, kind]) => {
                Box::pin(self.submit(request, service, kind, guard)).await
            }
            (_, ["v1", _, _]) => Err(refused(Code::BadMethod, "POST")),
            _ => Err(refused(Code::UnknownPath, "")),
        };
        outcome.unwrap_or_else(Refused::into_response)
    }

    fn ready(&self) -> Response {
        let view = self.shared.published.load();
        if self.shared.phase() == ProcessPhase::Leaving {
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

    async fn submit(
        &self,
        request: Request,
        service: &str,
        kind: &str,
        guard: EntryGuard,
    ) -> Result<Response, Refused> {
        let arrival = Instant::now();
        let checked = self.check(&request, service, kind)?;
        let share = self.admit(&checked)?;
        let delivery = delivery(&request);
        let key = idempotency_key(&request)?;
        let ticket = self.ticket(&request, &checked)?;
        let body = self.body(request, &checked.request_type).await?;
        let keep = delivery != Delivery::Whole || key.is_some();
        let organisation = &checked.organisation.declared.name;
        let kind = &checked.request_type.name;
        let work =
            quarantine::work_of(&checked.service, organisation, kind, &body);
        let order = Order {
            request: ticket
                .as_ref()
                .map_or_else(id::Request::random, |it| it.1.request),
            organisation: checked.organisation.declared.name.clone(),
            share: checked.organisation.declared.capacity_weight,
            service: checked.service.clone(),
            request_type: checked.request_type.clone(),
            ticket,
            key,
            persistence: match keep {
                true => RequestPersistence::Keep,
                false => RequestPersistence::Drop,
            },
            deadline: Millis::now() + checked.request_type.deadline_ms,
            body,
            work,
        };
        let finish = Finish {
            shared: self.shared.clone(),
            request: order.request,
            request_type: checked.request_type.clone(),
            arrival,
            _guard: guard,
            _share: share,
        };
        let forward = Forward::new(self.shared.clone(), order);
        Ok(deliver(forward, delivery, finish, 0).await)
    }

    async fn reclaim(
        &self,
        request: &Request,
        token: &str,
        guard: EntryGuard,
    ) -> Result<Response, Refused> {
        let token = self.token(request, token)?;
        let last = request.headers().get("last-event-id");
        let last = last.and_then(|it| it.to_str().ok()?.parse().ok());
        let delivery = match delivery(request) {
            Delivery::Stream => Delivery::Stream,
            Delivery::Whole | Delivery::Async => Delivery::Whole,
        };
        let from = match delivery {
            Delivery::Stream => last.unwrap_or(0),
            _ => 0,
        };
        let deadline = Millis::now() + RECLAIM_WAIT;
        let shared = self.shared.clone();
        let forward = Forward::kept(shared, token, from, deadline);
        match delivery {
            Delivery::Stream => {
                Ok(begin_stream(forward, from, Ignored { _guard: guard })
                    .await)
            }
            _ => Ok(kept_document(forward).await),
        }
    }

    async fn cancel(
        &self,
        request: &Request,
        token: &str,
    ) -> Result<Response, Refused> {
        let token = self.token(request, token)?;
        let view = self.shared.published.load();
        let holder = view.holder(&token.target, token.incarnation);
        let link = holder.and_then(|target| target.link.load_full());
        let gone = || {
            let failure = RequestFailure::new(
                Code::TargetGone,
                ExecutionStatus::OutcomeUnknown,
            );
            Refused::new(failure)
        };
        let link = link.ok_or_else(gone)?;
        let attempt = id::Attempt::random();
        let mut events = link.listen(attempt);
        let cancel = CancelRequest {
            request: token.request,
            organisation: token.organisation,
            attempt,
        };
        let sent = link.send(Frame::CancelRequest(cancel)).await;
        sent.map_err(|_| gone())?;
        let answer = tokio::time::timeout(CANCEL_WAIT, events.recv()).await;
        link.forget(attempt);
        match answer {
            Ok(Some(Event::Refused(failure)))
                if failure.code == Code::Cancelled =>
            {
                let body = json!({ "ran": failure.ran.as_str() });
                Ok(reply::json_response(StatusCode::OK, body.to_string()))
            }
            Ok(Some(Event::Refused(failure))) => Err(Refused::new(failure)),
            _ => Err(gone()),
        }
    }

    fn tickets(
        &self,
        request: &Request,
        service: &str,
        kind: &str,
    ) -> Result<Response, Refused> {
        let checked = self.check(request, service, kind)?;
        if !needs_ticket(&checked.request_type) {
            let text = "this type may be repeated and takes no tickets";
            return Err(refused(Code::BadRequest, text));
        }
        let count = server::query_number(request, "count").unwrap_or(1);
        let count = count.clamp(1, MAX_TICKETS);
        let tickets: Result<Vec<String>, Refused> =
            (0..count).map(|_| self.mint(&checked)).collect();
        let tickets = tickets?;
        let body = json!({
            "tickets": tickets,
            "valid_ms": TICKET_TTL.0,
        });
        Ok(reply::json_response(StatusCode::OK, body.to_string()))
    }

    /// Makes a ticket for the target that suits best now.
    fn mint(&self, checked: &Checked) -> Result<String, Refused> {
        let service = &checked.service;
        let found = choose::best(&self.shared, service, &[]);
        let target = match found {
            Some(found) => service.targets[found.chosen_index].clone(),
            None => self.first_to_return(checked)?,
        };
        let (beat, at) = target.beat().ok_or_else(no_target)?;
        let ticket = Ticket {
            purpose: TokenPurpose::Ticket,
            organisation: checked.organisation.declared.name.clone(),
            service: checked.service.name.clone(),
            request_type: checked.request_type.name.clone(),
            target: target.name.clone(),
            incarnation: beat.incarnation,
            request: id::Request::random(),
            expiry: beat.sender_clock + Millis::now().since(at) + TICKET_TTL,
        };
        info!(self.shared.log, "ticket";
            "request" => %ticket.request,
            "type" => %ticket.request_type,
            "target" => %ticket.target,
            "score_us" => found.map_or(0, |it| it.chosen_score_us));
        Ok(ticket::sign(&ticket, &self.shared.ticket_key))
    }

    /// The target that takes work again first where all of them asked to be
    /// left alone, if that is in time.
    fn first_to_return(
        &self,
        checked: &Checked,
    ) -> Result<Arc<Target>, Refused> {
        let deadline = Millis::now() + checked.request_type.deadline_ms;
        let first = choose::first_to_return(&checked.service, &[], deadline);
        first.map_err(|wait| {
            let Some(wait) = wait else { return no_target() };
            let after = patience::add_retry_jitter(wait, rand::random());
            let failure =
                RequestFailure::new(Code::Overloaded, ExecutionStatus::NotRun);
            Refused::new(failure.with_retry_after(after))
        })
    }

    fn check(
        &self,
        request: &Request,
        service: &str,
        kind: &str,
    ) -> Result<Checked, Refused> {
        let view = self.shared.published.load();
        let organisation = organisation(request, &view)?;
        let service = view
            .services
            .get(service)
            .cloned()
            .ok_or_else(|| refused(Code::UnknownService, ""))?;
        let request_type = service
            .types
            .get(kind)
            .cloned()
            .ok_or_else(|| refused(Code::UnknownType, ""))?;
        let senders = &request_type.allowed_organisations;
        let name = &organisation.declared.name;
        if !senders.is_empty() && !senders.contains(name) {
            return Err(refused(Code::NotAllowed, ""));
        }
        Ok(Checked { organisation, service, request_type })
    }

    /// Holds a place for the request, within the limits of this entry and of
    /// the organisation.
    fn admit(&self, checked: &Checked) -> Result<InFlight, Refused> {
        let most = self.shared.settings.max_in_flight;
        let urgent = checked.request_type.urgency == Urgency::Urgent;
        // The last tenth of the places is for urgent work.
        let most = if urgent { most } else { most - most / 10 };
        let full = self.shared.in_flight.load(Ordering::Relaxed) > most;
        let ran = ExecutionStatus::NotForwarded;
        if full {
            let failure = RequestFailure::new(Code::Overloaded, ran);
            let failure = failure.with_retry_after(OVER_SHARE);
            return Err(Refused::new(failure));
        }
        checked.organisation.enter().ok_or_else(|| {
            let failure = RequestFailure::new(Code::OverShare, ran);
            let failure = failure.with_retry_after(OVER_SHARE);
            Refused::new(failure)
        })
    }

    fn ticket(
        &self,
        request: &Request,
        checked: &Checked,
    ) -> Result<Option<(String, Ticket)>, Refused> {
        if !needs_ticket(&checked.request_type) {
            return Ok(None);
        }
        let Some(text) = request.headers().get(TICKET_HEADER) else {
            return Err(self.ask_for_ticket(checked));
        };
        let text = text
            .to_str()
            .map_err(|_| refused(Code::ForgedToken, ""))?
            .to_string();
        let ticket = ticket::verify(&text, &self.shared.ticket_key)
            .map_err(|_| refused(Code::ForgedToken, ""))?;
        let fits = ticket.purpose == TokenPurpose::Ticket
            && ticket.organisation == checked.organisation.declared.name
            && ticket.service == checked.service.name
            && ticket.request_type == checked.request_type.name;
        if !fits {
            return Err(refused(Code::ForeignToken, ""));
        }
        Ok(Some((text, ticket)))
    }

    /// Nothing ran, and here is a ticket to send again with.
    fn ask_for_ticket(&self, checked: &Checked) -> Refused {
        match self.mint(checked) {
            Ok(ticket) => {
                let failure = RequestFailure::new(
                    Code::TicketNeeded,
                    ExecutionStatus::NotRun,
                );
                Refused { ticket: Some(ticket), ..Refused::new(failure) }
            }
            Err(refused) => refused,
        }
    }

    fn token(
        &self,
        request: &Request,
        token: &str,
    ) -> Result<Ticket, Refused> {
        let view = self.shared.published.load();
        let organisation = organisation(request, &view)?;
        let token = ticket::verify(token, &self.shared.ticket_key)
            .map_err(|_| refused(Code::ForgedToken, ""))?;
        if token.organisation != organisation.declared.name {
            return Err(refused(Code::ForeignToken, ""));
        }
        Ok(token)
    }

    async fn body(
        &self,
        request: Request,
        request_type: &RequestType,
    ) -> Result<Vec<u8>, Refused> {
        let limit = request_type.max_body_bytes as usize;
        let patience = self.shared.settings.body_ms.duration();
        let body = request.into_body();
        let body = server::read_body(body, limit, patience).await;
        let body = body.map_err(|error| match error {
            BodyError::TooLarge => {
                refused(Code::TooLarge, &format!("at most {limit} bytes"))
            }
            BodyError::TimedOut => refused(Code::SlowBody, ""),
            BodyError::Incomplete => {
                refused(Code::BadRequest, "the body was cut")
            }
        })?;
        serde_json::from_slice::<serde::de::IgnoredAny>(&body)
            .map_err(|error| refused(Code::BadJson, &error.to_string()))?;
        Ok(body.to_vec())
    }
}

async fn deliver(
    mut forward: Forward,
    delivery: Delivery,
    mut finish: Finish,
    from: u64,
) -> Response {
    match delivery {
        Delivery::Whole => {
            let (response, failure) = answer::whole(forward).await;
            finish.ended(failure.as_ref());
            response
        }
        Delivery::Stream => begin_stream(forward, from, finish).await,
        Delivery::Async => match until_accepted(&mut forward).await {
            Ok(token) => {
                forward.leave();
                finish.ended(None);
                answer::accepted(&token)
            }
            Err(failure) => {
                finish.ended(Some(&failure));
                reply::problem_response(&failure, "")
            }
        },
    }
}

/// Waits for the token, which frames of the answer may overtake.
async fn until_accepted(
    forward: &mut Forward,
) -> Result<String, RequestFailure> {
    loop {
        match forward.next().await {
            Some(Item::Accepted(token)) => return Ok(token),
            Some(Item::Failed(failure)) => return Err(failure),
            Some(Item::Bytes(_) | Item::Restart | Item::Done(_)) => {}
            None => {
                let code = Code::TargetFailed;
                return Err(RequestFailure::new(
                    code,
                    ExecutionStatus::OutcomeUnknown,
                ));
            }
        }
    }
}

/// Answers a failure that comes first as a plain problem document.
async fn begin_stream<C: Companion>(
    mut forward: Forward,
    from: u64,
    mut companion: C,
) -> Response {
    match forward.next().await {
        Some(Item::Failed(failure)) => {
            companion.ended(Some(&failure));
            reply::problem_response(&failure, "")
        }
        Some(first) => answer::stream(forward, first, from, companion),
        None => reply::text_response(StatusCode::INTERNAL_SERVER_ERROR, ""),
    }
}

async fn kept_document(forward: Forward) -> Response {
    let (response, failure) = answer::whole(forward).await;
    match failure {
        Some(failure) if failure.code == Code::TimedOut => {
            let failure = RequestFailure::new(
                Code::Accepted,
                ExecutionStatus::OutcomeUnknown,
            );
            let failure = failure.with_retry_after(NOT_YET);
            reply::problem_response(&failure, "the work is not finished yet")
        }
        _ => response,
    }
}

/// A refusal of something the entry itself looked at, so that this attempt
/// did not leave it.
fn refused(code: Code, detail: &str) -> Refused {
    let failure = RequestFailure::new(code, ExecutionStatus::NotForwarded);
    Refused { detail: detail.into(), ..Refused::new(failure) }
}

fn no_target() -> Refused {
    let failure =
        RequestFailure::new(Code::NoTarget, ExecutionStatus::NotForwarded);
    Refused::new(failure.with_retry_after(NOT_YET))
}
