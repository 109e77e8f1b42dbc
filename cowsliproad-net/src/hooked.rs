//! A connection that does a little more than pass bytes on.
//!
//! What is read and written goes through unchanged; [`Hooks`] says what else
//! is done on the way.

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

/// What is done beside passing bytes on. Nothing, unless it is said.
pub trait Hooks: Unpin {
    /// How a connection ends.
    const ENDING: Ending = Ending::Orderly;

    /// Notes that bytes came.
    fn came(&mut self) {}

    /// Bytes that go out before the next flush.
    fn before_flush(&mut self) -> Vec<u8> {
        Vec::new()
    }
}

/// How a connection ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// What was written still arrives.
    Orderly,
    /// It is reset when it is dropped.
    Reset,
}

/// A connection with hooks.
#[derive(Debug)]
pub struct Hooked<H> {
    stream: TcpStream,
    hooks: H,
}

/// Ends a connection by a reset.
///
/// A client that drops a connection has no use for its answer any more. Closed
/// in good order, the other side may take it for one that has merely sent all
/// that it had to say; and one that reads late, since its VM was frozen, finds
/// a whole request to run. A reset discards what it has not read.
#[derive(Clone, Copy, Debug)]
pub struct Abrupt;

impl Hooks for Abrupt {
    const ENDING: Ending = Ending::Reset;
}

impl<H: Hooks> Hooked<H> {
    /// Takes a connection over.
    pub fn new(stream: TcpStream, hooks: H) -> io::Result<Hooked<H>> {
        if H::ENDING == Ending::Reset {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        }
        Ok(Hooked { stream, hooks })
    }
}

impl<H: Hooks> AsyncRead for Hooked<H> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.hooks.came();
        }
        polled
    }
}

impl<H: Hooks> AsyncWrite for Hooked<H> {
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
        let tail = self.hooks.before_flush();
        if !tail.is_empty() {
            // A few bytes fit into the empty buffer of a socket.
            let _ = Pin::new(&mut self.stream).poll_write(context, &tail);
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        match H::ENDING {
            Ending::Orderly => {
                Pin::new(&mut self.stream).poll_shutdown(context)
            }
            Ending::Reset => Poll::Ready(Ok(())),
        }
    }
}
