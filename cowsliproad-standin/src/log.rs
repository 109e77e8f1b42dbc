//! The platform's append-only log.
//!
//! `POST /records` appends the body and answers its offset, from 1 on.
//! `GET /records?from=N&wait_ms=W` answers the records from N on, waiting
//! for one when there is none yet. `POST /retain?count=N` drops all but the
//! last records, as retention would. Faults: down, appends whose answer is
//! lost, slow.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use cowsliproad_kernel::sync::lock;
use cowsliproad_net::{
    reply,
    server::{self, AcceptHandle, Handler, Listener},
};
use http::{Method, StatusCode};
use serde_json::json;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};
use volo_http::{request::Request, response::Response};

use crate::{
    fault::{Fault, Switch},
    plain::set_fault,
};

/// Records in one answer.
const MAX_RECORDS: usize = 512;

/// A running log.
#[derive(Debug)]
pub struct Log {
    records: Mutex<Records>,
    next: watch::Sender<u64>,
    lose_every: Mutex<u64>,
    /// Its faults. [`Fault::Error`] is an outage.
    pub switch: Switch,
}

#[derive(Debug)]
struct Records {
    first: u64,
    kept: VecDeque<Bytes>,
    appends: u64,
}

/// Starts a log and tells where it listens.
pub async fn start(address: SocketAddr) -> io::Result<(Arc<Log>, SocketAddr)> {
    let log = Arc::new(Log {
        records: Mutex::new(Records {
            first: 1,
            kept: VecDeque::new(),
            appends: 0,
        }),
        next: watch::Sender::new(1),
        lose_every: Mutex::new(0),
        switch: Switch::new(),
    });
    let accept_handle = AcceptHandle::new();
    let listener = Listener::bind(address, &accept_handle).await?;
    let address = listener.address();
    tokio::spawn(server::serve(listener, log.clone(), accept_handle));
    Ok((log, address))
}

impl Log {
    /// Loses the answer of every `n`th append; 0 for none.
    pub fn lose_every(&self, n: u64) {
        *lock(&self.lose_every) = n;
    }

    /// Drops all but the last `count` records, as retention would.
    pub fn retain(&self, count: usize) {
        let mut records = self.lock();
        while records.kept.len() > count {
            records.kept.pop_front();
            records.first += 1;
        }
    }

    /// The number of appends that took effect.
    pub fn appends(&self) -> u64 {
        self.lock().appends
    }

    async fn append(&self, request: Request) -> Response {
        let Ok(body) = crate::body(request).await else {
            return crate::status(StatusCode::BAD_REQUEST);
        };
        let (offset, count) = {
            let mut records = self.lock();
            records.kept.push_back(body);
            records.appends += 1;
            let offset = records.first + records.kept.len() as u64 - 1;
            (offset, records.appends)
        };
        self.next.send_replace(offset + 1);
        let every = *lock(&self.lose_every);
        let lost = every > 0 && count.is_multiple_of(every);
        if lost || self.switch.get() == Fault::LoseAnswer {
            return crate::engine::cut_response();
        }
        self.switch.before_answer().await;
        reply::json_response(
            StatusCode::OK,
            json!({ "offset": offset }).to_string(),
        )
    }

    async fn read(&self, from: u64, wait: Duration) -> Response {
        let mut next = self.next.subscribe();
        let _ = timeout(wait, next.wait_for(|next| *next > from)).await;
        self.switch.before_answer().await;
        if self.switch.get() == Fault::Error {
            return crate::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let records = self.lock();
        let first = from.max(records.first);
        let skip = (first - records.first) as usize;
        let page = records.kept.iter().skip(skip).take(MAX_RECORDS);
        let page: Vec<String> = page.map(|it| STANDARD.encode(it)).collect();
        let body = json!({ "first": first, "records": page });
        reply::json_response(StatusCode::OK, body.to_string())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Records> {
        lock(&self.records)
    }
}

impl Handler for Log {
    async fn handle_request(&self, request: Request) -> Response {
        let path = crate::path(&request);
        let path: Vec<&str> = path.iter().map(String::as_str).collect();
        if let (&Method::POST, ["fault"]) = (request.method(), &path[..]) {
            return set_fault(&self.switch, request).await;
        }
        if self.switch.get() == Fault::Error {
            return crate::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        if let Fault::Slow(tenths) = self.switch.get() {
            sleep(Duration::from_millis(100) * tenths).await;
        }
        match (request.method().clone(), &path[..]) {
            (Method::POST, ["records"]) => self.append(request).await,
            (Method::POST, ["retain"]) => {
                let count =
                    server::query_number(&request, "count").unwrap_or(0);
                self.retain(count as usize);
                crate::status(StatusCode::NO_CONTENT)
            }
            (Method::GET, ["records"]) => {
                let from = server::query_number(&request, "from").unwrap_or(1);
                let wait =
                    server::query_number(&request, "wait_ms").unwrap_or(0);
                self.read(from, Duration::from_millis(wait)).await
            }
            _ => crate::status(StatusCode::NOT_FOUND),
        }
    }
}
