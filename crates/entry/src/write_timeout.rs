//! Write timeout for connections whose caller does not read.

use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

/// A connection that fails when a write makes no progress for `limit`.
///
/// A response body is not polled while the connection is blocked, so nothing
/// else ends the connection of a caller that neither reads nor closes.
#[derive(Debug)]
pub struct WriteTimeout<T> {
    inner: T,
    limit: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

impl<T: AsyncWrite + Unpin> WriteTimeout<T> {
    pub fn new(inner: T, limit: Duration) -> Self {
        WriteTimeout {
            inner,
            limit,
            timer: None,
        }
    }

    fn poll_with_timeout<R>(
        &mut self,
        cx: &mut Context<'_>,
        operation: impl FnOnce(Pin<&mut T>, &mut Context<'_>) -> Poll<io::Result<R>>,
    ) -> Poll<io::Result<R>> {
        if let Poll::Ready(result) = operation(Pin::new(&mut self.inner), cx) {
            self.timer = None;
            return Poll::Ready(result);
        }
        let limit = self.limit;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for WriteTimeout<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for WriteTimeout<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_with_timeout(cx, |inner, cx| inner.poll_write(cx, bytes))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_with_timeout(cx, |inner, cx| inner.poll_write_vectored(cx, bytes))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
