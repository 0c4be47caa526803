use std::fmt;
use std::time::Duration;

use hollyhook_core::{FeedChange, FeedUpdate, Name, TimePoint};
use hollyhook_platform::{JsonText, ObjectKind, StoreObject};

use super::page_list::PageList;
use super::{FeedReader, StoreError};
use crate::peer::PeerRole;

/// How long after its first page a list may go on that got no answer for a page; the store keeps what changed meanwhile for
/// longer.
const LIST_KEPT: Duration = Duration::from_secs(5);

/// Takes what is read of the first list before it is whole: the objects so far.
pub(super) struct PartTaker(pub(super) Box<TakePart>);

pub(super) type TakePart = dyn FnMut(&[StoreObject]) + Send + Sync;

impl fmt::Debug for PartTaker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PartTaker")
    }
}

/// Reading all objects of a kind.
impl FeedReader {
    /// All objects, from the store or from the host that this one follows.
    pub(super) async fn list(&mut self, asked_at: TimePoint) -> Result<FeedUpdate<StoreObject>, StoreError> {
        let begun = self.begun.take().filter(|list| asked_at.since(list.asked_at) < LIST_KEPT);
        let mut list = begun.unwrap_or_else(|| PageList::new(asked_at));
        let limit = self.contact.call_timeout();
        // Where many hosts start at once, the first pages of all would hold up the list of the one that reads it for them.
        let mut has_asked = list.after.is_none() && self.has_relays().await;
        if has_asked && let Some(news) = self.ask_list_source().await {
            return Ok(news);
        }
        loop {
            let (era, mut page) = match self.client.list_page(self.kind, list.after.as_deref(), limit).await {
                Ok(answer) => answer,
                Err(error) => {
                    self.begun = Some(list).filter(|_| matches!(error, StoreError::Away(_) | StoreError::Throttled));
                    return Err(error);
                }
            };
            page.objects = page.objects.into_iter().map(|object| strip(self.kind, object)).collect();
            if !list.take(era, page) {
                // The store came back from a copy between two pages; together they are the list of no moment.
                return Err(StoreError::HistoryGone);
            }
            if list.after.is_none() {
                break;
            }
            self.tell_part(&list).await;
            // Those who could tell may become known while the store is busy with the lists of all who start.
            if !has_asked {
                self.context.wait_for_list_source().await;
                has_asked = !self.plan().sources().is_empty();
                if let Some(news) = self.ask_list_source().await {
                    return Ok(news);
                }
            }
        }
        Ok(whole_news(list))
    }

    /// Tells what is read of a first list before it is whole.
    async fn tell_part(&mut self, list: &PageList) {
        if self.confirmed_until > TimePoint::ZERO || self.part_taker.is_none() {
            return;
        }
        self.context.wait_for_site().await;
        if let Some(PartTaker(take)) = self.part_taker.as_mut() {
            take(&list.objects);
        }
    }

    /// Whether the hosts of the zone are so many that some tell on what one reads.
    async fn has_relays(&self) -> bool {
        if self.kind != ObjectKind::Endpoint {
            return false;
        }
        self.context.wait_for_list_source().await;
        self.context.feed.has_relays()
    }

    /// All objects, as the host knows them that this one follows; none if it reads the store for others, or if that one can't
    /// tell.
    ///
    /// Where hundreds of hosts read thousands of entries each, as after a loss of power of all, the store's one link is busy for
    /// minutes, and each page is a call.
    async fn ask_list_source(&mut self) -> Option<FeedUpdate<StoreObject>> {
        if self.kind != ObjectKind::Endpoint {
            return None;
        }
        let source = self.plan().sources().first().cloned()?;
        self.ask_hosts(PeerRole::ListSource, &[source]).await
    }
}

fn whole_news(list: PageList) -> FeedUpdate<StoreObject> {
    let PageList { asked_at, objects, revision, .. } = list;
    let present = objects.into_iter().filter(|object| !object.is_deleting);
    let changes = present.map(|object| FeedChange { name: Name::clone(&object.name), object: Some(object) });
    FeedUpdate {
        is_snapshot: true,
        changes: changes.collect(),
        revision: revision.unwrap_or_default(),
        confirmed_until: asked_at,
        grace_start: None,
        hops: 0,
    }
}

/// What is kept of an object, and told to others.
pub(super) fn strip(kind: ObjectKind, object: StoreObject) -> StoreObject {
    match kind {
        ObjectKind::Endpoint => hollyhook_platform::strip_endpoint(object),
        _ => StoreObject { status: JsonText::default(), ..object },
    }
}
