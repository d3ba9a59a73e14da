//! Connection with or without TLS.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio_rustls::TlsStream;
use tonic::transport::server::Connected;

use super::peer::Peer;

/// Connection with or without TLS.
#[derive(Debug)]
pub struct Stream {
    io: Io,
    peer: Peer,
    /// Permit of the connection limit; released when the connection closes.
    permit: Option<OwnedSemaphorePermit>,
}

#[derive(Debug)]
enum Io {
    Plain(TcpStream),
    Tls(Box<TlsStream<TcpStream>>),
}

impl Stream {
    /// Creates a connection without TLS.
    pub fn plain(stream: TcpStream) -> Self {
        Stream {
            io: Io::Plain(stream),
            peer: Peer::default(),
            permit: None,
        }
    }

    /// Creates the server side of a TLS connection.
    pub fn server(stream: tokio_rustls::server::TlsStream<TcpStream>) -> Self {
        let peer = Peer::from_chain(stream.get_ref().1.peer_certificates());
        Stream {
            io: Io::Tls(Box::new(stream.into())),
            peer,
            permit: None,
        }
    }

    pub(super) fn client(stream: tokio_rustls::client::TlsStream<TcpStream>, peer: Peer) -> Self {
        Stream {
            io: Io::Tls(Box::new(stream.into())),
            peer,
            permit: None,
        }
    }

    /// Attaches a permit, which is released when the connection closes.
    pub fn with_permit(mut self, permit: OwnedSemaphorePermit) -> Self {
        self.permit = Some(permit);
        self
    }
}

impl Connected for Stream {
    type ConnectInfo = Peer;

    fn connect_info(&self) -> Peer {
        self.peer.clone()
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match &mut self.io {
            Io::Plain(stream) => Pin::new(stream).poll_read(cx, buffer),
            Io::Tls(stream) => Pin::new(stream).poll_read(cx, buffer),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        match &mut self.io {
            Io::Plain(stream) => Pin::new(stream).poll_write(cx, data),
            Io::Tls(stream) => Pin::new(stream).poll_write(cx, data),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.io {
            Io::Plain(stream) => Pin::new(stream).poll_flush(cx),
            Io::Tls(stream) => Pin::new(stream).poll_flush(cx),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.io {
            Io::Plain(stream) => Pin::new(stream).poll_shutdown(cx),
            Io::Tls(stream) => Pin::new(stream).poll_shutdown(cx),
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match &mut self.io {
            Io::Plain(stream) => Pin::new(stream).poll_write_vectored(cx, data),
            Io::Tls(stream) => Pin::new(stream).poll_write_vectored(cx, data),
        }
    }

    fn is_write_vectored(&self) -> bool {
        match &self.io {
            Io::Plain(stream) => stream.is_write_vectored(),
            Io::Tls(stream) => stream.is_write_vectored(),
        }
    }
}
