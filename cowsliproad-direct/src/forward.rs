//! Handles a caller's request, from its head to the final response.

use std::rc::Rc;

use cowsliproad_admission::memory::SMALL_BYTES;
use cowsliproad_kernel::clock::Millis;
use cowsliproad_net::{body::discard_body, timer::timeout};
use cowsliproad_platform::header;
use http::{HeaderValue, Request, Response, header as standard};
use http_body::Body as _;
use hyper::body::Incoming;
use slog::info;

use crate::{
    attempt::Attempt,
    call::{AttemptError, Call},
    callers::InFlightRequestGuard,
    entry::Entry,
    outcome::RequestRecord,
    receive::receive_request,
    reply::{self, Body},
    stream,
};

/// Forwards a caller's request to targets and returns the response.
pub async fn respond_to_request(
    entry: &Rc<Entry>,
    request: Request<Incoming>,
    in_flight: InFlightRequestGuard,
) -> Response<Body> {
    let arrived = Millis::now();
    let (head, mut body) = request.into_parts();
    let expects_continue = head.headers.contains_key(standard::EXPECT);
    let request_id = head.headers.get(&header::REQUEST_ID).cloned();
    let mut record = RequestRecord::new(entry, arrived);
    let received =
        receive_request(entry, head, &mut body, arrived, in_flight.activity());
    let response = match received.await {
        Ok(mut call) => {
            record.set_destination(&call);
            entry.record_request_in_budget(&call.service, arrived);
            entry.request_quarantine.borrow_mut().count_request();
            if call.route.has_stream_responses() {
                stream::respond_with_stream(entry, call, record, in_flight)
                    .await
            } else {
                let response = forward_buffered(entry, &mut call).await;
                record.finish(&response);
                response
            }
        }
        Err(mut response) => {
            record.finish(&response);
            if !body.is_end_stream() {
                leave_body_unread(
                    body,
                    expects_continue,
                    &mut response,
                    in_flight,
                );
            }
            response
        }
    };
    log_response_and_set_request_id(entry, response, request_id, arrived)
}

/// Reads on for a while after a request was refused before its body ended, so
/// that the caller gets the refusal. A caller that waits for permission to send
/// the body gets none.
fn leave_body_unread(
    body: Incoming,
    expects_continue: bool,
    refusal: &mut Response<Body>,
    in_flight: InFlightRequestGuard,
) {
    let left = body.size_hint().upper();
    let is_short = left.is_some_and(|it| it <= SMALL_BYTES as u64);
    if expects_continue || !is_short {
        reply::set_connection_close(refusal);
    }
    if !expects_continue {
        tokio::task::spawn_local(async move {
            let _discarded = in_flight.activity().start_discard();
            discard_body(body).await;
        });
    }
}

/// Logs and counts a response, and sets its request id if it has none.
fn log_response_and_set_request_id(
    entry: &Entry,
    mut response: Response<Body>,
    request_id: Option<HeaderValue>,
    arrived: Millis,
) -> Response<Body> {
    let duration = Millis::now().since(arrived);
    let status = response.status().as_u16();
    entry.metrics.record_caller_answer(status, duration);
    let id_text =
        request_id.as_ref().and_then(|it| it.to_str().ok()).unwrap_or("-");
    info!(entry.log, "answered"; "request" => id_text, "status" => status,
        "took" => duration.0, "version" => entry.catalog_version());
    if let Some(id) = &request_id
        && !response.headers().contains_key(&header::REQUEST_ID)
    {
        reply::set_request_id(&mut response, id);
    }
    response
}

/// Sends a request that is no stream to targets until one returns a complete
/// response, or rejects it.
async fn forward_buffered(
    entry: &Rc<Entry>,
    call: &mut Call,
) -> Response<Body> {
    let mut failure_response = None;
    loop {
        let choice = match call.wait_for_next_target(entry).await {
            Ok(choice) => choice,
            Err(response) => return failure_response.unwrap_or(response),
        };
        let attempt = Attempt::new(entry, call, &choice);
        let attempt_timeout = call.attempt_timeout();
        let attempt_result = timeout(
            attempt_timeout.duration(),
            call.fetch_response(entry, &choice, &attempt),
        );
        let error = match attempt_result.await {
            Ok(Ok(response)) if response.status().is_server_error() => {
                attempt.note_failure_response();
                entry.metrics.record_attempt_outcome(&choice.target, "failed");
                call.note_possible_run();
                if !call.may_retry(entry, &choice, "failed") {
                    return response;
                }
                failure_response = Some(response);
                continue;
            }
            Ok(Ok(response)) => {
                attempt.note_successful_response();
                entry
                    .metrics
                    .record_attempt_outcome(&choice.target, "answered");
                return response;
            }
            Ok(Err(error)) => error,
            Err(_) => AttemptError::MayHaveRun("no answer in time"),
        };
        attempt.note_error(&error);
        drop(attempt);
        if let Some(response) =
            call.note_attempt_error(entry, &choice, error).await
        {
            return failure_response.unwrap_or(response);
        }
    }
}
