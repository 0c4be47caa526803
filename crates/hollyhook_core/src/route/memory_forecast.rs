use super::EngineReport;
use super::engine_wait::TYPICAL_EVENTS;

/// Tokens that one event of a generation adds to the memory of its engine.
pub(super) const EVENT_TOKENS: u64 = 9;

/// A request that takes memory at an engine until it ends.
#[derive(Debug, Clone, Copy)]
struct MemoryUse {
    /// Tokens in memory now, or once the prompt is admitted.
    tokens: u64,
    /// Tokens that the request will generate.
    growth: u64,
}

/// How much memory the requests at an engine will need at most.
///
/// An engine whose memory is full preempts a request, whose prompt is then read again. Each running request grows with
/// every event and frees all its memory when it ends, so the peak is less than the sum of what all need at their ends.
#[derive(Debug, Clone)]
pub struct MemoryForecast {
    total_tokens: u64,
    /// Tokens that neither grow nor belong to a run: backups, and prompts that are being read.
    fixed_tokens: u64,
    uses: Vec<MemoryUse>,
}

impl MemoryForecast {
    /// The forecast for what the report of an engine shows, if each prompt that it reads or that waits has
    /// `prompt_tokens`.
    pub fn new(report: &EngineReport, prompt_tokens: u64) -> Self {
        let run_tokens = report.runs.iter().map(|run| run.tokens).sum();
        let read_tokens = u64::from(report.reading) * prompt_tokens;
        // Part of the prompts being read may already count as used.
        let fixed_tokens = report.used_tokens.saturating_sub(run_tokens).max(read_tokens);
        let runs = report.runs.iter().map(|run| MemoryUse {
            tokens: run.tokens,
            growth: u64::from(TYPICAL_EVENTS).saturating_sub(run.events) * EVENT_TOKENS,
        });
        let mut forecast = Self { total_tokens: report.total_tokens, fixed_tokens, uses: runs.collect() };
        for _ in 0..report.reading {
            forecast.add(0, typical_output());
        }
        for _ in 0..report.waiting {
            forecast.add(prompt_tokens, typical_output());
        }
        forecast
    }

    /// Adds a request of which `tokens` are in memory before it generates `growth` tokens.
    pub fn add(&mut self, tokens: u64, growth: u64) {
        self.uses.push(MemoryUse { tokens, growth });
    }

    /// The most memory that the requests will need at one time, in tokens, if all generate equally fast.
    pub fn peak_tokens(&self) -> u64 {
        let mut uses = self.uses.clone();
        uses.sort_unstable_by_key(|memory| std::cmp::Reverse(memory.growth));
        let mut held = 0;
        let peaks = uses.iter().zip(1..).map(|(memory, count)| {
            held += memory.tokens;
            // Just before this request ends, the ones before it have grown as much and are still there.
            held + count * memory.growth
        });
        self.fixed_tokens + peaks.max().unwrap_or_default()
    }

    /// The number of tokens by which the peak exceeds the engine's memory; zero if the engine reports no memory.
    pub fn excess_tokens(&self) -> u64 {
        if self.total_tokens == 0 { 0 } else { self.peak_tokens().saturating_sub(self.total_tokens) }
    }

    /// The number of events after which requests that end have freed this many tokens; `None` if all together free less.
    pub fn events_until_freed(&self, tokens: u64) -> Option<u64> {
        let mut uses = self.uses.clone();
        uses.sort_unstable_by_key(|memory| memory.growth);
        let mut freed = 0;
        let last = uses.iter().find(|memory| {
            freed += memory.tokens;
            freed >= tokens
        });
        last.map(|memory| memory.growth / EVENT_TOKENS)
    }
}

/// The tokens that a typical generation produces.
pub(super) fn typical_output() -> u64 {
    u64::from(TYPICAL_EVENTS) * EVENT_TOKENS
}
