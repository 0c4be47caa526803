/// Clock ticks a second in `/proc`, which Linux fixes for user space.
const TICK_MS: u64 = 10;
const PAGE_BYTES: u64 = 4_096;

/// What this process has used, as `/proc/self` says.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessUsage {
    /// Processor time, in milliseconds.
    pub cpu_ms: u64,
    /// Memory that is in use, in bytes.
    pub memory_bytes: u64,
}

impl ProcessUsage {
    /// Zero where the machine does not say.
    pub fn read() -> Self {
        Self { cpu_ms: read_cpu().unwrap_or_default(), memory_bytes: read_memory().unwrap_or_default() }
    }
}

fn read_cpu() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/stat").ok()?;
    // The command's name, in parentheses, may hold spaces; user and system time are fields 14 and 15 of the line.
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
