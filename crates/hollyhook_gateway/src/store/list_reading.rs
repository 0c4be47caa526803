use std::fmt;
use std::time::Duration;

use hollyhook_core::{FeedChange, FeedUpdate, Name, TimePoint};
use hollyhook_platform::{JsonText, ObjectKind, StoreObject};

use super::partial_list::PartialList;
use super::{FeedReader, StoreError};
use crate::peer::PeerRole;

/// How long after its first page a list that was interrupted by a failed call may be continued. The store keeps its
/// history of changes for longer, so that a watch from the first page's revision returns what changed meanwhile.
const PARTIAL_LIST_LIFETIME: Duration = Duration::from_secs(5);

/// Callback that receives a list after each of its pages but the last, and returns how many of its objects it has processed.
pub(super) struct PageCallback(pub(super) Box<PageFn>);

pub(super) type PageFn = dyn Fn(&PartialList) -> usize + Send + Sync;

impl fmt::Debug for PageCallback {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PageCallback")
    }
}

/// Reads all objects of a kind.
impl FeedReader {
    /// Lists all objects, from the store or from a source host; continues a list that a failed call interrupted.
    ///
    /// # Errors
    ///
    /// Why the store returned no complete list.
    pub(super) async fn list(&mut self, started_at: TimePoint) -> Result<FeedUpdate<StoreObject>, StoreError> {
        let partial_list =
            self.partial_list.take().filter(|list| started_at.since(list.started_at) < PARTIAL_LIST_LIFETIME);
        let mut list = partial_list.unwrap_or_else(|| PartialList::new(started_at));
        let timeout = self.contact.call_timeout();
        // If many hosts start at once, the first pages that all of them read would delay the host that reads the list
        // for the others.
        let mut has_asked_source = list.after.is_none() && self.has_relays().await;
        if has_asked_source && let Some(update) = self.fetch_list_from_source().await {
            return Ok(update);
        }
        loop {
            let mut read = match self.client.list_page(self.kind, list.after.as_deref(), timeout).await {
                Ok(read) => read,
                Err(error) => {
                    let may_continue =
                        matches!(error, StoreError::Unavailable(_) | StoreError::Rejected | StoreError::Throttled);
                    self.partial_list = Some(list).filter(|list| may_continue && list.revision.is_some());
                    return Err(error);
                }
            };
            let objects = std::mem::take(&mut read.page.objects);
            read.page.objects = objects.into_iter().map(|object| strip(self.kind, object)).collect();
            list.add_page(read)?;
            if list.after.is_none() {
                break;
            }
            self.report_pages(&mut list).await;
            // The source may become known only now, while the store is busy with the lists of all starting hosts.
            if !has_asked_source {
                self.context.wait_for_list_source().await;
                has_asked_source = !self.plan().sources().is_empty();
                if let Some(update) = self.fetch_list_from_source().await {
                    return Ok(update);
                }
            }
        }
        Ok(into_snapshot(list))
    }

    /// Passes a list to the callback, if there is one.
    async fn report_pages(&mut self, list: &mut PartialList) {
        if self.kind == ObjectKind::Endpoint {
            self.context.wait_for_site().await;
        }
        if let Some(PageCallback(callback)) = &self.page_callback {
            list.processed = callback(list);
        }
    }

    /// Whether endpoints are read and the zone has so many hosts that relays pass the leaders' updates on to the
    /// others.
    async fn has_relays(&self) -> bool {
        if self.kind != ObjectKind::Endpoint {
            return false;
        }
        self.context.wait_for_list_source().await;
        self.context.feed.has_relays()
    }

    /// Fetches all endpoints from this host's best source; `None` if this host has no source or the source can't
    /// answer.
    ///
    /// Without a source, hundreds of hosts that read thousands of entries each, as after a power failure of the whole
    /// site, would keep the store's one link busy for minutes, with a call for each page.
    async fn fetch_list_from_source(&mut self) -> Option<FeedUpdate<StoreObject>> {
        if self.kind != ObjectKind::Endpoint {
            return None;
        }
        let source = self.plan().sources().first().cloned()?;
        self.fetch_from_hosts(PeerRole::ListSource, &[source]).await
    }
}

fn into_snapshot(list: PartialList) -> FeedUpdate<StoreObject> {
    let PartialList { started_at, objects, revision, .. } = list;
    let present = objects.into_iter().filter(|object| !object.is_deleting);
    let changes = present.map(|object| FeedChange { name: Name::clone(&object.name), object: Some(object) });
    FeedUpdate {
        is_snapshot: true,
        changes: changes.collect(),
        revision: revision.unwrap_or_default(),
        confirmed_until: started_at,
        grace_start: None,
        hops: 0,
    }
}

/// Strips an object of the parts that no host reads, before it is kept and passed on to other hosts.
pub(super) fn strip(kind: ObjectKind, object: StoreObject) -> StoreObject {
    match kind {
        ObjectKind::Endpoint => hollyhook_platform::strip_endpoint(object),
        _ => StoreObject { status: JsonText::default(), ..object },
    }
}
