//! A plain service that counts how often each request ran.
//!
//! `POST /{type}` with a JSON body that has an `id` runs the request and
//! answers a digest of the body, so that a caller can tell its own answer.
//! `GET /runs` gives the counts.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use cowsliproad_kernel::sync::lock;
use cowsliproad_net::{
    reply,
    server::{self, AcceptHandle, Handler, Listener},
};
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::{sync::Semaphore, time::sleep};
use volo_http::{request::Request, response::Response};

use crate::{
    fault::{Fault, Switch},
    limit::Limit,
};

/// How a plain service behaves when nothing is wrong.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Requests run at once.
    pub slots: usize,
    /// How long one takes, in microseconds.
    pub service_us: u64,
}

impl Config {
    /// A quick service.
    pub fn new() -> Config {
        Config { slots: 16, service_us: 2_000 }
    }
}

impl Default for Config {
    fn default() -> Config {
        Config::new()
    }
}

/// A running plain service.
#[derive(Debug)]
pub struct Plain {
    config: Config,
    slots: Semaphore,
    runs: Mutex<HashMap<String, u32>>,
    calls: AtomicU64,
    /// Its faults.
    pub switch: Switch,
    /// How many requests a second it takes.
    pub limit: Limit,
}

/// Starts a plain service and tells where it listens.
pub async fn start(
    address: SocketAddr,
    config: Config,
) -> io::Result<(Arc<Plain>, SocketAddr)> {
    let plain = Arc::new(Plain {
        config,
        slots: Semaphore::new(config.slots),
        runs: Mutex::default(),
        calls: AtomicU64::new(0),
        switch: Switch::new(),
        limit: Limit::default(),
    });
    let accept_handle = AcceptHandle::new();
    let listener = Listener::bind(address, &accept_handle).await?;
    let address = listener.address();
    tokio::spawn(server::serve(listener, plain.clone(), accept_handle));
    Ok((plain, address))
}

/// The answer to a body, which depends on nothing else.
pub fn answer(request_type: &str, body: &[u8]) -> String {
    let digest = blake3::hash(body).to_hex();
    json!({ "type": request_type, "digest": &digest[..32] }).to_string()
}

impl Plain {
    /// How often each request ran, by the `id` in its body.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.lock().clone()
    }

    /// Calls that came in, whatever became of them.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    async fn run(&self, request_type: &str, request: Request) -> Response {
        self.calls.fetch_add(1, Ordering::Relaxed);
        if self.switch.get() == Fault::Error {
            return crate::status(StatusCode::INTERNAL_SERVER_ERROR);
        }
        let Ok(body) = crate::body(request).await else {
            return crate::status(StatusCode::BAD_REQUEST);
        };
        if self.switch.get() == Fault::BlackHole {
            std::future::pending::<()>().await;
        }
        let Ok(value) = serde_json::from_slice::<Value>(&body) else {
            return crate::status(StatusCode::BAD_REQUEST);
        };
        let id = value["id"].as_str().unwrap_or_default().to_string();
        *self.lock().entry(id).or_default() += 1;
        self.work().await;
        self.switch.before_answer().await;
        let answer = answer(request_type, &body);
        match self.switch.get() {
            Fault::LoseAnswer | Fault::Cut => crate::engine::cut_response(),
            Fault::Stall => std::future::pending().await,
            _ => reply::json_response(StatusCode::OK, answer),
        }
    }

    async fn work(&self) {
        let _slot = self.slots.acquire().await;
        let time = Duration::from_micros(self.config.service_us);
        let time = self.switch.stretch(time);
        if !time.is_zero() {
            sleep(time).await;
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, u32>> {
        lock(&self.runs)
    }
}

impl Handler for Plain {
    async fn handle_request(&self, request: Request) -> Response {
        let path = crate::path(&request);
        let path: Vec<&str> = path.iter().map(String::as_str).collect();
        match (request.method().clone(), &path[..]) {
            (Method::GET, ["runs"]) => reply::json_response(
                StatusCode::OK,
                json!(self.runs()).to_string(),
            ),
            (Method::POST, ["fault"]) => {
                set_fault(&self.switch, request).await
            }
            (Method::POST, [request_type]) => {
                self.limit.came();
                if let Some(rejection) = self.limit.rejection() {
                    return rejection;
                }
                let answer = self.run(request_type, request).await;
                self.limit.name(answer)
            }
            _ => crate::status(StatusCode::NOT_FOUND),
        }
    }
}

/// Sets the fault that a request's body names.
pub(crate) async fn set_fault(switch: &Switch, request: Request) -> Response {
    let Ok(body) = crate::body(request).await else {
        return crate::status(StatusCode::BAD_REQUEST);
    };
    match serde_json::from_slice(&body) {
        Ok(fault) => {
            switch.set(fault);
            crate::status(StatusCode::NO_CONTENT)
        }
        Err(error) => {
            reply::text_response(StatusCode::BAD_REQUEST, &error.to_string())
        }
    }
}
