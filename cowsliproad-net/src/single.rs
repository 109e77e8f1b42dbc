//! One connection to one address, for whoever makes a call at a time.
//!
//! The connection is opened by the first call and kept. After a call that
//! broke or was overdue the next one opens another: an answer that comes
//! after all belongs to nobody.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header::HOST};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::client::Error;

/// A client with one connection, for the tasks of one thread.
#[derive(Debug)]
pub struct Single {
    address: SocketAddr,
    open: Option<SendRequest<Full<Bytes>>>,
}

impl Single {
    /// A client that has not connected yet.
    pub fn new(address: SocketAddr) -> Single {
        Single { address, open: None }
    }

    /// Whether no connection is open.
    pub fn is_closed(&self) -> bool {
        self.open.as_ref().is_none_or(SendRequest::is_closed)
    }

    /// Has the next call open another connection.
    pub fn close(&mut self) {
        self.open = None;
    }

    /// Opens the connection without a call.
    pub async fn open(&mut self, patience: Duration) -> Result<(), Error> {
        let opening = connect(self.address);
        match tokio::time::timeout(patience, opening).await {
            Ok(opened) => self.open = Some(opened?),
            Err(_) => return Err(Error::Timeout),
        }
        Ok(())
    }

    /// Sends a request and returns the whole answer of at most `limit`
    /// bytes, all within `patience`. Repeats nothing.
    pub async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: usize,
        patience: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let exchange = self.exchange(request, limit);
        match tokio::time::timeout(patience, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => {
                self.open = None;
                Err(Error::Timeout)
            }
        }
    }

    async fn exchange(
        &mut self,
        mut request: Request<Full<Bytes>>,
        limit: usize,
    ) -> Result<Response<Bytes>, Error> {
        let host = HeaderValue::from_str(&self.address.to_string());
        let host = host.map_err(|error| Error::Connect(error.to_string()))?;
        request.headers_mut().insert(HOST, host);
        let mut sender = match self.open.take() {
            Some(sender) if sender.is_ready() => sender,
            _ => connect(self.address).await?,
        };
        let broke = |error: hyper::Error| Error::Exchange(error.to_string());
        let answer = sender.send_request(request).await.map_err(broke)?;
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, limit).collect().await;
        let body = body.map_err(|error| {
            if error.is::<LengthLimitError>() {
                Error::TooLarge
            } else {
                Error::Exchange(error.to_string())
            }
        })?;
        self.open = Some(sender);
        Ok(Response::from_parts(head, body.to_bytes()))
    }
}

async fn connect(
    address: SocketAddr,
) -> Result<SendRequest<Full<Bytes>>, Error> {
    let failed = |error: io::Error| match error.kind() {
        io::ErrorKind::ConnectionRefused => Error::Refused(error.to_string()),
        _ => Error::Connect(error.to_string()),
    };
    let stream = TcpStream::connect(address).await.map_err(failed)?;
    stream.set_nodelay(true).map_err(failed)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| Error::Connect(error.to_string()))?;
    // A failure of the connection shows in the call that meets it.
    tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Ok(sender)
}
