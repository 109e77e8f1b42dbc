//! Answers whose status is none, as the clients of programs see them.

use std::{net::SocketAddr, time::Duration};

use cowsliproad_net::{
    client::{Client, Error},
    single::SingleConnection,
};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::LocalSet,
};

const TIMEOUT: Duration = Duration::from_secs(5);

const INVALID: [&str; 10] = [
    "000",
    "000 OK",
    "001 OK",
    "099 OK",
    "101 Switching Protocols",
    "600 OK",
    "999 OK",
    "1000 OK",
    "20 OK",
    "2x0 OK",
];

/// Starts a server that answers each connection once, with a status line.
async fn start(status_line: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 8_192];
            let _length = stream.read(&mut buffer).await;
            let answer = format!(
                "HTTP/1.1 {status_line}\r\ncontent-length: 2\r\n\r\n{{}}"
            );
            let _sent = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

async fn ask_both(
    status_line: &'static str,
) -> [Result<Response<bytes::Bytes>, Error>; 2] {
    let address = start(status_line).await;
    let request = |uri: String| {
        Request::get(uri).body(Full::default()).expect("a request")
    };
    let pooled = Client::new()
        .call(request(format!("http://{address}/")), 1_000, TIMEOUT)
        .await;
    let mut connection = SingleConnection::new(address);
    let asking = connection.send_request(request("/".into()), 1_000, TIMEOUT);
    let single = LocalSet::new().run_until(asking).await;
    [pooled, single]
}

/// Guards against an answer of a target, an engine or the log that is taken
/// although its status is none.
#[tokio::test]
async fn an_invalid_status_is_an_error() {
    for line in INVALID {
        for answer in ask_both(line).await {
            assert!(
                matches!(answer, Err(Error::Status(_) | Error::Exchange(_))),
                "{line}: {answer:?}"
            );
        }
    }
}

#[tokio::test]
async fn a_final_status_is_an_answer() {
    for (line, status) in [("200 OK", 200), ("503 Full", 503)] {
        let status = StatusCode::from_u16(status).expect("a status");
        for answer in ask_both(line).await {
            assert_eq!(answer.expect("an answer").status(), status);
        }
    }
}
