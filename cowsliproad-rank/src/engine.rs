//! A client for calls to an engine.
//!
//! An engine that refuses a call may state in Retry-After when it accepts
//! calls again. The client sends no call before that time, unless the engine's
//! process ends: the next process at the address has requested no cooldown.

use std::{io, net::SocketAddr, time::SystemTime};

use bytes::Bytes;
use cowsliproad_kernel::clock::Millis;
use cowsliproad_mapswitch::order::{Epoch, Order, OrderResult};
use cowsliproad_net::{
    client::Error,
    retry_after::{self, RetryAfter},
    single::SingleConnection,
};
use cowsliproad_platform::{
    engine::{self, EngineState, ExpertLists, SelectionCounts},
    header,
};
use cowsliproad_routing::cooldown::Cooldown;
use http::{Request, Response, StatusCode};
use http_body_util::Full;

/// The timeout for an engine's answer to a request other than an order.
const ENGINE_ANSWER_TIMEOUT: Millis = Millis(150);

/// The timeout for the answer to an order. An engine answers within 5 ms, also
/// over the network. The group may be held while an agent waits for an answer,
/// and repeating an unanswered order is harmless.
const ORDER_ANSWER_TIMEOUT: Millis = Millis(40);

/// The largest accepted body of an engine's answer: enough for the selection
/// counts of some hundred thousand experts.
const MAX_ENGINE_ANSWER_BYTES: usize = 4 << 20;

/// The interval at which the client reconnects to an engine in its cooldown
/// that has closed the last connection, to detect whether the engine's process
/// still runs.
const PROCESS_CHECK_INTERVAL: Millis = Millis(500);

/// A client of one engine.
#[derive(Debug)]
pub struct EngineClient {
    connection: SingleConnection,
    cooldown: Cooldown,
    /// When the client last checked that the engine's process runs.
    last_process_check: Millis,
    engine_is_leaving: bool,
}

impl EngineClient {
    /// Creates a client that is not connected yet.
    pub fn new(engine_address: SocketAddr) -> EngineClient {
        EngineClient {
            connection: SingleConnection::new(engine_address),
            cooldown: Cooldown::default(),
            last_process_check: Millis(0),
            engine_is_leaving: false,
        }
    }

    /// Returns the client with a cooldown that the engine requested earlier.
    pub fn with_cooldown(self, cooldown: Cooldown) -> EngineClient {
        EngineClient { cooldown, ..self }
    }

    /// Returns the cooldown that the engine requested.
    pub fn requested_cooldown(&self) -> Cooldown {
        self.cooldown
    }

    /// Returns whether the engine's last answer announced that the engine is
    /// leaving.
    pub fn is_engine_leaving(&self) -> bool {
        self.engine_is_leaving
    }

    /// Fetches the engine's load and its rank's report.
    pub async fn fetch_engine_state(&mut self) -> io::Result<EngineState> {
        let body = self.fetch(engine::state_request()).await?;
        Ok(engine::decode_state(&body)?)
    }

    /// Fetches how often requests have selected each expert.
    pub async fn fetch_selection_counts(
        &mut self,
        experts_per_set: usize,
    ) -> io::Result<SelectionCounts> {
        let body = self.fetch(engine::selection_counts_request()).await?;
        Ok(engine::decode_selection_counts(&body, experts_per_set)?)
    }

    /// Fetches the lists of the experts that the engine holds.
    pub async fn fetch_expert_lists(&mut self) -> io::Result<ExpertLists> {
        let body = self.fetch(engine::expert_lists_request()).await?;
        Ok(engine::decode_expert_lists(&body)?)
    }

    /// Sends an order to the engine. After an error the engine may or may not
    /// execute the order.
    pub async fn send_order(
        &mut self,
        order: &Order,
        epoch: Epoch,
        fencing_number: u64,
    ) -> io::Result<OrderResult> {
        let request = engine::order_request(order, epoch, fencing_number);
        let (status, _) = self
            .send_request_with_timeout(ORDER_ANSWER_TIMEOUT, request)
            .await?;
        Ok(engine::decode_verdict(status))
    }

    /// Sends a request for data and returns the body of a successful answer.
    async fn fetch(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> io::Result<Bytes> {
        let timeout = ENGINE_ANSWER_TIMEOUT;
        let (status, body) =
            self.send_request_with_timeout(timeout, request).await?;
        match status.is_success() {
            true => Ok(body),
            false => Err(io::Error::other(format!("status {status}"))),
        }
    }

    async fn send_request_with_timeout(
        &mut self,
        timeout: Millis,
        request: Request<Full<Bytes>>,
    ) -> io::Result<(StatusCode, Bytes)> {
        self.reject_request_during_cooldown().await?;
        let timeout = timeout.duration();
        let call = self
            .connection
            .send_request(request, MAX_ENGINE_ANSWER_BYTES, timeout)
            .await;
        let answer = call.map_err(|error| match error {
            Error::Refused(_) => {
                io::Error::new(io::ErrorKind::ConnectionRefused, error)
            }
            error => io::Error::other(error),
        })?;
        self.record_answer_headers(&answer);
        Ok((answer.status(), answer.into_body()))
    }

    fn record_answer_headers(&mut self, answer: &Response<Bytes>) {
        let headers = answer.headers();
        let now = SystemTime::now;
        let stated_retry_after =
            retry_after::parse_header(answer.status(), headers, now);
        if let RetryAfter::Wait(wait) = stated_retry_after {
            self.cooldown.apply_retry_after(wait, Millis::now());
        }
        let leaving = headers.get(&header::LEAVING);
        self.engine_is_leaving = leaving.is_some_and(header::is_flag_set);
    }

    /// Returns an error while the engine is in its cooldown. If the connection
    /// to the engine is closed and a new connection is refused, the engine's
    /// process has ended, and the cooldown that the process requested ends
    /// too.
    async fn reject_request_during_cooldown(&mut self) -> io::Result<()> {
        let now = Millis::now();
        if self.cooldown.cooldown_end(now).is_none() {
            return Ok(());
        }
        if self.connection.is_closed()
            && now.since(self.last_process_check) >= PROCESS_CHECK_INTERVAL
        {
            self.last_process_check = now;
            let timeout = ENGINE_ANSWER_TIMEOUT.duration();
            if let Err(Error::Refused(why)) =
                self.connection.open(timeout).await
            {
                self.cooldown = Cooldown::default();
                let kind = io::ErrorKind::ConnectionRefused;
                return Err(io::Error::new(kind, why));
            }
        }
        Err(io::Error::other("the engine is in its cooldown"))
    }
}
