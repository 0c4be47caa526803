use std::io::Result;
use std::time::Duration;

use socket2::SockRef;

/// Makes a connection end with a reset instead of an orderly end as soon as it is closed.
///
/// # Errors
///
/// The kernel's error if it does not support the option.
pub(crate) fn reset_on_close(socket: &SockRef<'_>) -> Result<()> {
    socket.set_linger(Some(Duration::ZERO))
}
