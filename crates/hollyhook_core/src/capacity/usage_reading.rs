/// What a process has exchanged with callers and endpoints since its start, in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UsageReading {
    /// Bytes received.
    pub received: u64,
    /// Bytes sent.
    pub sent: u64,
}
