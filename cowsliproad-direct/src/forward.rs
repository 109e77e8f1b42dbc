//! From a caller's request to its answer.

use std::rc::Rc;

use cowsliproad_kernel::clock::Millis;
use cowsliproad_platform::header;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use slog::info;
use tokio::time::timeout;

use crate::{
    attempt::Attempt,
    call::{AttemptError, Call},
    callers::Busy,
    entry::Entry,
    receive::receive,
    reply::{self, Body},
    stream,
};

/// Answers a caller's request.
pub async fn answer(
    entry: &Rc<Entry>,
    request: Request<Incoming>,
    busy: Busy,
) -> Response<Body> {
    let arrived = Millis::now();
    let (head, body) = request.into_parts();
    let id = head.headers.get(&header::REQUEST_ID).cloned();
    let answer = match receive(entry, head, body, arrived).await {
        Ok(mut call) => {
            entry.record_request_in_budget(&call.service, arrived);
            if call.route.is_stream() {
                stream::run(entry, call, busy).await
            } else {
                whole(entry, &mut call).await
            }
        }
        Err(answer) => answer,
    };
    log_answer(entry, answer, id, arrived)
}

fn log_answer(
    entry: &Entry,
    mut answer: Response<Body>,
    id: Option<HeaderValue>,
    arrived: Millis,
) -> Response<Body> {
    let took = Millis::now().since(arrived);
    let status = answer.status().as_u16();
    entry.metrics.record_answer(status, took);
    let text = id.as_ref().and_then(|it| it.to_str().ok()).unwrap_or("-");
    info!(entry.log, "answered"; "request" => text, "status" => status,
        "took" => took.0, "version" => entry.catalog_version());
    if let Some(id) = &id
        && !answer.headers().contains_key(&header::REQUEST_ID)
    {
        reply::belongs(&mut answer, id);
    }
    answer
}

/// Gets a whole answer that is passed on at once.
async fn whole(entry: &Rc<Entry>, call: &mut Call) -> Response<Body> {
    let mut kept = None;
    loop {
        let choice = match call.next_target(entry).await {
            Ok(choice) => choice,
            Err(answer) => return kept.unwrap_or(answer),
        };
        let attempt = Attempt::new(entry, call, &choice);
        let patience = call.patience();
        let tried =
            timeout(patience.duration(), call.get(entry, &choice, &attempt));
        let error = match tried.await {
            Ok(Ok(answer)) if answer.status().is_server_error() => {
                attempt.failed();
                entry.metrics.record_attempt("failed");
                call.ran();
                if !call.may_try_again(entry, &choice, "failed") {
                    return answer;
                }
                kept = Some(answer);
                continue;
            }
            Ok(Ok(answer)) => {
                attempt.success();
                entry.metrics.record_attempt("answered");
                return answer;
            }
            Ok(Err(error)) => error,
            Err(_) => AttemptError::Unknown("no answer in time"),
        };
        attempt.on_attempt_failed(&error);
        drop(attempt);
        if let Some(answer) =
            call.on_attempt_failed(entry, &choice, error).await
        {
            return kept.unwrap_or(answer);
        }
    }
}
