//! Origin snapshots of hosts, and what follows from them once all hosts are lost.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollyhook_core::{
    Name, OriginJournal, OriginLedger, OriginSnapshot, RecordVerdict, ServiceSnapshot, ServiceVersions,
    SnapshotEvidence, SnapshotWriter, StreamKey, StreamOrigin, TimePoint,
};

const SERVICE: &str = "model";
const INTERVAL: Duration = Duration::from_millis(250);

fn set(names: &[&str]) -> BTreeSet<Name> {
    names.iter().map(|name| (*name).into()).collect()
}

fn services(live: &[&str], possible: &[&str]) -> BTreeMap<Name, ServiceVersions> {
    BTreeMap::from([(SERVICE.into(), ServiceVersions { live: set(live), possible: set(possible) })])
}

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

/// A host that found no snapshot and knows two versions, of which both serve.
struct Host {
    journal: OriginJournal,
    writer: SnapshotWriter,
}

impl Host {
    fn start() -> Self {
        let mut writer = SnapshotWriter::new(1);
        writer.set_services(services(&["v1"], &["v1"]));
        writer.apply_reading(at(0), None);
        writer.set_services(services(&["v1", "v2"], &["v1", "v2"]));
        Self { journal: OriginJournal::default(), writer }
    }

    fn attempt(&mut self, id: &str, version: &str) {
        self.journal.record_attempt(at(0), StreamKey::new(id), &SERVICE.into(), &version.into());
    }

    fn begin(&mut self, id: &str, version: &str) {
        self.journal.record_begun(at(0), StreamKey::new(id), &SERVICE.into(), &version.into());
    }

    fn write(&mut self, millis: u64) -> OriginSnapshot {
        let content = self.writer.begin_write(at(millis), &mut self.journal);
        self.writer.confirm_write();
        content
    }

    fn allows(&self, id: &str, version: &str) -> bool {
        self.writer.verdict(SERVICE, StreamKey::new(id), version) == RecordVerdict::Recorded
    }

    fn next_write(&self, millis: u64) -> Option<TimePoint> {
        self.writer.next_write(at(millis), &self.journal, INTERVAL)
    }
}

fn evidence(snapshot: &OriginSnapshot) -> SnapshotEvidence {
    SnapshotEvidence {
        snapshots: BTreeMap::from([("host-a".into(), snapshot.clone())]),
        recorded: BTreeMap::from([(SERVICE.into(), set(&["v1", "v2"]))]),
    }
}

/// The origin of a stream after the loss of the one host that wrote this snapshot.
fn origin(snapshot: &OriginSnapshot, id: &str) -> StreamOrigin {
    evidence(snapshot).resolve(SERVICE, StreamKey::new(id), Some(&set(&["host-a"])), &set(&["v2"]))
}

fn version(name: &str) -> StreamOrigin {
    StreamOrigin::Version(name.into())
}

#[test]
fn listed_stream_found() {
    let mut host = Host::start();
    host.attempt("a", "v1");
    host.begin("b", "v2");
    let snapshot = host.write(0);
    assert_eq!((origin(&snapshot, "a"), origin(&snapshot, "b")), (version("v1"), version("v2")));
    assert_eq!(origin(&snapshot, "c"), StreamOrigin::Unknown);
}

/// A version that began no more streams since the last snapshot began none that is not listed.
#[test]
fn unlisted_stream_found_once_version_closed() {
    let mut host = Host::start();
    host.begin("a", "v1");
    host.writer.set_services(services(&["v2"], &["v1", "v2"]));
    let after_lifetime = OriginLedger::LIFETIME.as_millis() as u64;
    let snapshot = host.write(after_lifetime);
    assert_eq!((origin(&snapshot, "a"), origin(&snapshot, "c")), (version("v1"), version("v2")));
}

/// A host that could not write may have begun streams at a version that appeared since.
#[test]
fn unlisted_stream_unknown_while_host_can_not_write() {
    let mut host = Host::start();
    host.writer.set_services(services(&["v2"], &["v1", "v2"]));
    let snapshot = host.write(OriginLedger::LIFETIME.as_millis() as u64);
    let mut evidence = evidence(&snapshot);
    evidence.recorded = BTreeMap::from([(SERVICE.into(), set(&["v1", "v2", "v3"]))]);
    let origin = |hosts: &[&str]| evidence.resolve(SERVICE, StreamKey::new("c"), Some(&set(hosts)), &set(&["v2"]));
    assert_eq!(origin(&["host-a"]), StreamOrigin::Unknown);
}

#[test]
fn unlisted_stream_unknown_without_snapshot_of_host() {
    let mut host = Host::start();
    host.writer.set_services(services(&["v2"], &["v1", "v2"]));
    let snapshot = host.write(OriginLedger::LIFETIME.as_millis() as u64);
    let (evidence, stream, listed) = (evidence(&snapshot), StreamKey::new("c"), set(&["v2"]));
    let hosts = set(&["host-a", "host-b"]);
    assert_eq!(evidence.resolve(SERVICE, stream, Some(&hosts), &listed), StreamOrigin::Unknown);
    assert_eq!(evidence.resolve(SERVICE, stream, None, &listed), StreamOrigin::Unknown);
}

/// A stream whose attempts went to two versions was taken for one of the first before its first event.
#[test]
fn event_of_second_version_waits_for_snapshot() {
    let mut host = Host::start();
    host.attempt("a", "v1");
    host.write(0);
    host.attempt("a", "v2");
    assert!(host.allows("a", "v1") && !host.allows("a", "v2"));
    host.writer.request_write();
    assert!(host.next_write(0).is_some_and(|at| at < TimePoint::ZERO + INTERVAL));
    let both = host.write(50);
    assert!(host.allows("a", "v1") && host.allows("a", "v2"));
    assert_eq!(origin(&both, "a"), StreamOrigin::Unknown);
    host.begin("a", "v2");
    assert_eq!(origin(&host.write(100), "a"), version("v2"));
}

/// A write without an answer may be executed seconds later, so that both contents have to tell the version.
#[test]
fn event_waits_while_write_unanswered() {
    let mut host = Host::start();
    host.write(0);
    host.writer.set_services(services(&["v2"], &["v1", "v2"]));
    let later = OriginLedger::LIFETIME.as_millis() as u64;
    let sent = host.writer.begin_write(at(later), &mut host.journal);
    host.writer.record_unanswered();
    assert!(!host.allows("a", "v1") && host.allows("a", "v2"));
    assert_eq!(host.writer.closed(SERVICE), set(&["v1"]));
    host.writer.set_services(services(&["v1", "v2"], &["v1", "v2"]));
    host.writer.apply_reading(at(later), Some(sent.clone()));
    assert!(!host.allows("a", "v1"));
    host.write(later);
    assert!(host.allows("a", "v1") && host.writer.closed(SERVICE).is_empty());
}

/// The store holds one of two contents at most, since one without an answer is sent again unchanged.
#[test]
fn unanswered_content_sent_again() {
    let mut host = Host::start();
    let held = host.write(0);
    host.attempt("a", "v1");
    let sent = host.writer.begin_write(at(300), &mut host.journal);
    host.writer.record_unanswered();
    host.attempt("b", "v2");
    host.writer.apply_reading(at(900), Some(held));
    assert!(host.next_write(900).is_some());
    assert_eq!(host.writer.begin_write(at(900), &mut host.journal), sent);
    host.writer.confirm_write();
    assert!(host.writer.begin_write(at(1_200), &mut host.journal).listed(StreamKey::new("b")).next().is_some());
}

/// A process that starts again keeps what its last one wrote, and what that may have begun since.
#[test]
fn snapshot_of_last_process_kept() {
    let mut host = Host::start();
    host.begin("a", "v1");
    let snapshot = host.write(0);
    let mut next = Host::start();
    next.writer = SnapshotWriter::new(2);
    next.writer.set_services(services(&["v2"], &["v1", "v2"]));
    next.writer.apply_reading(at(0), Some(snapshot));
    next.begin("b", "v2");
    let kept = next.write(100);
    assert_eq!((origin(&kept, "a"), origin(&kept, "b")), (version("v1"), version("v2")));
    assert_eq!(origin(&kept, "c"), StreamOrigin::Unknown);
    let lifetime = OriginLedger::LIFETIME.as_millis() as u64;
    assert!(next.next_write(lifetime).is_some());
    let later = next.write(lifetime);
    assert_eq!((origin(&later, "a"), origin(&later, "c")), (version("v2"), version("v2")));
}

/// What a host's last process left in the store.
fn stored(open: &[&str], known: &[&str]) -> OriginSnapshot {
    let service = ServiceSnapshot { open: set(open), known: set(known) };
    OriginSnapshot { services: BTreeMap::from([(SERVICE.into(), service)]), ..OriginSnapshot::default() }
}

fn verdict(writer: &SnapshotWriter, version: &str) -> RecordVerdict {
    writer.verdict(SERVICE, StreamKey::new("a"), version)
}

/// Until the object has been read, it may close any version.
#[test]
fn event_waits_while_object_unread() {
    let mut writer = SnapshotWriter::new(2);
    writer.set_services(services(&["v1", "v2"], &["v1", "v2"]));
    assert_eq!(verdict(&writer, "v1"), RecordVerdict::Unproven);
}

/// A write of the last process may be executed after its successor has read the object, but not after it has written.
#[test]
fn event_waits_until_last_process_can_not_write() {
    let mut host = Host::start();
    host.writer = SnapshotWriter::new(2);
    host.writer.set_services(services(&["v1", "v2"], &["v1", "v2"]));
    host.writer.apply_reading(at(0), Some(stored(&["v1", "v2"], &["v1", "v2"])));
    assert_eq!(verdict(&host.writer, "v1"), RecordVerdict::Unproven);
    assert_eq!(host.next_write(0), Some(at(0)));
    assert_ne!(host.write(0), stored(&["v1", "v2"], &["v1", "v2"]));
    assert_eq!(verdict(&host.writer, "v1"), RecordVerdict::Recorded);
}

/// An object that closes the only version is replaced, and events wait for that.
#[test]
fn only_version_opened_again() {
    let mut host = Host::start();
    host.writer = SnapshotWriter::new(2);
    host.writer.set_services(services(&["v1"], &["v1"]));
    host.writer.apply_reading(at(0), Some(stored(&["v2"], &["v1", "v2"])));
    assert_eq!(verdict(&host.writer, "v1"), RecordVerdict::Contradicted);
    assert!(host.writer.closed(SERVICE).is_empty());
    assert!(host.next_write(0).is_some());
    host.write(0);
    assert_eq!((verdict(&host.writer, "v1"), host.next_write(0)), (RecordVerdict::Recorded, None));
}

/// Callers waited to their deadlines for a snapshot that the store did not take.
#[test]
fn only_version_stays_closed_while_writes_fail() {
    let mut host = Host::start();
    host.writer.set_services(services(&["v2"], &["v1", "v2"]));
    host.write(OriginLedger::LIFETIME.as_millis() as u64);
    host.writer.set_services(services(&["v1"], &["v1", "v2"]));
    assert!(host.writer.closed(SERVICE).is_empty());
    host.writer.begin_write(at(0), &mut host.journal);
    host.writer.reject_write(false);
    assert_eq!(host.writer.closed(SERVICE), set(&["v1"]));
    host.write(0);
    assert!(!host.writer.closed(SERVICE).contains("v1"));
}

/// A restored store has lost what it held.
#[test]
fn event_waits_after_store_restored() {
    let mut host = Host::start();
    host.write(0);
    assert_eq!(verdict(&host.writer, "v2"), RecordVerdict::Recorded);
    host.writer.set_era(1);
    assert!(host.writer.needs_reading());
    assert_eq!(verdict(&host.writer, "v2"), RecordVerdict::Unproven);
}

/// A content that the store rejects gives way to the next one; one without an answer may still be executed.
#[test]
fn rejected_content_replaced() {
    let mut host = Host::start();
    let held = host.write(0);
    host.attempt("a", "v1");
    let rejected = host.writer.begin_write(at(300), &mut host.journal);
    host.writer.reject_write(false);
    host.attempt("b", "v1");
    assert!(host.next_write(600).is_some());
    let unanswered = host.writer.begin_write(at(600), &mut host.journal);
    assert_ne!(unanswered, rejected);
    host.writer.record_unanswered();
    host.writer.apply_reading(at(1_300), Some(held));
    assert_eq!(host.writer.begin_write(at(1_300), &mut host.journal), unanswered);
    host.writer.reject_write(false);
    assert_eq!(host.writer.begin_write(at(1_600), &mut host.journal), unanswered);
}

/// Streams that only a newer snapshot listed stayed unlisted after the store held an older one.
#[test]
fn streams_listed_again_after_older_snapshot_read() {
    let mut host = Host::start();
    host.writer.set_services(services(&["v2"], &["v1", "v2"]));
    let lifetime = OriginLedger::LIFETIME.as_millis() as u64;
    let older = host.write(lifetime);
    host.attempt("a", "v1");
    host.write(lifetime);
    assert!(host.allows("a", "v1"));
    host.writer.record_unanswered();
    host.writer.apply_reading(at(lifetime), Some(older));
    assert!(!host.allows("a", "v1"));
    assert!(host.next_write(lifetime).is_some());
    assert_eq!(origin(&host.write(lifetime), "a"), version("v1"));
}

/// With one version nothing has to be told apart.
#[test]
fn nothing_written_with_one_version() {
    let mut host = Host::start();
    host.writer.set_services(services(&["v1"], &["v1"]));
    host.attempt("a", "v1");
    assert_eq!(host.next_write(0), None);
    assert!(host.allows("a", "v1") && host.writer.closed(SERVICE).is_empty());
}

/// A snapshot that would tell nothing new is left out.
#[test]
fn nothing_written_without_change() {
    let mut host = Host::start();
    host.attempt("a", "v1");
    assert_eq!(host.next_write(0), Some(at(0)));
    host.write(0);
    assert_eq!(host.next_write(0), None);
    host.begin("a", "v1");
    assert_eq!(host.next_write(0), None);
    host.attempt("b", "v2");
    assert_eq!(host.next_write(0), Some(TimePoint::ZERO + INTERVAL));
}

/// All hosts together take a tenth of the store's writes.
#[test]
fn interval_grows_with_hosts() {
    let interval = |hosts| SnapshotWriter::interval(hosts, 400.0);
    assert_eq!(interval(8), INTERVAL);
    assert_eq!(interval(88), Duration::from_millis(2_200));
    assert_eq!(interval(1_000), Duration::from_secs(25));
}

/// Streams beyond the size of an object are left out; what is not listed may then have begun at their versions.
#[test]
fn version_open_while_streams_omitted() {
    let mut host = Host::start();
    for number in 0..20_001 {
        let id = format!("{number}");
        host.begin(&id, "v1");
        host.journal.record_ended(at(0), StreamKey::new(&id));
    }
    host.writer.set_services(services(&["v2"], &["v1", "v2"]));
    let later = OriginLedger::LIFETIME.as_millis() as u64 - 1;
    let snapshot = host.write(later);
    assert!(snapshot.streams[&Name::from("v1")].len() <= 20_000);
    assert!(snapshot.services[SERVICE].allows_unlisted("v1"));
}

#[test]
fn service_without_snapshot_allows_all() {
    let known = ServiceSnapshot { open: set(&[]), known: set(&["v1"]) };
    let snapshot = OriginSnapshot { services: BTreeMap::from([("other".into(), known)]), ..OriginSnapshot::default() };
    assert!(snapshot.allows(SERVICE, StreamKey::new("a"), "v1"));
    assert!(!snapshot.allows("other", StreamKey::new("a"), "v1"));
}
