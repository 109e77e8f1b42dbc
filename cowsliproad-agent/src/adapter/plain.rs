//! The adapter for plain HTTP services: one POST request, one JSON answer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use cowsliproad_kernel::{
    clock::Millis,
    code::{ExecutionStatus, ResultCode},
    plugin::inventory,
    wire::{AnswerFormat, RequestFailure},
};
use cowsliproad_net::client::{Client, Error};
use http::{Request, header};
use http_body_util::Full;

use super::{Adapter, AdapterPlugin, start_adapter};
use crate::{
    pace::RequestPacer,
    settings::Settings,
    work::{MAX_ANSWER_BYTES, RequestWork, RerunPolicy},
};

inventory::submit! {
    AdapterPlugin {
        adapter_name: "plain",
        description: "a plain HTTP service",
        start_adapter: start_adapter::<PlainHttpAdapter>,
    }
}

/// How long the answer to a repeatable request is awaited after the request's
/// deadline.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(250);

/// Sends requests to a plain HTTP service.
#[derive(Debug)]
pub struct PlainHttpAdapter {
    client: Client,
    target_address: SocketAddr,
    silence_timeout: Duration,
    pacer: Arc<RequestPacer>,
}

impl Adapter for PlainHttpAdapter {
    fn new(
        settings: &Settings,
        pacer: &Arc<RequestPacer>,
    ) -> PlainHttpAdapter {
        PlainHttpAdapter {
            client: Client::new(),
            pacer: pacer.clone(),
            target_address: settings.target_address,
            silence_timeout: settings.target_silence_timeout.duration(),
        }
    }

    async fn call_target(
        &self,
        work: &RequestWork,
    ) -> Result<AnswerFormat, RequestFailure> {
        let request = build_request(self.target_address, work)?;
        let answer_timeout = answer_timeout(work, self.silence_timeout);
        let sent_at = Millis::now();
        let call = self.client.call(request, MAX_ANSWER_BYTES, answer_timeout);
        let response = tokio::select! {
            response = call => response.map_err(request_failure)?,
            () = work.wait_until_cancelled() => {
                return Err(RequestFailure::new(
                    ResultCode::Cancelled,
                    ExecutionStatus::OutcomeUnknown,
                ));
            }
        };
        self.pacer.observe_answer(
            response.status(),
            response.headers(),
            sent_at,
        );
        if !response.status().is_success() {
            return Err(RequestFailure::new(
                ResultCode::TargetFailed,
                ExecutionStatus::OutcomeUnknown,
            ));
        }
        work.append_answer_bytes(response.body());
        Ok(AnswerFormat::Json)
    }
}

fn build_request(
    target: SocketAddr,
    work: &RequestWork,
) -> Result<Request<Full<Bytes>>, RequestFailure> {
    Request::post(format!("http://{target}/{}", work.request_type))
        .header(header::CONTENT_TYPE, "application/json")
        .header("x-request-id", work.request_id.to_string())
        .body(Full::new(work.request_body.clone()))
        .map_err(|_| {
            RequestFailure::new(
                ResultCode::BadRequest,
                ExecutionStatus::NotRun,
            )
        })
}

/// How long to wait for the answer. A repeatable request has until shortly
/// after its deadline: a slightly late answer is worth more than none. A
/// non-repeatable request gets at least the silence timeout, since its outcome
/// is worth knowing even late.
fn answer_timeout(work: &RequestWork, silence_timeout: Duration) -> Duration {
    let left = work.deadline.since(Millis::now()).duration();
    match work.rerun_policy {
        RerunPolicy::Allowed => (left + MAX_ANSWER_DELAY).min(silence_timeout),
        RerunPolicy::Never => left.max(silence_timeout),
    }
}

/// Maps an HTTP client error to the failure of the request at the target.
pub(super) fn request_failure(error: Error) -> RequestFailure {
    match error {
        Error::Connect(_) | Error::Refused(_) => RequestFailure::new(
            ResultCode::TargetFailed,
            ExecutionStatus::NotRun,
        ),
        Error::Timeout => RequestFailure::new(
            ResultCode::TimedOut,
            ExecutionStatus::OutcomeUnknown,
        ),
        Error::Exchange(_) | Error::Status(_) | Error::TooLarge => {
            RequestFailure::new(
                ResultCode::TargetFailed,
                ExecutionStatus::OutcomeUnknown,
            )
        }
    }
}
