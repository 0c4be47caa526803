use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::{join, join3};
use hollyhook_core::{
    EndpointId, EndpointRecord, EndpointState, EngineCandidate, HolderLimits, Name, PlacementRequest, PlacementVerdict,
    RouteQuery, ServicePriorities, StopReason, VersionFilter, ZoneName, choose_backup_engine, choose_engine,
    excess_wait, excess_wait_by_priority, has_holder, is_certain_choice, place_by_priority, place_held_prompt,
};
use hollyhook_platform::BackupSource;
use rand::Rng;

use super::attempt::EndpointSlot;
use super::endpoint_probe::{has_reporting, is_alive, probe_all, probe_holdings, probe_quickly, probe_unless_recent};
use super::request_log;
use crate::front::CallerRequest;
use crate::gateway::{GatewayContext, RoutingFailure};
use crate::path::EndpointTarget;

/// Number of engines probed before a generation is placed. Probing two is nearly as good as probing all: the second
/// choice removes most of the waiting behind other prompts, a third removes little more.
const PROBED_ENGINES: usize = 2;

/// Number of engines, in the own zone and in each other zone, that are probed first for the prompt of a generation
/// whose caller comes back. Most such generations last ran at one of these.
const FIRST_HOLDER_LIMITS: HolderLimits = HolderLimits { own_zone: 3, other_zone: 1 };
/// Number of engines, in the own zone and in each other zone, that are probed if none of the first holds the prompt.
const ALL_HOLDER_LIMITS: HolderLimits = HolderLimits { own_zone: 6, other_zone: 3 };

/// Time that a generation has waited from which engines are ordered at random for it and no longer by its prompt, so
/// that it does not find the same engines without capacity again.
const REORDER_AGE: Duration = Duration::from_millis(100);

/// How long a connection to an engine of another zone must have been idle for that engine to be preferred as the holder
/// of a backup. A host that starts a generation every 3 s then probes the same two engines each time. A host that starts
/// many spreads their backups: it sends each engine one backup in 2 s, so that an engine holds three or four at a time
/// while generations last six to seven seconds.
const BACKUP_MIN_IDLE: Duration = Duration::from_secs(2);

/// Backup of a generation's KV cache, and the engine that holds it.
#[derive(Debug, Clone)]
pub(super) struct BackupLocation {
    pub(super) id: EndpointId,
    pub(super) source: BackupSource,
    /// Whether the backup was made by an explicit request. Such a backup occupies KV cache that serves no request until
    /// it is freed.
    pub(super) is_on_demand: bool,
}

/// Engine that an attempt is sent to, the backup that it resumes from, and the engine that is to hold its own backup.
#[derive(Debug)]
pub(super) struct EngineChoice {
    pub(super) slot: EndpointSlot,
    /// Backup of the KV cache to resume from.
    pub(super) from: Option<BackupSource>,
    pub(super) backup: Option<BackupLocation>,
    /// Address of an engine that holds the prompt's KV cache, to fetch it from.
    pub(super) prompt_at: Option<SocketAddr>,
}

/// Chooses the engine for one attempt of a caller's stream.
pub(super) struct EngineChooser<'a> {
    pub(super) context: &'a Arc<GatewayContext>,
    pub(super) caller: &'a CallerRequest,
    /// Engines that earlier attempts were sent to.
    pub(super) tried: &'a [EndpointId],
    /// Versions that the attempt may be sent to.
    pub(super) versions: &'a VersionFilter,
}

impl EngineChooser<'_> {
    /// Chooses an engine; `resume_from` is the backup of the lost attempt's KV cache, if there is one.
    ///
    /// # Errors
    ///
    /// Why no attempt can be made, and how long this is expected to last.
    pub(super) async fn choose(&self, resume_from: Option<BackupLocation>) -> Result<EngineChoice, RoutingFailure> {
        if self.caller.engine.is_none() {
            return self.choose_any();
        }
        let usable_backup = resume_from.as_ref().and_then(|resume_from| self.usable_backup(resume_from));
        if let (Some(resume_from), None) = (&resume_from, &usable_backup) {
            tracing::info!(request = %self.caller.head.attempt_id, endpoint = %resume_from.id, "backup.lost");
        }
        if let Some((record, source)) = usable_backup {
            let backups = probe_quickly(self.context, self.list_other_zones(&record)).await;
            if let Some(slot) = EndpointSlot::reserve(self.context, &record, self.slots()) {
                let backup = self.best_backup(&slot, &backups);
                return Ok(EngineChoice { slot, from: Some(source), backup, prompt_at: None });
            }
        }
        match self.choose_holder().await {
            Some(choice) => Ok(choice),
            None if self.context.quarantine.is_suspected(|| self.caller.digest()) => self.choose_any(),
            None => self.choose_new().await,
        }
    }

    /// Chooses an engine that shows signs of life, for an attempt beside those at `silent` engines; `None` if there is
    /// none, or if one of the silent engines reports again.
    ///
    /// While most engines are silent, only one that holds the backup is chosen: the few others could not read all
    /// prompts again, and a pause ends sooner.
    pub(super) async fn choose_responsive(
        &self,
        resume_from: Option<BackupLocation>,
        silent: &[EndpointTarget],
    ) -> Option<EngineChoice> {
        if self.caller.engine.is_none() {
            let query = self.query().responsive(self.context.timer.now());
            let slot = EndpointSlot::reserve_any(self.context, &query)?;
            return Some(EngineChoice { slot, from: None, backup: None, prompt_at: None });
        }
        let usable_backup = resume_from.as_ref().and_then(|resume_from| self.usable_backup(resume_from));
        if let Some((record, source)) = usable_backup {
            let others = probe_quickly(self.context, self.list_other_zones(&record));
            // After a common pause, the silent engines have gone on together with the one that holds the backup.
            let probes = join3(is_alive(self.context, &record), has_reporting(self.context, silent), others);
            let (is_alive, is_pause_over, backups) = probes.await;
            if is_pause_over {
                return None;
            }
            if is_alive && let Some(slot) = EndpointSlot::reserve(self.context, &record, self.slots()) {
                let backup = self.best_backup(&slot, &backups);
                return Some(EngineChoice { slot, from: Some(source), backup, prompt_at: None });
            }
        }
        if self.context.endpoints.is_silence_widespread(&self.caller.service) {
            return None;
        }
        let choice = self.choose_reporting().await?;
        // Asked before a prompt is read again.
        (!has_reporting(self.context, silent).await).then_some(choice)
    }

    /// Chooses an engine among those that report now.
    async fn choose_reporting(&self) -> Option<EngineChoice> {
        let query = self.query().responsive(self.context.timer.now());
        let list = self.context.endpoints.shortlist(&query, self.rendezvous_key(), PROBED_ENGINES);
        let others = list.first().map(|record| self.list_other_zones(record)).unwrap_or_default();
        let (mut probed, others) = join(probe_all(self.context, list), probe_all(self.context, others)).await;
        probed.extend(others);
        probed.retain(|candidate| candidate.report.is_some());
        self.refresh(&mut probed);
        let best = choose_engine(&probed, self.needed_tokens())?;
        let slot = EndpointSlot::reserve(self.context, &best.record, self.slots())?;
        let backup = self.best_backup(&slot, &probed);
        Some(EngineChoice { slot, from: None, backup, prompt_at: None })
    }

    /// Chooses an engine without probing any.
    ///
    /// When an engine crashes, all its requests are placed again at the same moment. If all were placed by the same
    /// reports, harmless requests would follow the one that caused the crash from engine to engine and be suspected as
    /// well.
    fn choose_any(&self) -> Result<EngineChoice, RoutingFailure> {
        let slot = self.reserve_any_slot()?;
        Ok(EngineChoice { slot, from: None, backup: None, prompt_at: None })
    }

    fn reserve_any_slot(&self) -> Result<EndpointSlot, RoutingFailure> {
        let query = self.query();
        let responsive = self.query().responsive(self.context.timer.now());
        let slot = EndpointSlot::reserve_any(self.context, &responsive);
        slot.or_else(|| EndpointSlot::reserve_any(self.context, &query))
            .ok_or_else(|| self.context.endpoints.routing_failure(&query))
    }

    /// Chooses an engine for a caller that comes back with a cursor; `None` if no engine is found that still holds the
    /// prompt.
    async fn choose_holder(&self) -> Option<EngineChoice> {
        let part = self.returning_prompt_part()?;
        let mut holders = self.probe_likely_holders(part, FIRST_HOLDER_LIMITS, &[]).await;
        if !has_holder(&holders) {
            let rest = self.probe_likely_holders(part, ALL_HOLDER_LIMITS, &holders).await;
            holders.extend(rest);
        }
        self.place_at_holder(&holders)
    }

    /// Places the request at an engine that holds its prompt, or at one that fetches the prompt from there.
    fn place_at_holder(&self, holders: &[EngineCandidate]) -> Option<EngineChoice> {
        let placement = place_held_prompt(holders, self.needed_tokens(), &self.context.zone)?;
        let (record, holder) = (&placement.candidate.record, &placement.holder.record);
        tracing::info!(request = %self.caller.head.attempt_id, endpoint = %holder.id, version = %holder.version,
            tokens = placement.holder.held_tokens, is_fetched = placement.is_fetched(), "prompt.found");
        let prompt_at = placement.is_fetched().then_some(holder.address);
        let slot = EndpointSlot::reserve(self.context, record, self.slots())?;
        let backup = self.best_backup(&slot, holders);
        Some(EngineChoice { slot, from: None, backup, prompt_at })
    }

    /// The prompt's own part, if the caller comes back with a cursor and this host has made no attempt yet.
    ///
    /// In that case the previous host was lost or stopped, not the engine, which most likely still holds the prompt.
    fn returning_prompt_part(&self) -> Option<u64> {
        let is_back = self.caller.head.cursor.is_some() && self.tried.is_empty();
        self.caller.head.prompt.filter(|_| is_back)?.own_part
    }

    /// Probes the engines that the prompt may have been sent to, except those already probed.
    async fn probe_likely_holders(
        &self,
        part: u64,
        counts: HolderLimits,
        probed: &[EngineCandidate],
    ) -> Vec<EngineCandidate> {
        let mut holders = self.context.endpoints.likely_holders(&self.query(), self.rendezvous_key(), counts);
        holders.retain(|record| probed.iter().all(|candidate| candidate.record.id != record.id));
        let mut candidates = probe_holdings(self.context, holders, part).await;
        self.refresh(&mut candidates);
        candidates
    }

    async fn choose_new(&self) -> Result<EngineChoice, RoutingFailure> {
        let priorities = self.mixed_priorities();
        let first =
            self.context.endpoints.shortlist(&self.query(), self.placement_key(priorities.is_some()), PROBED_ENGINES);
        let second = first.first().map(|record| self.list_other_zones(record)).unwrap_or_default();
        let mut probed = self.probe_in_order(first, second, priorities.is_some()).await;
        self.refresh(&mut probed);
        let best = match &priorities {
            Some(priorities) => self.choose_by_priority(&probed, priorities)?,
            None => self.choose_by_load(&probed)?,
        };
        let slot = match best.and_then(|best| EndpointSlot::reserve(self.context, &best.record, self.slots())) {
            Some(slot) => slot,
            // No probed engine reported, or the best one has no free slot; one that was not probed may have.
            None => self.reserve_any_slot()?,
        };
        let backup = self.best_backup(&slot, &probed);
        Ok(EngineChoice { slot, from: None, backup, prompt_at: None })
    }

    /// The priorities of the service's requests, if they differ.
    fn mixed_priorities(&self) -> Option<Arc<ServicePriorities>> {
        let priorities = self.context.site()?.priorities(&self.caller.service)?;
        priorities.is_mixed().then_some(priorities)
    }

    /// Chooses the engine for a generation of a service whose requests have different priorities; `None` if no probed
    /// engine reported.
    ///
    /// # Errors
    ///
    /// `Overloaded` if no probed engine would finish the generation in time; with `awaits_room` if none has capacity for
    /// its priority yet.
    fn choose_by_priority<'c>(
        &self,
        probed: &'c [EngineCandidate],
        priorities: &ServicePriorities,
    ) -> Result<Option<&'c EngineCandidate>, RoutingFailure> {
        let request = self.placement_request(priorities);
        if !self.has_begun()
            && let Some(excess) = excess_wait_by_priority(probed, &request)
        {
            return Err(RoutingFailure { reason: StopReason::Overloaded, pause: excess, awaits_room: false });
        }
        match place_by_priority(probed, &request) {
            Some(PlacementVerdict::Place(best)) => Ok(Some(best)),
            Some(PlacementVerdict::PlaceUrgent(best)) => {
                request_log::placed_without_headroom(self.context, self.caller, &best.record.id);
                Ok(Some(best))
            }
            Some(PlacementVerdict::Wait { pause, shortage, best }) => {
                request_log::awaits_capacity(self.context, self.caller, &best.record.id, shortage, pause);
                if self.context.queues.is_enabled() && !self.has_begun() {
                    return Err(RoutingFailure { reason: StopReason::Overloaded, pause, awaits_room: true });
                }
                Ok(Some(best))
            }
            None => Ok(None),
        }
    }

    fn placement_request<'p>(&self, priorities: &'p ServicePriorities) -> PlacementRequest<'p> {
        let now = self.context.timer.now();
        PlacementRequest {
            size: self.caller.head.prompt.unwrap_or_default(),
            priority: self.caller.priority(),
            objective: self.caller.route.latency_objective,
            waited: now.since(self.caller.arrived),
            time_left: self.caller.time_left(now),
            priorities,
        }
    }

    /// Chooses the engine of the lowest cost; `None` if no probed engine reported.
    ///
    /// # Errors
    ///
    /// `Overloaded` if even that engine would not finish the generation in time.
    fn choose_by_load<'c>(&self, probed: &'c [EngineCandidate]) -> Result<Option<&'c EngineCandidate>, RoutingFailure> {
        let best = choose_engine(probed, self.needed_tokens());
        if let Some(best) = best {
            self.check_wait(best)?;
        }
        Ok(best)
    }

    /// Whether the generation has been sent to an engine before, by this host or another.
    fn has_begun(&self) -> bool {
        !self.tried.is_empty() || self.caller.head.cursor.is_some()
    }

    /// The key by which engines are ordered for a new generation: random for one that has waited for `REORDER_AGE`.
    fn placement_key(&self, has_priorities: bool) -> u64 {
        if has_priorities && self.context.timer.now().since(self.caller.arrived) >= REORDER_AGE {
            return rand::rng().random();
        }
        self.rendezvous_key()
    }

    /// Probes the engines that a prompt may be sent to, best first, and those that may hold its backup.
    ///
    /// The best engine is probed alone at first, since its report settles most choices and each further engine costs a
    /// connection.
    async fn probe_in_order(
        &self,
        mut first: Vec<EndpointRecord>,
        second: Vec<EndpointRecord>,
        has_priorities: bool,
    ) -> Vec<EngineCandidate> {
        let mut rest = first.split_off(1.min(first.len()));
        // An engine probed twice at once would count as failed if the slower report came too late, and its backup would
        // not be used.
        rest.retain(|record| second.iter().all(|listed| listed.id != record.id));
        let (mut probed, other_zones) =
            join(self.probe(first, has_priorities), self.probe(second, has_priorities)).await;
        if !probed.first().is_some_and(|best| is_certain_choice(best, self.needed_tokens())) {
            probed.extend(self.probe(rest, has_priorities).await);
        }
        // Engines of other zones rank last, so that one is chosen only if prompts wait in this host's zone.
        probed.extend(other_zones);
        probed
    }

    /// Probes engines. If `has_priorities`, many requests may wait and probe, so that engines with a recent report are
    /// not probed again.
    async fn probe(&self, list: Vec<EndpointRecord>, has_priorities: bool) -> Vec<EngineCandidate> {
        if has_priorities { probe_unless_recent(self.context, list).await } else { probe_all(self.context, list).await }
    }

    /// Adds the requests that this host sent to the engines during the probes, which no report contains.
    fn refresh(&self, candidates: &mut [EngineCandidate]) {
        for candidate in candidates {
            self.context.endpoints.refresh(&mut candidate.record);
        }
    }

    /// Sheds a request that even the best probed engine would not finish in time.
    ///
    /// Applies only to generations that have not begun: how much is left of one that resumes is not known.
    fn check_wait(&self, candidate: &EngineCandidate) -> Result<(), RoutingFailure> {
        if self.has_begun() {
            return Ok(());
        }
        let time_left = self.caller.time_left(self.context.timer.now());
        let prompt_tokens = self.caller.head.prompt.unwrap_or_default().prompt_tokens;
        let report = candidate.report.as_ref();
        match report.and_then(|report| excess_wait(report, candidate.speed, prompt_tokens, time_left)) {
            Some(excess) => Err(RoutingFailure { reason: StopReason::Overloaded, pause: excess, awaits_room: false }),
            None => Ok(()),
        }
    }

    /// The engine that holds a backup, if this engine may still be sent the generation.
    pub(super) fn usable_backup(&self, backup: &BackupLocation) -> Option<(EndpointRecord, BackupSource)> {
        let now = self.context.timer.now();
        let record = self.context.endpoints.table().get(&backup.id).cloned()?;
        let is_fit = record.state == EndpointState::Live
            && !record.is_ejected(now)
            && self.versions.only.as_ref().is_none_or(|only| *only == record.version)
            && self.context.rollouts.may_continue_at(&record.service, &record.version);
        is_fit.then(|| (record, backup.source.clone()))
    }

    /// Lists engines outside the zone of `record`, mainly to hold the backup of a generation, since a zone often fails as
    /// a whole; one engine per zone, since another zone may just have failed too. All are of the same software version,
    /// since no other could resume from the backup.
    ///
    /// Engines to which a pooled connection has been idle for `BACKUP_MIN_IDLE` are preferred. The order that all hosts
    /// share is not needed here: whoever resumes from a backup knows its location.
    fn list_other_zones(&self, record: &EndpointRecord) -> Vec<EndpointRecord> {
        let idle = self.context.pool.idle_for(BACKUP_MIN_IDLE);
        let query = self.query().avoid_zone(&record.zone).prefer(&idle).repeatable(false);
        let mut list = self.context.endpoints.shortlist(&query, self.rendezvous_key(), usize::MAX);
        let mut zones = BTreeSet::new();
        let is_same_version = |listed: &EndpointRecord| listed.version == record.version;
        list.retain(|listed| is_same_version(listed) && zones.insert(ZoneName::clone(&listed.zone)));
        list.truncate(PROBED_ENGINES);
        list
    }

    /// Chooses an engine for a new backup of a running generation; `None` if no engine that reports in time has room.
    pub(super) async fn choose_backup(&self, run_target: &EndpointTarget) -> Option<EndpointTarget> {
        let record = self.context.endpoints.table().get(&run_target.id).cloned()?;
        let candidates = probe_all(self.context, self.list_other_zones(&record)).await;
        let best = choose_backup_engine(&candidates, self.needed_tokens())?;
        Some(EndpointTarget::from(&best.record))
    }

    fn has_backups(&self) -> bool {
        let is_supported = self.caller.engine.is_some_and(|engine| engine.has_backups);
        is_supported && self.caller.route.kind.is_repeatable()
    }

    fn best_backup(&self, slot: &EndpointSlot, candidates: &[EngineCandidate]) -> Option<BackupLocation> {
        if !self.has_backups() {
            return None;
        }
        let target = &slot.target;
        let is_usable = |record: &EndpointRecord| record.zone != target.group.zone && record.version == target.version;
        let other_zones = candidates.iter().filter(|candidate| is_usable(&candidate.record));
        let best = choose_backup_engine(other_zones, self.needed_tokens())?;
        let attempt_id = Name::clone(&self.caller.head.attempt_id);
        let source = BackupSource { address: best.record.address, name: attempt_id };
        Some(BackupLocation { id: EndpointId::clone(&best.record.id), source, is_on_demand: false })
    }

    /// The routing query for this request. The capacity of an engine is limited by its KV cache rather than by its
    /// slots.
    fn query(&self) -> RouteQuery<'_> {
        let query = RouteQuery::new(&self.caller.service).avoid(self.tried).versions(self.versions);
        let query = query.repeatable(self.caller.route.is_retryable());
        match self.slots() {
            Some(slots) => query.slots(slots),
            None => query,
        }
    }

    /// How many requests of this size an engine has memory for; `None` if the service has no engines.
    fn slots(&self) -> Option<u32> {
        let engine = self.caller.engine?;
        Some((engine.capacity_tokens / self.needed_tokens()).max(1) as u32)
    }

    fn needed_tokens(&self) -> u64 {
        self.caller.head.prompt.unwrap_or_default().memory_tokens().max(1)
    }

    /// The rendezvous-hashing key by which all hosts order engines for this request; random if the prompt has no own
    /// part.
    fn rendezvous_key(&self) -> u64 {
        let own_part = self.caller.head.prompt.and_then(|prompt| prompt.own_part);
        own_part.unwrap_or_else(|| rand::rng().random())
    }
}
