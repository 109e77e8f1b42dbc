//! The platform's list of live and leaving VMs, which lags.
//!
//! `GET /vms` answers the list as it was a while ago. `POST /vms/{name}`
//! with `"live"`, `"leaving"` or `"gone"` changes the truth.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use cowsliproad_kernel::sync::lock;
use cowsliproad_net::{
    reply,
    server::{self, AcceptHandle, Handler, Listener},
};
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::sleep;
use volo_http::{request::Request, response::Response};

use crate::{
    fault::{Fault, Switch},
    plain::set_fault,
};

/// The state of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It runs.
    Live,
    /// It is about to go.
    Leaving,
    /// It is no more.
    Gone,
}

/// A running VM list.
#[derive(Debug)]
pub struct Vms {
    lag: Duration,
    truth: Mutex<BTreeMap<String, State>>,
    shown: Mutex<BTreeMap<String, State>>,
    /// Its faults.
    pub switch: Switch,
}

/// Starts a VM list that shows changes after a lag.
pub async fn start(
    address: SocketAddr,
    lag: Duration,
) -> io::Result<(Arc<Vms>, SocketAddr)> {
    let vms = Arc::new(Vms {
        lag,
        truth: Mutex::default(),
        shown: Mutex::default(),
        switch: Switch::new(),
    });
    let accept_handle = AcceptHandle::new();
    let listener = Listener::bind(address, &accept_handle).await?;
    let address = listener.address();
    tokio::spawn(publish(vms.clone()));
    tokio::spawn(server::serve(listener, vms.clone(), accept_handle));
    Ok((vms, address))
}

impl Vms {
    /// Changes the truth about a VM.
    pub fn set(&self, name: &str, state: State) {
        let mut truth = lock(&self.truth);
        match state {
            State::Gone => truth.remove(name),
            other => truth.insert(name.into(), other),
        };
    }
}

async fn publish(vms: Arc<Vms>) {
    loop {
        let then = lock(&vms.truth).clone();
        sleep(vms.lag.max(Duration::from_millis(1))).await;
        *lock(&vms.shown) = then;
    }
}

impl Handler for Vms {
    async fn handle_request(&self, request: Request) -> Response {
        let path = crate::path(&request);
        let path: Vec<&str> = path.iter().map(String::as_str).collect();
        match (request.method().clone(), &path[..]) {
            (Method::POST, ["fault"]) => {
                set_fault(&self.switch, request).await
            }
            (Method::GET, ["vms"]) => {
                if self.switch.get() == Fault::Error {
                    return crate::status(StatusCode::SERVICE_UNAVAILABLE);
                }
                let shown = lock(&self.shown).clone();
                reply::json_response(StatusCode::OK, json!(shown).to_string())
            }
            (Method::POST, ["vms", name]) => {
                let Ok(body) = crate::body(request).await else {
                    return crate::status(StatusCode::BAD_REQUEST);
                };
                let Ok(state) = serde_json::from_slice(&body) else {
                    return crate::status(StatusCode::BAD_REQUEST);
                };
                self.set(name, state);
                crate::status(StatusCode::NO_CONTENT)
            }
            _ => crate::status(StatusCode::NOT_FOUND),
        }
    }
}
