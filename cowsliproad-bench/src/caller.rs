//! A caller that does as `docs/CALLERS.md` says and checks every answer.
//!
//! It sends through whichever entry the balancer stand-in gives it. Work
//! that may be repeated is sent again after a failure. Work that may not is
//! sent with a ticket: while the outcome is unknown it goes on asking with
//! the same ticket, and only a truthful "not run" makes it take another.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use cowsliproad_config::object::RequestRepeatability;
use cowsliproad_kernel::sync::lock;
use cowsliproad_net::client::{Client, Error};
use http::{Request, StatusCode, header};
use http_body_util::Full;
use serde_json::Value;
use tokio::time::sleep;

use crate::{
    tally::Tally,
    workload::{self, Job},
};

/// How long a caller tries before it gives a request up as lost.
const GIVE_UP: Duration = Duration::from_secs(45);

/// The longest answer in bytes.
const MAX_ANSWER: usize = 1 << 20;

/// The wait before sending again when none was stated.
const SEND_AGAIN: Duration = Duration::from_millis(100);

/// The wait is cut to this, since the bench can't wait as people do.
const LONGEST_WAIT: Duration = Duration::from_millis(1_000);

/// The platform's balancer in front of the entries: it spreads requests
/// over those that are ready.
#[derive(Debug, Default)]
pub struct Balancer {
    entries: Mutex<Vec<(SocketAddr, State)>>,
    turn: AtomicUsize,
}

/// What the balancer knows of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It gets requests.
    Ready,
    /// It stops gracefully and gets no more.
    Stopping,
}

impl Balancer {
    /// A balancer without entries.
    pub fn new() -> Balancer {
        Balancer::default()
    }

    /// Adds an entry.
    pub fn add(&self, address: SocketAddr) {
        lock(&self.entries).push((address, State::Ready));
    }

    /// Notes that an entry is stopping gracefully.
    pub fn stopping(&self, address: SocketAddr) {
        for entry in lock(&self.entries).iter_mut() {
            if entry.0 == address {
                entry.1 = State::Stopping;
            }
        }
    }

    /// Takes an entry out.
    pub fn remove(&self, address: SocketAddr) {
        lock(&self.entries).retain(|entry| entry.0 != address);
    }

    /// The next entry.
    pub fn pick(&self) -> Option<SocketAddr> {
        let entries = lock(&self.entries);
        let ready = entries.iter().filter(|it| it.1 == State::Ready);
        let ready: Vec<_> = ready.map(|it| it.0).collect();
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        (!ready.is_empty()).then(|| ready[turn % ready.len()])
    }

    fn is_stopping(&self, address: SocketAddr) -> bool {
        lock(&self.entries).contains(&(address, State::Stopping))
    }
}

/// Callers that share connections and counts.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    balancer: Arc<Balancer>,
    tally: Arc<Tally>,
    manner: Manner,
}

/// How a caller goes about work that may not be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Manner {
    /// With tickets.
    Tickets,
    /// Without, sending again whatever failed.
    Naive,
}

/// What came back.
enum Reply {
    /// A JSON answer.
    Answer(Bytes),
    /// A problem document.
    Problem(Problem),
    /// The exchange broke.
    Broken(SocketAddr, Error),
    /// There is no entry to send to.
    NoEntry,
}

struct Problem {
    title: String,
    ran: String,
    ticket: Option<String>,
    wait: Duration,
    /// No time to come back was stated.
    is_final: bool,
}

/// Whether the caller goes on.
enum Next {
    Done,
    Again(Duration),
    NewTicket(Duration),
}

impl Caller {
    /// Callers of the entries behind a balancer.
    pub fn new(balancer: Arc<Balancer>, tally: Arc<Tally>) -> Caller {
        let manner = Manner::Tickets;
        Caller { client: Client::new(), balancer, tally, manner }
    }

    /// Sends without tickets, and again whatever failed, as callers of a
    /// plain balancer have to.
    pub fn with_naive_retries(self) -> Caller {
        Caller { manner: Manner::Naive, ..self }
    }

    /// Sends a request until it is answered or given up.
    pub async fn send(&self, job: &Job) {
        Tally::count(&self.tally.sent);
        if job.kind.repeat == RequestRepeatability::Never {
            Tally::count(&self.tally.never_repeated);
        }
        let start = Instant::now();
        let mut tickets = 0;
        let mut ticket = None;
        let mut last_ran = String::from("NOT_FORWARDED");
        let mut maybe_ran = false;
        while start.elapsed() < GIVE_UP {
            let id = job.run_id(tickets);
            let body = job.body(&id);
            let reply = self.exchange(job, &body, ticket.as_deref()).await;
            if let Reply::Problem(problem) = &reply {
                last_ran.clone_from(&problem.ran);
                maybe_ran |= problem.ran == "OUTCOME_UNKNOWN";
                if problem.ran == "NOT_RUN" && ticket.is_some() {
                    // The ticket's whole history did not run.
                    maybe_ran = false;
                    lock(&self.tally.told_not_run).push(id.clone());
                }
                if let Some(new) = &problem.ticket {
                    ticket = Some(new.clone());
                    continue;
                }
            }
            match self.judge(job, &body, reply, start) {
                Next::Done => return,
                Next::Again(wait) => sleep(wait).await,
                Next::NewTicket(wait) => {
                    ticket = None;
                    tickets += 1;
                    sleep(wait).await;
                }
            }
            Tally::count(&self.tally.resent);
        }
        if maybe_ran || last_ran != "NOT_RUN" {
            Tally::count(&self.tally.lost);
            self.tally.failed(&format!("lost {}", job.kind.name));
        } else {
            Tally::count(&self.tally.refused);
        }
    }

    fn judge(
        &self,
        job: &Job,
        body: &Value,
        reply: Reply,
        start: Instant,
    ) -> Next {
        match reply {
            Reply::Answer(bytes) => {
                let answer = serde_json::from_slice::<Value>(&bytes);
                if answer.ok() == Some(job.answer(body)) {
                    Tally::count(&self.tally.whole);
                    self.tally.took(job.kind.name, start.elapsed());
                } else {
                    Tally::count(&self.tally.mixed);
                }
                Next::Done
            }
            Reply::Problem(problem) => {
                self.tally.failed(&problem.title);
                let never = job.kind.repeat == RequestRepeatability::Never
                    && self.manner == Manner::Tickets;
                match problem.ran.as_str() {
                    "NOT_RUN" if never => Next::NewTicket(problem.wait),
                    "OUTCOME_UNKNOWN" if never && problem.is_final => {
                        Tally::count(&self.tally.unknown);
                        Next::Done
                    }
                    _ if problem.title == "AnswerDropped" => {
                        Tally::count(&self.tally.lost);
                        Next::Done
                    }
                    _ => Next::Again(problem.wait),
                }
            }
            Reply::Broken(entry, error) => {
                let stopping = self.balancer.is_stopping(entry);
                if stopping && !matches!(error, Error::Connect(_)) {
                    Tally::count(&self.tally.cut_by_shutdown);
                }
                self.tally.failed("broken exchange");
                Next::Again(SEND_AGAIN)
            }
            Reply::NoEntry => Next::Again(SEND_AGAIN),
        }
    }

    async fn exchange(
        &self,
        job: &Job,
        body: &Value,
        ticket: Option<&str>,
    ) -> Reply {
        let Some(entry) = self.balancer.pick() else {
            return Reply::NoEntry;
        };
        let kind = job.kind;
        let uri = format!("http://{entry}/v1/{}/{}", kind.service, kind.name);
        let key = workload::key(job.organisation);
        let mut request = Request::post(uri)
            .header(header::AUTHORIZATION, format!("Bearer {key}"))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(ticket) = ticket {
            request = request.header("request-ticket", ticket);
        } else if kind.repeat == RequestRepeatability::Repeatable {
            request = request.header("idempotency-key", job.run_id(0));
        }
        let request = request
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("the parts are valid");
        let patience = kind.deadline.duration() + Duration::from_secs(2);
        let reply = self.client.call(request, MAX_ANSWER, patience).await;
        match reply {
            Err(error) => Reply::Broken(entry, error),
            Ok(reply) if reply.status() == StatusCode::OK => {
                Reply::Answer(reply.into_body())
            }
            Ok(reply) => Reply::Problem(problem(&reply)),
        }
    }
}

fn problem(reply: &http::Response<Bytes>) -> Problem {
    let body: Value = serde_json::from_slice(reply.body()).unwrap_or_default();
    let text =
        |name: &str| body[name].as_str().unwrap_or("unreadable").to_string();
    let ticket = reply.headers().get("request-ticket");
    let ticket = ticket.and_then(|it| it.to_str().ok()).map(Into::into);
    let wait = body["retry_after_ms"].as_u64();
    let is_final = wait.is_none();
    let wait = wait.map_or(SEND_AGAIN, Duration::from_millis);
    Problem {
        title: text("title"),
        ran: text("ran"),
        ticket,
        wait: wait.min(LONGEST_WAIT),
        is_final,
    }
}
