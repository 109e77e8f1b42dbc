//! A target that answers each request when and how a test says.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Instant,
};

use cowsliproad_kernel::sync::lock;
use cowsliproad_platform::header;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::harness::Plant;

/// A target that answers each request when the test says so.
pub struct Scripted {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    pending: Arc<Mutex<Vec<(TcpStream, String)>>>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl Scripted {
    /// Starts one and announces it in the log.
    pub async fn start(plant: &mut Plant, id: &str) -> Scripted {
        let listener = plant.bare_target(id, "plain", Some(1)).await;
        let pending = Arc::new(Mutex::new(Vec::new()));
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let connections = Arc::new(AtomicUsize::new(0));
        let scripted = Scripted {
            address: listener.local_addr().expect("an address"),
            connections: connections.clone(),
            pending: pending.clone(),
            arrivals: arrivals.clone(),
        };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connections.fetch_add(1, Ordering::Relaxed);
                let read = read(stream, pending.clone(), arrivals.clone());
                tokio::spawn(read);
            }
        });
        scripted
    }

    /// Where the target listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests that arrived.
    pub fn arrivals(&self) -> usize {
        lock(&self.arrivals).len()
    }

    /// Connections that were made.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Breaks the connection of the oldest request that waits.
    pub fn reset(&self) {
        drop(lock(&self.pending).remove(0));
    }

    /// Answers the oldest request that waits.
    pub async fn answer(&self, status: &str, headers: &str) {
        let (mut stream, request) = lock(&self.pending).remove(0);
        let name = header::REQUEST_ID;
        let answer = format!(
            "HTTP/1.1 {status}\r\n{name}: {request}\r\ncontent-length: 0\r\n\
             {headers}\r\n"
        );
        stream.write_all(answer.as_bytes()).await.expect("it is sent");
        let read = read(stream, self.pending.clone(), self.arrivals.clone());
        tokio::spawn(read);
    }
}

async fn read(
    mut stream: TcpStream,
    pending: Arc<Mutex<Vec<(TcpStream, String)>>>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
) {
    let mut buffer = [0; 8_192];
    let Ok(length @ 1..) = stream.read(&mut buffer).await else { return };
    let text = String::from_utf8_lossy(&buffer[..length]).to_lowercase();
    let request =
        text.lines().find_map(|it| it.strip_prefix("x-request-id: "));
    let request = request.expect("a request's id").to_string();
    lock(&arrivals).push(Instant::now());
    lock(&pending).push((stream, request));
}
