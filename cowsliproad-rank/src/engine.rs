//! Calls to the engine on this VM.

use std::{io, net::SocketAddr};

use bytes::Bytes;
use cowsliproad_kernel::clock::Millis;
use cowsliproad_mapswitch::order::{Epoch, Order, Verdict};
use cowsliproad_net::{client::Error, single::Single};
use cowsliproad_platform::engine::{self, Choices, Lists, State};
use http::{Request, StatusCode};
use http_body_util::Full;

/// The time for an answer of the engine.
const ANSWER_TIME: Millis = Millis(150);

/// The time for an answer to an order. An engine answers within 5 ms, also
/// from afar; a group may stand still while an order is waited for, and one
/// that went unanswered is repeated without harm.
const ORDER_TIME: Millis = Millis(40);

/// The largest answer that is taken: counts of some hundred thousand experts.
const MOST_BYTES: usize = 4 << 20;

/// A client of one engine.
#[derive(Debug)]
pub struct Engine {
    connection: Single,
}

impl Engine {
    /// A client that has not connected yet.
    pub fn new(address: SocketAddr) -> Engine {
        Engine { connection: Single::new(address) }
    }

    /// Load and standing.
    pub async fn state(&mut self) -> io::Result<State> {
        let (_, body) = self.call(engine::ask_state()).await?;
        Ok(engine::state(&body)?)
    }

    /// How often requests chose each expert.
    pub async fn choices(&mut self, experts: usize) -> io::Result<Choices> {
        let (_, body) = self.call(engine::ask_choices()).await?;
        Ok(engine::choices(&body, experts)?)
    }

    /// The experts that the engine has.
    pub async fn lists(&mut self) -> io::Result<Lists> {
        let (_, body) = self.call(engine::ask_lists()).await?;
        Ok(engine::lists(&body)?)
    }

    /// Gives an order. An error leaves open whether it is carried out.
    pub async fn order(
        &mut self,
        order: &Order,
        epoch: Epoch,
        fence: u64,
    ) -> io::Result<Verdict> {
        let request = engine::order(order, epoch, fence);
        let (status, _) = self.call_within(ORDER_TIME, request).await?;
        Ok(engine::verdict(status))
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
        let time = time.duration();
        let call = self.connection.call(request, MOST_BYTES, time).await;
        let answer = call.map_err(|error| match error {
            Error::Refused(_) => {
                io::Error::new(io::ErrorKind::ConnectionRefused, error)
            }
            error => io::Error::other(error),
        })?;
        Ok((answer.status(), answer.into_body()))
    }
}
