//! Calls to the engine on this VM.

use bytes::Bytes;
use cowsliproad_kernel::clock::Millis;
use cowsliproad_mapswitch::order::{Epoch, Order, Verdict};
use cowsliproad_platform::engine::{self, Choices, Lists, State};
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::{io, net::SocketAddr};
use tokio::{net::TcpStream, time::timeout};

/// The time for an answer of the engine.
const ANSWER_TIME: Millis = Millis(150);

/// The time for an answer to an order. An engine answers within 5 ms, also
/// from afar; a group may stand still while an order is waited for, and one
/// that went unanswered is repeated without harm.
const ORDER_TIME: Millis = Millis(40);

/// A client of one engine.
#[derive(Debug)]
pub struct Engine {
    address: SocketAddr,
    open: Option<SendRequest<Full<Bytes>>>,
}

impl Engine {
    /// A client that has not connected yet.
    pub fn new(address: SocketAddr) -> Engine {
        Engine { address, open: None }
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
        let exchange = self.exchange(request);
        let late = || io::Error::from(io::ErrorKind::TimedOut);
        match timeout(time.duration(), exchange).await {
            Ok(outcome) => outcome,
            Err(_) => {
                // An answer that comes after all belongs to nobody.
                self.open = None;
                Err(late())
            }
        }
    }

    async fn exchange(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> io::Result<(StatusCode, Bytes)> {
        let host = self.address.to_string();
        let host = host.parse().map_err(io::Error::other)?;
        request.headers_mut().insert(header::HOST, host);
        let mut sender = match self.open.take() {
            Some(sender) if sender.is_ready() => sender,
            _ => connect(self.address).await?,
        };
        let answer =
            sender.send_request(request).await.map_err(io::Error::other)?;
        let status = answer.status();
        let body = answer.into_body().collect().await;
        let body = body.map_err(io::Error::other)?.to_bytes();
        self.open = Some(sender);
        Ok((status, body))
    }
}

async fn connect(address: SocketAddr) -> io::Result<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    // A failure of the connection shows in the call that meets it.
    tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Ok(sender)
}
