use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::Async;
use hollyhook_kernel::TimerService;
use socket2::SockRef;

/// How long sent bytes may stay unacknowledged before the kernel gives a connection up.
///
/// A partition drops packets without a word; without this the kernel would send again for many minutes.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Connects, or gives up after `limit`.
pub(crate) async fn dial(timer: &TimerService, address: SocketAddr, limit: Duration) -> Result<Async<TcpStream>> {
    let connected = timer.within(limit, Async::<TcpStream>::connect(address)).await;
    let stream = connected.unwrap_or_else(|| Err(Error::from(ErrorKind::TimedOut)))?;
    // An event is a small write; waiting to join it with the next one would delay it.
    let socket = SockRef::from(stream.get_ref());
    socket.set_tcp_nodelay(true)?;
    // A connection is only closed to stop what was sent on it, or when nothing is under way. A reset makes the peer
    // stop at once, and takes back what a partition holds up: it must not run long after its caller has left.
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    Ok(stream)
}
