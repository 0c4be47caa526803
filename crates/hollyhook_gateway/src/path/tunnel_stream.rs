use std::io::{Error, ErrorKind, Result};
use std::net::TcpStream;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_io::Async;
use futures::io::{AsyncRead, AsyncWrite};
use hollyhook_core::{FrameBuffer, FrameError, FrameReader, FrameStep};

/// The asking host's side of a tunnel: reads as the bytes that the endpoint sent.
///
/// A tunnel that ends before its last frame reads as an error, never as the end of the endpoint's bytes: the host that
/// carried it may have ended.
#[derive(Debug)]
pub(crate) struct TunnelStream {
    inner: Async<TcpStream>,
    reader: FrameReader,
    buffer: Vec<u8>,
}

impl TunnelStream {
    /// Wraps a connection that has become a tunnel, of which the bytes `early` have been read already.
    pub(super) fn new(inner: Async<TcpStream>, early: &[u8]) -> Self {
        let mut reader = FrameReader::default();
        reader.feed(early);
        Self { inner, reader, buffer: vec![0; FrameBuffer::MAX_PAYLOAD_BYTES] }
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<Result<usize>> {
        let stream = self.get_mut();
        if buf.is_empty() {
            return Poll::Ready(Ok(0));
        }
        loop {
            match stream.reader.take(buf.len()).map_err(into_io)? {
                FrameStep::Data(bytes) => {
                    buf[..bytes.len()].copy_from_slice(&bytes);
                    return Poll::Ready(Ok(bytes.len()));
                }
                FrameStep::End => return Poll::Ready(Ok(0)),
                FrameStep::Incomplete => {}
            }
            let read = ready!(Pin::new(&mut stream.inner).poll_read(cx, &mut stream.buffer))?;
            if read == 0 {
                return Poll::Ready(stream.reader.finish().map(|()| 0).map_err(into_io));
            }
            stream.reader.feed(&stream.buffer[..read]);
        }
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

fn into_io(error: FrameError) -> Error {
    let kind = match error {
        FrameError::TooLong => ErrorKind::InvalidData,
        FrameError::Truncated => ErrorKind::UnexpectedEof,
    };
    Error::new(kind, error)
}
