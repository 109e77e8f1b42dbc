//! Authenticated links that carry [`Frame`]s over a websocket.
//!
//! In the handshake, the listener sends a random challenge. The dialling
//! process replies with its name and a keyed hash of the challenge and the
//! name, and the listener replies with its first heartbeat. The key comes
//! from the settings and is never sent over the link.
//!
//! Each link has one writer task, which sends all queued frames with one
//! flush. The queue is bounded, so a slow peer blocks its senders instead of
//! filling memory. If either direction fails, or nothing is received for
//! [`SILENCE_TIMEOUT`], the link is closed in both directions and its owner
//! dials again.

use std::{
    fmt, io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use cowsliproad_kernel::{
    Name,
    clock::Millis,
    secret,
    wire::{self, Challenge, Frame, Heartbeat, Hello, ProcessRole},
};
use futures_util::{
    SinkExt, StreamExt,
    stream::{SplitSink, SplitStream},
};
use tokio::{
    net::{TcpSocket, TcpStream},
    sync::mpsc,
};
use tokio_tungstenite::{
    MaybeTlsStream, WebSocketStream,
    tungstenite::{Message, protocol::WebSocketConfig},
};

use crate::timer::{timeout, timeout_at};

/// The length of the shared key.
pub const KEY_BYTES: usize = 32;

/// The time limit for connecting and for the handshake.
pub const DIAL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The time without received frames after which a link is closed.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The capacity of a link's queue of outgoing frames.
const MAX_QUEUED_FRAMES: usize = 1024;

/// The size of the read buffer of a link. The websocket library clears the
/// buffer before each read; with its default of 128 KiB that cost more than
/// decoding the frames.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// The number of frames written between two flushes. The bound keeps the first
/// frame of a batch from waiting long for the others.
const MAX_BATCH_FRAMES: usize = 64;

/// The length of the nonce in a challenge.
const NONCE_BYTES: usize = 16;

/// Why a link could not be established.
#[derive(Debug)]
pub enum Error {
    /// The connection or the websocket failed.
    Transport(String),
    /// The peer violated the handshake protocol.
    Protocol(&'static str),
    /// The peer does not have the shared key.
    WrongKey,
    /// The handshake did not complete in time.
    Timeout,
}

/// The identity that a process presents when it dials a link.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The kind of the process.
    pub role: ProcessRole,
    /// The name of the process.
    pub name: Name,
    /// The availability zone of the process.
    pub zone: Name,
    /// The shared key.
    pub key: [u8; KEY_BYTES],
    /// The local address to dial from, for VMs with several addresses.
    pub source_address: Option<IpAddr>,
}

/// The sending half of a link.
#[derive(Clone, Debug)]
pub struct Sender {
    queue: mpsc::Sender<Frame>,
}

/// The receiving half of a link.
#[derive(Debug)]
pub struct Receiver {
    stream: FrameStream,
}

enum FrameStream {
    Dialled(SplitStream<DialledSocket>),
    Accepted(SplitStream<WebSocketStream<TcpStream>>),
}

type DialledSocket = WebSocketStream<MaybeTlsStream<TcpStream>>;

/// The error for a frame that could not be queued: the link is closed or its
/// queue is full.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SendError;

impl Sender {
    /// Queues a frame for sending, waiting while the queue is full.
    pub async fn send(&self, frame: Frame) -> Result<(), SendError> {
        self.queue.send(frame).await.map_err(|_| SendError)
    }

    /// Queues a frame for sending, or fails if the queue is full.
    pub fn try_send(&self, frame: Frame) -> Result<(), SendError> {
        self.queue.try_send(frame).map_err(|_| SendError)
    }

    /// Whether the link is closed.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

impl Receiver {
    /// Returns the next received frame, or `None` if the link is closed or
    /// timed out.
    pub async fn recv(&mut self) -> Option<Frame> {
        loop {
            let message = match &mut self.stream {
                FrameStream::Dialled(it) => {
                    timeout(SILENCE_TIMEOUT, it.next()).await
                }
                FrameStream::Accepted(it) => {
                    timeout(SILENCE_TIMEOUT, it.next()).await
                }
            };
            match message.ok()??.ok()? {
                Message::Binary(bytes) => return wire::decode(&bytes),
                Message::Close(_) => return None,
                _ => {}
            }
        }
    }
}

/// Dials a listener and authenticates this process to it.
pub async fn dial(
    address: SocketAddr,
    identity: &Identity,
) -> Result<(Sender, Receiver, Heartbeat), Error> {
    timeout(DIAL_TIMEOUT, dial_handshake(address, identity))
        .await
        .unwrap_or(Err(Error::Timeout))
}

async fn dial_handshake(
    address: SocketAddr,
    identity: &Identity,
) -> Result<(Sender, Receiver, Heartbeat), Error> {
    let tcp = connect(address, identity.source_address)
        .await
        .map_err(transport_error)?;
    tcp.set_nodelay(true).map_err(transport_error)?;
    let (mut socket, _) = tokio_tungstenite::client_async_with_config(
        format!("ws://{address}/link"),
        MaybeTlsStream::Plain(tcp),
        Some(websocket_config()),
    )
    .await
    .map_err(transport_error)?;
    let Frame::Challenge(challenge) = read_frame(&mut socket).await? else {
        return Err(Error::Protocol("expected a challenge frame"));
    };
    let hello = Hello {
        role: identity.role,
        name: identity.name.clone(),
        zone: identity.zone.clone(),
        key_proof: handshake_proof(
            &identity.key,
            &challenge.nonce,
            &identity.name,
        ),
    };
    send_frame(&mut socket, &Frame::Hello(hello)).await?;
    let Frame::Welcome(heartbeat) = read_frame(&mut socket).await? else {
        return Err(Error::WrongKey);
    };
    let (sink, stream) = socket.split();
    let sender = spawn_writer(sink);
    Ok((sender, Receiver { stream: FrameStream::Dialled(stream) }, heartbeat))
}

async fn connect(
    address: SocketAddr,
    source_address: Option<IpAddr>,
) -> io::Result<TcpStream> {
    let Some(source) = source_address else {
        return TcpStream::connect(address).await;
    };
    let socket = match source {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

/// Performs the handshake on an accepted connection and authenticates the
/// dialling process.
pub async fn accept(
    tcp: TcpStream,
    key: &[u8; KEY_BYTES],
    heartbeat: Heartbeat,
) -> Result<(Sender, Receiver, Hello), Error> {
    timeout(DIAL_TIMEOUT, accept_handshake(tcp, key, heartbeat))
        .await
        .unwrap_or(Err(Error::Timeout))
}

async fn accept_handshake(
    tcp: TcpStream,
    key: &[u8; KEY_BYTES],
    heartbeat: Heartbeat,
) -> Result<(Sender, Receiver, Hello), Error> {
    tcp.set_nodelay(true).map_err(transport_error)?;
    let mut socket = tokio_tungstenite::accept_async_with_config(
        tcp,
        Some(websocket_config()),
    )
    .await
    .map_err(transport_error)?;
    let nonce: [u8; NONCE_BYTES] = rand::random();
    let challenge = Challenge { nonce: nonce.to_vec() };
    send_frame(&mut socket, &Frame::Challenge(challenge)).await?;
    let Frame::Hello(hello) = read_frame(&mut socket).await? else {
        return Err(Error::Protocol("expected a hello frame"));
    };
    if !secret::constant_time_eq(
        &hello.key_proof,
        &handshake_proof(key, &nonce, &hello.name),
    ) {
        return Err(Error::WrongKey);
    }
    send_frame(&mut socket, &Frame::Welcome(heartbeat)).await?;
    let (sink, stream) = socket.split();
    let sender = spawn_writer(sink);
    Ok((sender, Receiver { stream: FrameStream::Accepted(stream) }, hello))
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .max_message_size(Some(wire::MAX_MESSAGE_BYTES))
        .max_frame_size(Some(wire::MAX_MESSAGE_BYTES))
}

fn handshake_proof(
    key: &[u8; KEY_BYTES],
    nonce: &[u8],
    name: &str,
) -> Vec<u8> {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(nonce);
    hasher.update(name.as_bytes());
    hasher.finalize().as_bytes().to_vec()
}

async fn read_frame<S>(socket: &mut WebSocketStream<S>) -> Result<Frame, Error>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    let message = socket.next().await.ok_or(Error::Protocol("closed"))?;
    match message.map_err(transport_error)? {
        Message::Binary(bytes) => {
            wire::decode(&bytes).ok_or(Error::Protocol("invalid frame"))
        }
        _ => Err(Error::Protocol("expected a binary message")),
    }
}

async fn send_frame<S>(
    socket: &mut WebSocketStream<S>,
    frame: &Frame,
) -> Result<(), Error>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    let message = Message::Binary(wire::encode(frame).into());
    socket.send(message).await.map_err(transport_error)
}

fn spawn_writer<S>(sink: SplitSink<WebSocketStream<S>, Message>) -> Sender
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Send + Unpin + 'static,
{
    let (queue, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
    tokio::spawn(write_frames(sink, frames));
    Sender { queue }
}

/// Writes queued frames until the link fails or all senders are dropped. A
/// write that takes longer than the silence timeout means that the peer
/// doesn't read.
async fn write_frames<S>(
    mut sink: SplitSink<WebSocketStream<S>, Message>,
    mut frames: mpsc::Receiver<Frame>,
) where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    while let Some(frame) = frames.recv().await {
        let deadline = Millis::now() + SILENCE_TIMEOUT.into();
        let batch = async {
            let mut next = Some(frame);
            for _ in 0..MAX_BATCH_FRAMES {
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
    let _ = timeout(SILENCE_TIMEOUT, sink.close()).await;
}

fn transport_error(error: impl fmt::Display) -> Error {
    Error::Transport(error.to_string())
}

impl fmt::Debug for FrameStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameStream::Dialled(_) => f.write_str("Dialled"),
            FrameStream::Accepted(_) => f.write_str("Accepted"),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Transport(why) => write!(f, "connection failed: {why}"),
            Error::Protocol(why) => write!(f, "handshake failed: {why}"),
            Error::WrongKey => f.write_str("the peer has a different key"),
            Error::Timeout => f.write_str("the handshake timed out"),
        }
    }
}

impl std::error::Error for Error {}
