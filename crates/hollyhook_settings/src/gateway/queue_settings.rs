use crate::file::SectionReader;
use crate::value;

const ENABLED_CHOICES: &[(&str, bool)] = &[("on", true), ("off", false)];

/// How requests wait at this host for services without free capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueSettings {
    /// Whether requests wait, rather than being refused at once.
    pub is_enabled: bool,
    /// Maximum number of requests that wait for one service.
    pub requests: usize,
    /// Maximum size of the bodies of the requests that wait for one service, in bytes.
    pub memory_bytes: usize,
    /// Minimum fraction of the sent requests that each priority gets while its requests wait.
    pub minimum_share: f64,
}

impl Default for QueueSettings {
    /// Returns the values that apply to each key that the settings file does not set.
    ///
    /// With three priorities, two minimum shares of 0.02 leave the highest one 0.96 of the capacity, so that 0.95 of its
    /// requests can be served in time while they alone fit the capacity.
    fn default() -> Self {
        Self { is_enabled: false, requests: 1_000, memory_bytes: 16 << 20, minimum_share: 0.02 }
    }
}

impl QueueSettings {
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Self {
        let default = Self::default();
        let requests = reader.with_default("requests", default.requests as u64, value::count(1, 1_000_000));
        Self {
            is_enabled: reader.with_default("enabled", default.is_enabled, value::choice(ENABLED_CHOICES)),
            requests: requests as usize,
            memory_bytes: reader.with_default("memory", default.memory_bytes, value::bytes(1 << 10, 1 << 40)),
            minimum_share: reader.with_default("minimum_share", default.minimum_share, value::fraction),
        }
    }
}
