/// How the era in an answer of the platform's store compares with the newest era seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraVerdict {
    /// The answer has the newest era, or the store has never stated one.
    Same,
    /// The store was restored from an older copy since the last answer.
    Newer,
    /// The answer is from an earlier era; nothing in it may be used.
    Older,
    /// The answer states no era although an earlier one did, so that nothing in it can be ordered.
    Missing,
}

/// The newest era of the platform's store that a host has seen, on any connection and from any other host.
///
/// ```
/// use hollyhook_core::{EraTracker, EraVerdict};
///
/// let mut tracker = EraTracker::default();
/// assert_eq!(tracker.observe(None), EraVerdict::Same, "a store that does not state its era");
/// assert_eq!(tracker.observe(Some(3)), EraVerdict::Newer);
/// assert_eq!(tracker.observe(Some(2)), EraVerdict::Older);
/// assert_eq!(tracker.era(), 3);
/// ```
#[derive(Debug, Default)]
pub struct EraTracker {
    newest: Option<u64>,
}

impl EraTracker {
    /// The newest era; zero if the store has not stated one.
    pub fn era(&self) -> u64 {
        self.newest.unwrap_or_default()
    }

    /// Compares the era that an answer states with the newest one, and records it if it is newer.
    pub fn observe(&mut self, stated: Option<u64>) -> EraVerdict {
        let verdict = match (stated, self.newest) {
            (None, None) => EraVerdict::Same,
            (None, Some(_)) => EraVerdict::Missing,
            (Some(stated), Some(newest)) if stated < newest => EraVerdict::Older,
            (Some(stated), Some(newest)) if stated == newest => EraVerdict::Same,
            (Some(_), _) => EraVerdict::Newer,
        };
        if verdict == EraVerdict::Newer {
            self.newest = stated;
        }
        verdict
    }
}
