//! Bytes without end from an engine, in place of an answer to its agent.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use cowsliproad_rank::engine::EngineClient;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::LocalSet,
    time::sleep,
};

/// How long an agent waits for an answer at the most, and how long the
/// connection may stay open then.
const MAX_WAIT: Duration = Duration::from_secs(2);
const CLOSING_TIME: Duration = Duration::from_secs(1);

/// What an agent may take in of one answer, with what the sockets hold.
const MAX_BYTES: usize = 32 << 20;

const BEGINNINGS: [&str; 4] = [
    "HTTP/1.1 200 ",
    "HTTP/1.1 200 OK\r\nx-more: ",
    "HTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n",
];

/// Answers each connection without end, and counts the open connections and
/// the bytes that were sent.
async fn accept(
    listener: TcpListener,
    beginning: &'static str,
    open: Arc<AtomicUsize>,
    bytes: Arc<AtomicUsize>,
) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let (open, bytes) = (open.clone(), bytes.clone());
        open.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            let mut buffer = [0; 8_192];
            if let Ok(1..) = stream.read(&mut buffer).await {
                let more = [b'x'; 16 << 10];
                let mut sent = stream.write_all(beginning.as_bytes()).await;
                while sent.is_ok() {
                    bytes.fetch_add(more.len(), Ordering::Relaxed);
                    sent = stream.write_all(&more).await;
                }
            }
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Guards against an agent that takes in an engine's answer for as long as
/// there is more of it.
#[tokio::test(flavor = "multi_thread")]
async fn an_engines_answer_without_end_is_cut_off() {
    for beginning in BEGINNINGS {
        LocalSet::new().run_until(check_cut_off(beginning)).await;
    }
}

async fn check_cut_off(beginning: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let (open, bytes) =
        (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let accepting = accept(listener, beginning, open.clone(), bytes.clone());
    tokio::spawn(accepting);
    let mut client = EngineClient::new(address);
    let begun = Instant::now();
    assert!(client.fetch_engine_state().await.is_err(), "{beginning}");
    assert!(begun.elapsed() < MAX_WAIT, "{beginning}");
    sleep(CLOSING_TIME).await;
    assert_eq!(open.load(Ordering::Relaxed), 0, "{beginning}");
    let bytes = bytes.load(Ordering::Relaxed);
    assert!(bytes < MAX_BYTES, "{beginning}: {bytes} bytes");
}
