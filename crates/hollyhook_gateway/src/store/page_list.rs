use hollyhook_core::{Name, StoreRevision, TimePoint};
use hollyhook_platform::{StoreObject, StorePage};

/// A list of all objects of a kind, as far as its pages were read.
///
/// It is kept where a page gets no answer, and goes on there: thousands of entries read again by hundreds of hosts would keep
/// the store's link busy for as long as they all fail.
#[derive(Debug)]
pub(super) struct PageList {
    /// When its first page was asked for; what changed since may be missing.
    pub(super) asked_at: TimePoint,
    pub(super) objects: Vec<StoreObject>,
    /// The revision of its first page. Changes between two pages are seen again by a watch from there.
    pub(super) revision: Option<StoreRevision>,
    /// The name at which the next page begins.
    pub(super) after: Option<Name>,
}

impl PageList {
    pub(super) fn new(asked_at: TimePoint) -> Self {
        Self { asked_at, objects: Vec::new(), revision: None, after: None }
    }

    /// Takes a page in; tells whether it belongs to this list, which it doesn't if the store came back from a copy in between.
    pub(super) fn take(&mut self, era: u64, page: StorePage) -> bool {
        let revision = *self.revision.get_or_insert(StoreRevision::new(era, page.revision));
        self.objects.extend(page.objects);
        self.after = page.next_after;
        revision.era == era
    }
}
