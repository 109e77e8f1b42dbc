//! The plain balancer that faults are compared on: round robin, and another
//! try at the next target after any failure. It has no tickets, no agents
//! and no checks of what it relays. It is what one would write in an
//! afternoon, and its callers send again whatever failed.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use cowsliproad_net::{
    client::{Client, Error},
    reply,
    server::{self, AcceptHandle, Handler, Listener},
};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};

use crate::{node::Program, plant::ANY};

/// Tries at different targets.
const TRIES: usize = 3;

/// How long one try may take.
const PATIENCE: Duration = Duration::from_secs(2);

/// The largest answer in bytes.
const MAX_ANSWER: usize = 1 << 20;

/// A running plain balancer.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Where callers connect.
    pub http: SocketAddr,
    accept_handle: AcceptHandle,
}

struct Front {
    client: Client,
    engines: Vec<SocketAddr>,
    plains: Vec<SocketAddr>,
    turn: AtomicUsize,
}

/// Starts a plain balancer over the given targets.
pub async fn start(
    engines: Vec<SocketAddr>,
    plains: Vec<SocketAddr>,
) -> io::Result<Proxy> {
    let accept_handle = AcceptHandle::new();
    let listener = Listener::bind(ANY, &accept_handle).await?;
    let http = listener.address();
    let front = Front {
        client: Client::new(),
        engines,
        plains,
        turn: AtomicUsize::new(0),
    };
    tokio::spawn(server::serve(
        listener,
        Arc::new(front),
        accept_handle.clone(),
    ));
    Ok(Proxy { http, accept_handle })
}

impl Program for Proxy {
    async fn stop(&self) {
        self.accept_handle.stop_accepting();
    }
}

impl Handler for Front {
    async fn handle_request(
        &self,
        request: volo_http::request::Request,
    ) -> volo_http::response::Response {
        let path = request.uri().path().to_string();
        let path: Vec<&str> =
            path.trim_start_matches('/').split('/').collect();
        let [_, service, kind] = path[..] else {
            return reply::text_response(StatusCode::NOT_FOUND, "");
        };
        let body = server::read_unaccounted_body(
            request.into_body(),
            MAX_ANSWER,
            PATIENCE,
        );
        let Ok(body) = body.await else {
            return reply::text_response(StatusCode::BAD_REQUEST, "");
        };
        match self.forward(service, kind, body).await {
            Some(answer) => reply::json_response(StatusCode::OK, answer),
            None => reply::text_response(StatusCode::BAD_GATEWAY, ""),
        }
    }
}

impl Front {
    async fn forward(
        &self,
        service: &str,
        kind: &str,
        body: Bytes,
    ) -> Option<String> {
        let engine = service == "drafting";
        let targets = if engine { &self.engines } else { &self.plains };
        let path = if engine { "v1/chat/completions" } else { kind };
        for _ in 0..TRIES {
            let turn = self.turn.fetch_add(1, Ordering::Relaxed);
            let target = targets[turn % targets.len()];
            let uri = format!("http://{target}/{path}");
            match self.call(uri, body.clone()).await {
                Ok(answer) if answer.status() == StatusCode::OK => {
                    let text = String::from_utf8_lossy(answer.body());
                    return match engine {
                        true => Some(joined(&text)),
                        false => Some(text.into_owned()),
                    };
                }
                _ => {}
            }
        }
        None
    }

    async fn call(
        &self,
        uri: String,
        body: Bytes,
    ) -> Result<Response<Bytes>, Error> {
        let request = Request::post(uri)
            .body(Full::new(body))
            .map_err(|error| Error::Connect(error.to_string()))?;
        self.client.call(request, MAX_ANSWER, PATIENCE).await
    }
}

/// The text of a stream of events.
fn joined(events: &str) -> String {
    let tokens = events.lines().filter_map(|line| {
        let data = line.strip_prefix("data: ")?;
        let value: Value = serde_json::from_str(data).ok()?;
        let token = &value["choices"][0]["delta"]["content"];
        token.as_str().map(str::to_string)
    });
    json!({ "text": tokens.collect::<String>() }).to_string()
}
