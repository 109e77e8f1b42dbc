//! Socket options of TCP connections.

use std::{io, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Unacknowledged bytes for this long show that the peer is gone.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The idle time before the first keepalive probe, and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

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
