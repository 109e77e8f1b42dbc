//! Most new connections of callers come to one entry process, which has a
//! bounded number of open files.

use std::{
    process::Stdio,
    time::{Duration, Instant},
};

use cowsliproad_platform_standin::target::TargetConfig;
use futures_util::future::join_all;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::harness::{Entry, KEY, Plant};

/// Files that the entry process may have open.
const OPEN_FILES: u64 = 160;

/// Connections that callers open, more than fit.
const CONNECTIONS: usize = 200;

/// After this time callers give up a request that was not read.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// What became of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Served,
    /// The entry process answered, but not with a success.
    Failed,
    /// The connection was not made, or closed without an answer.
    Unread,
}

/// An entry process that may have few files open.
async fn start(plant: &mut Plant) -> Entry {
    let settings = plant.settings(&[]);
    let entry =
        Entry::start_with_open_files(settings, Stdio::null(), OPEN_FILES);
    entry.until_ready().await;
    entry
}

async fn connect(entry: &Entry) -> Option<TcpStream> {
    let connecting = TcpStream::connect(entry.settings.caller_listen_address);
    timeout(READ_TIMEOUT, connecting).await.ok()?.ok()
}

/// Sends a request and reads the head of its answer.
async fn send(stream: &mut TcpStream, path: &str) -> Outcome {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: host.example\r\n\
         Authorization: Bearer {KEY}\r\nX-Request-Id: surge\r\n\
         X-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).await.is_err() {
        return Outcome::Unread;
    }
    let mut buffer = [0; 4_096];
    let read = timeout(Duration::from_secs(5), stream.read(&mut buffer)).await;
    match read {
        Ok(Ok(count)) if count > 0 => {
            let answer = String::from_utf8_lossy(&buffer[..count]);
            if answer.starts_with("HTTP/1.1 200") {
                Outcome::Served
            } else {
                Outcome::Failed
            }
        }
        _ => Outcome::Unread,
    }
}

fn count(outcomes: &[Outcome], outcome: Outcome) -> usize {
    outcomes.iter().filter(|it| **it == outcome).count()
}

/// Guards against callers' idle connections that take all files, so that
/// requests which were read find no connection to a target.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_leave_files_for_targets() {
    let mut plant = Plant::start().await;
    for number in 0..4 {
        let config = TargetConfig::new(&format!("i-{number}"), "plain", "a")
            .with_response_delay(Duration::from_millis(50));
        plant.target_with(config).await;
    }
    let entry = start(&mut plant).await;
    let mut kept = Vec::new();
    for _ in 0..CONNECTIONS {
        let Some(mut stream) = connect(&entry).await else { continue };
        let outcome =
            timeout(READ_TIMEOUT, send(&mut stream, "/many/a")).await;
        assert_ne!(outcome, Ok(Outcome::Failed), "after {}", kept.len());
        kept.push(stream);
    }
    // Each of these needs a connection to a target of its own.
    let newest = kept.iter_mut().rev().take(24);
    let outcomes: Vec<Outcome> =
        join_all(newest.map(|it| send(it, "/many/a"))).await;
    assert_eq!(count(&outcomes, Outcome::Failed), 0, "{outcomes:?}");
    let served = count(&outcomes, Outcome::Served);
    assert!(served * 4 >= outcomes.len() * 3, "{outcomes:?}");
    let new = (0..24).map(async |_| match connect(&entry).await {
        Some(mut stream) => send(&mut stream, "/many/a").await,
        None => Outcome::Unread,
    });
    let outcomes: Vec<Outcome> = join_all(new).await;
    let (served, failed) =
        (count(&outcomes, Outcome::Served), count(&outcomes, Outcome::Failed));
    assert_eq!(failed, 0, "{outcomes:?}");
    assert!(served * 4 >= outcomes.len() * 3, "{outcomes:?}");
}

/// Guards against reading requests that the process has no files to serve,
/// and against letting their callers wait.
#[tokio::test(flavor = "multi_thread")]
async fn connections_beyond_the_bound_are_closed_unread_at_once() {
    let mut plant = Plant::start().await;
    for number in 0..4 {
        let config = TargetConfig::new(&format!("i-{number}"), "plain", "a")
            .with_response_delay(Duration::from_secs(3));
        plant.target_with(config).await;
    }
    let entry = start(&mut plant).await;
    let busy = (0..CONNECTIONS).map(async |number| {
        // Spread over a second, as callers are.
        sleep(Duration::from_millis(number as u64 * 5)).await;
        let connected = Instant::now();
        let Some(mut stream) = connect(&entry).await else {
            return (Outcome::Unread, connected.elapsed());
        };
        let outcome = send(&mut stream, "/many/a").await;
        (outcome, connected.elapsed())
    });
    let outcomes = join_all(busy).await;
    let (kinds, times): (Vec<Outcome>, Vec<Duration>) =
        outcomes.into_iter().unzip();
    assert_eq!(count(&kinds, Outcome::Failed), 0, "{kinds:?}");
    assert!(count(&kinds, Outcome::Served) >= 30, "{kinds:?}");
    let unread = kinds.iter().zip(&times);
    let mut unread = unread.filter(|it| *it.0 == Outcome::Unread).peekable();
    assert!(unread.peek().is_some(), "{kinds:?}");
    for (_, time) in unread {
        assert!(*time < READ_TIMEOUT / 2, "{time:?}");
    }
}
