//! The agent's `/livez`, `/readyz` and `/metrics`.

use std::{io, net::SocketAddr, sync::Arc};

use cowsliproad_kernel::wire::ProcessPhase;
use cowsliproad_net::{
    metrics::Metrics,
    reply,
    server::{self, AcceptHandle, Handler, Listener},
};
use http::StatusCode;
use volo_http::{request::Request, response::Response};

use crate::{gate::TargetGate, settings::Settings};

struct HealthServer {
    gate: Arc<TargetGate>,
    metrics: Metrics,
}

pub(crate) async fn start_http_server(
    settings: &Settings,
    gate: &Arc<TargetGate>,
    metrics: &Metrics,
    accept_handle: &AcceptHandle,
) -> io::Result<SocketAddr> {
    let health_server =
        HealthServer { gate: gate.clone(), metrics: metrics.clone() };
    let listener =
        Listener::bind(settings.http_listen_address, accept_handle).await?;
    let address = listener.address();
    tokio::spawn(server::serve(
        listener,
        Arc::new(health_server),
        accept_handle.clone(),
    ));
    Ok(address)
}

impl Handler for HealthServer {
    async fn handle_request(&self, request: Request) -> Response {
        match request.uri().path() {
            "/livez" => reply::text_response(StatusCode::OK, "live\n"),
            "/readyz" => match self.gate.process_phase() {
                ProcessPhase::Serving => {
                    reply::text_response(StatusCode::OK, "ready\n")
                }
                ProcessPhase::Leaving => reply::text_response(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "leaving\n",
                ),
            },
            "/metrics" => {
                reply::text_response(StatusCode::OK, &self.metrics.text())
            }
            _ => reply::text_response(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }
}
