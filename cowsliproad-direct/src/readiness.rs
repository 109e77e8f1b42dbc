//! The readiness and metrics endpoints for the platform's load balancer and
//! operators, and the HTTP server for such small queries.

use std::{convert::Infallible, rc::Rc};

use bytes::Bytes;
use cowsliproad_kernel::clock::Millis;
use cowsliproad_net::timer::{sleep, timeout};
use cowsliproad_platform::READINESS_PATH;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::entry::{Entry, Readiness};

/// The path that serves counters and histograms.
const METRICS_PATH: &str = "/metrics";

/// The longest lifetime of a query connection. The load balancer sends a query
/// every second.
const MAX_QUERY_CONNECTION_LIFETIME: Millis = Millis(20_000);

/// The delay after a failed accept, for example for lack of a free file
/// descriptor.
const ACCEPT_BACKOFF: Millis = Millis(50);

/// Accepts connections forever and responds to each request with the result of
/// `answer_query`.
pub async fn serve_queries(
    entry: Rc<Entry>,
    listener: Rc<TcpListener>,
    answer_query: fn(&Entry, &Request<Incoming>) -> Response<Full<Bytes>>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_BACKOFF.duration()).await;
            continue;
        };
        let entry = entry.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let answer = answer_query(&entry, &request);
                async move { Ok::<_, Infallible>(answer) }
            });
            let serving = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            // A client whose connection fails or is closed here reconnects.
            let _ = timeout(MAX_QUERY_CONNECTION_LIFETIME.duration(), serving)
                .await;
        });
    }
}

/// Responds to a readiness or metrics query.
pub fn answer_query(
    entry: &Entry,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (status, text) = match request.uri().path() {
        READINESS_PATH => answer_readiness_check(entry),
        METRICS_PATH => {
            entry.record_target_states();
            entry.metrics.set_caller_memory(entry.caller_memory.usage());
            (StatusCode::OK, entry.metrics.render_text())
        }
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut answer = Response::new(Full::new(Bytes::from(text)));
    *answer.status_mut() = status;
    answer
}

fn answer_readiness_check(entry: &Entry) -> (StatusCode, String) {
    let readiness = entry.readiness();
    entry.metrics.record_readiness_check(readiness.label());
    match readiness {
        Readiness::Ready => (StatusCode::OK, "ready\n".into()),
        _ => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
    }
}
