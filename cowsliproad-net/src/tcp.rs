//! Socket options of TCP connections.

use std::{io, os::fd::AsFd, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

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
