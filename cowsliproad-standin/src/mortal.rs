//! A target whose process ends when it is sent certain work.
//!
//! It stands before another stand-in and passes bytes on. A request that
//! holds the deadly bytes is not passed on: nobody listens any more, then all
//! connections break, and some time later it is back at the same address. A
//! process closes what it opened first, so the listener goes before the
//! connections, unless it is to go a while after them.

use std::{
    future::pending,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
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

/// What ends it and for how long.
#[derive(Clone, Debug)]
pub struct Config {
    deadly: Vec<u8>,
    down: Duration,
    lag: Duration,
    stubborn: Option<Duration>,
}

impl Config {
    /// One that ends under requests that hold some bytes.
    pub fn new(deadly: &str) -> Config {
        Config {
            deadly: deadly.as_bytes().to_vec(),
            down: Duration::from_millis(500),
            lag: Duration::ZERO,
            stubborn: None,
        }
    }

    /// One that is back after so long.
    pub fn with_down(self, down: Duration) -> Config {
        Config { down, ..self }
    }

    /// One that goes on when its caller has left, and ends so long after it
    /// was sent such work.
    pub fn with_stubborn(self, time: Duration) -> Config {
        Config { stubborn: Some(time), ..self }
    }

    /// One whose listener goes so long after its connections.
    pub fn with_lag(self, lag: Duration) -> Config {
        Config { lag, ..self }
    }
}

/// A running target.
#[derive(Debug)]
pub struct Mortal {
    config: Config,
    behind: SocketAddr,
    ends: AtomicU32,
    end: watch::Sender<()>,
    /// Breaks all connections.
    broken: watch::Sender<()>,
}

/// Starts one before the stand-in at `behind` and tells where it listens.
pub async fn start(
    address: SocketAddr,
    behind: SocketAddr,
    config: Config,
) -> io::Result<(Arc<Mortal>, SocketAddr)> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let mortal = Arc::new(Mortal {
        config,
        behind,
        ends: AtomicU32::new(0),
        end: watch::Sender::new(()),
        broken: watch::Sender::new(()),
    });
    tokio::spawn(live(mortal.clone(), listener, address));
    Ok((mortal, address))
}

impl Mortal {
    /// How often its process ended.
    pub fn ends(&self) -> u32 {
        self.ends.load(Ordering::Relaxed)
    }

    /// Ends its process now.
    pub fn end(&self) {
        self.ends.fetch_add(1, Ordering::Relaxed);
        self.end.send_replace(());
    }

    /// Ends the process that runs now, unless it ends before.
    fn end_after(self: Arc<Mortal>, time: Duration) {
        let mut broken = self.broken.subscribe();
        tokio::spawn(async move {
            tokio::select! {
                () = sleep(time) => self.end(),
                _ = broken.changed() => {}
            }
        });
    }

    fn is_deadly(&self, bytes: &[u8]) -> bool {
        let deadly = &self.config.deadly;
        bytes.windows(deadly.len()).any(|it| it == deadly)
    }
}

/// Lives, ends and lives again.
async fn live(
    mortal: Arc<Mortal>,
    mut listener: TcpListener,
    address: SocketAddr,
) {
    loop {
        let mut ended = mortal.end.subscribe();
        tokio::select! {
            () = accept(&mortal, &listener) => {}
            _ = ended.changed() => {}
        }
        if mortal.config.lag > Duration::ZERO {
            mortal.broken.send_replace(());
            sleep(mortal.config.lag).await;
        }
        drop(listener);
        mortal.broken.send_replace(());
        sleep(mortal.config.down).await;
        listener = loop {
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                // Connections of before may hold the address for a moment.
                Err(_) => sleep(Duration::from_millis(10)).await,
            }
        };
    }
}

async fn accept(mortal: &Arc<Mortal>, listener: &TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let mut broken = mortal.broken.subscribe();
        let mortal = mortal.clone();
        tokio::spawn(async move {
            tokio::select! {
                // Whose connection broke finds out by itself.
                _ = connection(&mortal, stream) => {}
                _ = broken.changed() => {}
            }
        });
    }
}

async fn connection(
    mortal: &Arc<Mortal>,
    stream: TcpStream,
) -> io::Result<()> {
    let behind = TcpStream::connect(mortal.behind).await?;
    let (caller_reads, caller_writes) = stream.into_split();
    let (target_reads, target_writes) = behind.into_split();
    tokio::select! {
        done = requests(mortal, caller_reads, target_writes) => done,
        done = answers(target_reads, caller_writes) => done,
    }
}

async fn requests(
    mortal: &Arc<Mortal>,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
) -> io::Result<()> {
    let mut buffer = [0; 8 << 10];
    let mut request = Vec::new();
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        request.extend_from_slice(&buffer[..length]);
        if mortal.is_deadly(&request) {
            match mortal.config.stubborn {
                Some(time) => mortal.clone().end_after(time),
                None => mortal.end(),
            }
            // The connection goes with the process.
            return pending().await;
        }
        let kept = request.len().saturating_sub(mortal.config.deadly.len());
        request.drain(..kept);
        to.write_all(&buffer[..length]).await?;
    }
}

async fn answers(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
) -> io::Result<()> {
    tokio::io::copy(&mut from, &mut to).await.map(|_| ())
}
