//! Listening sockets, and socket options of TCP connections.

use std::{io, net::SocketAddr, os::fd::AsFd, time::Duration};

use cowsliproad_kernel::clock::Millis;
use slog::{Logger, warn};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use crate::timer::sleep;

/// How long a program waits for an address that is in use or not there yet. A
/// closed connection keeps its port for a minute.
const BIND_TIMEOUT: Millis = Millis(90_000);

/// How often a program tries to bind such an address again.
const BIND_RETRY_INTERVAL: Millis = Millis(50);

/// How often a program that waits for an address says so.
const BIND_LOG_INTERVAL: Millis = Millis(5_000);

/// Unacknowledged bytes for this long show that the peer is gone.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The idle time before the first keepalive probe, and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The receive buffer of a connection to strangers or targets. The kernel
/// keeps up to twice as many unread bytes.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// The most bytes of a connection that the kernel keeps unread after
/// [`bound_unread_bytes`].
pub const MAX_UNREAD_BYTES: usize = 2 * RECEIVE_BUFFER_BYTES;

/// Bounds the bytes that are received on a socket and not yet read. On a
/// listener this applies to the connections that it accepts.
pub fn bound_unread_bytes<'s, S: AsFd>(socket: &'s S) -> io::Result<()>
where
    SockRef<'s>: From<&'s S>,
{
    SockRef::from(socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
}

/// Configures a connection so that it closes within seconds if the peer stops
/// responding, also while nothing is sent.
pub fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)
}

/// Listens at an address; see [`bind_udp`].
pub async fn listen(
    log: &Logger,
    address: SocketAddr,
) -> io::Result<TcpListener> {
    bind_when_free(log, "TCP", address, || TcpListener::bind(address)).await
}

/// Binds a datagram socket. While the address is in use or not there yet, as
/// just after a restart, the bind is tried again; errors name the address.
pub async fn bind_udp(
    log: &Logger,
    address: SocketAddr,
) -> io::Result<UdpSocket> {
    bind_when_free(log, "UDP", address, || UdpSocket::bind(address)).await
}

async fn bind_when_free<S, F>(
    log: &Logger,
    protocol: &'static str,
    address: SocketAddr,
    bind: impl Fn() -> F,
) -> io::Result<S>
where
    F: Future<Output = io::Result<S>>,
{
    let begun = Millis::now();
    let mut last_line_at = None;
    loop {
        let error = match bind().await {
            Ok(socket) => return Ok(socket),
            Err(error) => error,
        };
        let now = Millis::now();
        let may_pass = matches!(
            error.kind(),
            io::ErrorKind::AddrInUse | io::ErrorKind::AddrNotAvailable
        );
        if !may_pass || now.since(begun) > BIND_TIMEOUT {
            let why = format!("can't bind {protocol} {address}: {error}");
            return Err(io::Error::new(error.kind(), why));
        }
        if last_line_at.is_none_or(|it| now.since(it) >= BIND_LOG_INTERVAL) {
            last_line_at = Some(now);
            warn!(log, "address_unavailable"; "protocol" => protocol,
                "address" => %address, "error" => %error,
                "waited" => now.since(begun).0);
        }
        sleep(BIND_RETRY_INTERVAL.duration()).await;
    }
}
