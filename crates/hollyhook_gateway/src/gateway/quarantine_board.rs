use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hollyhook_core::{CrashLedger, CrashRecords, EndpointId, Name, QuarantineChange, RequestDigest, Result};
use hollyhook_kernel::ServiceRegistry;
use hollyhook_platform::StoreObject;
use hollyhook_telemetry::MetricRecorder;

use super::unix_time::unix_millis;
use crate::sync::lock;

/// The requests that end the endpoints which run them, and what the platform's store holds of these.
#[derive(Debug)]
pub(crate) struct QuarantineBoard {
    recorder: Arc<MetricRecorder>,
    ledger: Mutex<CrashLedger>,
    /// What is noted at endpoints' entries, by entry.
    noted: Mutex<BTreeMap<Name, CrashRecords>>,
    /// Whether the records are being written to the store.
    is_writing: AtomicBool,
}

impl QuarantineBoard {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "quarantine";

    /// An empty board, of services that are registered.
    ///
    /// # Errors
    ///
    /// `Internal` if one of them is not registered.
    pub(crate) fn new(registry: &ServiceRegistry) -> Result<Self> {
        Ok(Self {
            recorder: registry.find(MetricRecorder::NAME)?,
            ledger: Mutex::default(),
            noted: Mutex::default(),
            is_writing: AtomicBool::new(false),
        })
    }

    /// For how much longer a request is refused, if it is; the digest is asked for only if any request is suspected.
    pub(crate) fn refusal(&self, digest: impl FnOnce() -> RequestDigest) -> Option<Duration> {
        let ledger = lock(&self.ledger);
        if ledger.is_empty() {
            return None;
        }
        ledger.refusal(unix_millis(), &digest())
    }

    /// Whether an endpoint ended under a request since it last did no harm.
    pub(crate) fn is_suspected(&self, digest: impl FnOnce() -> RequestDigest) -> bool {
        let ledger = lock(&self.ledger);
        !ledger.is_empty() && ledger.is_suspected(&digest())
    }

    /// Notes that an endpoint ended under a request.
    pub(crate) fn record_crash(&self, digest: RequestDigest, endpoint: &str) {
        let change = lock(&self.ledger).record_crash(unix_millis(), digest, Name::from(endpoint));
        self.log(&change);
    }

    /// Notes that an endpoint left a request without an answer, and may have ended.
    pub(crate) fn record_unanswered(&self, digest: RequestDigest, endpoint: &str) {
        lock(&self.ledger).record_unanswered(unix_millis(), digest, Name::from(endpoint));
    }

    /// Notes that endpoints are gone without having said that they leave.
    pub(crate) fn note_gone(&self, endpoints: &[EndpointId]) {
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

    /// Notes that a request is no longer tried here.
    pub(crate) fn record_given_up(&self, digest: impl FnOnce() -> RequestDigest) {
        let mut ledger = lock(&self.ledger);
        if !ledger.is_empty() {
            ledger.record_given_up(&digest());
        }
    }

    /// Notes that an endpoint ran a request and did not end.
    pub(crate) fn record_survival(&self, digest: impl FnOnce() -> RequestDigest) {
        let mut ledger = lock(&self.ledger);
        if ledger.is_empty() {
            return;
        }
        let change = ledger.record_survival(unix_millis(), &digest());
        drop(ledger);
        self.log(&change);
    }

    /// Takes in what hosts noted at an endpoint's entry.
    pub(crate) fn read_entry(&self, object: &StoreObject) {
        match hollyhook_platform::decode_crashes(object) {
            Ok(records) => self.note_entry(&object.name, records),
            Err(error) => {
                tracing::error!(%error, entry = %object.name, revision = object.revision, "quarantine.malformed");
            }
        }
    }

    /// Takes in that these records stand at an endpoint's entry now.
    pub(crate) fn note_entry(&self, entry: &Name, records: CrashRecords) {
        self.change_noted(|noted| {
            if records.is_empty() {
                return noted.remove(entry).is_some();
            }
            noted.insert(Name::clone(entry), records.clone()) != Some(records)
        });
    }

    /// Notes that an endpoint's entry is gone, and what stood there with it.
    pub(crate) fn forget_entry(&self, entry: &Name) {
        self.change_noted(|noted| noted.remove(entry).is_some());
    }

    /// Notes that all other entries are gone.
    pub(crate) fn retain_entries(&self, is_present: impl Fn(&Name) -> bool) {
        self.change_noted(|noted| {
            let before = noted.len();
            noted.retain(|entry, _| is_present(entry));
            noted.len() != before
        });
    }

    /// Changes what is noted at entries, and lets the ledger know if that made a difference.
    fn change_noted(&self, change: impl FnOnce(&mut BTreeMap<Name, CrashRecords>) -> bool) {
        let mut noted = lock(&self.noted);
        if !change(&mut noted) {
            return;
        }
        let mut stored = CrashRecords::new();
        for (digest, record) in noted.values().flatten() {
            stored.entry(*digest).or_default().merge(record);
        }
        // Still with the lock on what is noted: what was read later must not be learnt first.
        let change = lock(&self.ledger).merge_stored(unix_millis(), stored);
        drop(noted);
        self.log(&change);
    }

    /// The records that the store should hold, if this host is to write them.
    pub(crate) fn records_to_write(&self, is_reader: bool) -> Option<CrashRecords> {
        lock(&self.ledger).records_to_write(is_reader)
    }

    /// Whether the records have to be written and nobody does so yet; if so, the caller does from now on.
    ///
    /// Whether this host reads the store for others takes a while to say, and is asked only if anything is missing there.
    pub(crate) fn begin_writing(&self, is_reader: impl FnOnce() -> bool) -> bool {
        let is_missing = lock(&self.ledger).has_records_to_write(true);
        let is_own = || lock(&self.ledger).has_records_to_write(is_reader());
        is_missing && is_own() && !self.is_writing.swap(true, Ordering::AcqRel)
    }

    pub(crate) fn end_writing(&self) {
        self.is_writing.store(false, Ordering::Release);
    }

    fn log(&self, change: &QuarantineChange) {
        for digest in &change.refused {
            self.recorder.count("requests_quarantined");
            tracing::warn!(%digest, "quarantine.begun");
        }
        for digest in &change.cleared {
            tracing::info!(%digest, "quarantine.ended");
        }
    }
}
