use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::Async;
use hollyhook_kernel::TimerService;
use socket2::SockRef;

use super::dead_peer::set_user_timeout;
use super::reset_on_close;

/// Opens a TCP connection; fails with `TimedOut` after `limit`.
pub(crate) async fn dial(timer: &TimerService, address: SocketAddr, limit: Duration) -> Result<Async<TcpStream>> {
    let connected = timer.within(limit, Async::<TcpStream>::connect(address)).await;
    let stream = connected.unwrap_or_else(|| Err(Error::from(ErrorKind::TimedOut)))?;
    // An event is a small write, which Nagle's algorithm would delay.
    let socket = SockRef::from(stream.get_ref());
    socket.set_tcp_nodelay(true)?;
    // A connection is closed only to cancel the request sent on it, or when it is idle. A reset makes the peer stop at
    // once and discards bytes that a partition holds up: such a request must not run long after its caller has left.
    reset_on_close(&socket)?;
    set_user_timeout(&socket)?;
    Ok(stream)
}
