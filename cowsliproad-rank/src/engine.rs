//! Calls to an engine.
//!
//! An engine that turns a call away may state when it takes calls again. It
//! gets none before that, unless its process ends: the next one under its
//! address asked for nothing.

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

/// The time for an answer of the engine.
const ANSWER_TIME: Millis = Millis(150);

/// The time for an answer to an order. An engine answers within 5 ms, also
/// from afar; a group may stand still while an order is waited for, and one
/// that went unanswered is repeated without harm.
const ORDER_TIME: Millis = Millis(40);

/// The largest answer that is taken: counts of some hundred thousand experts.
const MAX_BYTES: usize = 4 << 20;

/// How often a connection is made to an engine that is left alone and has
/// closed the last one, to learn whether its process is there.
const LOOK_INTERVAL: Millis = Millis(500);

/// A client of one engine.
#[derive(Debug)]
pub struct Engine {
    connection: SingleConnection,
    cooldown: Cooldown,
    /// When it was last looked whether the process is there.
    looked: Millis,
    leaving: bool,
}

impl Engine {
    /// A client that has not connected yet.
    pub fn new(address: SocketAddr) -> Engine {
        Engine {
            connection: SingleConnection::new(address),
            cooldown: Cooldown::default(),
            looked: Millis(0),
            leaving: false,
        }
    }

    /// A client of an engine that asked to be left alone before.
    pub fn with_cooldown(self, cooldown: Cooldown) -> Engine {
        Engine { cooldown, ..self }
    }

    /// How long the engine asked to be left alone.
    pub fn cooldown(&self) -> Cooldown {
        self.cooldown
    }

    /// Whether its last answer said that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Load and standing.
    pub async fn state(&mut self) -> io::Result<EngineState> {
        let (_, body) = self.call(engine::state_request()).await?;
        Ok(engine::decode_state(&body)?)
    }

    /// How often requests chose each expert.
    pub async fn choices(
        &mut self,
        experts: usize,
    ) -> io::Result<SelectionCounts> {
        let (_, body) = self.call(engine::selection_counts_request()).await?;
        Ok(engine::decode_selection_counts(&body, experts)?)
    }

    /// The experts that the engine has.
    pub async fn lists(&mut self) -> io::Result<ExpertLists> {
        let (_, body) = self.call(engine::expert_lists_request()).await?;
        Ok(engine::decode_expert_lists(&body)?)
    }

    /// Gives an order. An error leaves open whether it is carried out.
    pub async fn order(
        &mut self,
        order: &Order,
        epoch: Epoch,
        fence: u64,
    ) -> io::Result<OrderResult> {
        let request = engine::order_request(order, epoch, fence);
        let (status, _) = self.call_within(ORDER_TIME, request).await?;
        Ok(engine::decode_verdict(status))
    }

    async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> io::Result<(StatusCode, Bytes)> {
        self.call_within(ANSWER_TIME, request).await
    }

    async fn call_within(
        &mut self,
        time: Millis,
        request: Request<Full<Bytes>>,
    ) -> io::Result<(StatusCode, Bytes)> {
        self.keep_cooldown().await?;
        let time = time.duration();
        let call = self.connection.call(request, MAX_BYTES, time).await;
        let answer = call.map_err(|error| match error {
            Error::Refused(_) => {
                io::Error::new(io::ErrorKind::ConnectionRefused, error)
            }
            error => io::Error::other(error),
        })?;
        self.note_stated(&answer);
        Ok((answer.status(), answer.into_body()))
    }

    fn note_stated(&mut self, answer: &Response<Bytes>) {
        let headers = answer.headers();
        let now = SystemTime::now;
        let stated = retry_after::read(answer.status(), headers, now);
        if let RetryAfter::Wait(wait) = stated {
            self.cooldown.apply_retry_after(wait, Millis::now());
        }
        let leaving = headers.get(&header::LEAVING);
        self.leaving = leaving.is_some_and(header::is_flag_set);
    }

    /// Fails for as long as the engine is to be left alone. Its process's end
    /// shows in the connection that is kept.
    async fn keep_cooldown(&mut self) -> io::Result<()> {
        let now = Millis::now();
        if self.cooldown.cooldown_end(now).is_none() {
            return Ok(());
        }
        if self.connection.is_closed()
            && now.since(self.looked) >= LOOK_INTERVAL
        {
            self.looked = now;
            let time = ANSWER_TIME.duration();
            if let Err(Error::Refused(why)) = self.connection.open(time).await
            {
                self.cooldown = Cooldown::default();
                let kind = io::ErrorKind::ConnectionRefused;
                return Err(io::Error::new(kind, why));
            }
        }
        Err(io::Error::other("the engine asked to be left alone"))
    }
}
