/// Milliseconds per clock tick in `/proc`, which Linux fixes for user space.
const TICK_MS: u64 = 10;
/// Bytes of a memory page.
const PAGE_BYTES: u64 = 4_096;

/// Processor time and memory used by this process, as `/proc/self` reports them.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessUsage {
    /// Processor time in user and kernel mode since the start, in milliseconds.
    pub cpu_ms: u64,
    /// Resident memory, in bytes.
    pub memory_bytes: u64,
}

impl ProcessUsage {
    /// Reads the current usage; a value that can't be read is 0.
    pub fn read() -> Self {
        Self { cpu_ms: read_cpu().unwrap_or_default(), memory_bytes: read_memory().unwrap_or_default() }
    }
}

fn read_cpu() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/stat").ok()?;
    // The command name, in parentheses, may contain spaces, so fields are counted from its end. User and system time
    // are fields 14 and 15 of the line.
    let (_, fields) = text.rsplit_once(')')?;
    let mut times = fields.split_whitespace().skip(11);
    let user: u64 = times.next()?.parse().ok()?;
    let system: u64 = times.next()?.parse().ok()?;
    Some((user + system) * TICK_MS)
}

fn read_memory() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}
