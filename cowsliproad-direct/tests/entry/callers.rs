//! Callers that misbehave, spoken to in raw bytes.

use std::time::Duration;

use cowsliproad_platform::header;
use http::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::harness::{Entry, KEY, PATIENCE, Plant};

/// Sends bytes and reads what comes until the entry closes or falls silent.
async fn exchange(entry: &Entry, bytes: &str) -> String {
    let address = entry.settings.caller_listen_address;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream.write_all(bytes.as_bytes()).await.expect("sent");
    let mut read = Vec::new();
    let quiet = Duration::from_millis(700);
    let mut buffer = [0; 4_096];
    while let Ok(Ok(count)) = timeout(quiet, stream.read(&mut buffer)).await {
        if count == 0 {
            break;
        }
        read.extend_from_slice(&buffer[..count]);
    }
    String::from_utf8_lossy(&read).into_owned()
}

fn head(path: &str, more: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: host.example\r\n\
         Authorization: Bearer {KEY}\r\nX-Request-Id: raw\r\n{more}\r\n"
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_are_answered_in_order() {
    let mut plant = Plant::start().await;
    let target = plant.target("i-1", "plain").await;
    let entry = plant.entry().await;
    let one = head("/many/1", "Content-Length: 0\r\n");
    let two = head("/many/2", "Content-Length: 0\r\n");
    let read = exchange(&entry, &format!("{one}{two}")).await;
    assert_eq!(read.matches("HTTP/1.1 200").count(), 2, "{read}");
    let lines: Vec<String> = target
        .executed_requests()
        .into_iter()
        .map(|it| it.request_line)
        .collect();
    assert_eq!(lines, ["POST /many/1", "POST /many/2"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chunked_body_arrives_whole() {
    let mut plant = Plant::start().await;
    let target = plant.target("i-1", "plain").await;
    let entry = plant.entry().await;
    let head = head("/many/1", "Transfer-Encoding: chunked\r\n");
    let bytes = format!("{head}3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    let read = exchange(&entry, &bytes).await;
    assert!(read.starts_with("HTTP/1.1 200"), "{read}");
    assert_eq!(target.executed_requests()[0].body, "abcde");
}

#[tokio::test(flavor = "multi_thread")]
async fn two_lengths_are_refused_and_nothing_is_smuggled() {
    let mut plant = Plant::start().await;
    let target = plant.target("i-1", "plain").await;
    let entry = plant.entry().await;
    let hidden = head("/many/hidden", "Content-Length: 0\r\n");
    let lengths = "Content-Length: 0\r\nContent-Length: 400\r\n";
    let bytes = format!("{}{hidden}", head("/many/1", lengths));
    let read = exchange(&entry, &bytes).await;
    assert!(read.starts_with("HTTP/1.1 400"), "{read}");
    let odd = "Transfer-Encoding: chunked, gzip\r\n";
    let bytes = format!("{}{hidden}", head("/many/1", odd));
    let read = exchange(&entry, &bytes).await;
    assert!(read.starts_with("HTTP/1.1 400"), "{read}");
    assert!(
        target.executed_requests().is_empty(),
        "{:?}",
        target.executed_requests()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn what_is_too_large_is_refused() {
    let mut plant = Plant::start().await;
    let target = plant.target("i-1", "plain").await;
    let entry = plant.entry().await;
    let body = "x".repeat(100_001);
    let answer = entry.ask_with("/many/a", KEY, &body).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status(), StatusCode::PAYLOAD_TOO_LARGE);
    let wide = format!("X-Wide: {}\r\n", "x".repeat(40_000));
    let read = exchange(&entry, &head("/many/1", &wide)).await;
    assert!(read.starts_with("HTTP/1.1 431"), "{read}");
    assert!(target.executed_requests().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_never_ends_is_given_up() {
    let mut plant = Plant::start().await;
    plant.target("i-1", "plain").await;
    let entry = plant.entry().await;
    let address = entry.settings.caller_listen_address;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream.write_all(b"POST /many/").await.expect("sent");
    let mut buffer = [0; 1_024];
    let read = timeout(PATIENCE, stream.read(&mut buffer)).await;
    assert!(read.is_ok(), "the connection stays open");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_never_comes_is_refused_as_not_run() {
    let mut plant = Plant::start().await;
    let target = plant.target("i-1", "plain").await;
    let entry = plant.entry().await;
    let left = format!("{}: 400\r\n", header::TIME_LEFT);
    let more = format!("{left}Content-Length: 10\r\n");
    let read = exchange(&entry, &head("/once/1", &more)).await;
    assert!(read.starts_with("HTTP/1.1 408"), "{read}");
    assert!(target.executed_requests().is_empty());
}
