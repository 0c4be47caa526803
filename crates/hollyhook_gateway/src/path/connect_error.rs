use std::io;

/// Why no connection to an endpoint could be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectError {
    /// Why the direct connection failed.
    pub(crate) direct: io::ErrorKind,
    /// What other hosts found.
    pub(crate) elsewhere: RemoteFinding,
}

/// What other hosts found when they were asked to connect to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RemoteFinding {
    /// No other host is known.
    NoHost,
    /// No other host answered, or none that did has a path to the endpoint itself.
    Unknown,
    /// Another host, with a path to other endpoints of the group, could not connect either.
    Unreachable,
}

impl ConnectError {
    /// The connection attempt ended without an outcome.
    pub(super) const NOT_TRIED: Self = Self { direct: io::ErrorKind::NotConnected, elsewhere: RemoteFinding::Unknown };

    /// Whether the endpoint's machine refuses connections, as it does when the process has ended, here or at another host
    /// that reaches other endpoints of the group.
    pub(crate) fn is_process_gone(self) -> bool {
        self.direct == io::ErrorKind::ConnectionRefused || self.elsewhere == RemoteFinding::Unreachable
    }

    /// The name used in logs.
    pub(crate) fn cause(self) -> &'static str {
        match self.direct {
            io::ErrorKind::TimedOut => "timed_out",
            io::ErrorKind::ConnectionRefused => "refused",
            _ => "failed",
        }
    }

    /// The counter of such connections.
    pub(crate) fn counter(self) -> &'static str {
        match self.direct {
            io::ErrorKind::TimedOut => "connections_timed_out",
            io::ErrorKind::ConnectionRefused => "connections_refused",
            _ => "connections_failed",
        }
    }
}

impl RemoteFinding {
    /// The name used in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NoHost => "no_host",
            Self::Unknown => "unknown",
            Self::Unreachable => "unreachable",
        }
    }
}

/// Whether an error says that a connection was refused or reset.
pub(super) fn is_refused(error: io::ErrorKind) -> bool {
    matches!(error, io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset)
}
