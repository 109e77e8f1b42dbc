//! Authenticated links that carry [`Frame`]s over a websocket.
//!
//! The listener sends a random challenge, the dialler answers with its name
//! and a keyed hash over both, and the listener answers with its first
//! heartbeat. The key comes from the settings and never crosses the link.
//!
//! A link has one writer task, which sends all frames that are ready in one
//! flush. Its queue is bounded, so a slow peer holds up its senders rather
//! than filling memory. When either direction breaks, or nothing has come
//! for [`SILENCE`], the whole link is gone and the owner dials anew.

use std::{
    fmt, io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use cowsliproad_kernel::{
    Name, secret,
    wire::{self, Beat, Challenge, Frame, Hello, Role},
};
use futures_util::{
    SinkExt, StreamExt,
    stream::{SplitSink, SplitStream},
};
use tokio::{
    net::{TcpSocket, TcpStream},
    sync::mpsc,
    time::{timeout, timeout_at},
};
use tokio_tungstenite::{
    MaybeTlsStream, WebSocketStream,
    tungstenite::{Message, protocol::WebSocketConfig},
};

/// The length of the shared key in bytes.
pub const KEY: usize = 32;

/// How long dialling and the introduction may take.
pub const DIAL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A link on which nothing came for so long is given up.
pub const SILENCE: Duration = Duration::from_millis(3_000);

/// Frames that may wait for the writer of a link.
const QUEUE: usize = 1024;

/// The bytes that one read of a link may take. The library clears its buffer
/// before each read, which at its usual 128 KiB cost more than the decoding.
const READ_BUFFER: usize = 8 << 10;

/// Frames written between two flushes, so that none waits long for others.
const BATCH: usize = 64;

/// The length of a challenge in bytes.
const NONCE: usize = 16;

/// Why a link could not be made.
#[derive(Debug)]
pub enum Error {
    /// The connection or the websocket failed.
    Transport(String),
    /// The peer did not keep to the introduction.
    Protocol(&'static str),
    /// The peer does not have the key.
    WrongKey,
    /// The introduction took too long.
    Timeout,
}

/// How a process introduces itself.
#[derive(Clone, Debug)]
pub struct Identity {
    /// What it is.
    pub role: Role,
    /// Its name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The shared key.
    pub key: [u8; KEY],
    /// The address that it dials from, on a VM that has several.
    pub source: Option<IpAddr>,
}

/// The sending end of a link.
#[derive(Clone, Debug)]
pub struct Sender {
    queue: mpsc::Sender<Frame>,
}

/// The receiving end of a link.
#[derive(Debug)]
pub struct Receiver {
    stream: Stream,
}

enum Stream {
    Dialled(SplitStream<Dialled>),
    Accepted(SplitStream<WebSocketStream<TcpStream>>),
}

type Dialled = WebSocketStream<MaybeTlsStream<TcpStream>>;

/// A frame could not be sent because the link is gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Gone;

impl Sender {
    /// Queues a frame, waiting for room.
    pub async fn send(&self, frame: Frame) -> Result<(), Gone> {
        self.queue.send(frame).await.map_err(|_| Gone)
    }

    /// Queues a frame if there is room.
    pub fn try_send(&self, frame: Frame) -> Result<(), Gone> {
        self.queue.try_send(frame).map_err(|_| Gone)
    }

    /// Whether the link is gone.
    pub fn is_gone(&self) -> bool {
        self.queue.is_closed()
    }
}

impl Receiver {
    /// The next frame; `None` when the link is gone or silent.
    pub async fn recv(&mut self) -> Option<Frame> {
        loop {
            let message = match &mut self.stream {
                Stream::Dialled(it) => timeout(SILENCE, it.next()).await,
                Stream::Accepted(it) => timeout(SILENCE, it.next()).await,
            };
            match message.ok()??.ok()? {
                Message::Binary(bytes) => return wire::decode(&bytes),
                Message::Close(_) => return None,
                _ => {}
            }
        }
    }
}

/// Dials a listener and introduces this process.
pub async fn dial(
    address: SocketAddr,
    identity: &Identity,
) -> Result<(Sender, Receiver, Beat), Error> {
    timeout(DIAL_TIMEOUT, introduce(address, identity))
        .await
        .unwrap_or(Err(Error::Timeout))
}

async fn introduce(
    address: SocketAddr,
    identity: &Identity,
) -> Result<(Sender, Receiver, Beat), Error> {
    let tcp = connect(address, identity.source).await.map_err(transport)?;
    tcp.set_nodelay(true).map_err(transport)?;
    let (mut socket, _) = tokio_tungstenite::client_async_with_config(
        format!("ws://{address}/link"),
        MaybeTlsStream::Plain(tcp),
        Some(limits()),
    )
    .await
    .map_err(transport)?;
    let Frame::Challenge(challenge) = next(&mut socket).await? else {
        return Err(Error::Protocol("no challenge came"));
    };
    let hello = Hello {
        role: identity.role,
        name: identity.name.clone(),
        zone: identity.zone.clone(),
        proof: prove(&identity.key, &challenge.nonce, &identity.name),
    };
    put(&mut socket, &Frame::Hello(hello)).await?;
    let Frame::Welcome(beat) = next(&mut socket).await? else {
        return Err(Error::WrongKey);
    };
    let (sink, stream) = socket.split();
    let sender = start(sink);
    Ok((sender, Receiver { stream: Stream::Dialled(stream) }, beat))
}

async fn connect(
    address: SocketAddr,
    source: Option<IpAddr>,
) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = match source {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

/// Accepts a link on a new connection and checks who dials.
pub async fn accept(
    tcp: TcpStream,
    key: &[u8; KEY],
    beat: Beat,
) -> Result<(Sender, Receiver, Hello), Error> {
    timeout(DIAL_TIMEOUT, receive(tcp, key, beat))
        .await
        .unwrap_or(Err(Error::Timeout))
}

async fn receive(
    tcp: TcpStream,
    key: &[u8; KEY],
    beat: Beat,
) -> Result<(Sender, Receiver, Hello), Error> {
    tcp.set_nodelay(true).map_err(transport)?;
    let mut socket =
        tokio_tungstenite::accept_async_with_config(tcp, Some(limits()))
            .await
            .map_err(transport)?;
    let nonce: [u8; NONCE] = rand::random();
    let challenge = Challenge { nonce: nonce.to_vec() };
    put(&mut socket, &Frame::Challenge(challenge)).await?;
    let Frame::Hello(hello) = next(&mut socket).await? else {
        return Err(Error::Protocol("no introduction came"));
    };
    if !secret::equal(&hello.proof, &prove(key, &nonce, &hello.name)) {
        return Err(Error::WrongKey);
    }
    put(&mut socket, &Frame::Welcome(beat)).await?;
    let (sink, stream) = socket.split();
    let sender = start(sink);
    Ok((sender, Receiver { stream: Stream::Accepted(stream) }, hello))
}

fn limits() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER)
        .max_message_size(Some(wire::MAX_MESSAGE))
        .max_frame_size(Some(wire::MAX_MESSAGE))
}

fn prove(key: &[u8; KEY], nonce: &[u8], name: &str) -> Vec<u8> {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(nonce);
    hasher.update(name.as_bytes());
    hasher.finalize().as_bytes().to_vec()
}

async fn next<S>(socket: &mut WebSocketStream<S>) -> Result<Frame, Error>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    let message = socket.next().await.ok_or(Error::Protocol("closed"))?;
    match message.map_err(transport)? {
        Message::Binary(bytes) => {
            wire::decode(&bytes).ok_or(Error::Protocol("no frame"))
        }
        _ => Err(Error::Protocol("no binary message")),
    }
}

async fn put<S>(
    socket: &mut WebSocketStream<S>,
    frame: &Frame,
) -> Result<(), Error>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    let message = Message::Binary(wire::encode(frame).into());
    socket.send(message).await.map_err(transport)
}

fn start<S>(sink: SplitSink<WebSocketStream<S>, Message>) -> Sender
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Send + Unpin + 'static,
{
    let (queue, frames) = mpsc::channel(QUEUE);
    tokio::spawn(write(sink, frames));
    Sender { queue }
}

/// Writes frames until the link or all senders are gone. A write that takes
/// longer than the silence limit means that the peer doesn't read.
async fn write<S>(
    mut sink: SplitSink<WebSocketStream<S>, Message>,
    mut frames: mpsc::Receiver<Frame>,
) where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    while let Some(frame) = frames.recv().await {
        let deadline = tokio::time::Instant::now() + SILENCE;
        let batch = async {
            let mut next = Some(frame);
            for _ in 0..BATCH {
                let Some(frame) = next else { break };
                let bytes = wire::encode(&frame);
                sink.feed(Message::Binary(bytes.into())).await?;
                next = frames.try_recv().ok();
            }
            if let Some(frame) = next {
                let bytes = wire::encode(&frame);
                sink.feed(Message::Binary(bytes.into())).await?;
            }
            sink.flush().await
        };
        match timeout_at(deadline, batch).await {
            Ok(Ok(())) => {}
            _ => return,
        }
    }
    let _ = timeout(SILENCE, sink.close()).await;
}

fn transport(error: impl fmt::Display) -> Error {
    Error::Transport(error.to_string())
}

impl fmt::Debug for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Stream::Dialled(_) => f.write_str("Dialled"),
            Stream::Accepted(_) => f.write_str("Accepted"),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Transport(why) => write!(f, "transport: {why}"),
            Error::Protocol(why) => write!(f, "introduction: {why}"),
            Error::WrongKey => f.write_str("the peer has another key"),
            Error::Timeout => f.write_str("the introduction took too long"),
        }
    }
}

impl std::error::Error for Error {}
