//! What the platform's balancer and operators ask an entry, and the server
//! for such small questions.

use std::{convert::Infallible, rc::Rc};

use bytes::Bytes;
use cowsliproad_kernel::clock::Millis;
use cowsliproad_platform::READINESS_PATH;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpListener,
    time::{sleep, timeout},
};

use crate::entry::Entry;

/// The path of the counters and histograms.
const METRICS_PATH: &str = "/metrics";

/// The longest that a connection is kept. The balancer asks once a second.
const CONNECTION_TTL: Millis = Millis(20_000);

/// The pause after a failed accept, for example without a free descriptor.
const ACCEPT_BACKOFF: Millis = Millis(50);

/// Takes connections for ever and answers each request at once, as `answer`
/// says.
pub async fn serve(
    entry: Rc<Entry>,
    listener: TcpListener,
    answer: fn(&Entry, &Request<Incoming>) -> Response<Full<Bytes>>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_BACKOFF.duration()).await;
            continue;
        };
        let entry = entry.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let answer = answer(&entry, &request);
                async move { Ok::<_, Infallible>(answer) }
            });
            let serving = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            // Whoever breaks off, or keeps a connection, asks again.
            let _ = timeout(CONNECTION_TTL.duration(), serving).await;
        });
    }
}

/// Says whether callers may come, and shows the counters.
pub fn answer(
    entry: &Entry,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (status, text) = match request.uri().path() {
        READINESS_PATH if entry.is_ready() => {
            (StatusCode::OK, "ready\n".into())
        }
        READINESS_PATH => {
            (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into())
        }
        METRICS_PATH => (StatusCode::OK, entry.metrics.text()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut answer = Response::new(Full::new(Bytes::from(text)));
    *answer.status_mut() = status;
    answer
}
