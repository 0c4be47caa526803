use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join;
use hollyhook_core::{
    EndpointId, EndpointRecord, EndpointState, EngineCandidate, HomeCounts, Name, RouteQuery, StopReason,
    VersionFilter, ZoneName, choose_copy, choose_engine, excess_wait, has_holder, is_settled, place_held,
};
use hollyhook_platform::BackupSource;
use rand::Rng;

use super::attempt::{EndpointPlace, EndpointTarget};
use super::endpoint_probe::{ask_all, ask_holdings, ask_quickly};
use crate::front::CallerRequest;
use crate::gateway::{EndpointLack, GatewayContext};

/// Engines that are asked before a generation is placed. Two that are asked are nearly as good as all: the second
/// choice removes most of the waiting behind other prompts, a third little more.
const ASKED: usize = 2;

/// Engines that are asked whether they hold the prompt of a generation that comes back: of the own zone, and of each other
/// one. Most have last been at one of these.
const FIRST_HOMES: HomeCounts = HomeCounts { own: 3, far: 1 };
/// The same if none of the first does.
const ALL_HOMES: HomeCounts = HomeCounts { own: 6, far: 3 };

/// How long a connection to an engine of another zone has been idle before it makes that engine go first. A host that starts
/// a generation every 3 s then asks the same two engines each time, and one of many generations spreads their copies: an
/// engine gets one from it in 2 s, so three or four at a time while runs last six to seven seconds.
const COPY_REST: Duration = Duration::from_secs(2);

/// Where the memory of a run is copied to as it grows.
#[derive(Debug, Clone)]
pub(super) struct BackupPlace {
    pub(super) id: EndpointId,
    pub(super) source: BackupSource,
    /// Whether it was made on order: it stands until it is freed, and takes memory that serves nobody.
    pub(super) is_ordered: bool,
}

/// Where an attempt goes, where its memory comes from, and where it is copied to.
#[derive(Debug)]
pub(super) struct EngineChoice {
    pub(super) place: EndpointPlace,
    pub(super) from: Option<BackupSource>,
    pub(super) backup: Option<BackupPlace>,
    /// The engine to fetch the prompt from, which it holds.
    pub(super) prompt_at: Option<SocketAddr>,
}

/// Chooses the engine for one attempt of a caller's stream.
pub(super) struct EngineChooser<'a> {
    pub(super) context: &'a Arc<GatewayContext>,
    pub(super) caller: &'a CallerRequest,
    /// Engines that were tried already.
    pub(super) tried: &'a [EndpointId],
    /// Which versions it may go to.
    pub(super) versions: &'a VersionFilter,
}

impl EngineChooser<'_> {
    /// Chooses; `held` is where a copy of the memory of the attempt before lies.
    ///
    /// # Errors
    ///
    /// Why no attempt can be made, with how long it would be too late.
    pub(super) async fn choose(&self, held: Option<BackupPlace>) -> Result<EngineChoice, EndpointLack> {
        if self.caller.engine.is_none() {
            return self.choose_any();
        }
        let usable = held.as_ref().and_then(|held| self.usable(held));
        if let (Some(held), None) = (&held, &usable) {
            tracing::info!(request = %self.caller.head.attempt_id, endpoint = %held.id, "backup.lost");
        }
        if let Some((record, source)) = usable {
            let backups = ask_quickly(self.context, self.list_elsewhere(&record)).await;
            if let Some(place) = EndpointPlace::take(self.context, &record) {
                let backup = self.best_backup(&place, &backups);
                return Ok(EngineChoice { place, from: Some(source), backup, prompt_at: None });
            }
        }
        match self.choose_held().await {
            Some(choice) => Ok(choice),
            None if self.context.quarantine.is_suspected(|| self.caller.digest()) => self.choose_any(),
            None => self.choose_new().await,
        }
    }

    /// Chooses any engine, rather than the best.
    ///
    /// All that an engine took with it is placed anew at the same moment. Placed by the same reports, what did no harm would
    /// follow a request that ended it from engine to engine, and be taken for the cause as well.
    fn choose_any(&self) -> Result<EngineChoice, EndpointLack> {
        let place = self.any_place()?;
        Ok(EngineChoice { place, from: None, backup: None, prompt_at: None })
    }

    fn any_place(&self) -> Result<EndpointPlace, EndpointLack> {
        let query = self.query();
        EndpointPlace::take_any(self.context, &query).ok_or_else(|| self.context.endpoints.lack(&query))
    }

    /// Chooses for a caller who comes back, if an engine still holds the prompt.
    async fn choose_held(&self) -> Option<EngineChoice> {
        let part = self.returning_part()?;
        let mut homes = self.ask_homes(part, FIRST_HOMES, &[]).await;
        if !has_holder(&homes) {
            let rest = self.ask_homes(part, ALL_HOMES, &homes).await;
            homes.extend(rest);
        }
        let placement = place_held(&homes, self.needed_tokens(), &self.context.zone)?;
        let (record, holder) = (&placement.candidate.record, &placement.holder.record);
        tracing::info!(request = %self.caller.head.attempt_id, endpoint = %holder.id,
            tokens = placement.holder.held_tokens, is_fetched = placement.is_fetched(), "prompt.found");
        let prompt_at = placement.is_fetched().then_some(holder.address);
        let place = EndpointPlace::take(self.context, record)?;
        let backup = self.best_backup(&place, &homes);
        Some(EngineChoice { place, from: None, backup, prompt_at })
    }

    /// The prompt's own part, if the caller comes back to go on with a generation that this host has not tried yet.
    ///
    /// Its host was lost or stopped, not its engine: most likely that still holds what it had read.
    fn returning_part(&self) -> Option<u64> {
        let is_back = self.caller.head.cursor.is_some() && self.tried.is_empty();
        self.caller.head.prompt.filter(|_| is_back)?.own_part
    }

    /// Asks the engines that the prompt may have gone to, without those that were asked.
    async fn ask_homes(&self, part: u64, counts: HomeCounts, asked: &[EngineCandidate]) -> Vec<EngineCandidate> {
        let mut homes = self.context.endpoints.homes(&self.query(), self.home(), counts);
        homes.retain(|home| asked.iter().all(|candidate| candidate.record.id != home.id));
        let mut candidates = ask_holdings(self.context, homes, part).await;
        self.refresh(&mut candidates);
        candidates
    }

    async fn choose_new(&self) -> Result<EngineChoice, EndpointLack> {
        let first = self.context.endpoints.shortlist(&self.query(), self.home(), ASKED);
        let second = first.first().map(|record| self.list_elsewhere(record)).unwrap_or_default();
        let (mut asked, elsewhere) = self.ask_in_order(first, second).await;
        // Engines of other zones come last in the order, so that they are taken only if prompts wait in this one.
        asked.extend(elsewhere);
        self.refresh(&mut asked);
        let best = choose_engine(&asked, self.needed_tokens());
        if let Some(best) = best {
            self.check_wait(best)?;
        }
        let place = match best.and_then(|best| EndpointPlace::take(self.context, &best.record)) {
            Some(place) => place,
            // None of those that were asked answered, or has a place; any that is left may be better.
            None => self.any_place()?,
        };
        let backup = self.best_backup(&place, &asked);
        Ok(EngineChoice { place, from: None, backup, prompt_at: None })
    }

    /// Asks the engines that a prompt may go to, best first, and those that its copy may go to.
    ///
    /// The best alone at first, since in most cases that settles it: each other engine costs a connection.
    async fn ask_in_order(
        &self,
        mut first: Vec<EndpointRecord>,
        second: Vec<EndpointRecord>,
    ) -> (Vec<EngineCandidate>, Vec<EngineCandidate>) {
        let mut rest = first.split_off(1.min(first.len()));
        // Asked twice at once, an engine would be left out for the slower answer, and its copy not gone on from.
        rest.retain(|record| second.iter().all(|listed| listed.id != record.id));
        let (mut asked, elsewhere) = join(ask_all(self.context, first), ask_all(self.context, second)).await;
        if !asked.first().is_some_and(|best| is_settled(best, self.needed_tokens())) {
            asked.extend(ask_all(self.context, rest).await);
        }
        (asked, elsewhere)
    }

    /// Takes in what this host sent to the engines while it asked: it is in no report.
    fn refresh(&self, candidates: &mut [EngineCandidate]) {
        for candidate in candidates {
            self.context.endpoints.refresh(&mut candidate.record);
        }
    }

    /// Refuses what even the best engine that was asked would not end in time.
    ///
    /// Only what has not begun: how much is left of a stream that goes on is not known.
    fn check_wait(&self, candidate: &EngineCandidate) -> Result<(), EndpointLack> {
        if !self.tried.is_empty() || self.caller.head.cursor.is_some() {
            return Ok(());
        }
        let time_left = self.caller.time_left(self.context.timer.now());
        let prompt_tokens = self.caller.head.prompt.unwrap_or_default().prompt_tokens;
        let report = candidate.report.as_ref();
        match report.and_then(|report| excess_wait(report, prompt_tokens, time_left)) {
            Some(excess) => Err(EndpointLack { reason: StopReason::Overloaded, pause: excess }),
            None => Ok(()),
        }
    }

    /// The engine that holds the copy, if it still takes work.
    pub(super) fn usable(&self, held: &BackupPlace) -> Option<(EndpointRecord, BackupSource)> {
        let now = self.context.timer.now();
        let record = self.context.endpoints.table().get(&held.id).cloned()?;
        let is_fit = record.state == EndpointState::Live
            && !record.is_ejected(now)
            && self.context.rollouts.may_go_on_at(&record.service, &record.version);
        is_fit.then(|| (record, held.source.clone()))
    }

    /// Engines of other zones, above all for the copy of a run, since a zone often goes as a whole; each in a zone of
    /// its own, since another one may just be gone.
    ///
    /// Those to which a connection is kept go first. The order that all hosts share does not matter here: who goes on from a
    /// copy knows where it lies.
    fn list_elsewhere(&self, record: &EndpointRecord) -> Vec<EndpointRecord> {
        let rested = self.context.pool.rested(COPY_REST);
        let query = self.query().avoid_zone(&record.zone).prefer(&rested).repeatable(false);
        let mut list = self.context.endpoints.shortlist(&query, self.home(), usize::MAX);
        let mut zones = BTreeSet::new();
        list.retain(|record| zones.insert(ZoneName::clone(&record.zone)));
        list.truncate(ASKED);
        list
    }

    /// An engine for a new copy of a run that goes on.
    pub(super) async fn choose_backup(&self, running: &EndpointTarget) -> Option<EndpointTarget> {
        let record = self.context.endpoints.table().get(&running.id).cloned()?;
        let candidates = ask_all(self.context, self.list_elsewhere(&record)).await;
        let best = choose_copy(&candidates, self.needed_tokens())?;
        Some(EndpointTarget::from(&best.record))
    }

    fn has_backups(&self) -> bool {
        let is_kept = self.caller.engine.is_some_and(|engine| engine.has_backups);
        is_kept && self.caller.route.kind.is_repeatable()
    }

    fn best_backup(&self, place: &EndpointPlace, candidates: &[EngineCandidate]) -> Option<BackupPlace> {
        if !self.has_backups() {
            return None;
        }
        let elsewhere = candidates.iter().filter(|candidate| candidate.record.zone != place.target.zone);
        let best = choose_copy(elsewhere, self.needed_tokens())?;
        let attempt_id = Name::clone(&self.caller.head.attempt_id);
        let source = BackupSource { address: best.record.address, name: attempt_id };
        Some(BackupPlace { id: EndpointId::clone(&best.record.id), source, is_ordered: false })
    }

    /// A query for an engine, whose memory binds before its slots do.
    fn query(&self) -> RouteQuery<'_> {
        let query = RouteQuery::new(&self.caller.service).avoid(self.tried).versions(self.versions);
        let query = query.repeatable(self.caller.route.has_second_attempt());
        match self.caller.engine {
            Some(engine) => query.places((engine.capacity_tokens / self.needed_tokens()).max(1) as u32),
            None => query,
        }
    }

    fn needed_tokens(&self) -> u64 {
        self.caller.head.prompt.unwrap_or_default().memory_tokens().max(1)
    }

    /// The number by which all hosts order engines for this request.
    fn home(&self) -> u64 {
        let own_part = self.caller.head.prompt.and_then(|prompt| prompt.own_part);
        own_part.unwrap_or_else(|| rand::rng().random())
    }
}
