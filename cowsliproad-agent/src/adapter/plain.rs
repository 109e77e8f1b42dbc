//! Plain services: one POST, one JSON answer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use cowsliproad_kernel::{
    clock::Millis,
    code::{Code, ExecutionStatus},
    plugin::inventory,
    wire::{AnswerFormat, RequestFailure},
};
use cowsliproad_net::client::{Client, Error};
use http::{Request, header};
use http_body_util::Full;

use super::{Adapter, Plugin, start};
use crate::{
    pace::Pace,
    settings::Settings,
    work::{MAX_ANSWER, Repeat, Work},
};

inventory::submit! {
    Plugin {
        name: "plain",
        about: "a plain HTTP service",
        start: start::<Plain>,
    }
}

/// How late an answer may be.
const LATE: Duration = Duration::from_millis(250);

/// An adapter for plain services.
#[derive(Debug)]
pub struct Plain {
    client: Client,
    target: SocketAddr,
    silence: Duration,
    pace: Arc<Pace>,
}

impl Adapter for Plain {
    fn new(settings: &Settings, pace: &Arc<Pace>) -> Plain {
        Plain {
            client: Client::new(),
            pace: pace.clone(),
            target: settings.target,
            silence: settings.silence_ms.duration(),
        }
    }

    async fn call(&self, work: &Work) -> Result<AnswerFormat, RequestFailure> {
        let request = request(self.target, work)?;
        let patience = patience(work, self.silence);
        let sent = Millis::now();
        let call = self.client.call(request, MAX_ANSWER, patience);
        let response = tokio::select! {
            response = call => response.map_err(failure)?,
            () = work.cancelled() => {
                return Err(RequestFailure::new(
                    Code::Cancelled,
                    ExecutionStatus::OutcomeUnknown,
                ));
            }
        };
        self.pace.answered(response.status(), response.headers(), sent);
        if !response.status().is_success() {
            return Err(RequestFailure::new(
                Code::TargetFailed,
                ExecutionStatus::OutcomeUnknown,
            ));
        }
        work.append(response.body());
        Ok(AnswerFormat::Json)
    }
}

fn request(
    target: SocketAddr,
    work: &Work,
) -> Result<Request<Full<Bytes>>, RequestFailure> {
    Request::post(format!("http://{target}/{}", work.request_type))
        .header(header::CONTENT_TYPE, "application/json")
        .header("x-request-id", work.request.to_string())
        .body(Full::new(work.body.clone()))
        .map_err(|_| {
            RequestFailure::new(Code::BadRequest, ExecutionStatus::NotRun)
        })
}

/// Work that may be repeated has until shortly after its deadline: once it
/// runs, a slightly late answer is worth more than none. Work that may not is
/// awaited a while longer, since its outcome is worth knowing even late.
fn patience(work: &Work, silence: Duration) -> Duration {
    let left = work.deadline.since(Millis::now()).duration();
    match work.repeat {
        Repeat::Allowed => (left + LATE).min(silence),
        Repeat::Never => left.max(silence),
    }
}

/// What a failed call says of the work.
pub(super) fn failure(error: Error) -> RequestFailure {
    match error {
        Error::Connect(_) | Error::Refused(_) => {
            RequestFailure::new(Code::TargetFailed, ExecutionStatus::NotRun)
        }
        Error::Timeout => RequestFailure::new(
            Code::TimedOut,
            ExecutionStatus::OutcomeUnknown,
        ),
        Error::Exchange(_) | Error::TooLarge => RequestFailure::new(
            Code::TargetFailed,
            ExecutionStatus::OutcomeUnknown,
        ),
    }
}
