//! Small stand-ins for what the platform gives: model engines, plain
//! services, the append-only log and the VM list.
//!
//! Each speaks the published protocol that the programs expect and has its
//! faults switched on one by one. The demo and the bench use them as a
//! library; the tests start them as `cowsliproad-standin` processes and
//! switch faults over HTTP with `POST /fault`.

#![forbid(unsafe_code)]

pub mod engine;
pub mod fault;
pub mod limit;
pub mod link;
pub mod log;
pub mod mortal;
pub mod plain;
pub mod vms;

use cowsliproad_net::{
    reply,
    server::{self, BodyError},
};
use http::StatusCode;
use volo_http::{body::Body, request::Request, response::Response};

/// The largest body that a stand-in reads, in bytes.
const MAX_BODY: usize = 16 << 20;

async fn body(request: Request) -> Result<bytes::Bytes, BodyError> {
    let patience = std::time::Duration::from_secs(10);
    server::read_unaccounted_body(request.into_body(), MAX_BODY, patience)
        .await
}

fn path(request: &Request) -> Vec<String> {
    let path = request.uri().path();
    path.split('/').filter(|it| !it.is_empty()).map(Into::into).collect()
}

fn status(status: StatusCode) -> Response<Body> {
    reply::text_response(status, "")
}
