use std::collections::HashSet;

use hollyhook_core::{Name, StoreRevision, TimePoint};
use hollyhook_platform::StoreObject;

use super::StoreError;
use super::store_client::ReadPage;

/// The pages read so far of a list of all objects of a kind.
///
/// The pages are kept if the call for the next one fails, so that the list continues with that page. If hundreds of
/// hosts instead read thousands of entries again from the start, they would keep the store's link so busy that their
/// calls would continue to fail.
#[derive(Debug)]
pub(crate) struct PartialList {
    /// When the first page was requested, or a later one that was answered late; later changes may be missing.
    pub(super) started_at: TimePoint,
    pub(super) objects: Vec<StoreObject>,
    /// The names of the objects.
    names: HashSet<Name>,
    /// The number of objects that the page callback has processed.
    pub(super) processed: usize,
    /// Revision of the first page. A watch from it also returns the changes made while later pages were read.
    pub(super) revision: Option<StoreRevision>,
    /// Name after which the next page begins; `None` before the first page and after the last.
    pub(super) after: Option<Name>,
}

impl PartialList {
    pub(super) fn new(started_at: TimePoint) -> Self {
        Self { started_at, objects: Vec::new(), names: HashSet::new(), processed: 0, revision: None, after: None }
    }

    /// The objects that the page callback has not processed.
    pub(super) fn unprocessed(&self) -> &[StoreObject] {
        self.objects.get(self.processed..).unwrap_or_default()
    }

    /// Appends the objects of a page that are not in the list yet.
    ///
    /// # Errors
    ///
    /// `HistoryGone` if the page is of another era than the first one: the store was restored from an older copy in
    /// between, and the pages don't form one list. `EndlessList` if more pages follow but this one holds nothing new.
    pub(super) fn add_page(&mut self, read: ReadPage) -> Result<(), StoreError> {
        let ReadPage { era, page, sent_at } = read;
        self.started_at = self.started_at.min(sent_at);
        let revision = *self.revision.get_or_insert(StoreRevision::new(era, page.revision));
        if revision.era != era {
            return Err(StoreError::HistoryGone);
        }
        let before = self.objects.len();
        let new = page.objects.into_iter().filter(|object| self.names.insert(Name::clone(&object.name)));
        self.objects.extend(new);
        self.after = page.next_after;
        if self.after.is_some() && self.objects.len() == before {
            return Err(StoreError::EndlessList);
        }
        Ok(())
    }
}
