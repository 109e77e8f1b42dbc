//! Connections to targets.
//!
//! A connection carries one request at a time. One that answered is kept for
//! the next request, the latest used first, for less than the time that the
//! target says it keeps idle ones. Extra bytes on an idle connection end it,
//! and an answer must name its request, so a late one belongs to nobody.
//!
//! A request that must not be repeated takes a connection that was used a
//! moment ago or a new one: the target may close an older one just then, and
//! a request that was written to it may have run.

use std::{cell::RefCell, rc::Rc};

use bytes::Bytes;
use cowsliproad_kernel::clock::Millis;
use cowsliproad_net::hooked::{HookedStream, ResetOnDrop};
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout, timeout_at},
};

use crate::{
    attempt::Attempt,
    entry::{Choice, Endpoint},
};

/// A dropped opening packet is sent again after a second or more; another
/// target is a better use of that time.
const CONNECT_TIMEOUT: Millis = Millis(250);

/// Unacknowledged bytes for so long mean that the other side is gone.
const UNACKED_TIMEOUT: Millis = Millis(1_500);

/// After so much silence the other side is asked whether it lives.
const KEEPALIVE_DELAY: Millis = Millis(1_000);

/// How long an idle connection is kept if the target doesn't say.
const USUAL_IDLE: Millis = Millis(4_000);

/// The part of the time that a target keeps idle connections for which we
/// use them, in percent. It may close them a little early.
const IDLE_PERCENT: u64 = 60;

/// The longest that an idle connection is kept, whatever the target says.
const LONGEST_IDLE: Millis = Millis(60_000);

/// How lately a connection must have been used for work that must not be
/// repeated. Targets close idle connections after a second or more.
const FRESH: Millis = Millis(300);

/// Idle connections kept to one target.
const MAX_IDLE: usize = 16;

/// What may be done when a request was not answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// It was not sent.
    Unsent(&'static str),
    /// It was not sent, as its target has asked for less since it was chosen.
    Withheld(&'static str),
    /// It was sent and may have run.
    Unknown(&'static str),
}

/// Idle connections to one target.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Vec<Idle>,
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Full<Bytes>>,
    until: Millis,
    used: Millis,
}

/// Which connections a request may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// Any that is open.
    Any,
    /// One that was used a moment ago.
    Fresh,
}

/// A connection whose answer is being read.
#[derive(Debug)]
pub struct Lease {
    sender: SendRequest<Full<Bytes>>,
    endpoint: Rc<RefCell<Endpoint>>,
    keep: Millis,
}

impl Pool {
    /// Whether no connection is idle.
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }

    fn take(
        &mut self,
        reuse: Reuse,
        now: Millis,
    ) -> Option<SendRequest<Full<Bytes>>> {
        self.idle.retain(|it| now < it.until && !it.sender.is_closed());
        let fits = |it: &Idle| match reuse {
            Reuse::Any => it.sender.is_ready(),
            Reuse::Fresh => it.sender.is_ready() && now.since(it.used) < FRESH,
        };
        let at = self.idle.iter().rposition(fits)?;
        Some(self.idle.swap_remove(at).sender)
    }
}

impl Lease {
    /// Keeps the connection for the next request, after a whole answer.
    pub fn keep(self, now: Millis) {
        keep(&self.endpoint, self.sender, self.keep, now);
    }
}

fn keep(
    endpoint: &RefCell<Endpoint>,
    sender: SendRequest<Full<Bytes>>,
    time: Millis,
    now: Millis,
) {
    if time.0 == 0 || sender.is_closed() {
        return;
    }
    let mut endpoint = endpoint.borrow_mut();
    let idle = &mut endpoint.pool.idle;
    if idle.len() < MAX_IDLE {
        idle.push(Idle { sender, until: now + time, used: now });
        endpoint.connection_freed.notify_waiters();
    }
}

/// Sends a request and waits for the head of its answer.
pub async fn send(
    attempt: &Attempt,
    choice: &Choice,
    mut request: Request<Full<Bytes>>,
    reuse: Reuse,
) -> Result<(Response<Incoming>, Lease), Failure> {
    loop {
        let kept = {
            let mut endpoint = choice.endpoint.borrow_mut();
            endpoint.pool.take(reuse, Millis::now())
        };
        let was_kept = kept.is_some();
        let mut sender = match kept {
            Some(sender) => sender,
            None => {
                make_room(attempt, choice).await?;
                connect(choice).await?
            }
        };
        // The target may have said something else while a connection was made.
        if let Err(why) = attempt.may_send(Millis::now()) {
            keep(&choice.endpoint, sender, USUAL_IDLE, Millis::now());
            return Err(Failure::Withheld(why));
        }
        attempt.sent();
        match sender.try_send_request(request).await {
            Ok(answer) => {
                let keep = idle_time(answer.headers());
                let endpoint = choice.endpoint.clone();
                return Ok((answer, Lease { sender, endpoint, keep }));
            }
            Err(mut error) => match error.take_message() {
                // The connection had ended before a byte was written.
                Some(unsent) => {
                    attempt.unsent();
                    if !was_kept {
                        return Err(Failure::Unsent("closed at once"));
                    }
                    request = unsent;
                }
                None => return Err(Failure::Unknown(reason(error.error()))),
            },
        }
    }
}

/// Sees to it that one more connection is within this entry's share: ends one
/// that has idled too long for this request, or waits for one to end.
async fn make_room(attempt: &Attempt, choice: &Choice) -> Result<(), Failure> {
    let connection_freed = choice.endpoint.borrow().connection_freed.clone();
    let until = Instant::now() + CONNECT_TIMEOUT.duration();
    loop {
        let mut changed = std::pin::pin!(connection_freed.notified());
        changed.as_mut().enable();
        attempt.may_send(Millis::now()).map_err(Failure::Withheld)?;
        {
            let mut endpoint = choice.endpoint.borrow_mut();
            if endpoint.open_connections < choice.max_connections {
                return Ok(());
            }
            let idle = &mut endpoint.pool.idle;
            if !idle.is_empty() {
                idle.remove(0);
            }
        }
        if timeout_at(until, changed).await.is_err() {
            return Err(Failure::Unsent("no connection is free"));
        }
    }
}

fn reason(error: &hyper::Error) -> &'static str {
    if error.is_parse() {
        "no answer in the protocol"
    } else if error.is_incomplete_message() {
        "closed without an answer"
    } else {
        "the connection broke"
    }
}

async fn connect(
    choice: &Choice,
) -> Result<SendRequest<Full<Bytes>>, Failure> {
    let open = Open::new(&choice.endpoint);
    let opening = TcpStream::connect(choice.target.address);
    let stream = timeout(CONNECT_TIMEOUT.duration(), opening)
        .await
        .map_err(|_| Failure::Unsent("no connection in time"))?
        .map_err(|_| Failure::Unsent("no connection"))?;
    let stream = prepare(&stream)
        .and_then(|()| HookedStream::new(stream, ResetOnDrop))
        .map_err(|_| Failure::Unsent("no connection"))?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| Failure::Unsent("no connection"))?;
    tokio::task::spawn_local(async move {
        // How the connection failed shows in the request that it carried.
        let _ = connection.await;
        drop(open);
    });
    Ok(sender)
}

/// A connection that counts among those to its target, from before it is
/// made: many requests at once would each find room for one otherwise.
struct Open {
    endpoint: Rc<RefCell<Endpoint>>,
}

impl Open {
    fn new(endpoint: &Rc<RefCell<Endpoint>>) -> Open {
        endpoint.borrow_mut().open_connections += 1;
        Open { endpoint: endpoint.clone() }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let mut endpoint = self.endpoint.borrow_mut();
        endpoint.open_connections -= 1;
        endpoint.connection_freed.notify_waiters();
    }
}

/// Sets a connection up so that silence ends it within some seconds.
pub fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT.duration()))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_DELAY.duration())
        .with_interval(KEEPALIVE_DELAY.duration())
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)
}

/// How long the connection of an answer may be kept; 0 for not at all.
fn idle_time(headers: &HeaderMap) -> Millis {
    let text = |name| {
        headers.get(name).and_then(|it: &http::HeaderValue| it.to_str().ok())
    };
    let closes = text(http::header::CONNECTION)
        .is_some_and(|it| it.to_ascii_lowercase().contains("close"));
    if closes {
        return Millis(0);
    }
    let stated = text(http::HeaderName::from_static("keep-alive"))
        .and_then(|it| {
            it.split(',').find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|it| it.trim().parse::<u64>().ok());
    match stated {
        Some(seconds) => {
            let kept = Millis(seconds.saturating_mul(10 * IDLE_PERCENT));
            kept.min(LONGEST_IDLE)
        }
        None => USUAL_IDLE,
    }
}
