//! A faulty stretch of network between two processes.
//!
//! It passes TCP bytes on. It can be cut, in which case its connections
//! break and new ones are refused, and it can hold bytes back for a random
//! time. It can also let websocket messages from the dialled side overtake
//! each other, which no TCP link does, to show that an answer is put
//! together rightly in whatever order its frames come.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::sleep,
};

/// How a stretch of network behaves.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum State {
    /// It passes bytes on.
    #[default]
    Open,
    /// It breaks every connection.
    Cut,
    /// It breaks the connections from these addresses.
    CutFrom(Vec<IpAddr>),
}

impl State {
    fn cuts(&self, source: IpAddr) -> bool {
        match self {
            State::Open => false,
            State::Cut => true,
            State::CutFrom(sources) => sources.contains(&source),
        }
    }
}

/// A stretch of network in front of one address.
#[derive(Debug)]
pub struct Link {
    state: watch::Sender<State>,
    delay_us: AtomicU64,
    swap_every: AtomicU64,
    to: watch::Sender<SocketAddr>,
}

/// Starts a stretch towards an address and tells where it listens.
pub async fn start(to: SocketAddr) -> io::Result<(Arc<Link>, SocketAddr)> {
    let link = Arc::new(Link {
        state: watch::Sender::new(State::Open),
        delay_us: AtomicU64::new(0),
        swap_every: AtomicU64::new(0),
        to: watch::Sender::new(to),
    });
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(accept(link.clone(), listener));
    Ok((link, address))
}

impl Link {
    /// Cuts or mends it.
    pub fn set(&self, state: State) {
        self.state.send_replace(state);
    }

    /// Holds each read back for up to the given time.
    pub fn delay(&self, most: Duration) {
        self.delay_us.store(most.as_micros() as u64, Ordering::Relaxed);
    }

    /// Swaps about one in `n` messages with the one after it; 0 for none.
    pub fn swap_every(&self, n: u64) {
        self.swap_every.store(n, Ordering::Relaxed);
    }

    /// Leads to another address from the next connection on.
    pub fn lead_to(&self, to: SocketAddr) {
        self.to.send_replace(to);
    }
}

async fn accept(link: Arc<Link>, listener: TcpListener) {
    loop {
        let Ok((near, peer)) = listener.accept().await else { continue };
        if link.state.borrow().cuts(peer.ip()) {
            continue;
        }
        tokio::spawn(pass(link.clone(), near, peer.ip()));
    }
}

async fn pass(link: Arc<Link>, near: TcpStream, source: IpAddr) {
    let to = *link.to.borrow();
    let Ok(far) = TcpStream::connect(to).await else { return };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut state = link.state.subscribe();
    tokio::select! {
        () = copy(&link, near_read, far_write) => {}
        () = copy_messages(&link, far_read, near_write) => {}
        _ = state.wait_for(|state| state.cuts(source)) => {}
    }
}

async fn copy(link: &Link, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    let mut bytes = vec![0; 64 << 10];
    loop {
        let Some(length) = read(link, &mut from, &mut bytes).await else {
            return;
        };
        if to.write_all(&bytes[..length]).await.is_err() {
            return;
        }
    }
}

/// Reads bytes and holds them back; `None` at the end.
async fn read(
    link: &Link,
    from: &mut OwnedReadHalf,
    bytes: &mut [u8],
) -> Option<usize> {
    let length = from.read(bytes).await.ok()?;
    if length == 0 {
        return None;
    }
    let most = link.delay_us.load(Ordering::Relaxed);
    if most > 0 {
        let wait = rand::random_range(0..most);
        sleep(Duration::from_micros(wait)).await;
    }
    Some(length)
}

/// Messages at the start of a link that are never swapped: its introduction.
const INTRODUCTION: usize = 3;

/// Copies from the dialled side, where websocket messages are not masked
/// and so can be told apart. Traffic that is no websocket passes as it is.
async fn copy_messages(
    link: &Link,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
) {
    let mut bytes = vec![0; 64 << 10];
    let mut splitter = Splitter::default();
    let mut held: Option<Vec<u8>> = None;
    let mut count = 0;
    loop {
        let Some(length) = read(link, &mut from, &mut bytes).await else {
            return;
        };
        let mut out = Vec::new();
        for message in splitter.push(&bytes[..length]) {
            count += 1;
            if let Some(earlier) = held.take() {
                out.extend_from_slice(&message);
                out.extend_from_slice(&earlier);
            } else if count > INTRODUCTION && is_drawn(link) {
                held = Some(message);
            } else {
                out.extend_from_slice(&message);
            }
        }
        if to.write_all(&out).await.is_err() {
            return;
        }
    }
}

fn is_drawn(link: &Link) -> bool {
    let every = link.swap_every.load(Ordering::Relaxed);
    every > 0 && rand::random_range(0..every) == 0
}

/// Splits a stream of bytes into an HTTP head and websocket messages.
#[derive(Debug, Default)]
struct Splitter {
    rest: Vec<u8>,
    mode: Mode,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Mode {
    #[default]
    Head,
    Messages,
    Plain,
}

impl Splitter {
    fn push(&mut self, bytes: &[u8]) -> Vec<Vec<u8>> {
        self.rest.extend_from_slice(bytes);
        let mut parts = Vec::new();
        while let Some(length) = self.part() {
            parts.push(self.rest.drain(..length).collect());
        }
        parts
    }

    /// The length of the next whole part.
    fn part(&mut self) -> Option<usize> {
        match self.mode {
            Mode::Plain => (!self.rest.is_empty()).then_some(self.rest.len()),
            Mode::Messages => self.message(),
            Mode::Head if !self.rest.starts_with(SWITCHING) => {
                if self.rest.len() >= SWITCHING.len() {
                    self.mode = Mode::Plain;
                    return self.part();
                }
                None
            }
            Mode::Head => {
                let mut windows = self.rest.windows(4);
                let end = windows.position(|it| it == b"\r\n\r\n")?;
                self.mode = Mode::Messages;
                Some(end + 4)
            }
        }
    }

    fn message(&self) -> Option<usize> {
        let short = usize::from(*self.rest.get(1)? & 0x7f);
        let (head, length) = match short {
            126 => {
                let bytes = self.rest.get(2..4)?.try_into().ok()?;
                (4, usize::from(u16::from_be_bytes(bytes)))
            }
            127 => {
                let bytes = self.rest.get(2..10)?.try_into().ok()?;
                (10, u64::from_be_bytes(bytes) as usize)
            }
            short => (2, short),
        };
        (self.rest.len() >= head + length).then_some(head + length)
    }
}

/// How the head of an accepted websocket starts.
const SWITCHING: &[u8] = b"HTTP/1.1 101";
