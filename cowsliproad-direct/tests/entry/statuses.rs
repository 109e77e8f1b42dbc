//! Answers of targets whose status is none, on each way to a caller.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use cowsliproad_platform::header;
use cowsliproad_platform_standin::target::{Fault, TargetConfig};
use http::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::Duration,
};

use crate::harness::{Entry, KEY, Plant, numbers, until};

/// Status lines that are no final answer.
const INVALID: [&str; 17] = [
    "HTTP/1.1 000",
    "HTTP/1.1 000 OK",
    "HTTP/1.1 0 OK",
    "HTTP/1.1 001 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 100 Continue",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 102 Processing",
    "HTTP/1.1 199 OK",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 700 OK",
    "HTTP/1.1 999 OK",
    "HTTP/1.1 1000 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 +20 OK",
    "HTTP/1.1 2x0 OK",
    "ICY 200 OK",
];

/// Statuses that are passed on unchanged.
const FINAL: [u16; 8] = [200, 201, 299, 301, 404, 418, 500, 599];

/// Starts a target that answers each request with a status line, the id and
/// the signature. Returns the number of answers.
async fn start(
    plant: &mut Plant,
    service: &str,
    status_line: &str,
) -> Arc<AtomicUsize> {
    let listener = plant.bare_target("i-raw", service, None).await;
    let answered = Arc::new(AtomicUsize::new(0));
    tokio::spawn(accept(listener, status_line.into(), answered.clone()));
    answered
}

async fn accept(
    listener: TcpListener,
    status_line: String,
    answered: Arc<AtomicUsize>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let (line, answered) = (status_line.clone(), answered.clone());
        tokio::spawn(async move { answer(stream, &line, &answered).await });
    }
}

async fn answer(
    mut stream: TcpStream,
    status_line: &str,
    answered: &AtomicUsize,
) -> std::io::Result<()> {
    let mut buffer = [0; 8_192];
    let length = stream.read(&mut buffer).await?;
    answered.fetch_add(1, Ordering::Relaxed);
    let text = String::from_utf8_lossy(&buffer[..length]).to_lowercase();
    let id = text.lines().find_map(|it| it.strip_prefix("x-request-id: "));
    let body = "id: 1\ndata: event\n\n";
    let answer = format!(
        "{status_line}\r\nx-request-id: {}\r\n{}: s\r\n\
         content-length: {}\r\n\r\n{body}",
        id.unwrap_or_default(),
        header::SIGNATURE,
        body.len(),
    );
    stream.write_all(answer.as_bytes()).await?;
    // The entry closes the connection, or sends its next request.
    stream.read(&mut buffer).await.map(drop)
}

async fn check_status(entry: &Entry, path: &str, expected: u16, what: &str) {
    let answer = entry.ask(path).await.expect("an answer");
    assert_eq!(answer.status().as_u16(), expected, "{path} {what}");
    let is_own = !answer.headers().contains_key(&header::SIGNATURE);
    assert_eq!(is_own, expected == 502, "{path} {what}");
}

/// Guards against a caller that gets an answer whose status is none.
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_status_reaches_no_caller() {
    for (service, paths) in [
        ("plain", ["/once/a", "/many/a"]),
        ("model", ["/live/a", "/stream/a"]),
    ] {
        for line in INVALID {
            let mut plant = Plant::start().await;
            start(&mut plant, service, line).await;
            let entry = plant.entry().await;
            for path in paths {
                check_status(&entry, path, 502, line).await;
            }
            // The target has not left by its answer.
            assert_eq!(entry.metric("targets").await, Some(1.0), "{line}");
        }
    }
}

/// Guards against final statuses that no longer reach their callers.
#[tokio::test(flavor = "multi_thread")]
async fn a_final_status_reaches_its_caller_unchanged() {
    for (service, path) in [("plain", "/once/a"), ("model", "/live/a")] {
        for status in FINAL {
            let mut plant = Plant::start().await;
            let line = format!("HTTP/1.1 {status} Status");
            start(&mut plant, service, &line).await;
            let entry = plant.entry().await;
            check_status(&entry, path, status, &line).await;
        }
    }
}

/// Guards against an invalid status that a request gets which another target
/// would serve.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_meets_an_invalid_status_is_served_elsewhere() {
    for line in ["HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 OK"] {
        let mut plant = Plant::start().await;
        let answered = start(&mut plant, "plain", line).await;
        plant.target("i-sound", "plain").await;
        let entry = plant.entry().await;
        until("the raw target was tried", async || {
            let status = entry.status("/many/a", KEY).await;
            assert_eq!(status, Some(StatusCode::OK), "{line}");
            answered.load(Ordering::Relaxed) > 0
        })
        .await;
    }
}

/// Guards against a stream that is resumed with an answer whose status is none.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_not_resumed_by_an_invalid_status() {
    for line in INVALID {
        let mut plant = Plant::start().await;
        let cut = TargetConfig::new("i-cut", "model", "a")
            .with_events(20, Duration::from_millis(20));
        let cut = plant.target_with(cut).await;
        let entry = plant.entry().await;
        cut.set_fault(Fault::Cut);
        let asking = entry.ask("/stream/a");
        let starting = async {
            until("the stream begins", async || cut.arrival_count() > 0).await;
            start(&mut plant, "model", line).await
        };
        let (answer, _) = tokio::join!(asking, starting);
        if let Ok(answer) = answer {
            assert_eq!(answer.status(), StatusCode::OK, "{line}");
            let whole = (1..=20).collect::<Vec<_>>();
            assert_eq!(numbers(answer.body()), whole, "{line}");
        }
    }
}
