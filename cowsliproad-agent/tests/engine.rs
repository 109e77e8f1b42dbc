//! Engines that pause in an answer, or whose answer has no end.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use cowsliproad_agent::{
    adapter::{Adapter, engine::EngineAdapter},
    pace::RequestPacer,
    settings::Settings,
    work::RequestWork,
};
use cowsliproad_kernel::{
    clock::Millis,
    code::{ExecutionStatus, ResultCode},
    id,
    log::{self, Level},
    wire::{
        AnswerFormat, RequestFailure, RequestPersistence, SubmitMode,
        SubmitRequest, Urgency,
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// The agent's timeout for silence, and the time left to a request.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);
const TIME_LEFT: Duration = Duration::from_millis(1_200);

/// How late an answer may be on a busy machine.
const MAX_DELAY: Duration = Duration::from_millis(1_500);

const HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
const TOKEN: &str =
    "data: {\"choices\":[{\"delta\":{\"content\":\"word\"}}]}\n\n";
const DONE: &str = "data: [DONE]\n\n";

/// What an engine sends, piece by piece, each after a pause; the last piece is
/// repeated without end where `endless` says so.
#[derive(Clone)]
struct Script {
    pieces: Vec<(Duration, &'static str)>,
    endless: (Duration, String),
}

async fn start_engine(script: Script) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, script.clone()));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, script: Script) -> std::io::Result<()> {
    let mut buffer = [0; 8_192];
    // The request is small and arrives at once.
    let _length = stream.read(&mut buffer).await?;
    for (pause, piece) in script.pieces {
        sleep(pause).await;
        stream.write_all(piece.as_bytes()).await?;
    }
    let (pause, piece) = script.endless;
    loop {
        sleep(pause).await;
        stream.write_all(piece.as_bytes()).await?;
    }
}

/// A request that must not be repeated.
fn submit() -> SubmitRequest {
    SubmitRequest {
        attempt: id::Attempt(0),
        request: id::Request(1),
        organisation: "harju".into(),
        request_type: "lease-draft".into(),
        urgency: Urgency::Normal,
        time_left: Millis(TIME_LEFT.as_millis() as u64),
        ticket: Some(vec![1]),
        idempotency_key: None,
        persistence: RequestPersistence::Drop,
        queue_weight: 1,
        body: b"{}".to_vec(),
        mode: SubmitMode::default(),
    }
}

/// Runs the request at an engine.
async fn run(script: Script) -> Result<AnswerFormat, RequestFailure> {
    let mut settings = Settings::example();
    settings.target_address = start_engine(script).await;
    settings.target_silence_timeout =
        Millis(SILENCE_TIMEOUT.as_millis() as u64);
    let log = log::logger("agent", "agent-1", Level::Error);
    let pacer = Arc::new(RequestPacer::new(log));
    let adapter = EngineAdapter::new(&settings, &pacer);
    let work = RequestWork::new(&submit(), Millis::now());
    let limit = TIME_LEFT + MAX_DELAY;
    let called = timeout(limit, adapter.call_target(&work)).await;
    called.expect("the answer is not awaited for ever")
}

fn check_unknown_outcome(result: Result<AnswerFormat, RequestFailure>) {
    let failure = result.expect_err("the answer is not whole");
    assert_eq!(failure.ran, ExecutionStatus::OutcomeUnknown);
    assert!(matches!(
        failure.code,
        ResultCode::TimedOut | ResultCode::TargetFailed
    ));
}

/// Guards against a request that may run once only and is given up because its
/// engine pauses before its deadline.
#[tokio::test]
async fn a_pause_ends_no_request_that_must_not_be_repeated() {
    let pause = 2 * SILENCE_TIMEOUT;
    for pieces in [
        vec![(pause, HEAD), (Duration::ZERO, TOKEN)],
        vec![(Duration::ZERO, HEAD), (pause, TOKEN)],
    ] {
        let endless = (Duration::ZERO, DONE.to_string());
        let result = run(Script { pieces, endless }).await;
        assert_eq!(result.expect("a whole answer"), AnswerFormat::Text);
    }
}

/// Guards against an answer without end, each byte of which puts its timeout
/// off.
#[tokio::test]
async fn an_answer_without_end_is_given_up_at_the_deadline() {
    for piece in [": comment\n\n", "data: more\n", "x"] {
        let begun = Instant::now();
        let script = Script {
            pieces: vec![(Duration::ZERO, HEAD)],
            endless: (SILENCE_TIMEOUT / 6, piece.to_string()),
        };
        check_unknown_outcome(run(script).await);
        assert!(begun.elapsed() >= TIME_LEFT, "{piece:?}");
    }
}

/// Guards against the bytes of an event without end, which take all memory.
#[tokio::test]
async fn an_event_without_end_is_given_up_at_the_size_of_an_answer() {
    let begun = Instant::now();
    let script = Script {
        pieces: vec![(Duration::ZERO, HEAD)],
        endless: (Duration::ZERO, "x".repeat(1 << 16)),
    };
    check_unknown_outcome(run(script).await);
    assert!(begun.elapsed() < TIME_LEFT, "{:?}", begun.elapsed());
}
