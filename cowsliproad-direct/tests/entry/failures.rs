//! Failures of a target whose body has no end, or never comes.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use cowsliproad_net::client::{Client, Error};
use cowsliproad_platform::header;
use cowsliproad_platform_standin::target::{Fault, TargetConfig};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use rustix::process::Signal;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::harness::{Entry, KEY, PATIENCE, Plant, numbers, until};

/// The time that callers state, and how late an answer may be.
const TIME_LEFT: Duration = Duration::from_millis(1_000);
const MAX_DELAY: Duration = Duration::from_millis(500);

/// How long a caller waits for the first event of a stream.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// How soon a target has to see that nobody waits for its answer.
const CLOSING_TIME: Duration = Duration::from_millis(500);

/// Between two pieces of a body.
const PIECE_PAUSE: Duration = Duration::from_millis(50);

/// How the body of a failure goes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Body {
    /// The bytes state no length and have no end.
    Unframed,
    /// The chunks have no end.
    Chunks,
    /// A stated length is never reached.
    Sized,
    /// None of the stated bytes comes.
    Missing,
}

const BODIES: [Body; 4] =
    [Body::Unframed, Body::Chunks, Body::Sized, Body::Missing];

impl Body {
    fn framing(self) -> &'static str {
        match self {
            Body::Unframed => "",
            Body::Chunks => "transfer-encoding: chunked\r\n",
            Body::Sized | Body::Missing => "content-length: 1000000\r\n",
        }
    }

    fn piece(self) -> &'static str {
        match self {
            Body::Unframed | Body::Sized => "failed",
            Body::Chunks => "6\r\nfailed\r\n",
            Body::Missing => "",
        }
    }
}

/// A target that answers each request with a failure without end.
struct FailingTarget {
    /// Answers that are being sent.
    sending: Arc<AtomicUsize>,
    answered: Arc<AtomicUsize>,
}

impl FailingTarget {
    async fn start(
        plant: &mut Plant,
        service: &str,
        status: u16,
        body: Body,
    ) -> FailingTarget {
        let listener = plant.bare_target("i-failing", service, None).await;
        let target = FailingTarget {
            sending: Arc::default(),
            answered: Arc::default(),
        };
        let (sending, answered) =
            (target.sending.clone(), target.answered.clone());
        tokio::spawn(accept(listener, status, body, sending, answered));
        target
    }

    fn answered(&self) -> usize {
        self.answered.load(Ordering::Relaxed)
    }

    /// Waits until the entry has closed the connections of all answers.
    async fn until_closed(&self) {
        let begun = Instant::now();
        until("the connections are closed", async || {
            self.sending.load(Ordering::Relaxed) == 0
        })
        .await;
        assert!(begun.elapsed() < CLOSING_TIME, "{:?}", begun.elapsed());
    }
}

async fn accept(
    listener: TcpListener,
    status: u16,
    body: Body,
    sending: Arc<AtomicUsize>,
    answered: Arc<AtomicUsize>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let (sending, answered) = (sending.clone(), answered.clone());
        tokio::spawn(async move {
            sending.fetch_add(1, Ordering::Relaxed);
            fail(stream, status, body, &answered).await;
            sending.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn fail(
    mut stream: TcpStream,
    status: u16,
    body: Body,
    answered: &AtomicUsize,
) {
    let mut buffer = [0; 8_192];
    let Ok(length @ 1..) = stream.read(&mut buffer).await else { return };
    answered.fetch_add(1, Ordering::Relaxed);
    let text = String::from_utf8_lossy(&buffer[..length]).to_lowercase();
    let id = text.lines().find_map(|it| it.strip_prefix("x-request-id: "));
    let head = format!(
        "HTTP/1.1 {status} Failed\r\nx-request-id: {}\r\n{}: s\r\n{}\r\n",
        id.unwrap_or_default(),
        header::SIGNATURE,
        body.framing(),
    );
    let (mut reader, mut writer) = stream.split();
    let sending = async {
        writer.write_all(head.as_bytes()).await?;
        loop {
            writer.write_all(body.piece().as_bytes()).await?;
            sleep(PIECE_PAUSE).await;
        }
    };
    tokio::select! {
        sent = sending => { let _: std::io::Result<()> = sent; }
        _ = reader.read(&mut buffer) => {}
    }
}

fn request(entry: &Entry, path: &str) -> Request<Full<Bytes>> {
    let mut request = entry.request(path, KEY, "");
    let time_left = HeaderValue::from(TIME_LEFT.as_millis() as u64);
    request.headers_mut().insert(header::TIME_LEFT, time_left);
    request
}

async fn ask(entry: &Entry, path: &str) -> Result<Response<Bytes>, Error> {
    Client::new().call(request(entry, path), 1 << 20, PATIENCE).await
}

fn check_unknown_outcome(answer: &Response<Bytes>) {
    // The target may have run the request, so "not run" would be false.
    assert!(
        matches!(
            answer.status(),
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT
        ),
        "{}",
        answer.status(),
    );
}

/// Guards against a request whose answer is awaited beyond its deadline since
/// its target's failure has no end.
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_without_end_is_answered_at_the_deadline() {
    for (path, service) in
        [("/live/a", "model"), ("/stream/a", "model"), ("/once/a", "plain")]
    {
        for body in BODIES {
            for status in [302, 404, 500] {
                let mut plant = Plant::start().await;
                let target =
                    FailingTarget::start(&mut plant, service, status, body)
                        .await;
                let entry = plant.entry().await;
                let begun = Instant::now();
                let answer = ask(&entry, path).await.expect("an answer");
                assert!(
                    begun.elapsed() < TIME_LEFT + MAX_DELAY,
                    "{path} {body:?} {status}: {:?}",
                    begun.elapsed(),
                );
                check_unknown_outcome(&answer);
                assert_eq!(target.answered(), 1, "{path} {body:?} {status}");
                target.until_closed().await;
            }
        }
    }
}

/// Guards against a caller that has left before its answer, since it states no
/// time and the route's timeout is longer than callers wait for a stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_without_end_is_answered_before_the_caller_gives_up() {
    let mut plant = Plant::start().await;
    FailingTarget::start(&mut plant, "model", 500, Body::Unframed).await;
    let entry = plant.entry().await;
    let mut request = entry.request("/live/a", KEY, "");
    request.headers_mut().remove(header::TIME_LEFT);
    let begun = Instant::now();
    let answer = Client::new().call(request, 1 << 20, PATIENCE).await;
    check_unknown_outcome(&answer.expect("an answer"));
    assert!(begun.elapsed() < CALLER_IDLE_TIMEOUT, "{:?}", begun.elapsed());
}

/// Guards against a stream that waits for the end of a failure though another
/// target would serve it.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_meets_a_failure_without_end_is_served_elsewhere() {
    for body in BODIES {
        let mut plant = Plant::start().await;
        let failing =
            FailingTarget::start(&mut plant, "model", 500, body).await;
        let sound = TargetConfig::new("i-sound", "model", "a")
            .with_events(20, Duration::from_millis(2));
        plant.target_with(sound).await;
        let entry = plant.entry().await;
        until("the failing target was tried", async || {
            let answer = ask(&entry, "/stream/a").await.expect("an answer");
            assert_eq!(answer.status(), StatusCode::OK, "{body:?}");
            assert_eq!(numbers(answer.body()), (1..=20).collect::<Vec<_>>());
            failing.answered() > 0
        })
        .await;
        failing.until_closed().await;
    }
}

/// Guards against a stream that is resumed at a target whose failure has no
/// end, and keeps its caller and that target busy.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_is_resumed_at_a_failure_without_end_ends() {
    for body in BODIES {
        let mut plant = Plant::start().await;
        let cut = TargetConfig::new("i-cut", "model", "a")
            .with_events(20, Duration::from_millis(20));
        let cut = plant.target_with(cut).await;
        let entry = plant.entry().await;
        cut.set_fault(Fault::Cut);
        let asking = ask(&entry, "/stream/a");
        let failing = async {
            until("the stream begins", async || cut.arrival_count() > 0).await;
            FailingTarget::start(&mut plant, "model", 500, body).await
        };
        let begun = Instant::now();
        let (answer, failing) = tokio::join!(asking, failing);
        assert!(begun.elapsed() < TIME_LEFT + MAX_DELAY, "{body:?}");
        if let Ok(answer) = answer {
            assert_eq!(numbers(answer.body()), (1..=20).collect::<Vec<_>>());
        }
        failing.until_closed().await;
    }
}

/// Guards against a target that goes on with its failure after the caller has
/// left.
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_without_end_stops_when_the_caller_leaves() {
    for path in ["/live/a", "/stream/a"] {
        for body in BODIES {
            let mut plant = Plant::start().await;
            let failing =
                FailingTarget::start(&mut plant, "model", 500, body).await;
            let entry = plant.entry().await;
            let asking = tokio::spawn({
                let request = entry.request(path, KEY, "");
                async move { Client::new().send(request).await.map(drop) }
            });
            until("it is tried", async || failing.answered() > 0).await;
            asking.abort();
            failing.until_closed().await;
        }
    }
}

/// Guards against a failure without end whose caller gets no answer from an
/// entry that stops.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_answers_a_failure_without_end() {
    let mut plant = Plant::start().await;
    let failing =
        FailingTarget::start(&mut plant, "model", 500, Body::Unframed).await;
    let mut entry = plant.entry().await;
    let request = request(&entry, "/live/a");
    let asking = tokio::spawn(async move {
        Client::new().call(request, 1 << 20, PATIENCE).await
    });
    until("it is tried", async || failing.answered() > 0).await;
    entry.signal(Signal::TERM);
    let answer = asking.await.expect("no panic").expect("an answer");
    check_unknown_outcome(&answer);
    assert!(entry.ended().await.success());
}
