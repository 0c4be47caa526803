use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::unanswered_list::UnansweredList;
use super::{CrashRecord, RequestDigest};
use crate::Name;

/// Endpoints that may end under a request until it is refused. One or two may end by chance just then.
const MOST_ENDS: usize = 3;
/// Endpoints that end under a request until other hosts are told while it is still being tried here.
const TOLD_FROM: usize = 2;
/// How long a request is refused after an endpoint last ended under it. By then its endpoints may run another version.
const LIFETIME: Duration = Duration::from_hours(1);
/// How long after an end what other hosts saw of it may still be on its way here.
const SETTLING: Duration = Duration::from_secs(2);
/// Requests that are remembered, in memory and in the platform's store.
const MOST_RECORDS: usize = 128;

/// What all hosts know of requests under which endpoints ended: by request.
pub type CrashRecords = BTreeMap<RequestDigest, CrashRecord>;

/// Which requests end the endpoints that run them, by what this host saw and what others told it.
///
/// When an endpoint ends, all that it ran is lost with it, so that others look as guilty as the request that ended it. Three
/// things part them: a request that an endpoint has run without ending starts anew; the request under which most ended
/// explains those, so that they don't count for others; and it takes three.
///
/// ```
/// use hollyhook_core::{CrashLedger, RequestDigest};
///
/// let (mut ledger, digest) = (CrashLedger::default(), RequestDigest::new("/draft/a", None, b""));
/// for endpoint in ["a", "b", "c"] {
///     assert_eq!(ledger.refusal(1_000, &digest), None);
///     ledger.note_end(1_000, digest, endpoint.into());
/// }
/// assert!(ledger.refusal(1_000, &digest).is_some());
/// ```
#[derive(Debug, Default)]
pub struct CrashLedger {
    entries: BTreeMap<RequestDigest, LedgerEntry>,
    /// What the platform's store holds, as far as this host has heard.
    stored: CrashRecords,
    refused: BTreeSet<RequestDigest>,
    breaks: UnansweredList,
}

#[derive(Debug, Default)]
struct LedgerEntry {
    record: CrashRecord,
    /// Whether other hosts are to know of it.
    is_told: bool,
    /// Whether an endpoint ended under it at this host.
    is_own: bool,
}

/// The requests that a change made refused, and those that it cleared.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct QuarantineChange {
    /// Refused from now on.
    pub refused: Vec<RequestDigest>,
    /// Served again.
    pub cleared: Vec<RequestDigest>,
}

impl CrashLedger {
    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.breaks.is_empty()
    }

    /// Notes that an endpoint ended under a request.
    pub fn record_crash(&mut self, now: u64, digest: RequestDigest, endpoint: Name) -> QuarantineChange {
        self.count_end(digest, endpoint, now, false);
        self.judge(now)
    }

    /// Notes that an endpoint left a request without an answer, and may have ended.
    ///
    /// It counts once [`confirm_crash`](Self::confirm_crash) tells so, unless an endpoint has run the request meanwhile.
    pub fn record_unanswered(&mut self, now: u64, digest: RequestDigest, endpoint: Name) {
        self.breaks.note(now, digest, endpoint);
    }

    /// Notes that an endpoint is gone without having said that it leaves: requests that it had left without an answer
    /// just before may have ended it.
    pub fn confirm_crash(&mut self, now: u64, endpoint: &str) -> QuarantineChange {
        for known in self.breaks.take(now, endpoint) {
            self.count_end(known.digest, known.endpoint, known.at, known.is_given_up);
        }
        self.judge(now)
    }

    /// Forgets breaks that nothing explained in time.
    pub fn expire_unanswered(&mut self, now: u64) {
        self.breaks.forget_old(now);
    }

    /// Notes that a request is no longer tried here, whatever became of it.
    ///
    /// Where each client attempt is sent only once, no host sees more than one end at a time.
    pub fn record_given_up(&mut self, digest: &RequestDigest) {
        self.breaks.record_given_up(digest);
        if let Some(entry) = self.entries.get_mut(digest) {
            entry.is_told |= entry.record.suspected().next().is_some();
        }
    }

    /// Notes that an endpoint ran a request and did not end.
    pub fn record_survival(&mut self, now: u64, digest: &RequestDigest) -> QuarantineChange {
        self.breaks.forget(digest);
        let Some(entry) = self.entries.get_mut(digest) else {
            return QuarantineChange::default();
        };
        entry.record.survived_at = now;
        if !entry.is_told {
            self.entries.remove(digest);
        }
        self.judge(now)
    }

    /// Takes in what the platform's store holds.
    pub fn merge_stored(&mut self, now: u64, stored: CrashRecords) -> QuarantineChange {
        for (digest, record) in &stored {
            let entry = self.entries.entry(*digest).or_default();
            entry.record.merge(record);
            entry.is_told = true;
        }
        self.stored = stored;
        self.judge(now)
    }

    /// What the platform's store should hold, if this host is to write it.
    ///
    /// Each host writes what it saw itself. What is missing there of what others saw, since it went with an entry or the
    /// store came back from an older copy of itself, is written again by those who read the store for others
    /// (`is_reader`): a few hosts at any size of a site.
    pub fn records_to_write(&self, is_reader: bool) -> Option<CrashRecords> {
        let told = self.entries.iter().filter(|(_, entry)| entry.is_told);
        let records = || told.map(|(digest, entry)| (*digest, entry.record.clone())).collect();
        self.has_records_to_write(is_reader).then(records)
    }

    /// Whether this host is to write anything.
    pub fn has_records_to_write(&self, is_reader: bool) -> bool {
        let told = self.entries.iter().filter(|(_, entry)| entry.is_told && (entry.is_own || is_reader));
        told.into_iter().any(|(digest, entry)| self.stored.get(digest) != Some(&entry.record))
    }

    /// Whether an endpoint ended under a request since it last did no harm.
    pub fn is_suspected(&self, digest: &RequestDigest) -> bool {
        self.entries.get(digest).is_some_and(|entry| entry.record.suspected().next().is_some())
    }

    /// When the caller of a request that is refused should come back; none if it is served.
    ///
    /// Soon, as long as what others saw may yet explain the crashes: then another request has done it. After that, when the request
    /// would be tried again.
    pub fn refusal(&self, now: u64, digest: &RequestDigest) -> Option<Duration> {
        let entry = self.entries.get(digest).filter(|_| self.refused.contains(digest))?;
        let age = Duration::from_millis(now.saturating_sub(entry.record.noted_at()));
        let left = LIFETIME.checked_sub(age).filter(|left| !left.is_zero())?;
        Some(if age < SETTLING { SETTLING } else { left })
    }

    fn count_end(&mut self, digest: RequestDigest, endpoint: Name, at: u64, is_given_up: bool) {
        let entry = self.entries.entry(digest).or_default();
        entry.record.crashes.insert(endpoint, at);
        entry.is_own = true;
        entry.is_told |= is_given_up || entry.record.suspected().count() >= TOLD_FROM;
    }

    fn judge(&mut self, now: u64) -> QuarantineChange {
        self.forget_old(now);
        let refused = self.find_guilty();
        let change = QuarantineChange {
            refused: refused.difference(&self.refused).copied().collect(),
            cleared: self.refused.difference(&refused).copied().collect(),
        };
        self.refused = refused;
        change
    }

    fn forget_old(&mut self, now: u64) {
        let oldest = now.saturating_sub(LIFETIME.as_millis() as u64);
        self.entries.retain(|_, entry| entry.record.noted_at() > oldest);
        while self.entries.len() > MOST_RECORDS {
            let by_age = |(digest, entry): &(&RequestDigest, &LedgerEntry)| {
                (self.refused.contains(digest), entry.record.noted_at())
            };
            let Some(digest) = self.entries.iter().min_by_key(by_age).map(|(digest, _)| *digest) else {
                return;
            };
            self.entries.remove(&digest);
        }
    }

    /// The requests under which enough endpoints ended that no other request explains.
    ///
    /// Those with as many ends are judged together: which of them did it is not known yet, and the next end tells.
    fn find_guilty(&self) -> BTreeSet<RequestDigest> {
        let suspects = self.entries.iter().map(|(digest, entry)| {
            let ends: BTreeSet<&Name> = entry.record.suspected().collect();
            (*digest, ends)
        });
        let mut suspects: Vec<_> = suspects.filter(|(_, ends)| ends.len() >= MOST_ENDS).collect();
        suspects.sort_by_key(|(_, ends)| Reverse(ends.len()));
        let mut guilty = BTreeSet::new();
        let mut explained: BTreeSet<&Name> = BTreeSet::new();
        for level in suspects.chunk_by(|(_, one), (_, other)| one.len() == other.len()) {
            let is_guilty = |(_, ends): &&(_, BTreeSet<&Name>)| ends.difference(&explained).count() >= MOST_ENDS;
            let found: Vec<_> = level.iter().filter(is_guilty).collect();
            guilty.extend(found.iter().map(|(digest, _)| *digest));
            let ends: BTreeSet<&Name> = found.iter().flat_map(|(_, ends)| ends.iter().copied()).collect();
            explained.extend(ends);
        }
        guilty
    }
}
