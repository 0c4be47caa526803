/// A moment in the history of the platform's store.
///
/// A store may come back from an older copy of itself. Its revisions then go back and are given out again, and its era
/// rises. So eras go before revisions, and nothing is ordered by a revision alone.
///
/// ```
/// use hollyhook_core::StoreRevision;
///
/// assert!(StoreRevision::new(2, 7) > StoreRevision::new(1, 900));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision {
    /// How often the store came back, as it tells it; zero where it does not.
    pub era: u64,
    /// Its count of changes.
    pub number: u64,
}

impl StoreRevision {
    /// The moment of a revision in an era.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}
