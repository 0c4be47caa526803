use std::io;
use std::os::fd::AsFd;

use socket2::SockRef;

/// Size of the receive buffer of a connection to an endpoint, in bytes; the kernel adds as much again for its own
/// bookkeeping.
///
/// Left to itself, the kernel lets the buffer grow to many megabytes, depending on the timing of earlier reads, and all
/// of it fills while a caller pauses. At a round trip of 40 ms, one connection still receives at least 3 MB a second.
const ENDPOINT_RECEIVE_BYTES: usize = 128 << 10;
/// Bytes that may wait in a send buffer before the peer's receive window has room for them.
///
/// Unlike a smaller send buffer, this leaves the number of bytes in flight to the kernel, and with it the throughput.
const UNSENT_BYTES: u32 = 64 << 10;

/// Bounds what the kernel buffers on a connection to a caller while the caller does not read.
///
/// # Errors
///
/// The kernel's error if it does not support the option; its default applies then.
pub fn bound_caller_buffers(socket: &impl AsFd) -> io::Result<()> {
    SockRef::from(socket).set_tcp_notsent_lowat(UNSENT_BYTES)
}

/// Bounds what the kernel buffers on a connection to an endpoint while the caller does not read the endpoint's response
/// or the endpoint does not read the request.
///
/// # Errors
///
/// The kernel's error if it does not support an option; its default applies then.
pub fn bound_endpoint_buffers(socket: &impl AsFd) -> io::Result<()> {
    let socket = SockRef::from(socket);
    socket.set_recv_buffer_size(ENDPOINT_RECEIVE_BYTES)?;
    socket.set_tcp_notsent_lowat(UNSENT_BYTES)
}
