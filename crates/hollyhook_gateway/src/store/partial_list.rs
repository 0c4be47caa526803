use hollyhook_core::{Name, StoreRevision, TimePoint};
use hollyhook_platform::{StoreObject, StorePage};

/// The pages read so far of a list of all objects of a kind.
///
/// The pages are kept if the call for the next one fails, so that the list continues with that page. If hundreds of
/// hosts instead read thousands of entries again from the start, they would keep the store's link so busy that their
/// calls would continue to fail.
#[derive(Debug)]
pub(super) struct PartialList {
    /// When the first page was requested; later changes may be missing.
    pub(super) started_at: TimePoint,
    pub(super) objects: Vec<StoreObject>,
    /// Revision of the first page. A watch from it also returns the changes made while later pages were read.
    pub(super) revision: Option<StoreRevision>,
    /// Name after which the next page begins; `None` before the first page and after the last.
    pub(super) after: Option<Name>,
}

impl PartialList {
    pub(super) fn new(started_at: TimePoint) -> Self {
        Self { started_at, objects: Vec::new(), revision: None, after: None }
    }

    /// Appends a page, and returns whether it is of the same era as the first one.
    ///
    /// If not, the store was restored from an older copy in between, and the pages don't form one list.
    pub(super) fn add_page(&mut self, era: u64, page: StorePage) -> bool {
        let revision = *self.revision.get_or_insert(StoreRevision::new(era, page.revision));
        self.objects.extend(page.objects);
        self.after = page.next_after;
        revision.era == era
    }
}
