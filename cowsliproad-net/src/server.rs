//! HTTP servers with a graceful stop.
//!
//! The graceful shutdown of the volo library waits a fixed time and is tied
//! to signals. Instead, each program counts its own in-flight requests, and
//! an [`AcceptHandle`] stops a server from accepting connections. A connection
//! is passed to volo only once its first request head has arrived. A client
//! that sends its headers slowly therefore occupies nothing but a socket, and
//! for at most [`REQUEST_HEAD_TIMEOUT`].

use std::{
    collections::VecDeque,
    convert::Infallible,
    fmt, io,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use cowsliproad_kernel::clock::Millis;
use futures_util::Stream;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
    task::AbortHandle,
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

use crate::{
    tcp,
    timer::{sleep, timeout, timeout_at},
};

/// The time limit for a connection to send its first request head.
pub const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// The capacity of the queue of connections that have sent their first request
/// head and wait for the server.
const MAX_PENDING_CONNECTIONS: usize = 1024;

/// Connections whose first request head is awaited. Those of callers who send
/// a head whole leave at once, so only unfinished heads reach the bound.
const MAX_PENDING_HEADS: usize = 1_024;

/// The largest request head to wait for. A connection with a longer head is
/// passed to the server at once.
const MAX_REQUEST_HEAD_BYTES: usize = 16 << 10;

/// How often an incomplete request head is checked again.
const REQUEST_HEAD_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A handle that stops a server from accepting connections.
#[derive(Clone, Debug)]
pub struct AcceptHandle {
    accepting: watch::Sender<bool>,
}

impl AcceptHandle {
    /// Creates a handle for a server that accepts connections.
    pub fn new() -> AcceptHandle {
        AcceptHandle { accepting: watch::Sender::new(true) }
    }

    /// Stops the server from accepting connections.
    pub fn stop_accepting(&self) {
        self.accepting.send_replace(false);
    }

    /// Whether the server accepts connections.
    pub fn is_accepting(&self) -> bool {
        *self.accepting.borrow()
    }

    /// Waits until the server has stopped accepting connections.
    pub async fn stopped_accepting(&self) {
        let mut accepting = self.accepting.subscribe();
        // `self` owns the sender, so the wait can't fail.
        let _ = accepting.wait_for(|accepting| !accepting).await;
    }
}

impl Default for AcceptHandle {
    fn default() -> AcceptHandle {
        AcceptHandle::new()
    }
}

/// A bound socket from which volo accepts connections.
pub struct Listener {
    address: SocketAddr,
    accepted_connections: mpsc::Receiver<TcpStream>,
}

impl Listener {
    /// Binds an address and accepts connections until the accept handle stops
    /// the server from accepting more.
    pub async fn bind(
        address: SocketAddr,
        accept_handle: &AcceptHandle,
    ) -> io::Result<Listener> {
        let socket = TcpListener::bind(address).await?;
        tcp::bound_unread_bytes(&socket)?;
        let address = socket.local_addr()?;
        let (sender, accepted_connections) =
            mpsc::channel(MAX_PENDING_CONNECTIONS);
        tokio::spawn(accept_connections(
            socket,
            accept_handle.clone(),
            sender,
        ));
        Ok(Listener { address, accepted_connections })
    }

    /// Returns the bound address.
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
        match self.accepted_connections.recv().await {
            Some(stream) => Ok(Some(Conn::from(ConnStream::from(stream)))),
            // Volo would call `accept` again as soon as it returned `None`,
            // so `accept` never returns after the last connection.
            // The server's task is dropped when its program ends.
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

async fn accept_connections(
    socket: TcpListener,
    accept_handle: AcceptHandle,
    sender: mpsc::Sender<TcpStream>,
) {
    let mut pending = PendingHeads::default();
    loop {
        let stream = tokio::select! {
            accepted = socket.accept() => accepted,
            () = accept_handle.stopped_accepting() => return,
        };
        match stream {
            Ok((stream, _)) => {
                let task = queue_after_request_head(stream, sender.clone());
                pending.add(tokio::spawn(task).abort_handle());
            }
            // Most likely the process is out of file descriptors. Wait until
            // other connections are closed.
            Err(_) => sleep(REQUEST_HEAD_POLL_INTERVAL).await,
        }
    }
}

/// The connections whose first request head is unfinished, the oldest first.
#[derive(Debug, Default)]
struct PendingHeads {
    tasks: VecDeque<AbortHandle>,
}

impl PendingHeads {
    /// Adds a connection, and closes the oldest one if there are too many.
    fn add(&mut self, task: AbortHandle) {
        if self.tasks.len() >= MAX_PENDING_HEADS {
            self.tasks.retain(|it| !it.is_finished());
        }
        if self.tasks.len() >= MAX_PENDING_HEADS
            && let Some(oldest) = self.tasks.pop_front()
        {
            oldest.abort();
        }
        self.tasks.push_back(task);
    }
}

/// Queues a connection for the server once the socket buffer holds a complete
/// request head.
async fn queue_after_request_head(
    stream: TcpStream,
    sender: mpsc::Sender<TcpStream>,
) {
    let deadline = Millis::now() + REQUEST_HEAD_TIMEOUT.into();
    let mut head = vec![0; MAX_REQUEST_HEAD_BYTES];
    loop {
        let peeked = timeout_at(deadline, stream.peek(&mut head)).await;
        let Ok(Ok(length)) = peeked else { return };
        if length == 0 {
            return;
        }
        if is_request_head_complete(&head[..length]) {
            break;
        }
        sleep(REQUEST_HEAD_POLL_INTERVAL).await;
        if Millis::now() >= deadline {
            return;
        }
    }
    let _ = sender.send(stream).await;
}

fn is_request_head_complete(head: &[u8]) -> bool {
    head.len() == MAX_REQUEST_HEAD_BYTES
        || head.windows(4).any(|end| end == b"\r\n\r\n")
}

/// Handles the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to a request.
    fn handle_request(
        &self,
        request: Request,
    ) -> impl Future<Output = Response> + Send;
}

/// Serves the requests of a listener until the accept handle stops the server
/// from accepting connections.
/// Connections that are already open are served until the runtime stops.
pub async fn serve<H: Handler>(
    listener: Listener,
    handler: Arc<H>,
    accept_handle: AcceptHandle,
) -> io::Result<()> {
    let mut server = Server::new(HandlerService(handler));
    server.http1_config().set_max_headers(MAX_REQUEST_HEADERS);
    let server = server.register_shutdown_hook(move || {
        Box::pin(async move { accept_handle.stopped_accepting().await })
    });
    server.run(listener).await.map_err(io::Error::other)
}

/// The largest number of header lines in a request.
const MAX_REQUEST_HEADERS: usize = 64;

struct HandlerService<H>(Arc<H>);

impl<H: Handler> Service<ServerContext, Request> for HandlerService<H> {
    type Response = Response;
    type Error = Infallible;

    async fn call(
        &self,
        _: &mut ServerContext,
        request: Request,
    ) -> Result<Response, Infallible> {
        Ok(self.0.handle_request(request).await)
    }
}

/// Why a request body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The body did not arrive in time.
    TimedOut,
    /// The connection broke before the body was complete.
    Incomplete,
}

/// Reads a request body of at most `max_body_bytes` bytes within
/// `time_limit`, for stand-ins and baselines. Programs that strangers reach
/// use [`crate::body::read_body`], which also bounds all bodies together.
pub async fn read_unaccounted_body(
    body: Body,
    max_body_bytes: usize,
    time_limit: Duration,
) -> Result<Bytes, BodyError> {
    match timeout(time_limit, Limited::new(body, max_body_bytes).collect())
        .await
    {
        Err(_) => Err(BodyError::TimedOut),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(BodyError::TooLarge)
        }
        Ok(Err(_)) => Err(BodyError::Incomplete),
    }
}

/// Makes a stream `Sync`, as volo requires of response bodies, although only
/// one task ever polls it.
#[derive(Debug)]
pub struct SyncStream<S> {
    stream: Mutex<Pin<Box<S>>>,
}

impl<S: Stream> SyncStream<S> {
    /// Creates a `SyncStream` from a stream.
    pub fn new(stream: S) -> SyncStream<S> {
        SyncStream { stream: Mutex::new(Box::pin(stream)) }
    }
}

impl<S: Stream> Stream for SyncStream<S> {
    type Item = S::Item;

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<S::Item>> {
        let stream = self.get_mut().stream.get_mut();
        let stream = stream.unwrap_or_else(|poison| poison.into_inner());
        stream.as_mut().poll_next(context)
    }
}

/// Parses the value of the query parameter `name` as a number.
pub fn query_number(request: &Request, name: &str) -> Option<u64> {
    let pairs = request.uri().query()?.split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}
