//! Callers that don't behave, spoken for in raw bytes.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future::join_all;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::harness::{KEY, PATIENCE};

/// The pause between two writes, so that the bodies of a crowd grow together.
const WRITE_INTERVAL: Duration = Duration::from_millis(5);

/// How the length of a body is stated.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    /// `Content-Length`.
    Length(usize),
    /// Chunks of so many bytes each.
    Chunks(usize),
}

/// The body that a caller sends.
#[derive(Clone, Copy, Debug)]
pub struct Body {
    path: &'static str,
    framing: Framing,
    /// The bytes that are sent, without their framing.
    sent_bytes: usize,
    /// The bytes of each write.
    piece_bytes: usize,
    /// Whether the end of the chunks is sent.
    is_whole: bool,
}

impl Body {
    /// A body that states its length, and of which so much is sent.
    pub fn with_length(stated_bytes: usize, sent_bytes: usize) -> Body {
        Body {
            path: "/long/crowd",
            framing: Framing::Length(stated_bytes),
            sent_bytes,
            piece_bytes: 64 << 10,
            is_whole: stated_bytes <= sent_bytes,
        }
    }

    /// A body in chunks of a size whose end is not sent.
    pub fn in_chunks(chunk_bytes: usize, sent_bytes: usize) -> Body {
        Body {
            framing: Framing::Chunks(chunk_bytes),
            is_whole: false,
            ..Body::with_length(0, sent_bytes)
        }
    }

    /// The same with its end.
    pub fn whole(self) -> Body {
        Body { is_whole: true, ..self }
    }

    /// The same, sent in writes of a size.
    pub fn in_pieces(self, piece_bytes: usize) -> Body {
        Body { piece_bytes, ..self }
    }

    /// The same to another path.
    pub fn to(self, path: &'static str) -> Body {
        Body { path, ..self }
    }

    fn head(&self) -> String {
        let framing = match self.framing {
            Framing::Length(bytes) => format!("Content-Length: {bytes}"),
            Framing::Chunks(_) => "Transfer-Encoding: chunked".into(),
        };
        head(self.path, &framing)
    }

    /// The bytes on the wire, in writes.
    pub fn writes(&self) -> Vec<Arc<[u8]>> {
        let mut wire = Vec::new();
        match self.framing {
            Framing::Length(_) => wire.resize(self.sent_bytes, b'x'),
            Framing::Chunks(chunk_bytes) => {
                let mut left = self.sent_bytes;
                while left > 0 {
                    let length = left.min(chunk_bytes);
                    wire.extend(format!("{length:x}\r\n").into_bytes());
                    wire.resize(wire.len() + length, b'x');
                    wire.extend(b"\r\n");
                    left -= length;
                }
                if self.is_whole {
                    wire.extend(b"0\r\n\r\n");
                }
            }
        }
        let head = std::iter::once(self.head().into_bytes().into());
        head.chain(wire.chunks(self.piece_bytes).map(Arc::from)).collect()
    }
}

/// The head of a request of a caller that would wait for an hour.
pub fn head(path: &str, header: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: host.example\r\n\
         Authorization: Bearer {KEY}\r\nX-Request-Id: crowd\r\n\
         X-Deadline-Ms: 3600000\r\n{header}\r\n\r\n"
    )
}

/// Callers whose connections stay open until they are dropped.
pub struct Crowd {
    callers: Vec<JoinHandle<()>>,
    progress: Vec<watch::Receiver<Progress>>,
}

/// What a caller has done and got.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    written_bytes: usize,
    /// What was read so far.
    answer: String,
    is_closed: bool,
}

impl Crowd {
    /// Callers that connect and then send such bodies, all at once.
    pub async fn start(
        address: SocketAddr,
        bodies: impl IntoIterator<Item = Body>,
    ) -> Crowd {
        let requests = bodies.into_iter();
        Crowd::send(address, requests.map(|it| it.writes()).collect()).await
    }

    /// Callers that connect and then send these writes, all at once.
    pub async fn send(
        address: SocketAddr,
        requests: Vec<Vec<Arc<[u8]>>>,
    ) -> Crowd {
        let connected = requests.into_iter().map(async |writes| {
            let connecting = TcpStream::connect(address);
            let stream = timeout(PATIENCE, connecting).await.ok()?.ok()?;
            Some((stream, writes))
        });
        let connected = join_all(connected).await.into_iter().flatten();
        let started = connected.map(|(stream, writes)| {
            let (progress, seen) = watch::channel(Progress::default());
            (tokio::spawn(call(stream, writes, progress)), seen)
        });
        let (callers, progress) = started.unzip();
        Crowd { callers, progress }
    }

    /// Adds the callers of another crowd.
    pub fn join(&mut self, mut other: Crowd) {
        self.callers.append(&mut other.callers);
        self.progress.append(&mut other.progress);
    }

    /// What each caller has done and got so far.
    pub fn progress(&self) -> Vec<Progress> {
        self.progress.iter().map(|it| it.borrow().clone()).collect()
    }

    /// Checks that each answer that has come is one of these, and that those
    /// that promise "not run" say when to come back.
    pub fn check_answers(&self, allowed: &[u16]) {
        for progress in self.progress() {
            let answer = progress.answer;
            let status = answer.split(' ').nth(1);
            let Some(status) = status.and_then(|it| it.parse().ok()) else {
                continue;
            };
            assert!(allowed.contains(&status), "{answer}");
            let lower = answer.to_ascii_lowercase();
            let states_return = lower.contains("\r\nretry-after:");
            assert!(states_return || status != 503, "{answer}");
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.callers.iter().for_each(JoinHandle::abort);
    }
}

/// Sends writes at the pace of a crowd, reads meanwhile, and stays.
async fn call(
    stream: TcpStream,
    writes: Vec<Arc<[u8]>>,
    progress: watch::Sender<Progress>,
) {
    let (mut reader, mut writer) = stream.into_split();
    let sending = async {
        for write in &writes {
            if writer.write_all(write).await.is_err() {
                break;
            }
            progress.send_modify(|it| it.written_bytes += write.len());
            sleep(WRITE_INTERVAL).await;
        }
    };
    let reading = async {
        let mut buffer = [0; 4_096];
        while let Ok(count @ 1..) = reader.read(&mut buffer).await {
            let text = String::from_utf8_lossy(&buffer[..count]);
            progress.send_modify(|it| it.answer.push_str(&text));
        }
        progress.send_modify(|it| it.is_closed = true);
    };
    tokio::join!(sending, reading);
}

/// Sends bytes, then reads until the end, as callers do that read nothing
/// before they have sent all. Fails if the connection is reset.
pub async fn send_then_read(
    address: SocketAddr,
    bytes: &[u8],
) -> io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    timeout(PATIENCE, stream.write_all(bytes)).await??;
    let mut read = Vec::new();
    timeout(PATIENCE, stream.read_to_end(&mut read)).await??;
    Ok(String::from_utf8_lossy(&read).into_owned())
}

/// Opens so many connections, sends the same bytes on each, and reads nothing.
pub async fn open(
    address: SocketAddr,
    count: usize,
    bytes: &[u8],
) -> Vec<TcpStream> {
    let opened = (0..count).map(async |_| {
        let connecting = TcpStream::connect(address);
        let mut stream = timeout(PATIENCE, connecting).await.ok()?.ok()?;
        timeout(Duration::from_secs(1), stream.write_all(bytes))
            .await
            .ok()?
            .ok()?;
        Some(stream)
    });
    join_all(opened).await.into_iter().flatten().collect()
}
