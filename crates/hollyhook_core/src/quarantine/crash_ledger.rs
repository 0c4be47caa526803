use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::part_evidence::{charged_crashes, find_suspect_parts};
use super::part_watch::PartWatch;
use super::unanswered_list::{UnansweredList, UnansweredRequest};
use super::{CrashRecord, RequestDigest, RunLength, SuspectRequest};
use crate::Name;

/// Number of endpoint crashes from which a request is refused. One or two may coincide with the request by chance.
const CRASH_THRESHOLD: usize = 3;
/// Number of endpoint crashes from which the record of a request that this host still retries is shared with the other
/// hosts.
const SHARE_THRESHOLD: usize = 2;
/// How long a record is kept after its last update, and so how long a request is refused after the last crash. By then
/// its endpoints may run another version.
const RECORD_LIFETIME: Duration = Duration::from_hours(1);
/// How long records of other hosts about the same crash may take to arrive here.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Maximum number of requests with a record, in memory and in the platform's store.
const MAX_RECORDS: usize = 128;

/// The crash records of all hosts, by request.
pub type CrashRecords = BTreeMap<RequestDigest, CrashRecord>;

/// Finds the requests that crash the endpoints which run them, from the crashes seen by this host and by the others.
///
/// An endpoint that crashes loses all requests that it runs, so each of them could be the cause. Three rules separate
/// the cause from the rest: crashes don't count against a request that an endpoint has run to its end since, or for much
/// longer than before those crashes; crashes attributed to the request with the most of them don't count against other
/// requests; and a request is refused only from three crashes on.
///
/// Different requests may crash endpoints by a part of a prompt that they share. A part is refused if several requests
/// with it crashed endpoints, more than any one of them did, and none has run well since.
///
/// ```
/// use hollyhook_core::{CrashLedger, RequestDigest};
///
/// let (mut ledger, digest) = (CrashLedger::default(), RequestDigest::new("/draft/a", None, b""));
/// for endpoint in ["a", "b", "c"] {
///     assert_eq!(ledger.refusal(1_000, digest), None);
///     ledger.record_crash(1_000, digest, endpoint.into());
/// }
/// assert!(ledger.refusal(1_000, digest).is_some());
/// ```
#[derive(Debug, Default)]
pub struct CrashLedger {
    entries: BTreeMap<RequestDigest, LedgerEntry>,
    /// The records in the platform's store, as last read.
    stored: CrashRecords,
    refused: BTreeSet<RequestDigest>,
    unanswered: UnansweredList,
    parts: PartWatch,
}

#[derive(Debug, Default)]
struct LedgerEntry {
    record: CrashRecord,
    /// Whether the record belongs in the platform's store, where the other hosts read it.
    is_shared: bool,
    /// Whether an endpoint crashed while running the request for this host.
    is_local: bool,
    /// Whether the record has changed since it was last taken to be sent to other hosts.
    is_untold: bool,
}

/// A crash that this host observed.
#[derive(Debug)]
struct LocalCrash {
    endpoint: Name,
    at: u64,
    /// For how many milliseconds the endpoint had sent events.
    run_time: u64,
    /// Whether this host has stopped retrying the request.
    is_given_up: bool,
}

/// The requests whose refusal an update of the ledger started or ended.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct QuarantineChange {
    /// Requests that are refused from now on.
    pub refused: Vec<RequestDigest>,
    /// Requests that are no longer refused.
    pub cleared: Vec<RequestDigest>,
    /// Sets of prompt parts such that requests with all parts of one are refused soon.
    pub refused_parts: Vec<BTreeSet<u64>>,
    /// Sets of prompt parts that are no longer refused.
    pub cleared_parts: Vec<BTreeSet<u64>>,
}

impl CrashLedger {
    /// Whether there is neither a crash record nor an unanswered request.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.unanswered.is_empty()
    }

    /// Records that an endpoint crashed while running a request, before it had sent an event.
    pub fn record_crash(&mut self, now: u64, suspect: impl Into<SuspectRequest>, endpoint: Name) -> QuarantineChange {
        self.record_crash_after(now, suspect, endpoint, Duration::ZERO)
    }

    /// Records that an endpoint crashed while running a request, after `run_time` of events.
    ///
    /// Where the run resumed a stream, `run_time` includes that of the runs before: what crashes endpoints may be the
    /// next event of the stream.
    pub fn record_crash_after(
        &mut self,
        now: u64,
        suspect: impl Into<SuspectRequest>,
        endpoint: Name,
        run_time: Duration,
    ) -> QuarantineChange {
        let crash = LocalCrash { endpoint, at: now, run_time: run_time.as_millis() as u64, is_given_up: false };
        self.add_crash(&suspect.into(), crash);
        self.update_refused(now)
    }

    /// Records that an endpoint left a request without an answer, and may have crashed before it had sent an event.
    ///
    /// Counts as a crash once [`confirm_crash`](Self::confirm_crash) reports that the endpoint is gone, unless an
    /// endpoint has run the request without crashing in between.
    pub fn record_unanswered(&mut self, now: u64, suspect: impl Into<SuspectRequest>, endpoint: Name) {
        self.record_unanswered_after(now, suspect, endpoint, Duration::ZERO);
    }

    /// As [`record_unanswered`](Self::record_unanswered), for an endpoint that may have crashed after `run_time` of
    /// events.
    pub fn record_unanswered_after(
        &mut self,
        now: u64,
        suspect: impl Into<SuspectRequest>,
        endpoint: Name,
        run_time: Duration,
    ) {
        self.unanswered.add(now, suspect.into(), endpoint, run_time.as_millis() as u64);
    }

    /// Records that an endpoint is gone without having announced that it leaves.
    ///
    /// Each request that it left unanswered shortly before counts as a crash.
    pub fn confirm_crash(&mut self, now: u64, endpoint: &str) -> QuarantineChange {
        for request in self.unanswered.take(now, endpoint) {
            let UnansweredRequest { suspect, endpoint, at, run_time, is_given_up } = request;
            self.add_crash(&suspect, LocalCrash { endpoint, at, run_time, is_given_up });
        }
        self.update_refused(now)
    }

    /// Removes unanswered requests whose endpoints were not confirmed to have crashed in time.
    pub fn expire_unanswered(&mut self, now: u64) {
        self.unanswered.expire(now);
    }

    /// Records that this host no longer retries a request, whatever the outcome, and shares the request's crashes.
    ///
    /// A single crash is shared too: where each client attempt is sent to one endpoint only, no host sees more than one
    /// crash at a time.
    pub fn record_given_up(&mut self, digest: &RequestDigest) {
        self.unanswered.mark_given_up(digest);
        if let Some(entry) = self.entries.get_mut(digest) {
            let was_shared = entry.is_shared;
            entry.is_shared |= entry.record.recent_crashes().next().is_some();
            entry.is_untold |= entry.is_shared && !was_shared;
        }
    }

    /// Records that an endpoint ran a request to its end.
    pub fn record_survival(&mut self, now: u64, suspect: impl Into<SuspectRequest>) -> QuarantineChange {
        self.record_run(now, &suspect.into(), RunLength::Whole)
    }

    /// Records that an endpoint has run a request for some seconds and has not crashed yet.
    pub fn record_long_run(&mut self, now: u64, suspect: impl Into<SuspectRequest>, seconds: u64) -> QuarantineChange {
        self.record_run(now, &suspect.into(), RunLength::Seconds(seconds))
    }

    fn record_run(&mut self, now: u64, suspect: &SuspectRequest, length: RunLength) -> QuarantineChange {
        self.unanswered.remove(&suspect.digest);
        let mut is_accused = false;
        for part in &suspect.parts {
            is_accused |= self.acquit_part(now, *part, length);
        }
        let is_known = self.entries.contains_key(&suspect.digest);
        if let Some(entry) = self.entries.get_mut(&suspect.digest) {
            entry.record.add_run(now, length);
            entry.is_untold = true;
            if !entry.is_shared && entry.record.recent_crashes().next().is_none() {
                self.entries.remove(&suspect.digest);
            }
        }
        if is_accused || is_known { self.update_refused(now) } else { QuarantineChange::default() }
    }

    /// Counts an attempt that has run a request with these parts for `seconds`, until [`end_run`](Self::end_run).
    pub fn begin_run(&mut self, parts: &BTreeSet<u64>, seconds: u64) {
        self.parts.begin_run(parts, seconds);
    }

    /// Counts an attempt as ended, or as counted for longer.
    pub fn end_run(&mut self, parts: &BTreeSet<u64>, seconds: u64) {
        self.parts.end_run(parts, seconds);
    }

    /// Merges the records read from the platform's store.
    pub fn merge_stored(&mut self, now: u64, stored: CrashRecords) -> QuarantineChange {
        let change = self.merge_told(now, &stored);
        self.stored = stored;
        change
    }

    /// Merges records that another host sent directly.
    pub fn merge_told(&mut self, now: u64, told: &CrashRecords) -> QuarantineChange {
        for (digest, record) in told {
            let entry = self.entries.entry(*digest).or_default();
            entry.record.merge(record);
            entry.is_shared = true;
        }
        self.update_refused(now)
    }

    /// Takes the shared records of crashes and runs that this host saw since the last call.
    pub fn take_untold(&mut self) -> CrashRecords {
        let untold = self.entries.iter_mut().filter(|(_, entry)| entry.is_local && entry.is_shared && entry.is_untold);
        let taken = untold.map(|(digest, entry)| {
            entry.is_untold = false;
            (*digest, entry.record.clone())
        });
        taken.collect()
    }

    /// The records that the platform's store should hold, if this host has to write them; `None` if it has not.
    ///
    /// Each host writes the records of crashes that it saw itself. Records of other hosts that are missing in the
    /// store, because an endpoint's entry was removed with them or the store was restored from an older copy, are
    /// written again by the hosts that read the store on behalf of others (`is_reader`): only a few at any size of a
    /// site.
    pub fn records_to_write(&self, is_reader: bool) -> Option<CrashRecords> {
        let shared = self.entries.iter().filter(|(_, entry)| entry.is_shared);
        let records = || shared.map(|(digest, entry)| (*digest, entry.record.clone())).collect();
        self.has_records_to_write(is_reader).then(records)
    }

    /// Whether the store lacks a record, or holds another version of one, that this host has to write.
    pub fn has_records_to_write(&self, is_reader: bool) -> bool {
        let owed = self.entries.iter().filter(|(_, entry)| entry.is_shared && (entry.is_local || is_reader));
        owed.into_iter().any(|(digest, entry)| self.stored.get(digest) != Some(&entry.record))
    }

    /// Whether an endpoint crashed while running a request since one last ran it without crashing.
    pub fn is_suspected(&self, digest: &RequestDigest) -> bool {
        self.entries.get(digest).is_some_and(|entry| entry.record.recent_crashes().next().is_some())
    }

    /// How long the caller of a refused request should wait before it tries again; `None` if the request is not
    /// refused.
    ///
    /// Short while records of other hosts may still arrive and attribute the crashes to another request; after that,
    /// the time until this request's record expires.
    pub fn refusal(&self, now: u64, suspect: impl Into<SuspectRequest>) -> Option<Duration> {
        let suspect = suspect.into();
        let age = self.parts.refusal_age(now, &suspect.parts);
        let by_parts = age.map(|age| if age < SETTLE_TIME { SETTLE_TIME } else { PartWatch::time_left(age) });
        by_parts.or_else(|| self.refusal_as_whole(now, &suspect.digest))
    }

    /// The time until it is decided whether a request with these parts is refused for them; `None` if it is decided.
    pub fn verdict_due(&self, now: u64, parts: &BTreeSet<u64>) -> Option<Duration> {
        self.parts.verdict_due(now, parts)
    }

    fn refusal_as_whole(&self, now: u64, digest: &RequestDigest) -> Option<Duration> {
        let entry = self.entries.get(digest).filter(|_| self.refused.contains(digest))?;
        let age = Duration::from_millis(now.saturating_sub(entry.record.updated_at()));
        let left = RECORD_LIFETIME.checked_sub(age).filter(|left| !left.is_zero())?;
        Some(if age < SETTLE_TIME { SETTLE_TIME } else { left })
    }

    fn add_crash(&mut self, suspect: &SuspectRequest, crash: LocalCrash) {
        let has_companion = self.share_companions(suspect);
        let entry = self.entries.entry(suspect.digest).or_default();
        entry.record.add_crash(crash.endpoint, crash.at, crash.run_time);
        entry.record.parts.extend(&suspect.parts);
        entry.is_local = true;
        entry.is_untold = true;
        entry.is_shared |=
            crash.is_given_up || has_companion || entry.record.recent_crashes().count() >= SHARE_THRESHOLD;
    }

    /// Shares the crashes of other requests that have a part in common with a request; returns whether there are any.
    ///
    /// Crashes of different requests with one part count together, and each host may see only one of each request.
    fn share_companions(&mut self, suspect: &SuspectRequest) -> bool {
        let mut has_companion = false;
        for (digest, entry) in &mut self.entries {
            let is_accused = entry.record.recent_crashes().next().is_some();
            if *digest != suspect.digest && is_accused && !entry.record.parts.is_disjoint(&suspect.parts) {
                entry.is_shared = true;
                has_companion = true;
            }
        }
        has_companion
    }

    /// Records a run of a request with a part, if crashes are charged to the part; returns whether some are.
    fn acquit_part(&mut self, now: u64, part: u64, length: RunLength) -> bool {
        let digest = RequestDigest::of_part(part);
        let runs = self.entries.get(&digest).map(|entry| &entry.record);
        let accuses = |record: &CrashRecord| charged_crashes(record, runs).next().is_some();
        let with_part = self.entries.values().filter(|entry| entry.record.parts.contains(&part));
        let accusing: Vec<&LedgerEntry> = with_part.filter(|entry| accuses(&entry.record)).collect();
        let Some(crashed_at) = accusing.iter().flat_map(|entry| entry.record.crashes.values().copied()).max() else {
            return false;
        };
        let is_shared = accusing.iter().any(|entry| entry.is_shared);
        let acquitted = self.entries.entry(digest).or_default();
        // The clock of the host that saw the crash may be ahead.
        acquitted.record.add_run(now.max(crashed_at), length);
        acquitted.is_local = true;
        acquitted.is_untold = true;
        acquitted.is_shared |= is_shared;
        true
    }

    /// Records the longest run that requests with a part have at this host now, for each part that crashes are charged to.
    fn acquit_running_parts(&mut self, now: u64) {
        let accused: BTreeSet<u64> = self.entries.values().flat_map(|entry| &entry.record.parts).copied().collect();
        for part in accused {
            let seconds = self.parts.longest_run(part);
            if seconds > 0 {
                self.acquit_part(now, part, RunLength::Seconds(seconds));
            }
        }
    }

    /// Recomputes which requests are refused, and returns the difference.
    fn update_refused(&mut self, now: u64) -> QuarantineChange {
        self.evict_records(now);
        self.acquit_running_parts(now);
        let records = self.entries.iter().map(|(digest, entry)| (*digest, &entry.record)).collect();
        let parts = self.parts.update(now, find_suspect_parts(&records));
        let refused = self.find_refused(now);
        let change = QuarantineChange {
            refused: refused.difference(&self.refused).copied().collect(),
            cleared: self.refused.difference(&refused).copied().collect(),
            refused_parts: parts.began,
            cleared_parts: parts.ended,
        };
        self.refused = refused;
        change
    }

    /// Removes expired records, then the oldest ones beyond the limit, starting with requests that are not refused.
    fn evict_records(&mut self, now: u64) {
        let oldest = now.saturating_sub(RECORD_LIFETIME.as_millis() as u64);
        self.entries.retain(|_, entry| entry.record.updated_at() > oldest);
        while self.entries.len() > MAX_RECORDS {
            let by_age = |(digest, entry): &(&RequestDigest, &LedgerEntry)| {
                (self.refused.contains(digest), entry.record.updated_at())
            };
            let Some(digest) = self.entries.iter().min_by_key(by_age).map(|(digest, _)| *digest) else {
                return;
            };
            self.entries.remove(&digest);
        }
    }

    /// The requests with enough crashes that no other request explains.
    ///
    /// Requests with the same number of crashes are treated alike: which of them is the cause is not known until
    /// another endpoint crashes. Crashes that a refused part explains count against no request.
    fn find_refused(&self, now: u64) -> BTreeSet<RequestDigest> {
        let suspects = self.entries.iter().map(|(digest, entry)| {
            let crashes: BTreeSet<&Name> = entry.record.recent_crashes().collect();
            (*digest, crashes)
        });
        let mut suspects: Vec<_> = suspects.filter(|(_, crashes)| crashes.len() >= CRASH_THRESHOLD).collect();
        suspects.sort_by_key(|(_, crashes)| Reverse(crashes.len()));
        let mut refused = BTreeSet::new();
        let mut explained = self.parts.explained(now);
        for group in suspects.chunk_by(|(_, left), (_, right)| left.len() == right.len()) {
            let is_cause =
                |(_, crashes): &&(_, BTreeSet<&Name>)| crashes.difference(&explained).count() >= CRASH_THRESHOLD;
            let found: Vec<_> = group.iter().filter(is_cause).collect();
            refused.extend(found.iter().map(|(digest, _)| *digest));
            let crashes: BTreeSet<&Name> = found.iter().flat_map(|(_, crashes)| crashes.iter().copied()).collect();
            explained.extend(crashes);
        }
        refused
    }
}
