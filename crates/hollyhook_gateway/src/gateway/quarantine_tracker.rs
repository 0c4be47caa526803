use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hollyhook_core::{
    CrashLedger, CrashRecords, EndpointId, Name, QuarantineChange, RequestDigest, Result, SuspectRequest,
};
use hollyhook_kernel::ServiceRegistry;
use hollyhook_platform::StoreObject;
use hollyhook_telemetry::MetricRecorder;

use super::unix_time::unix_millis;
use crate::sync::lock;

/// The requests that crash the endpoints which run them, from the crashes that this host saw and those in the store.
#[derive(Debug)]
pub(crate) struct QuarantineTracker {
    recorder: Arc<MetricRecorder>,
    ledger: Mutex<CrashLedger>,
    /// The crash records in the store, by the endpoint entry that holds them.
    entries: Mutex<BTreeMap<Name, CrashRecords>>,
    /// Whether a task of this host writes the crash records to the store.
    is_writing: AtomicBool,
}

/// Counts an attempt as one that runs well while it exists.
#[derive(Debug)]
pub(crate) struct SurvivingRun {
    tracker: Arc<QuarantineTracker>,
    parts: BTreeSet<u64>,
    seconds: u64,
}

impl SurvivingRun {
    /// Counts the attempt as one that has run for `seconds`.
    pub(crate) fn extend(&mut self, seconds: u64) {
        let mut ledger = lock(&self.tracker.ledger);
        ledger.end_run(&self.parts, self.seconds);
        ledger.begin_run(&self.parts, seconds);
        self.seconds = seconds;
    }
}

impl Drop for SurvivingRun {
    fn drop(&mut self) {
        lock(&self.tracker.ledger).end_run(&self.parts, self.seconds);
    }
}

impl QuarantineTracker {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "quarantine";

    /// A tracker without crash records.
    ///
    /// # Errors
    ///
    /// `Internal` if a service that the tracker uses is not registered.
    pub(crate) fn new(registry: &ServiceRegistry) -> Result<Self> {
        Ok(Self {
            recorder: registry.find(MetricRecorder::NAME)?,
            ledger: Mutex::default(),
            entries: Mutex::default(),
            is_writing: AtomicBool::new(false),
        })
    }

    /// How long a refused request should wait before it is tried again; `None` if the request is not refused.
    ///
    /// The request is described only if there are crash records or unanswered requests.
    pub(crate) fn refusal(&self, suspect: impl FnOnce() -> SuspectRequest) -> Option<Duration> {
        let ledger = lock(&self.ledger);
        if ledger.is_empty() {
            return None;
        }
        ledger.refusal(unix_millis(), suspect())
    }

    /// The time until it is decided whether a request with these parts is refused for them; `None` if it is decided.
    pub(crate) fn verdict_due(&self, parts: &[u64]) -> Option<Duration> {
        lock(&self.ledger).verdict_due(unix_millis(), &parts.iter().copied().collect())
    }

    /// Whether an endpoint crashed while running a request since an endpoint last ran the request without crashing.
    pub(crate) fn is_suspected(&self, digest: impl FnOnce() -> RequestDigest) -> bool {
        let ledger = lock(&self.ledger);
        !ledger.is_empty() && ledger.is_suspected(&digest())
    }

    /// Records that an endpoint crashed while running a request, after `run_time` of events.
    pub(crate) fn record_crash(&self, suspect: SuspectRequest, endpoint: &str, run_time: Duration) {
        let endpoint = Name::from(endpoint);
        let change = lock(&self.ledger).record_crash_after(unix_millis(), suspect, endpoint, run_time);
        self.log(&change);
    }

    /// Records that an endpoint left a request without an answer, and may have crashed after `run_time` of events.
    pub(crate) fn record_unanswered(&self, suspect: SuspectRequest, endpoint: &str, run_time: Duration) {
        lock(&self.ledger).record_unanswered_after(unix_millis(), suspect, Name::from(endpoint), run_time);
    }

    /// Counts unanswered requests as crashes, for endpoints that are gone without having announced that they leave.
    pub(crate) fn confirm_crashes(&self, endpoints: &[EndpointId]) {
        let mut ledger = lock(&self.ledger);
        if ledger.is_empty() {
            return;
        }
        ledger.expire_unanswered(unix_millis());
        let changes: Vec<QuarantineChange> =
            endpoints.iter().map(|id| ledger.confirm_crash(unix_millis(), id)).collect();
        drop(ledger);
        for change in &changes {
            self.log(change);
        }
    }

    /// Records that this host no longer retries a request.
    pub(crate) fn record_given_up(&self, digest: impl FnOnce() -> RequestDigest) {
        let mut ledger = lock(&self.ledger);
        if !ledger.is_empty() {
            ledger.record_given_up(&digest());
        }
    }

    /// Records that an endpoint ran a request to its end.
    pub(crate) fn record_survival(&self, suspect: impl FnOnce() -> SuspectRequest) {
        self.record_run(suspect, |ledger, suspect| ledger.record_survival(unix_millis(), suspect));
    }

    /// Records that an endpoint has run a request for some seconds and has not crashed yet.
    pub(crate) fn record_long_run(&self, suspect: impl FnOnce() -> SuspectRequest, seconds: u64) {
        self.record_run(suspect, |ledger, suspect| ledger.record_long_run(unix_millis(), suspect, seconds));
    }

    fn record_run(
        &self,
        suspect: impl FnOnce() -> SuspectRequest,
        record: impl FnOnce(&mut CrashLedger, SuspectRequest) -> QuarantineChange,
    ) {
        let mut ledger = lock(&self.ledger);
        if ledger.is_empty() {
            return;
        }
        let change = record(&mut ledger, suspect());
        drop(ledger);
        self.log(&change);
    }

    /// Counts an attempt that has run a request with these parts for `seconds`, until the returned guard is dropped.
    pub(crate) fn begin_run(self: &Arc<Self>, parts: &[u64], seconds: u64) -> SurvivingRun {
        let parts: BTreeSet<u64> = parts.iter().copied().collect();
        lock(&self.ledger).begin_run(&parts, seconds);
        SurvivingRun { tracker: Arc::clone(self), parts, seconds }
    }

    /// Merges crash records that another host sent directly.
    pub(crate) fn merge_told(&self, records: &CrashRecords) {
        let change = lock(&self.ledger).merge_told(unix_millis(), records);
        self.log(&change);
    }

    /// Takes the crash records that other hosts don't have from this one yet.
    pub(crate) fn take_untold(&self) -> CrashRecords {
        lock(&self.ledger).take_untold()
    }

    /// Reads the crash records that hosts stored at an endpoint's entry.
    pub(crate) fn load_entry(&self, object: &StoreObject) {
        match hollyhook_platform::decode_crashes(object) {
            Ok(records) => self.set_entry(&object.name, records),
            Err(error) => {
                tracing::error!(%error, entry = %object.name, revision = object.revision, "quarantine.malformed");
            }
        }
    }

    /// Replaces the known crash records of an endpoint's entry.
    pub(crate) fn set_entry(&self, entry: &Name, records: CrashRecords) {
        self.change_entries(|entries| {
            if records.is_empty() {
                return entries.remove(entry).is_some();
            }
            entries.insert(Name::clone(entry), records.clone()) != Some(records)
        });
    }

    /// Removes the crash records of an endpoint's entry that was removed from the store.
    pub(crate) fn remove_entry(&self, entry: &Name) {
        self.change_entries(|entries| entries.remove(entry).is_some());
    }

    /// Removes the crash records of all entries for which `is_present` returns false.
    pub(crate) fn retain_entries(&self, is_present: impl Fn(&Name) -> bool) {
        self.change_entries(|entries| {
            let before = entries.len();
            entries.retain(|entry, _| is_present(entry));
            entries.len() != before
        });
    }

    /// Changes the stored records, and merges them into the ledger if `change` returns true.
    fn change_entries(&self, change: impl FnOnce(&mut BTreeMap<Name, CrashRecords>) -> bool) {
        let mut entries = lock(&self.entries);
        if !change(&mut entries) {
            return;
        }
        let mut merged = CrashRecords::new();
        for (digest, record) in entries.values().flatten() {
            merged.entry(*digest).or_default().merge(record);
        }
        // The entries stay locked during the merge, so that records are merged in the order in which they were read.
        let change = lock(&self.ledger).merge_stored(unix_millis(), merged);
        drop(entries);
        self.log(&change);
    }

    /// The crash records that this host has to write to the store; `None` if it has none to write.
    ///
    /// `is_reader` tells whether this host reads the store on behalf of others.
    pub(crate) fn records_to_write(&self, is_reader: bool) -> Option<CrashRecords> {
        lock(&self.ledger).records_to_write(is_reader)
    }

    /// Whether this host has to write crash records and no task does so yet; if so, the caller has to write them.
    ///
    /// `is_reader` tells whether this host reads the store on behalf of others. The closure is slow, and is called
    /// only if a record is missing in the store.
    pub(crate) fn begin_writing(&self, is_reader: impl FnOnce() -> bool) -> bool {
        let has_any = lock(&self.ledger).has_records_to_write(true);
        let has_own = || lock(&self.ledger).has_records_to_write(is_reader());
        has_any && has_own() && !self.is_writing.swap(true, Ordering::AcqRel)
    }

    /// Records that the task that began the writing has ended.
    pub(crate) fn end_writing(&self) {
        self.is_writing.store(false, Ordering::Release);
    }

    fn log(&self, change: &QuarantineChange) {
        for digest in &change.refused {
            self.recorder.count("requests_quarantined");
            tracing::warn!(%digest, "quarantine.begun");
        }
        for parts in &change.refused_parts {
            self.recorder.count("prompt_parts_quarantined");
            tracing::warn!(parts = format!("{parts:x?}"), "quarantine.parts_begun");
        }
        for parts in &change.cleared_parts {
            tracing::info!(parts = format!("{parts:x?}"), "quarantine.parts_ended");
        }
        for digest in &change.cleared {
            tracing::info!(%digest, "quarantine.ended");
        }
    }
}
