//! An HTTP client with a single connection to one address, which carries one
//! request at a time.
//!
//! The first request opens the connection, and later requests reuse it. After
//! a request that failed or timed out, the next request opens a new
//! connection, so that a late response is not taken for its own.
//!
//! A request may wait for its response for a long time, so keepalive probes
//! close a connection to a server that no longer responds.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header::HOST};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::{client::Error, status, tcp, timer};

/// The timeout of a connect. Later retransmissions of a lost SYN are seconds
/// apart.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An HTTP client with a single connection, used by the tasks of one thread.
#[derive(Debug)]
pub struct SingleConnection {
    address: SocketAddr,
    connection: Option<SendRequest<Full<Bytes>>>,
}

impl SingleConnection {
    /// Creates a client without connecting it.
    pub fn new(address: SocketAddr) -> SingleConnection {
        SingleConnection { address, connection: None }
    }

    /// Whether there is no open connection.
    pub fn is_closed(&self) -> bool {
        self.connection.as_ref().is_none_or(SendRequest::is_closed)
    }

    /// Closes the connection; the next request opens a new one.
    pub fn close(&mut self) {
        self.connection = None;
    }

    /// Opens a connection within `time_limit` without sending a request.
    pub async fn open(&mut self, time_limit: Duration) -> Result<(), Error> {
        let opening = connect(self.address);
        match timer::timeout(time_limit, opening).await {
            Ok(opened) => self.connection = Some(opened?),
            Err(_) => return Err(Error::Timeout),
        }
        Ok(())
    }

    /// Sends a request and reads the response with a body of at most
    /// `max_body_bytes` bytes, all within `time_limit`. Never retries.
    pub async fn send_request(
        &mut self,
        request: Request<Full<Bytes>>,
        max_body_bytes: usize,
        time_limit: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let exchange = self.send_and_read_response(request, max_body_bytes);
        match timer::timeout(time_limit, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => {
                self.connection = None;
                Err(Error::Timeout)
            }
        }
    }

    async fn send_and_read_response(
        &mut self,
        mut request: Request<Full<Bytes>>,
        max_body_bytes: usize,
    ) -> Result<Response<Bytes>, Error> {
        let host = HeaderValue::from_str(&self.address.to_string());
        let host = host.map_err(|error| Error::Connect(error.to_string()))?;
        request.headers_mut().insert(HOST, host);
        let mut sender = match self.connection.take() {
            Some(sender) if sender.is_ready() => sender,
            _ => connect(self.address).await?,
        };
        let broke = |error: hyper::Error| Error::Exchange(error.to_string());
        let answer = sender.send_request(request).await.map_err(broke)?;
        let (head, body) = answer.into_parts();
        if !status::is_final(head.status) {
            return Err(Error::Status(head.status));
        }
        let body = Limited::new(body, max_body_bytes).collect().await;
        let body = body.map_err(|error| {
            if error.is::<LengthLimitError>() {
                Error::TooLarge
            } else {
                Error::Exchange(error.to_string())
            }
        })?;
        self.connection = Some(sender);
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
    let connecting = TcpStream::connect(address);
    let stream = timer::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| Error::Timeout)?
        .map_err(failed)?;
    tcp::configure_socket(&stream).map_err(failed)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| Error::Connect(error.to_string()))?;
    // The request that is sent on a failed connection returns the error.
    tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Ok(sender)
}
