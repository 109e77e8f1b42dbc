//! A TCP connection that calls hooks on reads and flushes.
//!
//! Bytes that are read and written pass through unchanged. [`ConnectionHooks`]
//! are called on reads and flushes and define how the connection is closed.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Actions that a connection performs on reads and flushes, none by default,
/// and the way in which the connection is closed.
pub trait ConnectionHooks: Unpin {
    /// How the connection is closed.
    const CLOSE_MODE: CloseMode = CloseMode::Graceful;

    /// Called when bytes were read from the connection.
    fn on_read(&mut self) {}

    /// Returns bytes to send before the next flush.
    fn bytes_before_flush(&mut self) -> Vec<u8> {
        Vec::new()
    }
}

/// How a connection is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloseMode {
    /// Close the connection gracefully: bytes that were written still arrive.
    Graceful,
    /// Reset the connection when it is dropped.
    Reset,
}

/// A TCP connection that calls its [`ConnectionHooks`] on reads and flushes.
#[derive(Debug)]
pub struct HookedStream<H> {
    stream: TcpStream,
    hooks: H,
}

/// Closes a connection by a TCP reset.
///
/// A client that drops a connection no longer needs the response. After a
/// graceful close, the server may believe that the client has only finished
/// sending. A server that reads late because its VM was frozen would even find
/// a complete request and run it. A reset discards bytes that the server has
/// not read.
#[derive(Clone, Copy, Debug)]
pub struct ResetOnDrop;

impl ConnectionHooks for ResetOnDrop {
    const CLOSE_MODE: CloseMode = CloseMode::Reset;
}

impl<H: ConnectionHooks> HookedStream<H> {
    /// Creates a connection that calls `hooks` on reads and flushes.
    pub fn new(stream: TcpStream, hooks: H) -> io::Result<HookedStream<H>> {
        if H::CLOSE_MODE == CloseMode::Reset {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        }
        Ok(HookedStream { stream, hooks })
    }
}

impl<H: ConnectionHooks> AsyncRead for HookedStream<H> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.hooks.on_read();
        }
        polled
    }
}

impl<H: ConnectionHooks> AsyncWrite for HookedStream<H> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        let tail = self.hooks.bytes_before_flush();
        if !tail.is_empty() {
            // The socket's send buffer is empty and has room for a few bytes.
            let _ = Pin::new(&mut self.stream).poll_write(context, &tail);
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        match H::CLOSE_MODE {
            CloseMode::Graceful => {
                Pin::new(&mut self.stream).poll_shutdown(context)
            }
            CloseMode::Reset => Poll::Ready(Ok(())),
        }
    }
}
