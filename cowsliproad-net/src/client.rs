//! A pooled HTTP client, towards targets, the platform and in the bench.

use std::{fmt, net::IpAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::TokioExecutor,
};

/// Why a call failed.
#[derive(Debug)]
pub enum Error {
    /// No connection could be made, so nothing was sent.
    Connect(String),
    /// Nobody listens there, so nothing was sent.
    Refused(String),
    /// The exchange broke; the other side may have acted.
    Exchange(String),
    /// The answer took too long; the other side may have acted.
    Timeout,
    /// The answer is larger than allowed.
    TooLarge,
}

/// A client with its own pool of connections.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

/// How long an idle connection is kept. A server that goes away silently is
/// met by a new connection at the latest after this time.
const IDLE: Duration = Duration::from_secs(10);

impl Client {
    /// A client without connections.
    pub fn new() -> Client {
        Client::from(None)
    }

    /// A client that connects from an address, on a VM that has several.
    pub fn from(source: Option<IpAddr>) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_local_address(source);
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        let pool = Pool::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE)
            .retry_canceled_requests(false)
            .build(connector);
        Client { pool }
    }

    /// Sends a request and returns the answer's head with its body to come.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        self.pool.request(request).await.map_err(|error| {
            if error.is_connect() {
                Error::Connect(error.to_string())
            } else {
                Error::Exchange(error.to_string())
            }
        })
    }

    /// Sends a request and returns the whole answer of at most `limit`
    /// bytes, all within `patience`.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: usize,
        patience: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let whole = async {
            let (head, body) = self.send(request).await?.into_parts();
            let body = Limited::new(body, limit).collect().await;
            let body = body.map_err(|error| {
                if error.is::<http_body_util::LengthLimitError>() {
                    Error::TooLarge
                } else {
                    Error::Exchange(error.to_string())
                }
            })?;
            Ok(Response::from_parts(head, body.to_bytes()))
        };
        tokio::time::timeout(patience, whole)
            .await
            .unwrap_or(Err(Error::Timeout))
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
                write!(f, "can't connect: {why}")
            }
            Error::Exchange(why) => write!(f, "the exchange broke: {why}"),
            Error::Timeout => f.write_str("no answer in time"),
            Error::TooLarge => f.write_str("the answer is too large"),
        }
    }
}

impl std::error::Error for Error {}
