use std::sync::Arc;
use std::time::Duration;

use hollyhook_core::{
    EraVerdict, FeedChange, FeedPlan, FeedUpdate, HostRecord, Name, SkipReason, StoreContact, StoreRevision, TimePoint,
};
use hollyhook_platform::{ObjectKind, StoreChange, StoreObject};

use super::list_reading::{PartTaker, strip};
use super::page_list::PageList;
use super::{StoreClient, StoreError};
use crate::gateway::GatewayContext;
use crate::peer::{PeerClient, PeerFault, PeerQuestion, PeerRole};

/// The least that a watch waits at a host that reads for others, also where what it knows has grown old: a call that
/// returns at once is charged and seldom brings anything.
const LEAST_WAIT: Duration = Duration::from_millis(200);

/// The pause after another host helped out; each try of the store in between is charged, and what is learnt so is that old.
const HELP_PAUSE: Duration = Duration::from_millis(500);

/// Endpoints above which a list is long: one of so many takes a few pages of the store, and the smallest host sends it in a
/// quarter of a second.
const LONG_LIST: usize = 1_000;

/// Follows one kind of object, from the store or from a host that reads it for others.
#[derive(Debug)]
pub(crate) struct FeedReader {
    pub(super) context: Arc<GatewayContext>,
    pub(super) kind: ObjectKind,
    pub(super) client: StoreClient,
    peers: PeerClient,
    /// How long one watch waits at a host that reads for itself.
    wait: Duration,
    /// The revision to go on from; none if all objects have to be read first.
    revision: Option<StoreRevision>,
    /// The newest era in which news came.
    era: u64,
    /// Until when the last news were certain.
    pub(super) confirmed_until: TimePoint,
    pub(super) contact: StoreContact,
    /// When the first call began that the store did not answer; none while it answers.
    lost_at: Option<TimePoint>,
    /// A list of which a page got no answer.
    pub(super) begun: Option<PageList>,
    /// Who is told of the first list page by page.
    pub(super) part_taker: Option<PartTaker>,
    /// Whether the last news came from a host that was asked because the store gave no answer.
    is_helped: bool,
}

impl FeedReader {
    pub(crate) fn new(context: Arc<GatewayContext>, kind: ObjectKind, wait: Duration) -> Self {
        let client = StoreClient::new(&context);
        let peers = PeerClient::new(context.timer.as_ref().clone());
        Self {
            context,
            kind,
            client,
            peers,
            wait,
            revision: None,
            era: 0,
            confirmed_until: TimePoint::ZERO,
            contact: StoreContact::default(),
            lost_at: None,
            begun: None,
            part_taker: None,
            is_helped: false,
        }
    }

    /// The same reader that tells of its first list page by page: a host that has just started can serve with a part.
    pub(crate) fn part_taker(mut self, taker: impl FnMut(&[StoreObject]) + Send + Sync + 'static) -> Self {
        self.part_taker = Some(PartTaker(Box::new(taker)));
        self
    }

    /// From whom this host learns now.
    pub(crate) fn plan(&self) -> FeedPlan {
        self.context.feed.plan(self.context.timer.now())
    }

    /// The next news; waits a while for some.
    ///
    /// # Errors
    ///
    /// Why neither another host nor the store gave any.
    pub(crate) async fn next(&mut self) -> Result<FeedUpdate<StoreObject>, StoreError> {
        if std::mem::take(&mut self.is_helped) {
            self.context.timer.wait(HELP_PAUSE).await;
        }
        if self.revision.is_some() {
            self.context.wait_for_hosts().await;
        }
        let plan = self.plan();
        let role = if matches!(plan, FeedPlan::Relay(_)) { PeerRole::Leader } else { PeerRole::Source };
        // In a first list, or a new one, of many pages another host is asked for the rest.
        let sources = if self.has_long_list() { &[] } else { plan.sources() };
        if let Some(news) = self.ask_hosts(role, sources).await {
            self.contact.note_peer_answer(self.context.timer.now());
            self.take(&news);
            return Ok(news);
        }
        let wait = if plan == FeedPlan::Lead { self.leader_wait() } else { self.wait };
        match self.ask_store(wait).await {
            Ok(news) => {
                self.take(&news);
                Ok(news)
            }
            Err(error) => {
                let is_away = !matches!(error, StoreError::HistoryGone);
                if is_away {
                    self.context.feed.forgive();
                }
                if is_away && let Some(mut news) = self.ask_hosts(PeerRole::Helper, &self.helpers()).await {
                    self.context.recorder.count("helped_by_hosts");
                    self.is_helped = true;
                    // Who was helped tells nobody: what it knows may be older than others would wait for.
                    news.hops = u32::MAX;
                    self.take(&news);
                    return Ok(news);
                }
                self.revision = None;
                Err(error)
            }
        }
    }

    /// Whether all objects have to be read, more than any host tells within the usual time.
    fn has_long_list(&self) -> bool {
        let is_endpoints = self.kind == ObjectKind::Endpoint;
        self.revision.is_none() && is_endpoints && self.context.endpoints.table().len() > LONG_LIST
    }

    /// Whom to ask when the store gives no answer.
    fn helpers(&self) -> Vec<HostRecord> {
        self.context.feed.helpers(self.context.timer.now())
    }

    /// Waits until the store may be asked again after it gave no answer.
    pub(crate) async fn pause(&self) {
        let now = self.context.timer.now();
        let pause = if self.plan().sources().is_empty() {
            self.contact.retry_delay(now)
        } else {
            self.contact.follower_retry_delay(now, self.context.contact_bound())
        };
        self.context.timer.wait(pause).await;
    }

    /// How long a watch waits for others: what they are told ages meanwhile, from when the last answer was certain.
    fn leader_wait(&self) -> Duration {
        let age = self.context.timer.now().since(self.confirmed_until);
        self.context.feed_timing().leader_wait().saturating_sub(age).max(LEAST_WAIT)
    }

    fn take(&mut self, news: &FeedUpdate<StoreObject>) {
        self.revision = self.revision.max(Some(news.revision));
        self.era = news.revision.era;
        self.confirmed_until = news.confirmed_until;
        self.context.feed.take(self.kind, news);
    }

    /// What the first of these hosts knows that is of use; the others are passed over for a while.
    pub(super) async fn ask_hosts(&mut self, role: PeerRole, hosts: &[HostRecord]) -> Option<FeedUpdate<StoreObject>> {
        for host in hosts {
            let question = PeerQuestion {
                role,
                kind: self.kind,
                after: self.revision,
                timing: self.context.feed_timing(),
                asked_at: self.context.timer.now(),
            };
            match self.peers.ask(host, question).await {
                Ok(news) if news.revision.era < self.context.feed.era() => {
                    let why = "it has not heard that the store came back from a copy";
                    self.pass_over(role, host, PeerFault { reason: SkipReason::Stale, why });
                }
                Ok(news) => {
                    self.note_era(host, &news);
                    return Some(news);
                }
                Err(fault) => self.pass_over(role, host, fault),
            }
        }
        None
    }

    /// Takes in the era of the store that another host heard of.
    fn note_era(&self, host: &HostRecord, news: &FeedUpdate<StoreObject>) {
        let (before, era) = (self.context.feed.era(), news.revision.era);
        if era > 0 && self.context.feed.judge_era(Some(era)) == EraVerdict::Newer {
            tracing::info!(before, era, told_by = %host.host, "store.era");
        }
    }

    fn pass_over(&self, role: PeerRole, host: &HostRecord, fault: PeerFault) {
        let now = self.context.timer.now();
        match role {
            PeerRole::Leader | PeerRole::Source | PeerRole::ListSource => {
                tracing::info!(leader = %host.host, kind = self.kind.as_str(), reason = fault.why, "leader.passed_over");
                self.context.recorder.count("leaders_passed_over");
                self.context.feed.pass_over(now, &host.host, fault.reason);
            }
            PeerRole::Helper => {
                tracing::info!(helper = %host.host, kind = self.kind.as_str(), reason = fault.why, "helper.passed_over");
                self.context.feed.pass_over_helper(now, &host.host, fault.reason);
            }
        }
    }

    /// What the store answers; if a connection that worked gives nothing, a new one is tried at once.
    ///
    /// Connections go silent for good while new ones work. To ask two other hosts first (0.25 s each) and pause (0.25 s) would
    /// make the host that much later to know of endpoints that leave.
    async fn ask_store(&mut self, usual_wait: Duration) -> Result<FeedUpdate<StoreObject>, StoreError> {
        let was_away = self.contact.is_away();
        match self.call_store(self.revision, usual_wait).await {
            Err(StoreError::Away(_)) if !was_away => self.call_store(None, usual_wait).await,
            outcome => outcome,
        }
    }

    /// One call: a watch from a revision, or a list without one.
    async fn call_store(
        &mut self,
        revision: Option<StoreRevision>,
        usual_wait: Duration,
    ) -> Result<FeedUpdate<StoreObject>, StoreError> {
        let asked_at = self.context.timer.now();
        let mut outcome = match revision {
            Some(revision) => self.watch(asked_at, revision, usual_wait).await,
            None => self.list(asked_at).await,
        };
        match &mut outcome {
            // Another host told it, which says nothing of the store's way to this one.
            Ok(news) if news.hops > 0 => self.contact.note_peer_answer(self.context.timer.now()),
            Ok(news) => {
                self.note_regained(asked_at);
                let (now, bound) = (self.context.timer.now(), self.context.contact_bound());
                let has_come_back = self.confirmed_until > TimePoint::ZERO && news.revision.era > self.era;
                news.grace_start = if has_come_back {
                    Some(self.contact.note_restore(now, bound))
                } else {
                    self.contact.note_answer(now, bound)
                };
            }
            Err(StoreError::HistoryGone) => self.note_regained(asked_at),
            Err(error) => {
                self.note_lost(asked_at, error);
                self.contact.note_failure(asked_at);
            }
        }
        outcome
    }

    /// Logs that the store answers again, if it did not, as a call shows that began at `asked_at`.
    fn note_regained(&mut self, asked_at: TimePoint) {
        let Some(lost_at) = self.lost_at.take() else {
            return;
        };
        let (away_ms, call_ms) = (self.millis_since(lost_at), self.millis_since(asked_at));
        tracing::info!(kind = self.kind.as_str(), away_ms, call_ms, "store.regained");
    }

    /// Counts a call without an answer, and logs the first.
    fn note_lost(&mut self, asked_at: TimePoint, error: &StoreError) {
        self.context.recorder.count("store_calls_failed");
        if self.lost_at.is_none() {
            self.lost_at = Some(asked_at);
            let call_ms = self.millis_since(asked_at);
            tracing::warn!(kind = self.kind.as_str(), %error, call_ms, "store.lost");
        }
    }

    fn millis_since(&self, at: TimePoint) -> u64 {
        self.context.timer.now().since(at).as_millis() as u64
    }

    async fn watch(
        &mut self,
        asked_at: TimePoint,
        revision: StoreRevision,
        usual_wait: Duration,
    ) -> Result<FeedUpdate<StoreObject>, StoreError> {
        let wait = self.contact.watch_wait(asked_at, usual_wait, self.context.contact_bound());
        let limit = self.contact.watch_timeout(wait);
        let (changes, revision) = self.client.watch(self.kind, revision, wait, limit).await?;
        let is_quiet = changes.is_empty();
        // A watch that returned nothing waited its full time and saw nothing up to then.
        let waited_until = (asked_at + wait).min(self.context.timer.now());
        let confirmed_until = if is_quiet { waited_until } else { asked_at };
        let changes = changes.into_iter().map(|known| change(self.kind, known)).collect();
        Ok(FeedUpdate { is_snapshot: false, changes, revision, confirmed_until, grace_start: None, hops: 0 })
    }
}

/// An object that is being deleted counts as gone.
fn change(kind: ObjectKind, change: StoreChange) -> FeedChange<StoreObject> {
    let name = Name::clone(&change.object.name);
    let is_gone = change.is_gone || change.object.is_deleting;
    FeedChange { name, object: (!is_gone).then(|| strip(kind, change.object)) }
}
