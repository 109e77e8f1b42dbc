//! HTTP servers that stop when told to.
//!
//! The library's own graceful stop waits a fixed time and is bound to
//! signals. A program here counts its requests in flight itself, and a
//! [`Door`] ends the accepting. A connection reaches the library only when
//! its first request head has arrived, so callers that dribble headers hold
//! a socket for [`HEAD_TIMEOUT`] and no more.

use std::{
    convert::Infallible,
    fmt, io,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
    time::{Instant, sleep, timeout, timeout_at},
};
use volo::{
    Service,
    net::{
        conn::{Conn, ConnStream},
        incoming::{Incoming, MakeIncoming},
    },
};
use volo_http::{
    body::Body, context::ServerContext, request::Request, response::Response,
    server::Server,
};

/// How long a connection may take to send its first request head.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Connections that may wait for their first request head.
const MAX_PENDING: usize = 1024;

/// The largest request head that is waited for, in bytes.
const MAX_HEAD: usize = 16 << 10;

/// How often an incomplete head is looked at again.
const LOOK_AGAIN: Duration = Duration::from_millis(10);

/// Ends the accepting of connections.
#[derive(Clone, Debug)]
pub struct Door {
    open: watch::Sender<bool>,
}

impl Door {
    /// An open door.
    pub fn new() -> Door {
        Door { open: watch::Sender::new(true) }
    }

    /// Accepts no more connections.
    pub fn close(&self) {
        self.open.send_replace(false);
    }

    /// Whether connections are accepted.
    pub fn is_open(&self) -> bool {
        *self.open.borrow()
    }

    /// Waits until the door is closed.
    pub async fn closed(&self) {
        let mut open = self.open.subscribe();
        // The sender lives as long as `self`, so waiting can't fail.
        let _ = open.wait_for(|open| !open).await;
    }
}

impl Default for Door {
    fn default() -> Door {
        Door::new()
    }
}

/// A bound socket that volo accepts connections from.
pub struct Listener {
    address: SocketAddr,
    accepted: mpsc::Receiver<TcpStream>,
}

impl Listener {
    /// Binds an address and starts accepting while the door is open.
    pub async fn bind(
        address: SocketAddr,
        door: &Door,
    ) -> io::Result<Listener> {
        let socket = TcpListener::bind(address).await?;
        let address = socket.local_addr()?;
        let (sender, accepted) = mpsc::channel(MAX_PENDING);
        tokio::spawn(accept(socket, door.clone(), sender));
        Ok(Listener { address, accepted })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl fmt::Debug for Listener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Listener({})", self.address)
    }
}

impl Incoming for Listener {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        match self.accepted.recv().await {
            Some(stream) => Ok(Some(Conn::from(ConnStream::from(stream)))),
            // The library would ask again at once, so a closed door never
            // answers. The server's task is dropped with its program.
            None => std::future::pending().await,
        }
    }
}

impl MakeIncoming for Listener {
    type Incoming = Listener;

    async fn make_incoming(self) -> io::Result<Listener> {
        Ok(self)
    }
}

async fn accept(
    socket: TcpListener,
    door: Door,
    sender: mpsc::Sender<TcpStream>,
) {
    loop {
        let stream = tokio::select! {
            accepted = socket.accept() => accepted,
            () = door.closed() => return,
        };
        match stream {
            Ok((stream, _)) => {
                tokio::spawn(await_head(stream, sender.clone()));
            }
            // Out of file descriptors, most likely: let some close.
            Err(_) => sleep(LOOK_AGAIN).await,
        }
    }
}

/// Passes a connection on when a whole request head is in its buffer.
async fn await_head(stream: TcpStream, sender: mpsc::Sender<TcpStream>) {
    let deadline = Instant::now() + HEAD_TIMEOUT;
    let mut head = vec![0; MAX_HEAD];
    loop {
        let peeked = timeout_at(deadline, stream.peek(&mut head)).await;
        let Ok(Ok(length)) = peeked else { return };
        if length == 0 {
            return;
        }
        if is_complete(&head[..length]) {
            break;
        }
        sleep(LOOK_AGAIN).await;
        if Instant::now() >= deadline {
            return;
        }
    }
    let _ = sender.send(stream).await;
}

fn is_complete(head: &[u8]) -> bool {
    head.len() == MAX_HEAD || head.windows(4).any(|end| end == b"\r\n\r\n")
}

/// What answers the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(
        &self,
        request: Request,
    ) -> impl Future<Output = Response> + Send;
}

/// Serves a listener until the door is closed, and goes on serving the
/// connections that it has for as long as the runtime lives.
pub async fn serve<H: Handler>(
    listener: Listener,
    handler: Arc<H>,
    door: Door,
) -> io::Result<()> {
    let mut server = Server::new(App(handler));
    server.http1_config().set_max_headers(MAX_HEADERS);
    let server = server.register_shutdown_hook(move || {
        Box::pin(async move { door.closed().await })
    });
    server.run(listener).await.map_err(io::Error::other)
}

/// The most header lines of a request.
const MAX_HEADERS: usize = 64;

struct App<H>(Arc<H>);

impl<H: Handler> Service<ServerContext, Request> for App<H> {
    type Response = Response;
    type Error = Infallible;

    async fn call(
        &self,
        _: &mut ServerContext,
        request: Request,
    ) -> Result<Response, Infallible> {
        Ok(self.0.handle(request).await)
    }
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// It is larger than allowed.
    TooLarge,
    /// It took too long.
    Slow,
    /// The caller stopped in its middle.
    Cut,
}

/// Reads a whole body of at most `limit` bytes within `patience`.
pub async fn read_body(
    body: Body,
    limit: usize,
    patience: Duration,
) -> Result<Bytes, BodyError> {
    match timeout(patience, Limited::new(body, limit).collect()).await {
        Err(_) => Err(BodyError::Slow),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(BodyError::TooLarge)
        }
        Ok(Err(_)) => Err(BodyError::Cut),
    }
}

/// A stream that may be shared between threads, as a response body must be,
/// although only one task ever polls it.
#[derive(Debug)]
pub struct SyncStream<S> {
    inner: Mutex<Pin<Box<S>>>,
}

impl<S: Stream> SyncStream<S> {
    /// Wraps a stream.
    pub fn new(stream: S) -> SyncStream<S> {
        SyncStream { inner: Mutex::new(Box::pin(stream)) }
    }
}

impl<S: Stream> Stream for SyncStream<S> {
    type Item = S::Item;

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<S::Item>> {
        let stream = self.get_mut().inner.get_mut();
        let stream = stream.unwrap_or_else(|poison| poison.into_inner());
        stream.as_mut().poll_next(context)
    }
}

/// The number given for a name in the query of a request.
pub fn query_number(request: &Request, name: &str) -> Option<u64> {
    let pairs = request.uri().query()?.split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}
