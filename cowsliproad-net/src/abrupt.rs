//! A connection that ends by a reset.
//!
//! A client that drops a connection has no use for its answer any more. Closed
//! in good order, the other side may take it for one that has merely sent all
//! that it had to say; and one that reads late, since its VM was frozen, finds
//! a whole request to run. A reset discards what it has not read.

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

/// A connection that ends by a reset when it is dropped.
#[derive(Debug)]
pub struct Abrupt(TcpStream);

impl Abrupt {
    /// Takes a connection over.
    pub fn new(stream: TcpStream) -> io::Result<Abrupt> {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        Ok(Abrupt(stream))
    }
}

impl AsyncRead for Abrupt {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(context, buffer)
    }
}

impl AsyncWrite for Abrupt {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    /// Leaves the end to the reset.
    fn poll_shutdown(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
