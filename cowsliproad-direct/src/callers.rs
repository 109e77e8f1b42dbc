//! Connections of callers and their requests.
//!
//! Each connection has a task. The task closes the connection after the
//! configured idle timeout, or if the head of a request takes too long, but
//! never between a request and its response. Limits are read when they are
//! applied, so a changed configuration also applies to open connections.
//!
//! The number of connections is bounded; see [`connections`].
//!
//! On SIGTERM the entry process stops reporting ready at once, but accepts
//! connections until the load balancer has noticed. Every response from then
//! on carries `Connection: close`. Idle connections are closed once no new
//! connections are accepted, and the others after their answer, for which the
//! process stays until the grace period is over.

use std::{cell::Cell, convert::Infallible, io, rc::Rc, time::Duration};

use cowsliproad_kernel::clock::Millis;
use cowsliproad_net::{
    hooked::{ConnectionHooks, HookedStream},
    signals::StopSignals,
    tcp,
    timer::{sleep, sleep_until},
};
use cowsliproad_routing::catalog::RequestLimits;
use http::{HeaderValue, Request, Response, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use slog::info;
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
};

use self::connections::{ClosedConnections, Room};
use crate::{
    entry::{Entry, ProcessPhase},
    forward,
    reply::Body,
};

pub mod connections;

/// How long connections and requests are accepted after SIGTERM. The load
/// balancer checks readiness every second and stops sending after two failed
/// checks. A request that is sent later than 3 s after SIGTERM may not be cut,
/// and a stream may last beyond the grace period.
const LISTENER_CLOSE_DELAY: Millis = Millis(2_800);

/// The part of the grace period reserved for the exit of the process.
const PROCESS_EXIT_MARGIN: Millis = Millis(400);

/// How often the idle time of a connection is checked.
const IDLE_CHECK_INTERVAL: Millis = Millis(1_000);

/// How often a stopping process checks whether all requests have finished;
/// also the delay after a failed accept.
const STOP_CHECK_INTERVAL: Millis = Millis(50);

/// The time for the last responses to leave the sockets.
const RESPONSE_FLUSH_DELAY: Millis = Millis(100);

/// How much longer than the idle timeout known to callers a connection stays
/// open, so that a request sent just before that timeout still arrives.
pub const CALLER_IDLE_GRACE: Millis = Millis(2_000);

/// The smallest buffer for request heads that hyper accepts. Shorter heads are
/// always read, whatever the configured limit.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;

/// Serves callers until a stop signal arrives and then either all requests
/// have finished or the grace period is over.
pub async fn serve_callers(
    entry: &Rc<Entry>,
    listener: TcpListener,
    stop_signals: &mut StopSignals,
) -> io::Result<()> {
    let signal = tokio::select! {
        never = accept_connections(entry, &listener) => match never {},
        signal = stop_signals.recv() => signal,
    };
    let grace_end = Millis::now()
        + (entry.settings().shutdown_grace_ms - PROCESS_EXIT_MARGIN);
    entry.process_phase.set(ProcessPhase::Leaving);
    info!(entry.log, "stopping"; "signal" => signal, "under_way" => entry.unfinished_request_count.get());
    let drained_at = Millis::now() + LISTENER_CLOSE_DELAY;
    tokio::select! {
        never = accept_connections(entry, &listener) => match never {},
        () = sleep_until(drained_at) => {}
    }
    drop(listener);
    entry.process_phase.set(ProcessPhase::Closing);
    entry.idle_close_requested.notify_waiters();
    // A request counts as finished once its answer is made. Its connection
    // closes when the answer is written, which takes as long as the caller
    // takes to read.
    let open_connections = || entry.caller_connections.borrow().len();
    while (entry.unfinished_request_count.get() > 0 || open_connections() > 0)
        && Millis::now() < grace_end
    {
        sleep(STOP_CHECK_INTERVAL.duration()).await;
    }
    // Lets the last responses leave the sockets.
    sleep(RESPONSE_FLUSH_DELAY.duration()).await;
    info!(entry.log, "stopping"; "left" => entry.unfinished_request_count.get(),
        "connections" => open_connections());
    Ok(())
}

async fn accept_connections(
    entry: &Rc<Entry>,
    listener: &TcpListener,
) -> Infallible {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => admit_connection(entry, stream),
            Err(error) => {
                entry.metrics.record_caller_connections("accept failed", 1);
                info!(entry.log, "accept_failed"; "error" => %error);
                sleep(STOP_CHECK_INTERVAL.duration()).await;
            }
        }
    }
}

/// Serves a new connection, or closes it unread if there are too many.
fn admit_connection(entry: &Rc<Entry>, stream: TcpStream) {
    let now = Millis::now();
    let activity = Rc::new(ConnectionActivity::default());
    activity.idle_since.set(now);
    let room = entry.caller_connections.borrow_mut().add(&activity, now);
    let open = entry.caller_connections.borrow().len();
    entry.metrics.set_caller_connections(open);
    match room {
        Room::Given { id, closed } => {
            if closed != ClosedConnections::default() {
                let metrics = &entry.metrics;
                metrics.record_caller_connections("closed idle", closed.idle);
                metrics.record_caller_connections(
                    "closed unfinished",
                    closed.unfinished,
                );
                if let Some(count) = entry.closed_connections_line.count(now) {
                    info!(entry.log, "connections_closed"; "count" => count,
                        "idle" => closed.idle,
                        "unfinished" => closed.unfinished, "open" => open);
                }
            }
            let entry = entry.clone();
            tokio::task::spawn_local(async move {
                serve_connection(&entry, stream, activity).await;
                entry.caller_connections.borrow_mut().remove(id);
            });
        }
        Room::None => {
            entry.metrics.record_caller_connections("turned away", 1);
            if let Some(count) = entry.turned_away_line.count(now) {
                info!(entry.log, "connections_turned_away"; "count" => count,
                    "open" => open);
            }
            // A reset tells the caller at once, also while it still sends. If
            // the option can't be set, the close does so a moment later.
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }
}

/// The activity on a caller's connection, for its timeouts.
#[derive(Debug, Default)]
pub struct ConnectionActivity {
    /// In-flight requests on the connection.
    in_flight: Cell<usize>,
    /// When the last response ended, or the connection opened.
    idle_since: Cell<Millis>,
    /// When the first byte of the next request head arrived.
    head_started_at: Cell<Option<Millis>>,
    /// When the body of the request in flight last made headway, while it is
    /// unfinished.
    body_headway_at: Cell<Option<Millis>>,
    /// Whether the connection is to be closed because there are too many.
    close_request: Cell<CloseRequest>,
    /// Wakes the connection's task to close it.
    close_wakeup: Notify,
    /// Wakes the request that reads a body, to refuse it.
    body_eviction: Notify,
}

/// How a connection was asked to close to make room for others.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum CloseRequest {
    #[default]
    None,
    /// The connection closes after its answer.
    AfterAnswer,
    /// The connection closes at once.
    AtOnce,
}

impl ConnectionActivity {
    /// Whether the connection waits for a request and was not told to close.
    fn is_idle(&self) -> bool {
        self.in_flight.get() == 0
            && self.head_started_at.get().is_none()
            && !self.is_closing()
    }

    /// Since when the caller has not gone on with an unfinished head or body.
    fn unfinished_since(&self) -> Option<Millis> {
        if self.is_closing() {
            return None;
        }
        match self.in_flight.get() {
            0 => self.head_started_at.get(),
            _ => self.body_headway_at.get(),
        }
    }

    fn is_closing(&self) -> bool {
        self.close_request.get() != CloseRequest::None
    }

    /// Has the connection closed: an unfinished body is refused, and an
    /// unfinished head gets no answer.
    fn request_close(&self) {
        let has_unfinished_head =
            self.in_flight.get() == 0 && self.head_started_at.get().is_some();
        let request = if has_unfinished_head {
            CloseRequest::AtOnce
        } else {
            CloseRequest::AfterAnswer
        };
        self.close_request.set(request);
        self.close_wakeup.notify_one();
        if self.body_headway_at.get().is_some() {
            self.body_eviction.notify_one();
        }
    }

    /// Has the connection closed without waiting for its answer to be read.
    fn request_drop(&self) {
        self.close_request.set(CloseRequest::AtOnce);
        self.close_wakeup.notify_one();
    }

    /// Records that a body is being read, until the returned guard is dropped.
    pub fn start_body(&self) -> UnfinishedBody<'_> {
        self.body_headway_at.set(Some(Millis::now()));
        UnfinishedBody(self)
    }

    /// Records that what is left of a refused body is being read. The
    /// connection is the first to give way.
    pub fn start_discard(&self) -> UnfinishedBody<'_> {
        self.body_headway_at.set(Some(Millis(0)));
        UnfinishedBody(self)
    }

    /// Records the headway of the body that is being read.
    pub fn note_body_headway(&self, at: Millis) {
        self.body_headway_at.set(Some(at));
    }

    /// Completes when the body that is being read has to give way.
    pub async fn body_eviction_requested(&self) {
        self.body_eviction.notified().await;
    }
}

/// Marks the body of a connection as unfinished until dropped.
pub struct UnfinishedBody<'a>(&'a ConnectionActivity);

impl Drop for UnfinishedBody<'_> {
    fn drop(&mut self) {
        self.0.body_headway_at.set(None);
    }
}

/// Counts one in-flight request of a caller until dropped.
#[derive(Debug)]
pub struct InFlightRequestGuard {
    entry: Rc<Entry>,
    activity: Rc<ConnectionActivity>,
}

impl InFlightRequestGuard {
    fn new(
        entry: &Rc<Entry>,
        activity: &Rc<ConnectionActivity>,
    ) -> InFlightRequestGuard {
        entry
            .unfinished_request_count
            .set(entry.unfinished_request_count.get() + 1);
        activity.in_flight.set(activity.in_flight.get() + 1);
        InFlightRequestGuard {
            entry: entry.clone(),
            activity: activity.clone(),
        }
    }

    /// The activity on the connection of the request.
    pub fn activity(&self) -> &ConnectionActivity {
        &self.activity
    }
}

impl Drop for InFlightRequestGuard {
    fn drop(&mut self) {
        self.entry
            .unfinished_request_count
            .set(self.entry.unfinished_request_count.get() - 1);
        self.activity.in_flight.set(self.activity.in_flight.get() - 1);
        self.activity.idle_since.set(Millis::now());
        self.activity.head_started_at.set(None);
    }
}

async fn serve_connection(
    entry: &Rc<Entry>,
    stream: TcpStream,
    activity: Rc<ConnectionActivity>,
) {
    let service = service_fn(|request: Request<Incoming>| {
        let (entry, activity) = (entry.clone(), activity.clone());
        async move {
            Ok::<_, Infallible>(
                answer_caller_request(entry, activity, request).await,
            )
        }
    });
    let configured = tcp::configure_socket(&stream).and_then(|()| {
        HookedStream::new(stream, RequestHeadWatcher(activity.clone()))
    });
    let stream = match configured {
        Ok(stream) => stream,
        Err(error) => {
            info!(entry.log, "connection_lost"; "error" => %error);
            return;
        }
    };
    let max_head_bytes = current_request_limits(entry)
        .max_header_bytes
        .max(MIN_HEAD_BUFFER_BYTES);
    let mut serving = std::pin::pin!(
        http1::Builder::new()
            .max_buf_size(max_head_bytes)
            .serve_connection(TokioIo::new(stream), service)
    );
    loop {
        tokio::select! {
            // If the connection failed, nobody is left to send an error to.
            _ = &mut serving => return,
            () = sleep(IDLE_CHECK_INTERVAL.duration()) => {}
            () = entry.idle_close_requested.notified() => {}
            () = activity.close_wakeup.notified() => {}
        }
        match check_connection(entry, &activity) {
            ConnectionCheckResult::Keep => {}
            // hyper completes an in-flight request first.
            ConnectionCheckResult::CloseAfterRequest => {
                serving.as_mut().graceful_shutdown()
            }
            // hyper would wait for the rest of the head forever.
            ConnectionCheckResult::CloseAtOnce => return,
        }
    }
}

/// Whether a check keeps or closes a caller's connection, and when it is
/// closed.
enum ConnectionCheckResult {
    Keep,
    /// Close the connection after any in-flight request.
    CloseAfterRequest,
    /// Close the connection at once.
    CloseAtOnce,
}

async fn answer_caller_request(
    entry: Rc<Entry>,
    activity: Rc<ConnectionActivity>,
    request: Request<Incoming>,
) -> Response<Body> {
    let in_flight = InFlightRequestGuard::new(&entry, &activity);
    let mut answer =
        forward::respond_to_request(&entry, request, in_flight).await;
    if entry.process_phase.get() != ProcessPhase::Serving {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

fn check_connection(
    entry: &Entry,
    activity: &ConnectionActivity,
) -> ConnectionCheckResult {
    let is_answering = activity.in_flight.get() > 0;
    let limits = current_request_limits(entry);
    let now = Millis::now();
    let head_started_at = activity.head_started_at.get();
    let is_late = |since: Millis| now.since(since) > limits.header_timeout;
    let idle = now.since(activity.idle_since.get());
    let max_idle = limits.idle_timeout + CALLER_IDLE_GRACE;
    let is_unread = !is_answering && idle > max_idle + limits.header_timeout;
    if activity.close_request.get() == CloseRequest::AtOnce
        || !is_answering && head_started_at.is_some_and(is_late)
        || is_unread
    {
        return ConnectionCheckResult::CloseAtOnce;
    }
    let idle_expired =
        !is_answering && head_started_at.is_none() && idle > max_idle;
    if idle_expired
        || activity.is_closing()
        || entry.process_phase.get() == ProcessPhase::Closing
    {
        return ConnectionCheckResult::CloseAfterRequest;
    }
    ConnectionCheckResult::Keep
}

fn current_request_limits(entry: &Entry) -> RequestLimits {
    entry.catalog().map_or_else(RequestLimits::new, |it| it.request_limits())
}

/// Records when the first byte of a request head arrives.
struct RequestHeadWatcher(Rc<ConnectionActivity>);

impl ConnectionHooks for RequestHeadWatcher {
    fn on_read(&mut self) {
        let activity = &self.0;
        if activity.in_flight.get() == 0
            && activity.head_started_at.get().is_none()
        {
            activity.head_started_at.set(Some(Millis::now()));
        }
    }
}
