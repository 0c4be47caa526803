use async_io::Async;
use smol_hyper::rt::FuturesIo;

/// A connection to a server that `hyper` can read and write.
pub(crate) type WireStream = FuturesIo<Async<std::net::TcpStream>>;

/// Any connection, as `hyper` reads and writes it.
pub(crate) fn wire_stream<S>(stream: S) -> FuturesIo<S> {
    FuturesIo::new(stream)
}
