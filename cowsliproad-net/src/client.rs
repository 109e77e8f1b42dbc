//! An HTTP client with a connection pool, for requests to targets and the
//! platform, and for the bench.

use std::{fmt, net::IpAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::TokioExecutor,
};

use crate::{status, timer};

/// Why an HTTP request failed.
#[derive(Debug)]
pub enum Error {
    /// The connection failed, so nothing was sent.
    Connect(String),
    /// The connection was refused because no process listens on the port, so
    /// nothing was sent.
    Refused(String),
    /// The connection broke after the request may have been sent; the server
    /// may have processed it.
    Exchange(String),
    /// The response has a status that no final answer may have; the server may
    /// have processed the request.
    Status(StatusCode),
    /// No complete response arrived in time; the server may have processed the
    /// request.
    Timeout,
    /// The response body exceeds the size limit.
    TooLarge,
}

/// An HTTP client with its own connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

/// How long an idle connection stays in the pool. After a server disappears
/// without closing its connections, this is the longest time until new
/// connections are opened.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

impl Client {
    /// Creates a client without open connections.
    pub fn new() -> Client {
        Client::with_local_address(None)
    }

    /// Creates a client that connects from the given local address, for VMs
    /// with several addresses.
    pub fn with_local_address(source: Option<IpAddr>) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_local_address(source);
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        let pool = Pool::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Client { pool }
    }

    /// Sends a request and returns the response as soon as its head has
    /// arrived; the body is still to be read.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        let answer = self.pool.request(request).await.map_err(|error| {
            if error.is_connect() {
                Error::Connect(error.to_string())
            } else {
                Error::Exchange(error.to_string())
            }
        })?;
        match status::is_final(answer.status()) {
            true => Ok(answer),
            false => Err(Error::Status(answer.status())),
        }
    }

    /// Sends a request and reads the response with a body of at most
    /// `max_body_bytes` bytes, all within `time_limit`.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        max_body_bytes: usize,
        time_limit: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let whole = async {
            let (head, body) = self.send(request).await?.into_parts();
            let body = Limited::new(body, max_body_bytes).collect().await;
            let body = body.map_err(|error| {
                if error.is::<http_body_util::LengthLimitError>() {
                    Error::TooLarge
                } else {
                    Error::Exchange(error.to_string())
                }
            })?;
            Ok(Response::from_parts(head, body.to_bytes()))
        };
        timer::timeout(time_limit, whole).await.unwrap_or(Err(Error::Timeout))
    }
}

impl Default for Client {
    fn default() -> Client {
        Client::new()
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Connect(why) | Error::Refused(why) => {
                write!(f, "connection failed: {why}")
            }
            Error::Exchange(why) => write!(f, "HTTP exchange failed: {why}"),
            Error::Status(status) => write!(f, "invalid status {status}"),
            Error::Timeout => f.write_str("no answer in time"),
            Error::TooLarge => f.write_str("the response is too large"),
        }
    }
}

impl std::error::Error for Error {}
