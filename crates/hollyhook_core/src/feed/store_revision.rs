/// A point in the history of the platform's store.
///
/// When the store is restored from an older copy of itself, its revisions go back and are assigned again, and its era
/// rises. Eras are therefore compared before revisions, and a revision alone orders nothing.
///
/// ```
/// use hollyhook_core::StoreRevision;
///
/// assert!(StoreRevision::new(2, 7) > StoreRevision::new(1, 900));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision {
    /// The store's count of its restores; zero if the store does not state one.
    pub era: u64,
    /// The store's count of changes.
    pub number: u64,
}

impl StoreRevision {
    /// The point at revision `number` of an era.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}
