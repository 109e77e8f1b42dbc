//! A faulty stretch of network between two processes.
//!
//! It passes TCP bytes on. It can be cut, in which case its connections
//! break and new ones are refused, and it can hold bytes back for a random
//! time. Frames on one connection never overtake each other, as on a real
//! link; frames of one request do, because entries dial more than once and
//! delays differ.

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
    to: watch::Sender<SocketAddr>,
}

/// Starts a stretch towards an address and tells where it listens.
pub async fn start(to: SocketAddr) -> io::Result<(Arc<Link>, SocketAddr)> {
    let link = Arc::new(Link {
        state: watch::Sender::new(State::Open),
        delay_us: AtomicU64::new(0),
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
        () = copy(&link, far_read, near_write) => {}
        _ = state.wait_for(|state| state.cuts(source)) => {}
    }
}

async fn copy(link: &Link, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    let mut bytes = vec![0; 64 << 10];
    loop {
        let Ok(length) = from.read(&mut bytes).await else { return };
        if length == 0 {
            return;
        }
        let most = link.delay_us.load(Ordering::Relaxed);
        if most > 0 {
            let wait = rand::random_range(0..most);
            sleep(Duration::from_micros(wait)).await;
        }
        if to.write_all(&bytes[..length]).await.is_err() {
            return;
        }
    }
}
