use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hollyhook_core::{CrashLedger, CrashRecords, LedgerChange, Name, RequestDigest, Result};
use hollyhook_kernel::ServiceRegistry;
use hollyhook_platform::StoreObject;
use hollyhook_telemetry::MetricBoard;
use serde_json::Value;

use crate::sync::lock;

/// The requests that end the endpoints which run them, and what the platform's store holds of these.
#[derive(Debug)]
pub(crate) struct QuarantineBoard {
    board: Arc<MetricBoard>,
    ledger: Mutex<CrashLedger>,
    /// The object that holds the records, as last heard of, without what the operator wrote there.
    object: Mutex<Option<StoreObject>>,
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
            board: registry.find(MetricBoard::NAME)?,
            ledger: Mutex::default(),
            object: Mutex::default(),
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

    /// Notes that an endpoint ended under a request.
    pub(crate) fn note_end(&self, digest: RequestDigest, endpoint: &str) {
        let change = lock(&self.ledger).note_end(unix_millis(), digest, Name::from(endpoint));
        self.log(&change);
    }

    /// Notes that a request is no longer tried here.
    pub(crate) fn note_given_up(&self, digest: impl FnOnce() -> RequestDigest) {
        let mut ledger = lock(&self.ledger);
        if !ledger.is_empty() {
            ledger.note_given_up(&digest());
        }
    }

    /// Notes that an endpoint ran a request and did not end.
    pub(crate) fn note_survival(&self, digest: impl FnOnce() -> RequestDigest) {
        let mut ledger = lock(&self.ledger);
        if ledger.is_empty() {
            return;
        }
        let change = ledger.note_survival(unix_millis(), &digest());
        drop(ledger);
        self.log(&change);
    }

    /// Takes in the object that holds what all hosts noted.
    pub(crate) fn learn(&self, object: &StoreObject) {
        if object.name != hollyhook_platform::site_name().into() {
            return;
        }
        let noted = StoreObject {
            name: Name::clone(&object.name),
            revision: object.revision,
            created: object.created,
            is_deleting: object.is_deleting,
            spec: Value::Null,
            status: object.status.clone(),
        };
        *lock(&self.object) = Some(noted);
        match hollyhook_platform::decode_crashes(object) {
            Ok(records) => self.note_stored(records),
            Err(error) => tracing::error!(%error, revision = object.revision, "quarantine.malformed"),
        }
    }

    /// Takes in the records that the store holds now.
    pub(crate) fn note_stored(&self, records: CrashRecords) {
        let change = lock(&self.ledger).learn(unix_millis(), records);
        self.log(&change);
    }

    /// The object as last heard of, and the records that it should hold, if it does not.
    pub(crate) fn untold(&self) -> Option<(Option<StoreObject>, CrashRecords)> {
        let records = lock(&self.ledger).untold()?;
        Some((lock(&self.object).clone(), records))
    }

    /// Whether the records have to be written and nobody does so yet; if so, the caller does from now on.
    pub(crate) fn begin_writing(&self) -> bool {
        lock(&self.ledger).is_untold() && !self.is_writing.swap(true, Ordering::AcqRel)
    }

    pub(crate) fn end_writing(&self) {
        self.is_writing.store(false, Ordering::Release);
    }

    fn log(&self, change: &LedgerChange) {
        for digest in &change.refused {
            self.board.count("requests_quarantined");
            tracing::warn!(%digest, "quarantine.begun");
        }
        for digest in &change.cleared {
            tracing::info!(%digest, "quarantine.ended");
        }
    }
}

/// The time of day. Hosts compare such times only over an hour, against which their clocks differ little.
fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
