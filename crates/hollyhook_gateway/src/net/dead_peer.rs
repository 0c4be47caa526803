use std::io::Result;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};

/// How long sent bytes, or keep-alive probes, may stay unacknowledged before the kernel closes a connection.
///
/// A partition drops packets silently; without this timeout the kernel would retransmit for many minutes. On Linux the
/// timeout also decides when keep-alive probes give up, whatever their number.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a byte in either direction after which the kernel probes the peer, and between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Makes the kernel close a connection whose peer can't be reached, also while nothing is sent on it.
///
/// # Errors
///
/// The kernel's error if it does not support an option.
pub(crate) fn detect_dead_peer(socket: &SockRef<'_>) -> Result<()> {
    let probes = TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&probes)?;
    set_user_timeout(socket)
}

/// Makes the kernel close a connection whose peer does not acknowledge what is sent.
///
/// # Errors
///
/// The kernel's error if it does not support the option.
pub(super) fn set_user_timeout(socket: &SockRef<'_>) -> Result<()> {
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
