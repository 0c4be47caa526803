use async_io::Async;
use smol_hyper::rt::FuturesIo;

/// An outgoing TCP connection that `hyper` can read and write.
pub(crate) type WireStream = FuturesIo<Async<std::net::TcpStream>>;

/// A connection that `hyper` can read and write.
pub(crate) type WireIo<S> = FuturesIo<S>;

/// Wraps a connection so that `hyper` can read and write it.
pub(crate) fn wire_stream<S>(stream: S) -> FuturesIo<S> {
    FuturesIo::new(stream)
}
