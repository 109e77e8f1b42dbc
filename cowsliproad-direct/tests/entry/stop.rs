//! Signals: stopping cuts nothing, reloading ends nothing.

use std::{
    process::Stdio,
    time::{Duration, Instant},
};

use cowsliproad_net::client::Client;
use cowsliproad_platform_standin::target::TargetConfig;
use http::StatusCode;
use http_body_util::BodyExt;
use rustix::process::Signal;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::sleep,
};

use crate::harness::{Entry, KEY, Plant, numbers, until, write};

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_finishes_its_streams_and_ends_well() {
    let mut plant = Plant::start().await;
    let config = TargetConfig::new("i-1", "model", "a")
        .with_events(20, Duration::from_millis(150));
    plant.target_with(config).await;
    let mut entry = plant.entry().await;
    let request = entry.request("/stream/a", KEY, "");
    let client = Client::new();
    let answer = client.send(request).await.expect("an answer");
    entry.signal(Signal::TERM);
    until("it isn't ready", async || !entry.is_ready().await).await;
    let body = answer.into_body().collect().await.expect("a whole stream");
    assert_eq!(numbers(&body.to_bytes()), (1..=20).collect::<Vec<_>>());
    assert!(entry.ended().await.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_serves_until_the_balancer_knows() {
    let mut plant = Plant::start().await;
    plant.target("i-1", "plain").await;
    let mut entry = plant.entry().await;
    entry.signal(Signal::TERM);
    until("it isn't ready", async || !entry.is_ready().await).await;
    let answer = entry.ask("/many/a").await.expect("an answer");
    assert_eq!(answer.status(), StatusCode::OK);
    let close = answer.headers().get(http::header::CONNECTION);
    assert_eq!(close.and_then(|it| it.to_str().ok()), Some("close"));
    // A second signal changes nothing.
    entry.signal(Signal::TERM);
    assert!(entry.ended().await.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idle_connection_does_not_keep_a_stopping_entry() {
    let mut plant = Plant::start().await;
    plant.target("i-1", "plain").await;
    let mut entry = plant.entry().await;
    let client = Client::new();
    let request = entry.request("/many/a", KEY, "");
    let answer = client.send(request).await.expect("an answer");
    answer.into_body().collect().await.expect("a body");
    let told = Instant::now();
    entry.signal(Signal::TERM);
    assert!(entry.ended().await.success());
    // Sooner than by the end of the grace time.
    assert!(told.elapsed() < Duration::from_secs(6), "{told:?}");
    drop(client);
}

#[tokio::test(flavor = "multi_thread")]
async fn reloading_takes_new_settings_and_ends_nothing() {
    let mut plant = Plant::start().await;
    plant.target("i-1", "plain").await;
    let mut entry = plant.entry().await;
    let mut settings = entry.settings.clone();
    settings.retries.retries_per_request = 0.1;
    write(&entry.file, &settings);
    entry.signal(Signal::HUP);
    std::fs::write(&entry.file, "{").expect("a broken file");
    entry.signal(Signal::HUP);
    for _ in 0..20 {
        let answer = entry.ask("/many/a").await.expect("an answer");
        assert_eq!(answer.status(), StatusCode::OK);
    }
    assert!(entry.is_running());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_log_that_nobody_reads_holds_nothing_up() {
    let mut plant = Plant::start().await;
    plant.target("i-1", "plain").await;
    let settings = plant.settings(&[]);
    // A pipe holds 64 KiB; the lines of these requests are over 200 KiB.
    let entry = Entry::start_with(settings, Stdio::piped());
    entry.until_ready().await;
    for _ in 0..600 {
        let answer = entry.ask("/many/a").await.expect("an answer");
        assert_eq!(answer.status(), StatusCode::OK);
    }
}

/// Guards against streams on kept connections that a stopping entry takes too
/// late to finish them, and cuts when its grace time ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_takes_no_stream_that_it_may_have_to_cut() {
    let mut plant = Plant::start().await;
    let target = plant.target("i-1", "plain").await;
    let mut entry = plant.entry().await;
    let address = entry.settings.caller_listen_address;
    let mut connections = Vec::new();
    for _ in 0..8 {
        let mut stream = TcpStream::connect(address).await.expect("a way");
        ask_on(&mut stream).await.expect("an answer");
        connections.push(stream);
    }
    let told = Instant::now();
    entry.signal(Signal::TERM);
    // Work that is sent later than this may not be cut at the end of the grace
    // time.
    sleep(Duration::from_millis(3_010)).await;
    let before = target.arrival_count();
    for stream in &mut connections {
        assert!(ask_on(stream).await.is_none());
    }
    assert!(told.elapsed() < Duration::from_millis(3_200));
    assert_eq!(target.arrival_count(), before);
    assert!(entry.ended().await.success());
}

/// Sends a request on a connection and reads some of the answer; `None` if the
/// connection is closed.
async fn ask_on(stream: &mut TcpStream) -> Option<()> {
    let request = format!(
        "POST /many/a HTTP/1.1\r\nhost: host.example\r\n\
         authorization: Bearer {KEY}\r\nx-request-id: kept\r\n\
         x-deadline-ms: 4000\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut buffer = [0; 4_096];
    match stream.read(&mut buffer).await {
        Ok(1..) => Some(()),
        Ok(0) | Err(_) => None,
    }
}

/// The largest answer of a target, and how it is read: the kernel keeps a few
/// megabytes of it.
const LONG_ANSWER_BYTES: usize = 7 << 20;
const READ_BYTES: usize = 64 << 10;
const READ_PAUSE: Duration = Duration::from_millis(40);

/// Guards against an answer that a stopping entry cuts since its caller reads
/// slowly, though much of the grace time is left.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_writes_an_answer_that_is_read_slowly() {
    let mut plant = Plant::start().await;
    let config = TargetConfig::new("i-1", "plain", "a")
        .with_event_padding(LONG_ANSWER_BYTES);
    plant.target_with(config).await;
    let mut entry = plant.entry().await;
    let address = entry.settings.caller_listen_address;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(READ_BYTES as u32).expect("a buffer");
    let mut stream = socket.connect(address).await.expect("a way");
    let request = format!(
        "POST /many/a HTTP/1.1\r\nhost: host.example\r\n\
         authorization: Bearer {KEY}\r\nx-request-id: slow\r\n\
         x-deadline-ms: 20000\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("it is sent");
    let mut buffer = vec![0; READ_BYTES];
    let mut length = stream.read(&mut buffer).await.expect("an answer");
    let told = Instant::now();
    entry.signal(Signal::TERM);
    loop {
        let read = stream.read(&mut buffer).await;
        let read = read.expect("the answer goes on");
        if read == 0 {
            break;
        }
        length += read;
        sleep(READ_PAUSE).await;
    }
    assert!(length > LONG_ANSWER_BYTES, "{length} bytes");
    assert!(entry.ended().await.success());
    // It was still being written when the listener closed.
    assert!(told.elapsed() > Duration::from_secs(3), "{:?}", told.elapsed());
}
