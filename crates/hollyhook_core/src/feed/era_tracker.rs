/// What an answer of the platform's store says of its era, against what is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraVerdict {
    /// It is the era that is known.
    Same,
    /// The store came back from an older copy since the last answer.
    Newer,
    /// The answer is of an era before: nothing in it may be believed.
    Older,
    /// The store has told its era before, and this answer does not: nothing in it can be ordered.
    Missing,
}

/// The newest era of the platform's store that a host has heard of, on whichever connection and from whichever host.
///
/// ```
/// use hollyhook_core::{EraLedger, EraVerdict};
///
/// let mut ledger = EraLedger::default();
/// assert_eq!(ledger.observe(None), EraVerdict::Same, "a store that does not tell its era");
/// assert_eq!(ledger.observe(Some(3)), EraVerdict::Newer);
/// assert_eq!(ledger.observe(Some(2)), EraVerdict::Older);
/// assert_eq!(ledger.era(), 3);
/// ```
#[derive(Debug, Default)]
pub struct EraTracker {
    newest: Option<u64>,
}

impl EraTracker {
    /// The newest era; zero if the store does not tell it.
    pub fn era(&self) -> u64 {
        self.newest.unwrap_or_default()
    }

    /// Judges an answer by the era that it tells, and remembers a newer one.
    pub fn observe(&mut self, told: Option<u64>) -> EraVerdict {
        let verdict = match (told, self.newest) {
            (None, None) => EraVerdict::Same,
            (None, Some(_)) => EraVerdict::Missing,
            (Some(told), Some(newest)) if told < newest => EraVerdict::Older,
            (Some(told), Some(newest)) if told == newest => EraVerdict::Same,
            (Some(_), _) => EraVerdict::Newer,
        };
        if verdict == EraVerdict::Newer {
            self.newest = told;
        }
        verdict
    }
}
