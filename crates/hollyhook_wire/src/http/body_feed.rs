use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_channel::{Receiver, Sender};
use async_std::io::{BufRead, Read, ReadExt};
use futures::Stream;
use hollyhook_core::{Error, ErrorKind, Result};
use tide::Body;

/// The sending end of a body that is produced piece by piece.
#[derive(Debug, Clone)]
pub struct BodySender {
    sender: Sender<Vec<u8>>,
}

impl BodySender {
    /// Sends a piece; waits while the receiver is behind by the whole buffer.
    ///
    /// Returns whether the receiver is still there.
    pub async fn send(&self, piece: Vec<u8>) -> bool {
        self.sender.send(piece).await.is_ok()
    }

    /// Whether the receiver is gone.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the receiver is gone.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}

/// A body of unknown length and the feed that fills it, with room for `capacity` pieces.
pub fn body_channel(capacity: usize) -> (BodySender, Body) {
    let (sender, receiver) = async_channel::bounded(capacity);
    let reader = FeedReader { pieces: Box::pin(receiver), piece: Vec::new(), used: 0 };
    (BodySender { sender }, Body::from_reader(reader, None))
}

/// Reads a whole body of up to `limit` bytes.
///
/// # Errors
///
/// `BodyTooLarge` beyond the limit, `RequestTimeout` if the sender falls silent, `InvalidRequest` if it breaks off.
pub async fn read_body(body: Body, limit: usize) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let outcome = body.take(limit as u64 + 1).read_to_end(&mut bytes).await;
    if bytes.len() > limit {
        let message = format!("the body is larger than the limit of {limit} bytes");
        return Err(Error::new(ErrorKind::BodyTooLarge, message));
    }
    match outcome {
        Ok(_) => Ok(bytes),
        Err(error) if error.kind() == io::ErrorKind::TimedOut => {
            Err(Error::new(ErrorKind::RequestTimeout, "the body did not arrive whole in time"))
        }
        Err(error) => Err(Error::new(ErrorKind::InvalidRequest, format!("the body broke off: {error}"))),
    }
}

struct FeedReader {
    pieces: Pin<Box<Receiver<Vec<u8>>>>,
    piece: Vec<u8>,
    used: usize,
}

impl BufRead for FeedReader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.used == this.piece.len() {
            match ready!(this.pieces.as_mut().poll_next(cx)) {
                Some(piece) => {
                    this.piece = piece;
                    this.used = 0;
                }
                None => return Poll::Ready(Ok(&[])),
            }
        }
        Poll::Ready(Ok(&this.piece[this.used..]))
    }

    fn consume(mut self: Pin<&mut Self>, amt: usize) {
        self.used += amt;
    }
}

impl Read for FeedReader {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let available = ready!(self.as_mut().poll_fill_buf(cx))?;
        let count = available.len().min(buf.len());
        buf[..count].copy_from_slice(&available[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
