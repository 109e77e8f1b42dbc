//! Connections of callers and their requests.
//!
//! Each connection has a task. It ends the connection when no request has
//! come for the idle time in force, or when a request's head takes too long,
//! but never between a request and its answer. Limits are read when they are
//! applied, so a changed configuration holds for open connections too.
//!
//! On SIGTERM the entry isn't ready at once, but takes new connections until
//! the balancer has noticed. Every answer then says that its connection
//! closes, and idle connections are closed once no new ones come.

use std::{cell::Cell, convert::Infallible, io, rc::Rc};

use cowsliproad_kernel::clock::Millis;
use cowsliproad_net::{
    hooked::{HookedStream, Hooks},
    program,
};
use cowsliproad_routing::catalog::RequestLimits;
use http::{HeaderValue, Request, Response, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use slog::info;
use tokio::{
    net::{TcpListener, TcpStream},
    time::{Instant, sleep, sleep_until},
};

use crate::{
    entry::{Entry, Phase},
    forward,
    reply::Body,
    upstream,
};

/// The balancer asks once a second and needs two misses.
const DRAIN_DELAY: Millis = Millis(3_200);

/// What is left of the grace time for the process's own end.
const END_MARGIN: Millis = Millis(400);

/// How often a connection's idle time is looked at.
const IDLE_CHECK_INTERVAL: Millis = Millis(1_000);

/// How often the end of all requests is looked for while stopping.
const STOP_CHECK_INTERVAL: Millis = Millis(50);

/// The time for the last answers to leave the process.
const FLUSH_DELAY: Millis = Millis(100);

/// What idle connections are given beyond the limit that callers know, so
/// that a request sent at the limit still finds its connection open.
const IDLE_GRACE: Millis = Millis(2_000);

/// Heads shorter than this are always read; the library asks for so much.
const MIN_HEAD_BYTES: usize = 8_192;

/// Serves callers until the process was told to stop and all requests are
/// answered, or the grace time is over.
pub async fn serve(
    entry: &Rc<Entry>,
    listener: TcpListener,
) -> io::Result<()> {
    tokio::select! {
        never = accept(entry, &listener) => match never {},
        () = program::stop_signal() => {}
    }
    let end = Instant::now()
        + (entry.settings().shutdown_grace_ms - END_MARGIN).duration();
    entry.phase.set(Phase::Leaving);
    info!(entry.log, "stopping"; "under_way" => entry.unfinished_requests.get());
    let noticed = Instant::now() + DRAIN_DELAY.duration();
    tokio::select! {
        never = accept(entry, &listener) => match never {},
        () = sleep_until(noticed) => {}
    }
    drop(listener);
    entry.phase.set(Phase::Closing);
    entry.idle_close_requested.notify_waiters();
    while entry.unfinished_requests.get() > 0 && Instant::now() < end {
        sleep(STOP_CHECK_INTERVAL.duration()).await;
    }
    // The last answers are on their way through the sockets.
    sleep(FLUSH_DELAY.duration()).await;
    info!(entry.log, "stopping"; "left" => entry.unfinished_requests.get());
    Ok(())
}

async fn accept(entry: &Rc<Entry>, listener: &TcpListener) -> Infallible {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection(entry.clone(), stream));
            }
            Err(error) => {
                info!(entry.log, "accept_failed"; "error" => %error);
                sleep(STOP_CHECK_INTERVAL.duration()).await;
            }
        }
    }
}

/// What a connection is doing.
#[derive(Debug, Default)]
struct Activity {
    /// Requests that are being answered.
    busy: Cell<usize>,
    /// When the last answer ended or the connection began.
    idle_since: Cell<Millis>,
    /// When bytes came after that.
    head_since: Cell<Option<Millis>>,
}

/// A request that is being answered.
#[derive(Debug)]
pub struct Busy {
    entry: Rc<Entry>,
    activity: Rc<Activity>,
}

impl Busy {
    fn new(entry: &Rc<Entry>, activity: &Rc<Activity>) -> Busy {
        entry.unfinished_requests.set(entry.unfinished_requests.get() + 1);
        activity.busy.set(activity.busy.get() + 1);
        Busy { entry: entry.clone(), activity: activity.clone() }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.entry
            .unfinished_requests
            .set(self.entry.unfinished_requests.get() - 1);
        self.activity.busy.set(self.activity.busy.get() - 1);
        self.activity.idle_since.set(Millis::now());
        self.activity.head_since.set(None);
    }
}

async fn connection(entry: Rc<Entry>, stream: TcpStream) {
    let activity = Rc::new(Activity::default());
    activity.idle_since.set(Millis::now());
    let service = service_fn(|request: Request<Incoming>| {
        let (entry, activity) = (entry.clone(), activity.clone());
        async move { Ok::<_, Infallible>(answer(entry, activity, request).await) }
    });
    let opened = upstream::prepare(&stream)
        .and_then(|()| HookedStream::new(stream, Watch(activity.clone())));
    let stream = match opened {
        Ok(stream) => stream,
        Err(error) => {
            info!(entry.log, "connection_lost"; "error" => %error);
            return;
        }
    };
    let head = limits(&entry).max_header_bytes.max(MIN_HEAD_BYTES);
    let mut serving = std::pin::pin!(
        http1::Builder::new()
            .max_buf_size(head)
            .serve_connection(TokioIo::new(stream), service)
    );
    loop {
        tokio::select! {
            // A connection that breaks has nobody left to tell.
            _ = &mut serving => return,
            () = sleep(IDLE_CHECK_INTERVAL.duration()) => {}
            () = entry.idle_close_requested.notified() => {}
        }
        match verdict(&entry, &activity) {
            Verdict::Attempt => {}
            // A request under way is answered first.
            Verdict::End => serving.as_mut().graceful_shutdown(),
            // The library waits for the rest of a head for ever.
            Verdict::Drop => return,
        }
    }
}

/// What is to become of a connection.
enum Verdict {
    Attempt,
    End,
    Drop,
}

async fn answer(
    entry: Rc<Entry>,
    activity: Rc<Activity>,
    request: Request<Incoming>,
) -> Response<Body> {
    let busy = Busy::new(&entry, &activity);
    let mut answer = forward::answer(&entry, request, busy).await;
    if entry.phase.get() != Phase::Serving {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

fn verdict(entry: &Entry, activity: &Activity) -> Verdict {
    let busy = activity.busy.get() > 0;
    let limits = limits(entry);
    let now = Millis::now();
    let head = activity.head_since.get();
    let late = |since: Millis| now.since(since) > limits.header_timeout;
    if !busy && head.is_some_and(late) {
        return Verdict::Drop;
    }
    let idle = now.since(activity.idle_since.get());
    let spent =
        !busy && head.is_none() && idle > limits.idle_timeout + IDLE_GRACE;
    if spent || entry.phase.get() == Phase::Closing {
        return Verdict::End;
    }
    Verdict::Attempt
}

fn limits(entry: &Entry) -> RequestLimits {
    entry.catalog().map_or_else(RequestLimits::new, |it| it.request_limits())
}

/// Notes when the bytes of a head begin to come.
struct Watch(Rc<Activity>);

impl Hooks for Watch {
    fn on_read(&mut self) {
        let activity = &self.0;
        if activity.busy.get() == 0 && activity.head_since.get().is_none() {
            activity.head_since.set(Some(Millis::now()));
        }
    }
}
