//! Connections to targets.
//!
//! A connection carries one request at a time. After a complete response it is
//! pooled for less than the idle timeout that the target states; the most
//! recently used connection is reused first. Unexpected bytes on an idle
//! connection close it, and a response must name its request, so that a late
//! response can't be taken for that of another request.
//!
//! A request that must not be repeated uses a new connection or one that was
//! used a moment ago: the target may be closing an older connection, and a
//! request written to it may have run.

use std::{cell::RefCell, rc::Rc};

use cowsliproad_kernel::clock::Millis;
use cowsliproad_net::{
    body::Pieces,
    hooked::{HookedStream, ResetOnDrop},
    tcp,
    timer::{timeout, timeout_at},
};
use http::{HeaderMap, Request, Response};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::{
    attempt::Attempt,
    entry::{ChosenTarget, Endpoint},
};

/// The timeout of a TCP connect. A lost SYN is retransmitted after a second or
/// more; trying another target is a better use of that time.
const TARGET_CONNECT_TIMEOUT: Millis = Millis(250);

/// How long an idle connection is pooled if the target states no timeout.
const DEFAULT_POOLED_IDLE_TIMEOUT: Millis = Millis(4_000);

/// How long an idle connection is pooled, in percent of the idle timeout that
/// the target states. The target may close connections a little early.
const POOLED_IDLE_TIMEOUT_PERCENT: u64 = 60;

/// The longest time that an idle connection is pooled, whatever the target
/// states.
const MAX_POOLED_IDLE_TIMEOUT: Millis = Millis(60_000);

/// The longest idle time of a connection that is reused for a request that
/// must not be repeated. Targets close idle connections after a second or
/// more.
const MAX_FRESH_CONNECTION_IDLE_TIME: Millis = Millis(300);

/// Idle connections pooled for one target.
const MAX_IDLE_CONNECTIONS_PER_TARGET: usize = 16;

/// The largest buffer of a connection for bytes of a target's response that
/// are being parsed.
const MAX_READ_BUFFER_BYTES: usize = 32 << 10;

/// Why a request got no response, which decides whether it may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendError {
    /// The request was not sent.
    Unsent(&'static str),
    /// The request was not sent, because its target has entered a cooldown,
    /// changed its limit or left since it was chosen.
    Withheld(&'static str),
    /// The request was sent to the target and may have run.
    Unknown(&'static str),
}

/// The idle connections to one target.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Vec<IdleConnection>,
}

/// An idle connection in a pool.
#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Pieces>,
    expires_at: Millis,
    last_used: Millis,
}

/// Which connections a request may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionReuse {
    /// The request may use any open connection.
    Any,
    /// The request may only reuse a connection that was used a moment ago.
    Fresh,
}

/// A connection on which a response is being read.
#[derive(Debug)]
pub struct ConnectionLease {
    sender: SendRequest<Pieces>,
    endpoint: Rc<RefCell<Endpoint>>,
    idle_timeout: Millis,
}

impl ConnectionPool {
    /// Whether the pool holds no idle connection.
    pub fn has_no_idle_connection(&self) -> bool {
        self.idle.is_empty()
    }

    fn take_idle_connection(
        &mut self,
        reuse: ConnectionReuse,
        now: Millis,
    ) -> Option<SendRequest<Pieces>> {
        self.idle.retain(|it| now < it.expires_at && !it.sender.is_closed());
        let is_usable = |it: &IdleConnection| match reuse {
            ConnectionReuse::Any => it.sender.is_ready(),
            ConnectionReuse::Fresh => {
                it.sender.is_ready()
                    && now.since(it.last_used) < MAX_FRESH_CONNECTION_IDLE_TIME
            }
        };
        let index = self.idle.iter().rposition(is_usable)?;
        Some(self.idle.swap_remove(index).sender)
    }
}

impl ConnectionLease {
    /// Returns the connection to the pool after a complete response.
    pub fn release_to_pool(self, now: Millis) {
        pool_connection(&self.endpoint, self.sender, self.idle_timeout, now);
    }
}

fn pool_connection(
    endpoint: &RefCell<Endpoint>,
    sender: SendRequest<Pieces>,
    idle_timeout: Millis,
    now: Millis,
) {
    if idle_timeout.0 == 0 || sender.is_closed() {
        return;
    }
    let mut endpoint = endpoint.borrow_mut();
    let idle = &mut endpoint.connection_pool.idle;
    if idle.len() < MAX_IDLE_CONNECTIONS_PER_TARGET {
        idle.push(IdleConnection {
            sender,
            expires_at: now + idle_timeout,
            last_used: now,
        });
        endpoint.connection_freed.notify_waiters();
    }
}

/// Sends a request to a target and waits for the head of the response.
pub async fn send_request(
    attempt: &Attempt,
    choice: &ChosenTarget,
    mut request: Request<Pieces>,
    reuse: ConnectionReuse,
) -> Result<(Response<Incoming>, ConnectionLease), SendError> {
    loop {
        let pooled = {
            let mut endpoint = choice.endpoint.borrow_mut();
            endpoint.connection_pool.take_idle_connection(reuse, Millis::now())
        };
        let was_pooled = pooled.is_some();
        let mut sender = match pooled {
            Some(sender) => sender,
            None => {
                wait_for_connection_slot(attempt, choice).await?;
                connect_to_target(choice).await?
            }
        };
        // While the connection was made, the target may have left, entered a
        // cooldown or changed its limit.
        if let Err(why) = attempt.may_send_request(Millis::now()) {
            pool_connection(
                &choice.endpoint,
                sender,
                DEFAULT_POOLED_IDLE_TIMEOUT,
                Millis::now(),
            );
            return Err(SendError::Withheld(why));
        }
        attempt.note_request_sent();
        match sender.try_send_request(request).await {
            Ok(response) => {
                let idle_timeout = pooled_idle_timeout(response.headers());
                let endpoint = choice.endpoint.clone();
                return Ok((
                    response,
                    ConnectionLease { sender, endpoint, idle_timeout },
                ));
            }
            Err(mut error) => match error.take_message() {
                // The connection was closed before a byte was written.
                Some(unsent) => {
                    attempt.note_request_unsent();
                    if !was_pooled {
                        return Err(SendError::Unsent("closed at once"));
                    }
                    request = unsent;
                }
                None => {
                    return Err(SendError::Unknown(send_error_reason(
                        error.error(),
                    )));
                }
            },
        }
    }
}

/// Waits until this entry process may open one more connection to the target,
/// within its share. Closes an idle connection that is too old for the
/// request.
async fn wait_for_connection_slot(
    attempt: &Attempt,
    choice: &ChosenTarget,
) -> Result<(), SendError> {
    let connection_freed = choice.endpoint.borrow().connection_freed.clone();
    let give_up_at = Millis::now() + TARGET_CONNECT_TIMEOUT;
    loop {
        let mut freed = std::pin::pin!(connection_freed.notified());
        freed.as_mut().enable();
        attempt
            .may_send_request(Millis::now())
            .map_err(SendError::Withheld)?;
        {
            let mut endpoint = choice.endpoint.borrow_mut();
            if endpoint.open_connection_count < choice.max_connections {
                return Ok(());
            }
            let idle = &mut endpoint.connection_pool.idle;
            if !idle.is_empty() {
                idle.remove(0);
            }
        }
        if timeout_at(give_up_at, freed).await.is_err() {
            return Err(SendError::Unsent("no connection is free"));
        }
    }
}

/// Describes an error of a request that may have run.
fn send_error_reason(error: &hyper::Error) -> &'static str {
    if error.is_parse() {
        "no answer in the protocol"
    } else if error.is_incomplete_message() {
        "closed without an answer"
    } else {
        "the connection broke"
    }
}

/// Opens a connection to the chosen target.
async fn connect_to_target(
    choice: &ChosenTarget,
) -> Result<SendRequest<Pieces>, SendError> {
    let connection_guard = OpenConnectionGuard::new(&choice.endpoint);
    let connecting = TcpStream::connect(choice.target.address);
    let stream = timeout(TARGET_CONNECT_TIMEOUT.duration(), connecting)
        .await
        .map_err(|_| SendError::Unsent("no connection in time"))?
        .map_err(|_| SendError::Unsent("no connection"))?;
    let stream = tcp::configure_socket(&stream)
        .and_then(|()| tcp::bound_unread_bytes(&stream))
        .and_then(|()| HookedStream::new(stream, ResetOnDrop))
        .map_err(|_| SendError::Unsent("no connection"))?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| SendError::Unsent("no connection"))?;
    tokio::task::spawn_local(async move {
        // The request on the connection reports an error of the connection.
        let _ = connection.await;
        drop(connection_guard);
    });
    Ok(sender)
}

/// Counts one connection to a target until dropped. A connection counts before
/// it is made: otherwise concurrent requests could exceed the bound together.
struct OpenConnectionGuard {
    endpoint: Rc<RefCell<Endpoint>>,
}

impl OpenConnectionGuard {
    fn new(endpoint: &Rc<RefCell<Endpoint>>) -> OpenConnectionGuard {
        endpoint.borrow_mut().open_connection_count += 1;
        OpenConnectionGuard { endpoint: endpoint.clone() }
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        let mut endpoint = self.endpoint.borrow_mut();
        endpoint.open_connection_count -= 1;
        endpoint.connection_freed.notify_waiters();
    }
}

/// How long the connection of a response may stay in the pool; 0 if it must
/// not be reused.
fn pooled_idle_timeout(headers: &HeaderMap) -> Millis {
    let text = |name| {
        headers.get(name).and_then(|it: &http::HeaderValue| it.to_str().ok())
    };
    let closes_connection = text(http::header::CONNECTION)
        .is_some_and(|it| it.to_ascii_lowercase().contains("close"));
    if closes_connection {
        return Millis(0);
    }
    let stated_seconds = text(http::HeaderName::from_static("keep-alive"))
        .and_then(|it| {
            it.split(',').find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|it| it.trim().parse::<u64>().ok());
    match stated_seconds {
        Some(seconds) => {
            let idle_timeout = Millis(
                seconds.saturating_mul(10 * POOLED_IDLE_TIMEOUT_PERCENT),
            );
            idle_timeout.min(MAX_POOLED_IDLE_TIMEOUT)
        }
        None => DEFAULT_POOLED_IDLE_TIMEOUT,
    }
}
