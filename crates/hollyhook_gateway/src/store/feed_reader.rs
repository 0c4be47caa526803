use std::sync::Arc;
use std::time::Duration;

use hollyhook_core::{
    EraVerdict, FeedChange, FeedPlan, FeedUpdate, HostRecord, Name, SkipReason, StoreContact, StoreRevision, TimePoint,
};
use hollyhook_platform::{ObjectKind, StoreChange, StoreObject};

use super::list_reading::{PageCallback, strip};
use super::partial_list::PartialList;
use super::{StoreClient, StoreError};
use crate::gateway::GatewayContext;
use crate::peer::{PeerClient, PeerError, PeerRequest, PeerRole};

/// Lower bound of a leader's watch wait, also if the leader's copy is old: a call that returns at once is charged and
/// seldom brings changes.
const MIN_LEADER_WAIT: Duration = Duration::from_millis(200);

/// Pause after an update from a helper. Each update is first requested from the store, which charges the call; the
/// copy that the helpers provide ages by this pause.
const HELPER_PAUSE: Duration = Duration::from_millis(500);

/// Delay after a list that the store answered but that can't be read to its end. All its pages are read again, and what
/// stands in the store seldom changes sooner.
const UNREADABLE_LIST_DELAY: Duration = Duration::from_millis(500);

/// Number of endpoints above which a list counts as long: the store returns a list of this length in a few pages, and
/// the smallest host sends it in a quarter of a second.
const LONG_LIST_LEN: usize = 1_000;

/// Reads updates to one kind of object, from the store or from a host that reads the store for others.
#[derive(Debug)]
pub(crate) struct FeedReader {
    pub(super) context: Arc<GatewayContext>,
    pub(super) kind: ObjectKind,
    pub(super) client: StoreClient,
    peers: PeerClient,
    /// How long a watch waits for changes at a host that is not a leader.
    watch_wait: Duration,
    /// Revision of the last update; `None` if all objects have to be listed first.
    revision: Option<StoreRevision>,
    /// The store's era in the last update.
    era: u64,
    /// Time until which the last update is known to be complete.
    pub(super) confirmed_until: TimePoint,
    pub(super) contact: StoreContact,
    /// When the first failed call to the store in a row began; `None` while the store answers.
    lost_at: Option<TimePoint>,
    /// A list that a failed call for a page interrupted.
    pub(super) partial_list: Option<PartialList>,
    /// Called after each page of the first list but the last.
    pub(super) page_callback: Option<PageCallback>,
    /// Whether the last update was requested as a list of all objects.
    is_listing: bool,
    /// Whether the last update came from a helper, a host that is asked when the store does not answer.
    is_from_helper: bool,
}

impl FeedReader {
    pub(crate) fn new(context: Arc<GatewayContext>, kind: ObjectKind, watch_wait: Duration) -> Self {
        let client = StoreClient::new(&context).late_reads();
        let peers = PeerClient::new(context.timer.as_ref().clone());
        Self {
            context,
            kind,
            client,
            peers,
            watch_wait,
            revision: None,
            era: 0,
            confirmed_until: TimePoint::ZERO,
            contact: StoreContact::default(),
            lost_at: None,
            partial_list: None,
            page_callback: None,
            is_listing: true,
            is_from_helper: false,
        }
    }

    /// Sets a callback that receives a list after each of its pages but the last, and returns how many of its objects it
    /// has processed, so that a host can serve requests before a list is complete, and if it never is.
    pub(crate) fn page_callback(mut self, callback: impl Fn(&PartialList) -> usize + Send + Sync + 'static) -> Self {
        self.page_callback = Some(PageCallback(Box::new(callback)));
        self
    }

    /// Where this host gets the contents of the store at present.
    pub(crate) fn plan(&self) -> FeedPlan {
        self.context.feed.plan(self.context.timer.now())
    }

    /// Waits a limited time for changes, and returns the next update, which states no changes if there were none.
    ///
    /// # Errors
    ///
    /// Why the store returned no update, if no other host did either.
    pub(crate) async fn next_update(&mut self) -> Result<FeedUpdate<StoreObject>, StoreError> {
        if std::mem::take(&mut self.is_from_helper) {
            self.context.timer.wait(HELPER_PAUSE).await;
        }
        self.is_listing = self.revision.is_none();
        if !self.is_listing {
            self.context.wait_for_hosts().await;
        }
        let plan = self.plan();
        let role = if matches!(plan, FeedPlan::Relay(_)) { PeerRole::Leader } else { PeerRole::Source };
        // A long list takes a host longer to send than the timeout of this role. `list` requests it from a source with
        // a longer timeout, or reads it from the store.
        let sources = if self.is_long_list_needed() { &[] } else { plan.sources() };
        if let Some(update) = self.fetch_from_hosts(role, sources).await {
            self.contact.note_peer_answer(self.context.timer.now());
            self.apply(&update);
            return Ok(update);
        }
        let wait = if plan == FeedPlan::Lead { self.leader_wait() } else { self.watch_wait };
        match self.fetch_from_store(wait).await {
            Ok(update) => {
                self.apply(&update);
                Ok(update)
            }
            Err(error) => {
                let is_unanswered = !matches!(error, StoreError::HistoryGone);
                if is_unanswered {
                    self.context.feed.restore_stale_sources();
                }
                if is_unanswered
                    && let Some(mut update) = self.fetch_from_hosts(PeerRole::Helper, &self.helpers()).await
                {
                    self.context.recorder.count("helped_by_hosts");
                    self.is_from_helper = true;
                    // A host that was updated by a helper does not update others: its copy may be older than they
                    // accept.
                    update.hops = u32::MAX;
                    self.apply(&update);
                    return Ok(update);
                }
                self.revision = None;
                Err(error)
            }
        }
    }

    /// Whether all objects have to be listed, and are so many that another host can't send them within the usual
    /// timeout.
    fn is_long_list_needed(&self) -> bool {
        let is_endpoints = self.kind == ObjectKind::Endpoint;
        self.revision.is_none() && is_endpoints && self.context.endpoints.table().len() > LONG_LIST_LEN
    }

    /// The hosts to ask when the store does not answer.
    fn helpers(&self) -> Vec<HostRecord> {
        self.context.feed.helpers(self.context.timer.now())
    }

    /// Waits for the retry delay after a failed call; not where all objects have to be listed after a watch.
    pub(crate) async fn wait_before_retry(&self, error: &StoreError) {
        match error {
            StoreError::HistoryGone if !self.is_listing => return,
            StoreError::HistoryGone | StoreError::EndlessList | StoreError::Malformed(_) if self.is_listing => {
                self.context.timer.wait(UNREADABLE_LIST_DELAY).await;
                return;
            }
            _ => {}
        }
        let now = self.context.timer.now();
        let pause = if self.plan().sources().is_empty() {
            self.contact.retry_delay(now)
        } else {
            self.contact.follower_retry_delay(now, self.context.contact_bound())
        };
        self.context.timer.wait(pause).await;
    }

    /// How long a leader's watch waits for changes: less the older its copy is, since followers receive a copy that
    /// ages meanwhile.
    fn leader_wait(&self) -> Duration {
        let age = self.context.timer.now().since(self.confirmed_until);
        self.context.feed_timing().leader_wait().saturating_sub(age).max(MIN_LEADER_WAIT)
    }

    /// Records an update, and makes it available to other hosts.
    fn apply(&mut self, update: &FeedUpdate<StoreObject>) {
        self.revision = self.revision.max(Some(update.revision));
        self.era = update.revision.era;
        self.confirmed_until = update.confirmed_until;
        self.context.feed.apply(self.kind, update);
        // An answer that is still to come may be older than this update.
        self.client.forget_late_reads();
    }

    /// Asks hosts in turn for an update, and returns the first usable one. Hosts that did not provide one are skipped
    /// for a while; returns `None` if no host did.
    pub(super) async fn fetch_from_hosts(
        &mut self,
        role: PeerRole,
        hosts: &[HostRecord],
    ) -> Option<FeedUpdate<StoreObject>> {
        for host in hosts {
            let request = PeerRequest {
                role,
                kind: self.kind,
                after: self.revision,
                timing: self.context.feed_timing(),
                sent_at: self.context.timer.now(),
            };
            match self.peers.fetch_update(host, request).await {
                Ok(update) if update.revision.era < self.context.feed.era() => {
                    let detail = "its copy is of an earlier era of the store";
                    self.skip_host(role, host, PeerError { reason: SkipReason::Stale, detail });
                }
                Ok(update) => {
                    self.observe_peer_era(host, &update);
                    return Some(update);
                }
                Err(error) => self.skip_host(role, host, error),
            }
        }
        None
    }

    /// Records the era of the store that another host's update states, if it is newer than any seen before.
    fn observe_peer_era(&self, host: &HostRecord, update: &FeedUpdate<StoreObject>) {
        let (before, era) = (self.context.feed.era(), update.revision.era);
        if era > 0 && self.context.feed.observe_era(Some(era)) == EraVerdict::Newer {
            tracing::info!(before, era, told_by = %host.host, "store.era");
        }
    }

    /// Logs that a host provided no usable update, and excludes the host as a source or helper for a while.
    fn skip_host(&self, role: PeerRole, host: &HostRecord, error: PeerError) {
        let now = self.context.timer.now();
        match role {
            PeerRole::Leader | PeerRole::Source | PeerRole::ListSource => {
                tracing::info!(leader = %host.host, kind = self.kind.as_str(), reason = error.detail, "leader.passed_over");
                self.context.recorder.count("leaders_passed_over");
                self.context.feed.skip_source(now, &host.host, error.reason);
            }
            PeerRole::Helper => {
                tracing::info!(helper = %host.host, kind = self.kind.as_str(), reason = error.detail, "helper.passed_over");
                self.context.feed.skip_helper(now, &host.host, error.reason);
            }
        }
    }

    /// Calls the store; if the first call after an answer fails, lists all objects over a new connection at once.
    ///
    /// An established connection may stay dead while new connections work. If the host first asked two other hosts
    /// (0.25 s each) and waited for the retry delay (0.25 s), it would learn that much later of endpoints that leave.
    async fn fetch_from_store(&mut self, usual_wait: Duration) -> Result<FeedUpdate<StoreObject>, StoreError> {
        let was_away = self.contact.is_unavailable();
        match self.call_store(self.revision, usual_wait).await {
            Err(StoreError::Unavailable(_) | StoreError::Rejected | StoreError::Missing) if !was_away => {
                self.call_store(None, usual_wait).await
            }
            outcome => outcome,
        }
    }

    /// Watches for changes after a revision, or lists all objects if there is none; records whether the store answered.
    async fn call_store(
        &mut self,
        revision: Option<StoreRevision>,
        usual_wait: Duration,
    ) -> Result<FeedUpdate<StoreObject>, StoreError> {
        let started_at = self.context.timer.now();
        self.contact.set_latency(self.context.feed.latency());
        let mut outcome = match revision {
            Some(revision) => self.watch(started_at, revision, usual_wait).await,
            None => self.list(started_at).await,
        };
        match &mut outcome {
            // The update came from another host, which does not show that the store answers this host.
            Ok(update) if update.hops > 0 => self.contact.note_peer_answer(self.context.timer.now()),
            Ok(update) => {
                self.log_regained(started_at);
                let (now, bound) = (self.context.timer.now(), self.context.contact_bound());
                let is_restored = self.confirmed_until > TimePoint::ZERO && update.revision.era > self.era;
                update.grace_start = if is_restored {
                    Some(self.contact.note_restore(now, bound))
                } else {
                    self.contact.note_answer(now, bound)
                };
            }
            Err(StoreError::HistoryGone) => self.log_regained(started_at),
            Err(error) => {
                self.record_lost(started_at, error);
                self.contact.note_failure(started_at);
            }
        }
        outcome
    }

    /// Logs that the store answers again after failed calls; the answered call began at `started_at`.
    fn log_regained(&mut self, started_at: TimePoint) {
        let Some(lost_at) = self.lost_at.take() else {
            return;
        };
        let (away_ms, call_ms) = (self.millis_since(lost_at), self.millis_since(started_at));
        tracing::info!(kind = self.kind.as_str(), away_ms, call_ms, "store.regained");
    }

    /// Counts a failed call to the store, and logs the first in a row.
    fn record_lost(&mut self, started_at: TimePoint, error: &StoreError) {
        self.context.recorder.count("store_calls_failed");
        if self.lost_at.is_none() {
            self.lost_at = Some(started_at);
            let call_ms = self.millis_since(started_at);
            tracing::warn!(kind = self.kind.as_str(), %error, call_ms, "store.lost");
        }
    }

    fn millis_since(&self, at: TimePoint) -> u64 {
        self.context.timer.now().since(at).as_millis() as u64
    }

    async fn watch(
        &mut self,
        started_at: TimePoint,
        revision: StoreRevision,
        usual_wait: Duration,
    ) -> Result<FeedUpdate<StoreObject>, StoreError> {
        let usual_wait = match self.kind {
            ObjectKind::Configuration => {
                usual_wait.min(self.contact.confirming_wait(self.context.confirmation_bound()))
            }
            _ => usual_wait,
        };
        let wait = self.contact.watch_wait(started_at, usual_wait, self.context.contact_bound());
        let timeout = self.contact.watch_timeout(wait, self.context.contact_bound());
        let (changes, revision) = self.client.watch(self.kind, revision, wait, timeout).await?;
        let is_unchanged = changes.is_empty();
        // A watch that returned no changes waited its full time, and there were none until its end.
        let waited_until = (started_at + wait).min(self.context.timer.now());
        let confirmed_until = if is_unchanged { waited_until } else { started_at };
        let changes = changes.into_iter().map(|change| feed_change(self.kind, change)).collect();
        Ok(FeedUpdate { is_snapshot: false, changes, revision, confirmed_until, grace_start: None, hops: 0 })
    }
}

/// Converts a change read from the store; an object that is being deleted counts as removed.
fn feed_change(kind: ObjectKind, change: StoreChange) -> FeedChange<StoreObject> {
    let name = Name::clone(&change.object.name);
    let is_gone = change.is_deleted || change.object.is_deleting;
    FeedChange { name, object: (!is_gone).then(|| strip(kind, change.object)) }
}
